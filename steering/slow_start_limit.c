#include "steering/slow_start_limit.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

#define WINDOW_NS (SLOW_START_WINDOW_MS * NS_PER_MS)
/* Shares follow changes of the members this late. */
#define SHARE_AGE_MAX_NS (1 * NS_PER_S)
/* The same while the members are not known, as nothing is sent meanwhile. */
#define SHARE_RETRY_NS (100 * NS_PER_MS)
#define ZONES_INTERVAL_NS (1 * NS_PER_S)

struct slow_start_limits {
	struct slow_start_options options;
	bool is_enabled;
	uint32_t overage_permille;
	uint32_t slack_permille;
	struct routing *routing; /* or NULL */
	uint64_t inputs_generation; /* changes with settings and routes */
	bool is_up_to_date;
	/*
	 * Names of the zones: those of the settings, of this balancer and of
	 * all hosts so far. Too many only lower the shares.
	 */
	GHashTable *zones;
	int64_t zones_learned_ns;
	GHashTable *hosts; /* id to struct limited_host */
	uint64_t skips;
};

static void limited_host_free(void *data)
{
	struct limited_host *host = data;

	g_array_unref(host->sends);
	g_free(host);
}

struct slow_start_limits *
slow_start_limits_create(const struct slow_start_options *options)
{
	struct slow_start_limits *limits = g_new0(struct slow_start_limits, 1);

	limits->options = *options;
	limits->is_enabled = true;
	limits->overage_permille = 1000;
	limits->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	limits->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      limited_host_free);
	g_hash_table_add(limits->zones, g_strdup(options->zone));
	return limits;
}

void slow_start_limits_destroy(struct slow_start_limits *limits)
{
	if (!limits)
		return;
	g_hash_table_destroy(limits->zones);
	g_hash_table_destroy(limits->hosts);
	routing_unref(limits->routing);
	g_free(limits);
}

static void zone_learn(struct slow_start_limits *limits, const char *zone)
{
	if (!g_hash_table_contains(limits->zones, zone))
		g_hash_table_add(limits->zones, g_strdup(zone));
}

void slow_start_limits_set(struct slow_start_limits *limits,
			   const struct slow_start_settings *settings)
{
	limits->is_enabled = settings->is_enabled;
	limits->overage_permille = settings->overage_permille;
	limits->slack_permille = settings->slack_permille;
	for (size_t i = 0; settings->zones && settings->zones[i]; i++)
		zone_learn(limits, settings->zones[i]);
	limits->inputs_generation++;
}

void slow_start_limits_set_routing(struct slow_start_limits *limits,
				   struct routing *routing)
{
	routing_unref(limits->routing);
	limits->routing = routing_ref(routing);
	limits->inputs_generation++;
}

void slow_start_limits_set_up_to_date(struct slow_start_limits *limits,
				      bool is_up_to_date)
{
	limits->is_up_to_date = is_up_to_date;
}

bool slow_start_limits_are_active(const struct slow_start_limits *limits)
{
	return limits->is_enabled && limits->routing &&
	       limits->routing->limit_count > 0;
}

uint64_t slow_start_limits_skips(const struct slow_start_limits *limits)
{
	return limits->skips;
}

uint32_t slow_start_limits_count(const struct slow_start_limits *limits)
{
	return g_hash_table_size(limits->hosts);
}

/* Order of the zones for a host, the same on each balancer. */
static uint64_t zone_order(const char *host_id, const char *zone)
{
	return XXH3_64bits_withSeed(zone, strlen(zone),
				    XXH3_64bits(host_id, strlen(host_id)));
}

static void zones_place(const struct slow_start_limits *limits,
			const struct limited_host *host,
			struct slow_start_place *place)
{
	uint64_t own = zone_order(host->id, limits->options.zone);
	GHashTableIter iterator;
	gpointer zone;

	place->zones = g_hash_table_size(limits->zones);
	place->is_host_zone = strcmp(host->zone, limits->options.zone) == 0;
	place->zone_rank = 0;
	g_hash_table_iter_init(&iterator, limits->zones);
	while (g_hash_table_iter_next(&iterator, &zone, NULL))
		place->zone_rank += strcmp(zone, host->zone) != 0 &&
				    zone_order(host->id, zone) < own;
}

static void share_compute(struct slow_start_limits *limits,
			  struct limited_host *host,
			  const struct known_host *known,
			  const struct service_limit *limit, int64_t now_ns)
{
	const struct slow_start_options *options = &limits->options;
	struct slow_start_place *place = &host->place;

	g_strlcpy(host->service, known->published.service,
		  sizeof(host->service));
	g_strlcpy(host->zone, known->published.zone, sizeof(host->zone));
	zone_learn(limits, host->zone);
	host->bound.flows_per_1000_s = limit->flows_per_1000_s;
	host->bound.overage_permille = limits->overage_permille;
	host->bound.slack_permille = limits->slack_permille;
	host->allowed = slow_start_allowed(&host->bound);
	zones_place(limits, host, place);
	host->is_placed = options->find_rank &&
			  options->find_rank(options->context, host->id,
					     &place->members, &place->rank);
	host->share = host->is_placed ? slow_start_share(host->allowed, place)
				      : 0;
	host->computed_ns = now_ns;
	host->inputs_generation = limits->inputs_generation;
}

static bool share_is_outdated(const struct slow_start_limits *limits,
			      const struct limited_host *host,
			      const struct known_host *known, int64_t now_ns)
{
	int64_t age_max_ns = host->is_placed ? SHARE_AGE_MAX_NS
					     : SHARE_RETRY_NS;

	return host->inputs_generation != limits->inputs_generation ||
	       strcmp(host->service, known->published.service) != 0 ||
	       strcmp(host->zone, known->published.zone) != 0 ||
	       now_ns - host->computed_ns >= age_max_ns;
}

static struct limited_host *limited_host_add(struct slow_start_limits *limits,
					     const struct known_host *known)
{
	struct limited_host *host = g_new0(struct limited_host, 1);

	g_strlcpy(host->id, known->published.id, sizeof(host->id));
	host->sends = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_hash_table_insert(limits->hosts, host->id, host);
	return host;
}

static void host_report(const struct slow_start_limits *limits,
			const struct limited_host *host, bool is_limited)
{
	if (limits->options.on_changed)
		limits->options.on_changed(limits->options.context, host,
					   is_limited);
}

/* The host with its limit and current share; NULL if it has no limit. */
static struct limited_host *limited_host_get(struct slow_start_limits *limits,
					     const struct known_host *known,
					     int64_t now_ns)
{
	const struct service_limit *limit;
	struct limited_host *host;
	bool is_new;

	if (now_ns >= known->slow_start_until_ns ||
	    !slow_start_limits_are_active(limits))
		return NULL;
	limit = routing_find_limit(limits->routing, known->published.service);
	if (!limit)
		return NULL;
	host = g_hash_table_lookup(limits->hosts, known->published.id);
	is_new = !host;
	if (is_new)
		host = limited_host_add(limits, known);
	host->until_ns = known->slow_start_until_ns;
	if (is_new || share_is_outdated(limits, host, known, now_ns))
		share_compute(limits, host, known, limit, now_ns);
	if (is_new)
		host_report(limits, host, true);
	return host;
}

/* Drops sends that are no longer within the window that ends at @now_ns. */
static void sends_expire(struct limited_host *host, int64_t now_ns)
{
	guint expired = 0;

	while (expired < host->sends->len &&
	       now_ns - g_array_index(host->sends, int64_t, expired) >
		       WINDOW_NS)
		expired++;
	if (expired > 0)
		g_array_remove_range(host->sends, 0, expired);
}

bool slow_start_limits_admit(struct slow_start_limits *limits,
			     const struct known_host *known, int64_t now_ns)
{
	struct limited_host *host = limited_host_get(limits, known, now_ns);

	if (!host)
		return true;
	sends_expire(host, now_ns);
	if (limits->is_up_to_date && host->sends->len < host->share)
		return true;
	host->skipped++;
	limits->skips++;
	return false;
}

void slow_start_limits_record(struct slow_start_limits *limits,
			      const struct known_host *known, int64_t now_ns)
{
	struct limited_host *host = limited_host_get(limits, known, now_ns);

	if (!host)
		return;
	sends_expire(host, now_ns);
	g_array_append_val(host->sends, now_ns);
	host->sent++;
}

static void zones_learn(struct slow_start_limits *limits,
			struct host_table *hosts, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	if (now_ns - limits->zones_learned_ns < ZONES_INTERVAL_NS)
		return;
	limits->zones_learned_ns = now_ns;
	g_hash_table_iter_init(&iterator, host_table_all(hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		if (host_is_routed(host))
			zone_learn(limits, host->published.zone);
	}
}

/* The last window may reach beyond the end of the slow start. */
static bool is_over(const struct slow_start_limits *limits,
		    const struct limited_host *host, int64_t now_ns)
{
	return now_ns > host->until_ns + WINDOW_NS ||
	       !slow_start_limits_are_active(limits) ||
	       !routing_find_limit(limits->routing, host->service);
}

void slow_start_limits_tick(struct slow_start_limits *limits,
			    struct host_table *hosts, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	if (slow_start_limits_are_active(limits))
		zones_learn(limits, hosts, now_ns);
	g_hash_table_iter_init(&iterator, limits->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (!is_over(limits, value, now_ns))
			continue;
		host_report(limits, value, false);
		g_hash_table_iter_remove(&iterator);
	}
}
