#ifndef PARSLEYLADDER_STEERING_HOST_SPEED_H
#define PARSLEYLADDER_STEERING_HOST_SPEED_H

/**
 * Response times of one host during the last half minute, relative to the
 * expected ones, and what they show of its speed. The mean of logarithms is
 * used: half of all times are far from the mean, and a few are seven times as
 * long.
 */

#include <stdbool.h>
#include <stdint.h>

#define HOST_SPEED_BUCKETS 16
#define HOST_SPEED_BUCKET_NS (2 * NS_PER_S)

/** Bounds of a speed. */
#define HOST_SPEED_MIN 0.5
#define HOST_SPEED_MAX 2.0
/** With fewer samples, the host counts as one of average speed. */
#define HOST_SPEED_SAMPLES_MIN 16

/** Samples of one period. */
struct speed_bucket {
	float samples;
	float reports; /* in which the samples came */
	float sum; /* of the logarithms of the ratios */
	float square_sum;
	float load_sum; /* of the logarithms of the loads at the updates */
	float updates;
};

/** Sums over several buckets. */
struct speed_totals {
	double samples;
	double reports;
	double mean; /* logarithm of the ratio; 0 without samples */
	double square_sum;
	double load; /* mean of the logarithm */
};

/** How the samples of hosts vary around the means of these hosts. */
struct speed_variation {
	double report_squares;
	double report_freedom;
	double bucket_squares;
	double bucket_freedom;
	/* Of the means and loads of the buckets. */
	double load_squares;
	double load_products;
};

struct host_speed {
	struct speed_bucket buckets[HOST_SPEED_BUCKETS];
	int64_t period; /* of the newest bucket */
	int64_t sampled_ns; /* last sample; 0 for none */

	/* Samples of this balancer that are not reported yet. */
	uint32_t pending_samples;
	double pending_sum;

	/* Speed from the leader of the zone, as a logarithm. */
	double received_log;
	int64_t received_ns; /* 0 for never */

	/* Of the last evaluation. */
	struct speed_totals totals;
	double time_log; /* mean time relative to the median of the peers */
	double load_log; /* mean open flows of a slot, relative likewise */
	double measured_log; /* speed by the own samples and reports */
	double log; /* speed in force */
	double notified_log; /* of the last notification */
};

/** Adds @samples, whose mean is @ratio_log, as one report. */
void host_speed_add(struct host_speed *speed, uint32_t samples,
		    double ratio_log, int64_t now_ns);
/** Records the open flows for each slot of the host. */
void host_speed_add_load(struct host_speed *speed, double load, int64_t now_ns);
/** Drops samples that are too old, and sums the others up. */
void host_speed_sum(struct host_speed *speed, int64_t now_ns);
/** Adds the variation around the mean that host_speed_sum() found. */
void host_speed_add_variation(struct host_speed *speed,
			      struct speed_variation *variation);
/**
 * Drops the older samples if the newer ones differ significantly from them,
 * given the variance of a sample; true if so.
 */
bool host_speed_drop_outdated(struct host_speed *speed, double variance);
/**
 * Speed, as a logarithm, by a mean time that is @ratio_log above the median.
 * Differences that samples of this variance show by chance give 0.
 */
double host_speed_estimate(double ratio_log, double samples, double variance);
/**
 * The speed in force: the one of the leader while it is recent, then gradually
 * the measured one.
 */
double host_speed_combine(const struct host_speed *speed, int64_t now_ns);

#endif
