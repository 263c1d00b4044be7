#ifndef PARSLEYLADDER_STEERING_RTT_ESTIMATE_H
#define PARSLEYLADDER_STEERING_RTT_ESTIMATE_H

/**
 * Smoothed mean and mean deviation of a time that is measured again and again,
 * as for the retransmission timeout of TCP (RFC 6298).
 */

#include <stdint.h>

struct rtt_estimate {
	int64_t smoothed_ns;
	int64_t deviation_ns;
	uint64_t samples;
};

void rtt_estimate_add(struct rtt_estimate *estimate, int64_t sample_ns);
/**
 * Time that a sample does not exceed usually; 0 while there are too few
 * samples to tell.
 */
int64_t rtt_estimate_limit_ns(const struct rtt_estimate *estimate);

#endif
