#ifndef PARSLEYLADDER_STEERING_CHOOSE_H
#define PARSLEYLADDER_STEERING_CHOOSE_H

/**
 * Chooses the host of a new flow by the power of two random choices: of two
 * hosts of the own availability zone, drawn at random and weighted by slots,
 * the one with fewer open flows per slot.
 * Counts of other balancers are up to half a second old, and all balancers that
 * chose the least loaded host would choose the same one until the next update
 * (herd behaviour; Mitzenmacher, "How useful is old information?", 1997). Other
 * zones get flows in proportion to what the own zone has lost (failover with an
 * overprovisioning factor), or the share that its load asks for, if that is
 * larger; see spillover.h.
 */

#include <glib.h>
#include <stdint.h>

#include "steering/placement_pool.h"
#include "steering/response_size.h"
#include "steering/slow_start_limit.h"
#include "steering/spillover.h"

enum choice_reason {
	CHOICE_LOCAL, /* less loaded of two hosts of the own zone */
	CHOICE_FAILOVER, /* the own zone has lost much of its capacity */
	CHOICE_REMOTE, /* the own zone has no usable host */
	CHOICE_SPILLOVER, /* the own zone is too busy */
	CHOICE_TRIAL, /* trial of a silent host */
	CHOICE_SUSPECT, /* all hosts are slow or suspect */
	CHOICE_LAST_RESORT, /* only silent hosts or the excluded one are left */
	CHOICE_NONE, /* no host of the service accepts flows */
	CHOICE_REASONS,
};

struct choice_request {
	const struct placement_pool *pool; /* of the service, refreshed */
	const char *zone; /* of this balancer; NULL if all zones are local */
	struct known_host *excluded; /* did not respond; or NULL */
	const struct spillover *spillover; /* of the service; or NULL */
	uint32_t only_zone; /* hash; 0: hosts of all zones */
	struct slow_start_limits *slow_start; /* NULL if no host has one */
	int64_t now_ns;
	GRand *random;
};

struct choice {
	struct known_host *host; /* NULL with CHOICE_NONE */
	enum choice_reason reason;
	/* A host was skipped because of its slow-start limit. */
	bool is_limited;
};

void placement_choose(const struct choice_request *request,
		      struct choice *choice);
const char *choice_reason_name(enum choice_reason reason);

#endif
