#include "steering/host_speed.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"

/*
 * Standard errors below which a difference counts as chance. With 2.5, equal
 * hosts were off by a tenth for up to 2.3 % of the time at 85 % load.
 */
#define CHANCE_ERRORS 3.5
/*
 * Standard errors beyond which the older samples of a host are outdated. With 4
 * and recent buckets of 2 to 4 s, bursts of late requests passed for slower hosts
 * several times a minute.
 */
#define CHANGE_ERRORS 5.0
/* Samples of a host of average speed that count besides the measured ones. */
#define PRIOR_SAMPLES 8
/* How long a speed of the leader applies unchanged without a newer one. */
#define RECEIVED_AGE_MAX_NS (10 * NS_PER_S)
/* After that, half of it is replaced by the measured one in this time. */
#define RECEIVED_HALF_LIFE_NS (5 * NS_PER_S)

/*
 * Recent buckets that are compared with the older ones: 4 to 6 s and 10 to 12 s.
 * Queues that one burst leaves behind last for less.
 */
static const int recent_counts[] = { 3, 6 };

static struct speed_bucket *bucket_get(struct host_speed *speed, int age)
{
	uint64_t index = (uint64_t)(speed->period - age) % HOST_SPEED_BUCKETS;

	return &speed->buckets[index];
}

static void window_advance(struct host_speed *speed, int64_t now_ns)
{
	int64_t period = now_ns / HOST_SPEED_BUCKET_NS;

	if (period - speed->period >= HOST_SPEED_BUCKETS) {
		memset(speed->buckets, 0, sizeof(speed->buckets));
		speed->period = period;
	}
	while (speed->period < period) {
		speed->period++;
		memset(bucket_get(speed, 0), 0, sizeof(struct speed_bucket));
	}
}

void host_speed_add(struct host_speed *speed, uint32_t samples,
		    double ratio_log, int64_t now_ns)
{
	struct speed_bucket *bucket;

	window_advance(speed, now_ns);
	bucket = bucket_get(speed, 0);
	bucket->samples += (float)samples;
	bucket->reports += 1;
	bucket->sum += (float)(samples * ratio_log);
	bucket->square_sum += (float)(samples * ratio_log * ratio_log);
	speed->sampled_ns = now_ns;
}

void host_speed_add_load(struct host_speed *speed, double load, int64_t now_ns)
{
	struct speed_bucket *bucket;

	window_advance(speed, now_ns);
	bucket = bucket_get(speed, 0);
	bucket->load_sum += (float)log(load);
	bucket->updates += 1;
}

/* Sums up the newest @count buckets. */
static struct speed_totals buckets_sum(struct host_speed *speed, int count)
{
	struct speed_totals totals = { 0 };
	double sum = 0;
	double load_sum = 0;
	double updates = 0;

	for (int age = 0; age < count; age++) {
		const struct speed_bucket *bucket = bucket_get(speed, age);

		totals.samples += bucket->samples;
		totals.reports += bucket->reports;
		totals.square_sum += bucket->square_sum;
		sum += bucket->sum;
		load_sum += bucket->load_sum;
		updates += bucket->updates;
	}
	if (totals.samples > 0)
		totals.mean = sum / totals.samples;
	if (updates > 0)
		totals.load = load_sum / updates;
	return totals;
}

void host_speed_sum(struct host_speed *speed, int64_t now_ns)
{
	window_advance(speed, now_ns);
	speed->totals = buckets_sum(speed, HOST_SPEED_BUCKETS);
}

void host_speed_add_variation(struct host_speed *speed,
			      struct speed_variation *variation)
{
	const struct speed_totals *totals = &speed->totals;
	double buckets = 0;

	variation->report_squares += totals->square_sum - totals->samples *
								  totals->mean *
								  totals->mean;
	variation->report_freedom += MAX(totals->reports - 1, 0);
	for (int age = 0; age < HOST_SPEED_BUCKETS; age++) {
		const struct speed_bucket *bucket = bucket_get(speed, age);
		double difference;
		double load;

		if (bucket->samples == 0 || bucket->updates == 0)
			continue;
		buckets++;
		difference = bucket->sum / bucket->samples - totals->mean;
		load = bucket->load_sum / bucket->updates - totals->load;
		variation->bucket_squares +=
			bucket->samples * difference * difference;
		variation->load_squares += bucket->samples * load * load;
		variation->load_products += bucket->samples * load * difference;
	}
	variation->bucket_freedom += MAX(buckets - 1, 0);
}

static bool is_different(const struct speed_totals *a,
			 const struct speed_totals *b, double variance)
{
	double error;

	if (a->samples < HOST_SPEED_SAMPLES_MIN ||
	    b->samples < HOST_SPEED_SAMPLES_MIN)
		return false;
	error = sqrt(variance / a->samples + variance / b->samples);
	return fabs(a->mean - b->mean) > CHANGE_ERRORS * error;
}

/* What is left of @totals without @recent; only samples and mean. */
static struct speed_totals older_find(const struct speed_totals *totals,
				      const struct speed_totals *recent)
{
	struct speed_totals older = { .samples = totals->samples -
						 recent->samples };

	if (older.samples > 0)
		older.mean = (totals->samples * totals->mean -
			      recent->samples * recent->mean) /
			     older.samples;
	return older;
}

bool host_speed_drop_outdated(struct host_speed *speed, double variance)
{
	for (size_t i = 0; i < G_N_ELEMENTS(recent_counts); i++) {
		int count = recent_counts[i];
		struct speed_totals recent = buckets_sum(speed, count);
		struct speed_totals older = older_find(&speed->totals, &recent);

		if (!is_different(&recent, &older, variance))
			continue;
		for (int age = count; age < HOST_SPEED_BUCKETS; age++)
			memset(bucket_get(speed, age), 0,
			       sizeof(struct speed_bucket));
		speed->totals = recent;
		return true;
	}
	return false;
}

/*
 * Shrinkage towards 0 (non-negative garrote): none of a difference within
 * CHANCE_ERRORS remains, and almost all of one that is several times larger.
 */
double host_speed_estimate(double ratio_log, double samples, double variance)
{
	double limit;

	if (samples < HOST_SPEED_SAMPLES_MIN)
		return 0;
	limit = CHANCE_ERRORS * sqrt(variance / samples);
	if (fabs(ratio_log) <= limit)
		return 0;
	ratio_log *= 1 - (limit / ratio_log) * (limit / ratio_log);
	ratio_log *= samples / (samples + PRIOR_SAMPLES);
	return CLAMP(-ratio_log, log(HOST_SPEED_MIN), log(HOST_SPEED_MAX));
}

double host_speed_combine(const struct host_speed *speed, int64_t now_ns)
{
	int64_t age_ns = now_ns - speed->received_ns;
	double share = 1;

	if (speed->received_ns == 0)
		return speed->measured_log;
	if (age_ns > RECEIVED_AGE_MAX_NS)
		share = exp2(-(double)(age_ns - RECEIVED_AGE_MAX_NS) /
			     RECEIVED_HALF_LIFE_NS);
	return share * speed->received_log + (1 - share) * speed->measured_log;
}
