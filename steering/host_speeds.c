#include "steering/host_speeds.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

#define UPDATE_INTERVAL_NS (500 * NS_PER_MS)
/*
 * Limit of the effect of load on response times, 3.5 where 80 % of two slots are
 * busy; closer to full hosts it grows without bound.
 */
#define LOAD_EFFECT_MAX 4
/* Minimum number of measured hosts for a comparison. */
#define COMPARED_MIN 3
/*
 * Variance of the logarithm of a sample while few reports are known, and at
 * least. A standard deviation of half the mean gives 0.22, late responses add
 * to it.
 */
#define VARIANCE_DEFAULT 0.5
#define VARIANCE_MIN 0.05
/* Reports, and buckets, with which their variance is meaningful. */
#define REPORTS_MIN 32
#define BUCKETS_MIN 16
/* A network delay that is overestimated must not leave times around 0. */
#define TIME_SHARE_MIN 0.25
/* A smaller difference would only reorder the hosts of a pool. */
#define OFFSET_MIN 0.02
/* Zones of the hosts of one service. */
#define ZONES_MAX 16

const char *const host_speed_counter_names[HOST_SPEED_COUNTERS] = {
	[HOST_SPEED_SAMPLES] = "samples",
	[HOST_SPEED_SAMPLES_SKIPPED] = "samples_skipped",
	[HOST_SPEED_REPORTS] = "reports",
	[HOST_SPEED_RECEIVED] = "received",
	[HOST_SPEED_CHANGED_SUDDENLY] = "changed_suddenly",
	[HOST_SPEED_LOWERED] = "lowered",
	[HOST_SPEED_RAISED] = "raised",
	[HOST_SPEED_EQUALIZED] = "equalized",
};

struct host_speeds {
	struct host_speeds_options options;
	bool is_enabled;
	struct response_baseline *baseline;
	int64_t updated_ns; /* 0 for never */
	uint64_t counters[HOST_SPEED_COUNTERS];
};

struct host_speeds *
host_speeds_create(const struct host_speeds_options *options)
{
	struct host_speeds *speeds = g_new0(struct host_speeds, 1);

	speeds->options = *options;
	speeds->baseline = response_baseline_create();
	return speeds;
}

void host_speeds_destroy(struct host_speeds *speeds)
{
	if (!speeds)
		return;
	response_baseline_destroy(speeds->baseline);
	g_free(speeds);
}

void host_speeds_set_enabled(struct host_speeds *speeds, bool is_enabled,
			     GHashTable *hosts)
{
	GHashTableIter iterator;
	gpointer value;

	if (speeds->is_enabled == is_enabled)
		return;
	speeds->is_enabled = is_enabled;
	g_hash_table_iter_init(&iterator, hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		g_clear_pointer(&host->speed, g_free);
		host->speed_offset = 0;
	}
}

bool host_speeds_is_enabled(const struct host_speeds *speeds)
{
	return speeds->is_enabled;
}

static struct host_speed *speed_get(struct known_host *host)
{
	if (!host->speed)
		host->speed = g_new0(struct host_speed, 1);
	return host->speed;
}

static void pending_add(struct host_speed *speed, uint32_t samples,
			double ratio_log)
{
	speed->pending_samples += samples;
	speed->pending_sum += samples * ratio_log;
}

void host_speeds_record(struct host_speeds *speeds, struct known_host *host,
			const struct host_response *response, int64_t now_ns)
{
	struct response_kind kind = response->kind;
	int64_t time_ns = MAX(response->wait_ns - response->network_ns,
			      (int64_t)(response->wait_ns * TIME_SHARE_MIN));
	double ratio_log;

	if (!speeds->is_enabled)
		return;
	kind.zone = host->published.zone;
	/* The weight of a host in slow start is lower for that reason. */
	if (now_ns < host->slow_start_until_ns ||
	    !response_baseline_compare(speeds->baseline, &kind, time_ns,
				       &ratio_log)) {
		speeds->counters[HOST_SPEED_SAMPLES_SKIPPED]++;
		return;
	}
	speeds->counters[HOST_SPEED_SAMPLES]++;
	host_speed_add(speed_get(host), 1, ratio_log, now_ns);
	pending_add(host->speed, 1, ratio_log);
}

/* Hosts of a service in one zone. */
struct speed_group {
	const GPtrArray *hosts;
	const char *zone;
	double variance; /* of a sample */
	double median; /* of the mean times, as a logarithm */
	double load_median;
	/* Increase of the logarithm of the time for that of the load. */
	double load_effect;
	guint compared; /* hosts with enough samples */
};

static struct host_speed *peer_speed(const struct speed_group *group, guint i)
{
	const struct known_host *host = g_ptr_array_index(group->hosts, i);

	if (!host->speed || strcmp(host->published.zone, group->zone) != 0)
		return NULL;
	return host->speed;
}

static void load_update(struct known_host *host, int64_t now_ns)
{
	double flows = host->open_flows + host->peer_flows;
	double load = flows / MAX(host->published.slots, 1);

	/* Requests queue only where there are more flows than slots. */
	host_speed_add_load(host->speed, MAX(load, 1), now_ns);
}

/*
 * The variance of a sample within the hosts. Responses that follow each other
 * are alike where requests queue; the means of the buckets show how much.
 */
static double variance_find(const struct speed_variation *variation)
{
	double variance;

	if (variation->report_freedom < REPORTS_MIN)
		return VARIANCE_DEFAULT;
	variance = variation->report_squares / variation->report_freedom;
	if (variation->bucket_freedom >= BUCKETS_MIN)
		variance = MAX(variance, variation->bucket_squares /
						 variation->bucket_freedom);
	return MAX(variance, VARIANCE_MIN);
}

/* Sums up the samples of each host, and finds how these vary. */
static void group_sum(struct speed_group *group, int64_t now_ns)
{
	struct speed_variation variation = { 0 };

	for (guint i = 0; i < group->hosts->len; i++) {
		struct host_speed *speed = peer_speed(group, i);

		if (!speed)
			continue;
		load_update(g_ptr_array_index(group->hosts, i), now_ns);
		host_speed_sum(speed, now_ns);
		host_speed_add_variation(speed, &variation);
	}
	group->variance = variance_find(&variation);
	/* A prior of 0 with a variance of 1, for where loads hardly vary. */
	group->load_effect =
		CLAMP(variation.load_products /
			      (variation.load_squares + group->variance),
		      0, LOAD_EFFECT_MAX);
}

static int double_compare(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return a < b ? -1 : a > b;
}

static double median_take(double *values, guint count)
{
	qsort(values, count, sizeof(*values), double_compare);
	return (values[(count - 1) / 2] + values[count / 2]) / 2;
}

static void group_find_medians(struct host_speeds *speeds,
			       struct speed_group *group)
{
	double *means = g_new(double, group->hosts->len + 1);
	double *loads = g_new(double, group->hosts->len + 1);

	group->compared = 0;
	for (guint i = 0; i < group->hosts->len; i++) {
		struct host_speed *speed = peer_speed(group, i);

		if (!speed)
			continue;
		speeds->counters[HOST_SPEED_CHANGED_SUDDENLY] +=
			host_speed_drop_outdated(speed, group->variance);
		if (speed->totals.samples < HOST_SPEED_SAMPLES_MIN)
			continue;
		means[group->compared] = speed->totals.mean;
		loads[group->compared++] = speed->totals.load;
	}
	if (group->compared >= COMPARED_MIN) {
		group->median = median_take(means, group->compared);
		group->load_median = median_take(loads, group->compared);
	}
	g_free(means);
	g_free(loads);
}

/*
 * Slowness of a host apart from its load. A host that is slower by the factor S
 * and has L times the flows is busier by S * L, so its responses take
 * S * (S * L)^e times as long, where e is the effect of the load. Without this,
 * a lower weight would make the host look faster, and weights would oscillate.
 * While flows follow the weights, any e leads to the same weights in the end.
 */
static double slowness_find(const struct speed_group *group,
			    struct host_speed *speed)
{
	double effect = group->load_effect;

	speed->time_log = speed->totals.mean - group->median;
	speed->load_log = speed->totals.load - group->load_median;
	return (speed->time_log - effect * speed->load_log) / (1 + effect);
}

static void change_notify(struct host_speeds *speeds, struct known_host *host)
{
	struct host_speed *speed = host->speed;
	bool is_unequal = host_speed_is_unequal(host);
	double change = speed->log - speed->notified_log;

	/* A speed that returns to about 1 counts as 1. */
	if (!is_unequal && speed->notified_log == 0)
		return;
	if (is_unequal && fabs(change) < HOST_SPEED_DIFFERENCE_MIN)
		return;
	if (!is_unequal && fabs(speed->log) > HOST_SPEED_DIFFERENCE_MIN / 2)
		return;
	speed->notified_log = is_unequal ? speed->log : 0;
	speeds->counters[!is_unequal  ? HOST_SPEED_EQUALIZED
			 : change < 0 ? HOST_SPEED_LOWERED
				      : HOST_SPEED_RAISED]++;
	if (speeds->options.on_changed)
		speeds->options.on_changed(speeds->options.context, host);
}

static void speed_update(struct host_speeds *speeds,
			 const struct speed_group *group,
			 struct known_host *host, int64_t now_ns)
{
	struct host_speed *speed = host->speed;
	double offset;

	speed->measured_log = 0;
	speed->time_log = 0;
	speed->load_log = 0;
	if (group->compared >= COMPARED_MIN &&
	    speed->totals.samples >= HOST_SPEED_SAMPLES_MIN) {
		double scale = 1 + group->load_effect;

		speed->measured_log = host_speed_estimate(
			slowness_find(group, speed), speed->totals.samples,
			group->variance / (scale * scale));
	}
	speed->log = host_speed_combine(speed, now_ns);
	offset = exp(speed->log) - 1;
	host->speed_offset = fabs(offset) < OFFSET_MIN ? 0 : offset;
	change_notify(speeds, host);
}

static void group_update(struct host_speeds *speeds, struct speed_group *group,
			 int64_t now_ns)
{
	group_sum(group, now_ns);
	group_find_medians(speeds, group);
	for (guint i = 0; i < group->hosts->len; i++) {
		if (peer_speed(group, i))
			speed_update(speeds, group,
				     g_ptr_array_index(group->hosts, i),
				     now_ns);
	}
}

static bool is_listed(const char *const *zones, size_t count, const char *zone)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(zones[i], zone) == 0)
			return true;
	}
	return false;
}

static void service_update(struct host_speeds *speeds, const GPtrArray *hosts,
			   int64_t now_ns)
{
	const char *zones[ZONES_MAX];
	size_t zone_count = 0;

	for (guint i = 0; i < hosts->len && zone_count < ZONES_MAX; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);
		struct speed_group group = { .hosts = hosts,
					     .zone = host->published.zone };

		if (!host->speed || is_listed(zones, zone_count, group.zone))
			continue;
		zones[zone_count++] = group.zone;
		group_update(speeds, &group, now_ns);
	}
}

void host_speeds_update(struct host_speeds *speeds, GHashTable *services,
			int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	if (!speeds->is_enabled ||
	    (speeds->updated_ns != 0 &&
	     now_ns - speeds->updated_ns < UPDATE_INTERVAL_NS))
		return;
	speeds->updated_ns = now_ns;
	g_hash_table_iter_init(&iterator, services);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		service_update(speeds, value, now_ns);
}

bool host_speed_report_take(struct known_host *host,
			    struct host_speed_report *report)
{
	struct host_speed *speed = host->speed;

	if (!speed || speed->pending_samples == 0)
		return false;
	report->token = host->token;
	report->samples = (uint16_t)MIN(speed->pending_samples,
					HOST_SPEED_REPORT_SAMPLES_MAX);
	report->time_permille = (uint16_t)lround(
		1000 * exp(speed->pending_sum / speed->pending_samples));
	speed->pending_samples = 0;
	speed->pending_sum = 0;
	return true;
}

void host_speeds_merge(struct host_speeds *speeds, struct known_host *host,
		       const struct host_speed_report *report, bool is_relayed,
		       int64_t now_ns)
{
	uint32_t samples = MIN(report->samples, HOST_SPEED_REPORT_SAMPLES_MAX);
	double ratio_log = log(MAX(report->time_permille, 1) / 1000.0);

	if (!speeds->is_enabled || samples == 0)
		return;
	ratio_log = CLAMP(ratio_log, -RESPONSE_RATIO_LOG_MAX,
			  RESPONSE_RATIO_LOG_MAX);
	speeds->counters[HOST_SPEED_REPORTS]++;
	host_speed_add(speed_get(host), samples, ratio_log, now_ns);
	if (is_relayed)
		pending_add(host->speed, samples, ratio_log);
}

void host_speeds_receive(struct host_speeds *speeds, struct known_host *host,
			 uint16_t speed_permille, int64_t now_ns)
{
	double value =
		CLAMP(speed_permille / 1000.0, HOST_SPEED_MIN, HOST_SPEED_MAX);

	if (!speeds->is_enabled || (!host->speed && speed_permille == 1000))
		return;
	speeds->counters[HOST_SPEED_RECEIVED] += speed_permille != 1000;
	speed_get(host)->received_log = log(value);
	host->speed->received_ns = now_ns;
}

uint16_t host_speed_permille(const struct known_host *host)
{
	return (uint16_t)lround(1000 * (1 + host->speed_offset));
}

bool host_speed_is_unequal(const struct known_host *host)
{
	return fabs(host->speed_offset) > HOST_SPEED_DIFFERENCE_MIN;
}

const uint64_t *host_speeds_counters(const struct host_speeds *speeds)
{
	return speeds->counters;
}
