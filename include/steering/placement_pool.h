#ifndef PARSLEYLADDER_STEERING_PLACEMENT_POOL_H
#define PARSLEYLADDER_STEERING_PLACEMENT_POOL_H

/**
 * Hosts of one service, grouped by suitability for a new flow, so that a
 * placement need not examine each host. The grouping may be 100 ms old; a
 * caller checks the class of a chosen host again.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "steering/host_table.h"

enum pool_class {
	POOL_LOCAL, /* usable, of the own zone */
	POOL_REMOTE, /* usable, of another zone */
	POOL_SUSPECT, /* slow, failing, or with unanswered packets */
	POOL_SILENT, /* has stopped responding */
	/* Removed, draining, of a drained zone or with a conflicting token. */
	POOL_UNUSABLE,
};

/** Hosts of one class. */
struct pool_hosts {
	GPtrArray *hosts; /* struct known_host */
	GArray *weight_sums; /* double: weights of the hosts up to this one */
};

struct placement_pool {
	struct pool_hosts classes[POOL_UNUSABLE];
	double usable_slots; /* of the own zone */
	double nominal_slots; /* of all its hosts, also recently removed ones */
	bool is_any_zone; /* all zones counted as local */
	uint64_t generation; /* when the hosts were last classified */
	int64_t classified_ns; /* 0 for never */
};

struct placement_pool *placement_pool_create(void);
/** Accepts NULL. */
void placement_pool_destroy(struct placement_pool *pool);
/**
 * Sorts @hosts, all hosts of the service, into classes if @generation has
 * changed since the last time, or if that was too long ago. Hosts of all zones
 * count as local if @zone is NULL.
 */
void placement_pool_refresh(struct placement_pool *pool, const GPtrArray *hosts,
			    const char *zone, uint64_t generation,
			    int64_t now_ns);
enum pool_class pool_classify(const struct known_host *host, const char *zone);
/**
 * Requests that the host runs at once, in proportion to its speed, and reduced
 * during its slow start.
 */
double pool_host_weight(const struct known_host *host, int64_t now_ns);

#endif
