#include "steering/choose.h"

#include <stdbool.h>

/*
 * A zone keeps all its new flows while 1 / 1.4 of its capacity is usable; below
 * that, the missing share goes to other zones.
 */
#define OVERPROVISIONING 1.4
/*
 * Random draws before all hosts of the class are scanned instead. Most hosts
 * are still in their class 100 ms after it was determined.
 */
#define DRAWS_MAX 8
/*
 * The same if only hosts of one of several zones are suitable. A scan, which
 * takes the first of several hosts with equal loads, would be a herd.
 */
#define ZONE_DRAWS_MAX 64

static const char *const reason_names[CHOICE_REASONS] = {
	[CHOICE_LOCAL] = "local",     [CHOICE_FAILOVER] = "failover",
	[CHOICE_REMOTE] = "remote",   [CHOICE_TRIAL] = "trial",
	[CHOICE_SUSPECT] = "doubted", [CHOICE_LAST_RESORT] = "last_resort",
	[CHOICE_NONE] = "no_host",    [CHOICE_SPILLOVER] = "spillover",
};

const char *choice_reason_name(enum choice_reason reason)
{
	return reason_names[reason];
}

static double host_load(const struct choice_request *request,
			const struct known_host *host)
{
	return (host->open_flows + host->peer_flows + 1) /
	       pool_host_weight(host, request->now_ns);
}

/* False if the host is above its slow-start limit. */
static bool is_admitted(const struct choice_request *request,
			const struct known_host *host)
{
	return !request->slow_start ||
	       slow_start_limits_admit(request->slow_start, host,
				       request->now_ns);
}

static uint64_t skips_count(const struct choice_request *request)
{
	return request->slow_start
		       ? slow_start_limits_skips(request->slow_start)
		       : 0;
}

static bool is_in_class(const struct choice_request *request,
			const struct known_host *host, enum pool_class class)
{
	return host != request->excluded &&
	       pool_classify(host, request->zone) == class &&
	       (request->only_zone == 0 ||
		zone_load_hash(host->published.zone) == request->only_zone) &&
	       is_admitted(request, host);
}

/* Index of the host whose part of the cumulated weights contains @point. */
static guint weight_find(const GArray *sums, double point)
{
	guint low = 0;
	guint high = sums->len - 1;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(sums, double, middle) > point)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

/* Draws a host by its weight; NULL if it has left the class or is @other. */
static struct known_host *host_draw(const struct choice_request *request,
				    enum pool_class class,
				    const struct known_host *other)
{
	const struct pool_hosts *candidates = &request->pool->classes[class];
	const GArray *sums = candidates->weight_sums;
	double total = g_array_index(sums, double, sums->len - 1);
	guint index = weight_find(sums, g_rand_double(request->random) * total);
	struct known_host *host = g_ptr_array_index(candidates->hosts, index);

	return host != other && is_in_class(request, host, class) ? host : NULL;
}

static struct known_host *
host_draw_repeatedly(const struct choice_request *request,
		     enum pool_class class, const struct known_host *other)
{
	int draws = request->only_zone != 0 ? ZONE_DRAWS_MAX : DRAWS_MAX;
	struct known_host *host = NULL;

	for (int i = 0; i < draws && !host; i++)
		host = host_draw(request, class, other);
	return host;
}

/* Least loaded host of a class in which random draws found none. */
static struct known_host *host_scan(const struct choice_request *request,
				    enum pool_class class)
{
	const GPtrArray *hosts = request->pool->classes[class].hosts;
	struct known_host *best = NULL;

	for (guint i = 0; i < hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(hosts, i);

		if (!is_in_class(request, host, class))
			continue;
		if (!best ||
		    host_load(request, host) < host_load(request, best))
			best = host;
	}
	return best;
}

static struct known_host *host_pick(const struct choice_request *request,
				    enum pool_class class)
{
	struct known_host *first;
	struct known_host *second;

	if (request->pool->classes[class].hosts->len == 0)
		return NULL;
	first = host_draw_repeatedly(request, class, NULL);
	if (!first)
		return host_scan(request, class);
	second = host_draw_repeatedly(request, class, first);
	if (second && host_load(request, second) < host_load(request, first))
		return second;
	return first;
}

/* Retransmissions of an opening packet are not used for trials. */
static struct known_host *trial_find(const struct choice_request *request)
{
	const GPtrArray *silent = request->pool->classes[POOL_SILENT].hosts;

	if (request->excluded)
		return NULL;
	for (guint i = 0; i < silent->len; i++) {
		struct known_host *host = g_ptr_array_index(silent, i);

		if (pool_classify(host, request->zone) == POOL_SILENT &&
		    health_is_trial_due(&host->health, request->now_ns) &&
		    is_admitted(request, host))
			return host;
	}
	return NULL;
}

/* Share of the new flows that leaves because of the load of the own zone. */
static double spillover_share(const struct choice_request *request)
{
	const struct spillover *spillover = request->spillover;

	return spillover && spillover->part_count > 0 ? spillover->share : 0;
}

/*
 * Draws whether the flow leaves the own zone; CHOICE_LOCAL if not. The larger
 * of the two shares applies: the loads show what is lost, too.
 */
static enum choice_reason leaving_draw(const struct choice_request *request)
{
	const struct placement_pool *pool = request->pool;
	double capacity = pool->usable_slots * OVERPROVISIONING;
	double spillover = spillover_share(request);
	double point;

	if (pool->classes[POOL_REMOTE].hosts->len == 0 ||
	    (capacity >= pool->nominal_slots && spillover <= 0))
		return CHOICE_LOCAL;
	point = g_rand_double(request->random);
	if (capacity < pool->nominal_slots &&
	    point * pool->nominal_slots >= capacity)
		return CHOICE_FAILOVER;
	return point >= 1 - spillover ? CHOICE_SPILLOVER : CHOICE_LOCAL;
}

/*
 * A host of another zone: zones are drawn by their spare capacity if that is
 * known, else hosts of all zones by their slots.
 */
static struct known_host *remote_pick(const struct choice_request *request)
{
	struct choice_request zone_request = *request;
	struct known_host *host;

	if (!request->spillover || request->spillover->part_count == 0)
		return host_pick(request, POOL_REMOTE);
	zone_request.only_zone = spillover_zone_at(
		request->spillover, g_rand_double(request->random));
	host = host_pick(&zone_request, POOL_REMOTE);
	return host ? host : host_pick(request, POOL_REMOTE);
}

/* A failing host may get single flows, which show whether it has recovered. */
static struct known_host *
failing_trial_find(const struct choice_request *request)
{
	const GPtrArray *suspect = request->pool->classes[POOL_SUSPECT].hosts;

	if (request->excluded)
		return NULL;
	for (guint i = 0; i < suspect->len; i++) {
		struct known_host *host = g_ptr_array_index(suspect, i);

		if (response_size_is_trial_due(host, request->now_ns) &&
		    !health_is_suspect(&host->health) &&
		    is_in_class(request, host, POOL_SUSPECT))
			return host;
	}
	return NULL;
}

static bool choice_set(struct choice *choice, struct known_host *host,
		       enum choice_reason reason)
{
	choice->host = host;
	choice->reason = host ? reason : CHOICE_NONE;
	return host != NULL;
}

/* The host that did not respond may be the only one left. */
static struct known_host *
excluded_fallback(const struct choice_request *request)
{
	struct known_host *excluded = request->excluded;

	if (!excluded ||
	    pool_classify(excluded, request->zone) == POOL_UNUSABLE ||
	    !is_admitted(request, excluded))
		return NULL;
	return excluded;
}

static void host_choose(const struct choice_request *request,
			struct choice *choice)
{
	struct known_host *trial = trial_find(request);
	enum choice_reason leaving;
	uint64_t skips = skips_count(request);

	if (choice_set(choice, trial, CHOICE_TRIAL)) {
		health_begin_trial(&trial->health, request->now_ns);
		return;
	}
	trial = failing_trial_find(request);
	if (choice_set(choice, trial, CHOICE_TRIAL)) {
		response_size_begin_trial(trial, request->now_ns);
		return;
	}
	leaving = leaving_draw(request);
	if (leaving != CHOICE_LOCAL &&
	    choice_set(choice, remote_pick(request), leaving))
		return;
	if (choice_set(choice, host_pick(request, POOL_LOCAL), CHOICE_LOCAL))
		return;
	if (choice_set(choice, remote_pick(request), CHOICE_REMOTE))
		return;
	if (choice_set(choice, host_pick(request, POOL_SUSPECT),
		       CHOICE_SUSPECT))
		return;
	/* An immediate refusal is better than a host that does not respond. */
	if (skips_count(request) == skips &&
	    choice_set(choice, host_pick(request, POOL_SILENT),
		       CHOICE_LAST_RESORT))
		return;
	choice_set(choice, excluded_fallback(request), CHOICE_LAST_RESORT);
}

void placement_choose(const struct choice_request *request,
		      struct choice *choice)
{
	uint64_t skips = skips_count(request);

	host_choose(request, choice);
	choice->is_limited = skips_count(request) != skips;
}
