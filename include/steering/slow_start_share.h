#ifndef PARSLEYLADDER_STEERING_SLOW_START_SHARE_H
#define PARSLEYLADDER_STEERING_SLOW_START_SHARE_H

/**
 * How many opening packets one balancer may send to a cold host in a second, so
 * that all balancers together stay below the limit of the host without a message
 * per flow. Integer arithmetic only: the bound is strict, and each balancer has
 * to get the same result.
 */

#include <stdbool.h>
#include <stdint.h>

/** What all balancers together may send to a host, in flows per second. */
struct slow_start_bound {
	uint32_t flows_per_1000_s; /* that the host can take */
	uint32_t overage_permille; /* factor on it */
	uint32_t slack_permille; /* added to it, in thousandths of a flow */
};

/** Where this balancer stands among those that may send to a host. */
struct slow_start_place {
	uint32_t members; /* of the own zone; the most known in the last minutes */
	uint32_t rank; /* of this balancer in the order for the host, from 0 */
	uint32_t zones; /* of the deployment */
	bool is_host_zone; /* host and balancer are in one zone */
	/* Of the own zone among those without the host; from 0. */
	uint32_t zone_rank;
};

/** Largest number of flows that stays below the bound. */
uint32_t slow_start_allowed(const struct slow_start_bound *bound);
/** Part of the @allowed flows that this balancer may send. */
uint32_t slow_start_share(uint32_t allowed,
			  const struct slow_start_place *place);

#endif
