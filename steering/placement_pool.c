#include "steering/placement_pool.h"

#include <string.h>

#include "common/clock.h"

/*
 * Maximum age of the classes while the generation of the hosts is the same.
 * Limits the cost of classification; recovered hosts may wait this long.
 */
#define CLASSES_AGE_MAX_NS (100 * NS_PER_MS)
/* A host in its slow start takes about 1.6 times as long for a request. */
#define SLOW_START_WEIGHT 0.6
/* How long the slots of a removed host count as lost capacity of its zone. */
#define LOST_CAPACITY_NS (10 * NS_PER_S)

struct placement_pool *placement_pool_create(void)
{
	struct placement_pool *pool = g_new0(struct placement_pool, 1);

	for (int i = 0; i < POOL_UNUSABLE; i++) {
		pool->classes[i].hosts = g_ptr_array_new();
		pool->classes[i].weight_sums =
			g_array_new(FALSE, FALSE, sizeof(double));
	}
	return pool;
}

void placement_pool_destroy(struct placement_pool *pool)
{
	if (!pool)
		return;
	for (int i = 0; i < POOL_UNUSABLE; i++) {
		g_ptr_array_unref(pool->classes[i].hosts);
		g_array_unref(pool->classes[i].weight_sums);
	}
	g_free(pool);
}

double pool_host_weight(const struct known_host *host, int64_t now_ns)
{
	double slots = MAX(host->published.slots, 1) * (1 + host->speed_offset);

	return now_ns < host->slow_start_until_ns ? slots * SLOW_START_WEIGHT
						  : slots;
}

static bool is_local(const struct known_host *host, const char *zone)
{
	return !zone || strcmp(host->published.zone, zone) == 0;
}

enum pool_class pool_classify(const struct known_host *host, const char *zone)
{
	if (!host_takes_flows(host) || host->has_token_conflict)
		return POOL_UNUSABLE;
	if (health_is_silent(&host->health))
		return POOL_SILENT;
	if (health_is_suspect(&host->health) || host->health.is_slow ||
	    host->is_failing)
		return POOL_SUSPECT;
	return is_local(host, zone) ? POOL_LOCAL : POOL_REMOTE;
}

static void class_clear(struct pool_hosts *class)
{
	g_ptr_array_set_size(class->hosts, 0);
	g_array_set_size(class->weight_sums, 0);
}

static void class_add(struct pool_hosts *class, struct known_host *host,
		      int64_t now_ns)
{
	double sum = pool_host_weight(host, now_ns);

	if (class->weight_sums->len > 0)
		sum += g_array_index(class->weight_sums, double,
				     class->weight_sums->len - 1);
	g_ptr_array_add(class->hosts, host);
	g_array_append_val(class->weight_sums, sum);
}

static void host_classify(struct placement_pool *pool, struct known_host *host,
			  const char *zone, int64_t now_ns)
{
	enum pool_class class = pool_classify(host, zone);
	bool is_lost = host->is_removed &&
		       now_ns - host->removed_since_ns > LOST_CAPACITY_NS;

	if (is_local(host, zone) && !is_lost)
		pool->nominal_slots += host->published.slots;
	if (class == POOL_LOCAL)
		pool->usable_slots += host->published.slots;
	if (class != POOL_UNUSABLE)
		class_add(&pool->classes[class], host, now_ns);
}

void placement_pool_refresh(struct placement_pool *pool, const GPtrArray *hosts,
			    const char *zone, uint64_t generation,
			    int64_t now_ns)
{
	if (pool->classified_ns != 0 && pool->generation == generation &&
	    pool->is_any_zone == !zone &&
	    now_ns - pool->classified_ns < CLASSES_AGE_MAX_NS)
		return;
	pool->generation = generation;
	pool->is_any_zone = !zone;
	pool->classified_ns = now_ns;
	pool->usable_slots = 0;
	pool->nominal_slots = 0;
	for (int i = 0; i < POOL_UNUSABLE; i++)
		class_clear(&pool->classes[i]);
	for (guint i = 0; hosts && i < hosts->len; i++)
		host_classify(pool, g_ptr_array_index(hosts, i), zone, now_ns);
}
