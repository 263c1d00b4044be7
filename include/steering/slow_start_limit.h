#ifndef PARSLEYLADDER_STEERING_SLOW_START_LIMIT_H
#define PARSLEYLADDER_STEERING_SLOW_START_LIMIT_H

/**
 * Limits the new flows of hosts in their slow start. For each such host of a
 * service with a limit, the times of the last opening packets that this
 * balancer sent are kept; in each sliding window there are at most as many as
 * its share, see slow_start_share.h.
 *
 * A balancer that knows least takes least: one that has just started, or whose
 * replica is not up to date, sends nothing to such hosts.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/name.h"
#include "steering/host_table.h"
#include "steering/routing.h"
#include "steering/slow_start_share.h"

/**
 * Length of a window. Delays between a balancer and a host vary by tens of
 * milliseconds; without a margin, packets that left more than a second apart
 * could arrive within one.
 */
#define SLOW_START_WINDOW_MS 1100

/** A host with a limit, and what its share follows from. */
struct limited_host {
	char id[HOST_ID_BYTES_MAX + 1];
	char service[NAME_BYTES_MAX + 1];
	char zone[NAME_BYTES_MAX + 1];
	int64_t until_ns; /* end of the slow start */
	struct slow_start_bound bound;
	uint32_t allowed; /* of all balancers in a second */
	bool is_placed; /* false: the members are not known yet */
	struct slow_start_place place;
	uint32_t share; /* of this balancer */
	uint64_t sent; /* opening packets of this balancer */
	uint64_t skipped; /* times the host was not chosen */
	int64_t computed_ns; /* when the share was computed */
	uint64_t inputs_generation; /* of settings and routes, at that time */
	GArray *sends; /* int64_t: times within a window, oldest first */
};

struct slow_start_settings {
	bool is_enabled;
	uint32_t overage_permille;
	uint32_t slack_permille;
	/** Zones of the deployment, NULL-terminated; NULL if not known. */
	const char *const *zones;
};

struct slow_start_options {
	const char *zone; /* of this balancer */
	/**
	 * Sets the number of members of the own zone and the rank of this
	 * balancer in the order for a host; returns false while the members are
	 * not known well enough. NULL: they never are.
	 */
	bool (*find_rank)(void *context, const char *host_id, uint32_t *members,
			  uint32_t *rank);
	/** A host got a limit, or has it no longer. NULL for none. */
	void (*on_changed)(void *context, const struct limited_host *host,
			   bool is_limited);
	void *context;
};

struct slow_start_limits;

struct slow_start_limits *
slow_start_limits_create(const struct slow_start_options *options);
/** Accepts NULL. */
void slow_start_limits_destroy(struct slow_start_limits *limits);
void slow_start_limits_set(struct slow_start_limits *limits,
			   const struct slow_start_settings *settings);
/** Takes its own reference. */
void slow_start_limits_set_routing(struct slow_start_limits *limits,
				   struct routing *routing);
void slow_start_limits_set_up_to_date(struct slow_start_limits *limits,
				      bool is_up_to_date);
/** True if a service has a limit; without one, the other functions do nothing. */
bool slow_start_limits_are_active(const struct slow_start_limits *limits);
/** True if the host may get an opening packet now. */
bool slow_start_limits_admit(struct slow_start_limits *limits,
			     const struct known_host *known, int64_t now_ns);
/** An opening packet was sent to the host. */
void slow_start_limits_record(struct slow_start_limits *limits,
			      const struct known_host *known, int64_t now_ns);
/** Number of hosts so far that were not admitted. */
uint64_t slow_start_limits_skips(const struct slow_start_limits *limits);
/** Number of hosts that have a limit. */
uint32_t slow_start_limits_count(const struct slow_start_limits *limits);
/** Forgets hosts whose slow start is over; learns the zones of @hosts. */
void slow_start_limits_tick(struct slow_start_limits *limits,
			    struct host_table *hosts, int64_t now_ns);

#endif
