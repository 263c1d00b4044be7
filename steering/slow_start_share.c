#include "steering/slow_start_share.h"

#include <glib.h>

/* Bounds are computed in millionths of a flow. */
#define MILLIONTHS 1000000
/* Larger shares make no difference and would need more memory. */
#define FLOWS_MAX 10000
/*
 * Half of what is allowed is used, so the bound holds as long as each balancer
 * knows half of the members of its zone. In a zone of 300 balancers that start
 * at once, they know 44 % or more after 5 s and 71 % after 10 s (manual clock of
 * tests/sharing; with 60 in a zone 93 % after 5 s).
 */
#define UNKNOWN_MEMBERS_FACTOR 2
/*
 * One flow in so many is left to zones without the host. Balancers prefer hosts
 * of their own zone, so those of the host's zone need most of the flows; the
 * rest is for zones that have no host of their own.
 */
#define OTHER_ZONES_DIVISOR 4

uint32_t slow_start_allowed(const struct slow_start_bound *bound)
{
	uint64_t millionths =
		(uint64_t)bound->flows_per_1000_s * bound->overage_permille +
		(uint64_t)bound->slack_permille * 1000;

	if (millionths == 0)
		return 0;
	return (uint32_t)MIN((millionths - 1) / MILLIONTHS, FLOWS_MAX);
}

/* Flows of one zone; those of all zones are @flows. */
static uint32_t zone_part(uint32_t flows, const struct slow_start_place *place)
{
	uint32_t others = place->zones > 1 ? place->zones - 1 : 0;
	uint32_t for_others = others > 0 ? flows / OTHER_ZONES_DIVISOR : 0;

	if (place->is_host_zone || others == 0)
		return flows - for_others;
	return for_others / others + (place->zone_rank < for_others % others);
}

uint32_t slow_start_share(uint32_t allowed,
			  const struct slow_start_place *place)
{
	uint32_t flows = allowed / UNKNOWN_MEMBERS_FACTOR;
	uint32_t part;

	if (place->members == 0 || allowed == 0)
		return 0;
	/* One flow cannot be halved, so it is sent without that margin. */
	part = zone_part(MAX(flows, 1), place);
	if (part >= place->members)
		return part / place->members;
	return place->rank < part ? 1 : 0;
}
