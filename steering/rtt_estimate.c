#include "steering/rtt_estimate.h"

/* Fewer samples do not show how much the time varies. */
#define SAMPLES_MIN 8
/* Weights of the newest sample and of its deviation, as in RFC 6298. */
#define SAMPLE_WEIGHT_DIVISOR 8
#define DEVIATION_WEIGHT_DIVISOR 4
#define DEVIATION_FACTOR 4

void rtt_estimate_add(struct rtt_estimate *estimate, int64_t sample_ns)
{
	int64_t difference_ns = sample_ns - estimate->smoothed_ns;

	if (estimate->samples++ == 0) {
		estimate->smoothed_ns = sample_ns;
		estimate->deviation_ns = sample_ns / 2;
		return;
	}
	estimate->smoothed_ns += difference_ns / SAMPLE_WEIGHT_DIVISOR;
	if (difference_ns < 0)
		difference_ns = -difference_ns;
	estimate->deviation_ns += (difference_ns - estimate->deviation_ns) /
				  DEVIATION_WEIGHT_DIVISOR;
}

/*
 * At least twice the mean: where all samples are alike, a time that is a little
 * longer shows nothing.
 */
int64_t rtt_estimate_limit_ns(const struct rtt_estimate *estimate)
{
	int64_t margin_ns = DEVIATION_FACTOR * estimate->deviation_ns;

	if (estimate->samples < SAMPLES_MIN)
		return 0;
	if (margin_ns < estimate->smoothed_ns)
		margin_ns = estimate->smoothed_ns;
	return estimate->smoothed_ns + margin_ns;
}
