#ifndef PARSLEYLADDER_STEERING_ZONE_LOAD_STATE_H
#define PARSLEYLADDER_STEERING_ZONE_LOAD_STATE_H

/**
 * State of the loads of zones, shared by zone_load.c, which observes requests
 * and counts slots, and zone_load_sum.c, which reads and makes reports.
 */

#include "steering/zone_load.h"

/** Entries of one follower. */
struct follower_load {
	struct zone_load_entry entries[ZONE_LOAD_ENTRIES_MAX];
	size_t entry_count;
	int64_t received_ns;
};

/** Handshakes with the hosts of one zone. */
struct zone_handshake {
	uint32_t zone;
	struct rtt_estimate estimate;
};

struct zone_loads {
	uint32_t own_zone;
	GHashTable *services; /* hash to struct service_load */
	GHashTable *followers; /* address to struct follower_load */
	struct zone_handshake handshakes[ZONE_LOAD_ZONES_MAX];
	size_t handshake_count;
	int64_t refreshed_ns; /* 0 for never */
	int64_t summed_ns; /* 0 for never */
};

/** Requests per second that this balancer observes. */
double load_average_rate(const struct load_average *average, int64_t now_ns);
/** Mean time at the host; 0 if it is not known. */
int64_t load_average_mean_ns(const struct load_average *average,
			     int64_t now_ns);
/** Adds responses with this mean time. */
void load_floor_add(struct load_floor *floor, int64_t mean_ns, double weight,
		    int64_t now_ns);
/** Returns 0 if it is not known. */
int64_t load_floor_ns(const struct load_floor *floor);

#endif
