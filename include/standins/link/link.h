#ifndef PARSLEYLADDER_STANDINS_LINK_LINK_H
#define PARSLEYLADDER_STANDINS_LINK_LINK_H

/**
 * Relays traffic between pairs of balancers with delay, jitter, loss and cuts
 * between availability zones, so that loopback behaves like several zones.
 */

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "common/error.h"
#include "edge/edge.h"
#include "standins/schedule.h"
#include "standins/world/network.h"

struct link_counters {
	uint64_t passed_datagrams;
	uint64_t passed_lost;
	uint64_t peer_bytes;
	uint64_t peer_connections;
};

struct link {
	struct schedule *schedule;
	struct network *network;
	GPtrArray *pairs; /* struct pair */
	struct link_counters counters;
};

/** One direction from one balancer to another: UDP and TCP. */
struct pair {
	struct link *link;
	char *from;
	char *to;
	GQuark from_zone;
	GQuark to_zone;
	bool is_cut; /* this pair only, besides cuts of zones */
	struct sockaddr_in pass_target;
	GSocketAddress *peer_target;
	struct edge *edge;
	GSocketService *service;
	uint16_t peer_port; /* where the relay listens */
};

struct link *link_create(uint64_t seed);
void link_destroy(struct link *link);
/** Handles one control request; see control_handler. */
bool link_control(void *context, JsonObject *request, JsonBuilder *reply,
		  struct error *error);

struct pair_options {
	const char *from;
	const char *to;
	const char *from_zone;
	const char *to_zone;
	const char *listen; /* IPv4 text of the relay */
	const char *address; /* IPv4 text of the target */
	uint16_t pass_port;
	uint16_t peer_port;
};

struct pair *pair_create(struct link *link, const struct pair_options *options,
			 struct error *error);
void pair_destroy(struct pair *pair);
/** Whether nothing passes now. */
bool pair_is_cut(const struct pair *pair);

/** Relays a TCP connection from @accepted to the peer target of @pair. */
void relay_start(struct pair *pair, GSocketConnection *accepted);

#endif
