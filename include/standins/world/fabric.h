#ifndef PARSLEYLADDER_STANDINS_WORLD_FABRIC_H
#define PARSLEYLADDER_STANDINS_WORLD_FABRIC_H

/**
 * The fabric: sends each packet of a caller to a balancer chosen at random
 * among those that it believes reachable, and takes balancers' refusals.
 */

#include <netinet/in.h>

#include "common/clock.h"
#include "common/error.h"
#include "standins/schedule.h"
#include "standins/world/network.h"

struct fabric_options {
	struct schedule *schedule;
	const struct clock *clock;
	struct network *network;
	/** A packet from a balancer towards a caller. */
	void (*on_refusal)(void *context, const uint8_t *data, size_t length);
	void *context;
};

struct fabric_counters {
	uint64_t packets_sent;
	uint64_t packets_lost; /* by the told loss or a cut */
	uint64_t packets_unroutable; /* no reachable balancer */
	uint64_t refusals;
};

struct fabric;

/** Opens the socket on 127.0.0.1, on a port that the kernel chooses. */
struct fabric *fabric_create(const struct fabric_options *options,
			     struct error *error);
void fabric_destroy(struct fabric *fabric);
uint16_t fabric_port(const struct fabric *fabric);
/** Adds a balancer, or makes a known one reachable again. */
bool fabric_add(struct fabric *fabric, const char *name, const char *address,
		uint16_t port, GQuark zone, struct error *error);
/**
 * Takes a balancer out after @lag_ns. A fabric notices a killed instance late
 * and keeps sending packets to it until then.
 */
bool fabric_remove(struct fabric *fabric, const char *name, int64_t lag_ns);
/** Zone of the balancer that sends from @source; 0 if unknown. */
GQuark fabric_zone_of(const struct fabric *fabric,
		      const struct sockaddr_storage *source);
/** Sends a packet of a caller in @zone. */
void fabric_send(struct fabric *fabric, GQuark zone, const uint8_t *data,
		 size_t length);
void fabric_flush(struct fabric *fabric);
const struct fabric_counters *fabric_counters(const struct fabric *fabric);

#endif
