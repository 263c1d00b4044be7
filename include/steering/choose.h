#ifndef PARSLEYLADDER_STEERING_CHOOSE_H
#define PARSLEYLADDER_STEERING_CHOOSE_H

/**
 * Chooses the host of a new flow: the one with the fewest open flows a slot in
 * the own availability zone, and other zones in proportion to what the own
 * zone has lost (failover with an overprovisioning factor).
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "steering/host_table.h"

enum choice_reason {
	CHOICE_LOCAL, /* least loaded host of the own zone */
	CHOICE_FAILOVER, /* the own zone has lost much of its capacity */
	CHOICE_REMOTE, /* the own zone has no usable host */
	CHOICE_TRIAL, /* a silent host is tried again */
	CHOICE_DOUBTED, /* only slow hosts, or with unanswered packets */
	CHOICE_LAST_RESORT, /* all hosts of the service are silent */
	CHOICE_NONE, /* no host of the service accepts flows */
	CHOICE_REASONS,
};

struct choice_request {
	const GPtrArray *hosts; /* of the service, struct known_host */
	const char *zone; /* of this balancer */
	bool is_any_zone; /* hosts of all zones count as local */
	const struct known_host *avoided; /* has not answered; or NULL */
	int64_t now_ns;
	GRand *random; /* breaks ties */
};

struct choice {
	struct known_host *host; /* NULL with CHOICE_NONE */
	enum choice_reason reason;
};

void placement_choose(const struct choice_request *request,
		      struct choice *choice);
const char *choice_reason_name(enum choice_reason reason);

#endif
