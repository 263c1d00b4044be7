#include <inttypes.h>

#include "standins/soak/soak.h"

/* Longer than SOAK_ZONE_DRAIN_BOUND_NS, so that late flows are detected. */
#define ZONE_DRAIN_MS 8000
/* Longest duration of a drain that is repeated, and of the time between. */
#define SHORT_DRAIN_MAX_MS 1500
#define SHORT_RESTORE_MAX_MS 500

static char *drain_key(uint32_t zone)
{
	return g_strdup_printf("op/evacuate/%s", soak_zone_names[zone]);
}

void soak_zone_write_again(struct soak *soak, uint32_t index)
{
	char *key = drain_key(index);

	if (soak->zones[index].drains > 0)
		soak_store_put_again(soak->store, key, "{}");
	else
		soak_store_delete(soak->store, key);
	g_free(key);
}

/* The request stands until each fault that drains the zone has ended. */
static void drain_begin(struct soak *soak, uint32_t index)
{
	struct soak_zone *zone = &soak->zones[index];
	char *key;

	if (zone->drains++ > 0)
		return;
	soak_fault_print(soak, "drain zone %s", soak_zone_names[index]);
	key = drain_key(index);
	soak_store_put(soak->store, key, "{}");
	g_free(key);
	zone->drained_ns = soak_now(soak);
}

static void drain_end(struct soak *soak, uint32_t index)
{
	struct soak_zone *zone = &soak->zones[index];
	char *key;

	if (--zone->drains > 0)
		return;
	soak_fault_print(soak, "restore zone %s", soak_zone_names[index]);
	key = drain_key(index);
	soak_store_delete(soak->store, key);
	g_free(key);
	zone->drained_ns = 0;
	zone->restored_ns = soak_now(soak);
}

static void drain_run(struct soak *soak, uint32_t index)
{
	drain_begin(soak, index);
	soak_action_schedule(soak, ZONE_DRAIN_MS, index, drain_end);
}

void soak_zone_drain(struct soak *soak)
{
	uint32_t number = soak->next_zone_drain++;
	uint32_t index = number % SOAK_ZONES;
	uint32_t drained_ms;
	uint32_t restored_ms;

	if (number % 2 == 0) {
		drain_run(soak, index);
		return;
	}
	drained_ms = (uint32_t)g_rand_int_range(soak->zone_random, 0,
						SHORT_DRAIN_MAX_MS);
	restored_ms = (uint32_t)g_rand_int_range(soak->zone_random, 0,
						 SHORT_RESTORE_MAX_MS);
	drain_begin(soak, index);
	soak_action_schedule(soak, drained_ms, index, drain_end);
	soak_action_schedule(soak, drained_ms + restored_ms, index, drain_run);
}

void soak_zone_drain_all(struct soak *soak)
{
	for (uint32_t i = 0; i < SOAK_ZONES; i++)
		drain_run(soak, i);
}

void soak_zone_opening_check(const struct soak_host *host,
			     const struct soak_balancer *sender)
{
	struct soak *soak = host->soak;
	const struct soak_zone *zone = &soak->zones[host->zone];
	int64_t age_ns = soak_now(soak) - zone->drained_ns;

	if (zone->drained_ns == 0 || age_ns <= SOAK_ZONE_DRAIN_BOUND_NS)
		return;
	soak_violation_report(soak, CHECK_ZONE_DRAIN,
			      "zone %s host %08" PRIx64 " by b%u after %" PRId64
			      " ms",
			      soak_zone_names[host->zone], host->id,
			      sender->index, age_ns / NS_PER_MS);
}

bool soak_zones_accept_flows(const struct soak *soak)
{
	for (uint32_t i = 0; i < SOAK_ZONES; i++) {
		const struct soak_zone *zone = &soak->zones[i];

		if (zone->drains == 0 && (zone->restored_ns == 0 ||
					  soak_now(soak) - zone->restored_ns >
						  SOAK_ZONE_DRAIN_BOUND_NS))
			return true;
	}
	return false;
}
