#include <inttypes.h>
#include <string.h>

#include "standins/soak/soak.h"

/* How long the store is away, and how old its copy is. */
#define AWAY_MIN_MS 100
#define AWAY_MAX_MS 1500
#define COPY_MIN_MS 1000
#define COPY_MAX_MS 9000
/* Until all have written again what they wrote. */
#define REWRITE_MAX_MS 1200
/* Three heartbeats of a host: entries of hosts that have ended expire. */
#define EXPIRY_MS 3600
/* A second restore may follow while balancers list after the first. */
#define REPEAT_PROBABILITY 0.3
#define REPEAT_MAX_MS 600
/* About one restore in 20 s. */
#define RESTORE_PROBABILITY 0.035

static uint32_t draw_between(struct soak *soak, uint32_t min, uint32_t max)
{
	return (uint32_t)g_rand_int_range(soak->restore_random, (gint32)min,
					  (gint32)max);
}

static void rewrite_schedule(struct soak *soak, uint32_t index,
			     void (*write)(struct soak *soak, uint32_t index))
{
	soak_action_schedule(soak, draw_between(soak, 0, REWRITE_MAX_MS), index,
			     write);
}

static void host_write_again(struct soak *soak, uint32_t index)
{
	if (soak->hosts[index].socket)
		soak_host_publish(&soak->hosts[index]);
}

static bool is_running(struct soak *soak, const char *key)
{
	uint64_t id = g_ascii_strtoull(key + strlen("servers/i-"), NULL, 16);
	const struct soak_host *host = soak_host_find(soak, id);

	return host && host->socket;
}

static void entry_expire(void *context, const char *key)
{
	struct soak *soak = context;

	if (!is_running(soak, key))
		soak_store_delete(soak->store, key);
}

static void entries_expire(struct soak *soak, uint32_t index)
{
	(void)index;
	soak_store_keys(soak->store, "servers/i-", entry_expire, soak);
}

static void store_return(struct soak *soak, uint32_t age_ms)
{
	soak_fault_print(soak, "store is back from a copy %u ms old", age_ms);
	soak->store_restored_ns = soak_now(soak);
	soak_store_restore(soak->store, age_ms);
	soak_store_set_fault(soak->store, STORE_HEALTHY);
	rewrite_schedule(soak, 0, soak_routes_write_again);
	for (uint32_t i = 0; i < SOAK_ZONES; i++)
		rewrite_schedule(soak, i, soak_zone_write_again);
	for (uint32_t i = 0; i < soak->host_count; i++)
		rewrite_schedule(soak, i, host_write_again);
	soak_action_schedule(soak, EXPIRY_MS, 0, entries_expire);
}

static void store_go_away(struct soak *soak,
			  void (*come_back)(struct soak *soak, uint32_t age_ms))
{
	bool is_silent = draw_between(soak, 0, 2) == 0;

	soak_fault_print(soak, "store is away");
	soak->store_restored_ns = soak_now(soak);
	soak_store_set_fault(soak->store,
			     is_silent ? STORE_SILENT : STORE_UNAVAILABLE);
	soak_action_schedule(soak, draw_between(soak, AWAY_MIN_MS, AWAY_MAX_MS),
			     draw_between(soak, COPY_MIN_MS, COPY_MAX_MS),
			     come_back);
}

static void second_begin(struct soak *soak, uint32_t index)
{
	(void)index;
	if (soak_store_fault(soak->store) == STORE_HEALTHY)
		store_go_away(soak, store_return);
}

static void first_return(struct soak *soak, uint32_t age_ms)
{
	store_return(soak, age_ms);
	if (g_rand_double(soak->restore_random) < REPEAT_PROBABILITY)
		soak_action_schedule(soak, draw_between(soak, 0, REPEAT_MAX_MS),
				     0, second_begin);
}

void soak_store_come_back(struct soak *soak)
{
	if (soak_store_fault(soak->store) == STORE_HEALTHY)
		store_go_away(soak, first_return);
}

void soak_store_come_back_draw(struct soak *soak)
{
	if (g_rand_double(soak->restore_random) >= RESTORE_PROBABILITY)
		return;
	soak->faults++;
	soak_store_come_back(soak);
}
