#ifndef PARSLEYLADDER_STEERING_RESPONSE_BASELINE_H
#define PARSLEYLADDER_STEERING_RESPONSE_BASELINE_H

/**
 * Expected response time of a kind of request, by the address and port that it
 * is sent to and the zone of the host, as this balancer has measured it on all
 * hosts. Times of hosts are compared relative to it: requests to different
 * addresses of one service take several times as long as each other, and no two
 * hosts get the same mix.
 */

#include <stdbool.h>
#include <stdint.h>

#include "packet/packet.h"

struct response_baseline;

/** What a response time depends on besides the host. */
struct response_kind {
	const struct flow_key *flow;
	const char *zone; /* of the host */
	/*
	 * The end of the response is known from the packet that closes the
	 * flow, which the caller may have sent later.
	 */
	bool is_closing;
};

struct response_baseline *response_baseline_create(void);
/** Accepts NULL. */
void response_baseline_destroy(struct response_baseline *baseline);
/**
 * Adds a response time. Returns false if it is not comparable: too few responses
 * of its kind are known, or the flow is closing and better samples of its kind
 * exist. Otherwise sets @ratio_log, the logarithm of its ratio to the expected
 * time, limited to RESPONSE_RATIO_LOG_MAX.
 */
bool response_baseline_compare(struct response_baseline *baseline,
			       const struct response_kind *kind,
			       int64_t time_ns, double *ratio_log);

/**
 * Limit of the logarithm of a ratio, a factor of 4.5: a few responses in a
 * hundred take seven times as long, whichever host sent them.
 */
#define RESPONSE_RATIO_LOG_MAX 1.5

#endif
