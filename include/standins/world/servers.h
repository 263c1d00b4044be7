#ifndef PARSLEYLADDER_STANDINS_WORLD_SERVERS_H
#define PARSLEYLADDER_STANDINS_WORLD_SERVERS_H

/**
 * Backend servers: one UDP socket per host that takes GUE, keeps connections
 * as a kernel does, runs requests and answers callers directly.
 */

#include <sys/socket.h>

#include "common/clock.h"
#include "common/error.h"
#include "standins/schedule.h"
#include "standins/world/catalogue.h"
#include "standins/world/ledger.h"
#include "standins/world/network.h"
#include "standins/world/segment.h"

struct servers_options {
	struct schedule *schedule;
	const struct clock *clock;
	struct network *network;
	struct ledger *ledger;
	struct catalogue *catalogue;
	/** Zone of the balancer that sends from @source. */
	GQuark (*zone_of)(void *context, const struct sockaddr_storage *source);
	/** Hands a reply of a host in @zone to the caller after @delay_ns. */
	void (*on_reply)(void *context, GQuark zone, const struct reply *reply,
			 int64_t delay_ns);
	void *context;
};

struct servers_counters {
	uint64_t packets_received;
	uint64_t packets_unreadable;
	uint64_t packets_to_unpublished; /* host no longer in the configuration */
	uint64_t resets_sent;
};

/** State of one host for reports. */
struct server_figures {
	uint32_t open_flows;
	uint64_t new_flows;
	int64_t last_new_flow_ns; /* 0 = none */
};

struct servers;

struct servers *servers_create(const struct servers_options *options);
void servers_destroy(struct servers *servers);
/** Opens sockets for hosts of the catalogue that have none yet. */
bool servers_update(struct servers *servers, struct error *error);
void servers_expire(struct servers *servers);
/** A host that is down drops everything, like a machine without power. */
void servers_set_down(struct servers *servers, uint32_t host, bool is_down);
struct server_figures servers_figures(const struct servers *servers,
				      uint32_t host);
const struct servers_counters *servers_counters(const struct servers *servers);

#endif
