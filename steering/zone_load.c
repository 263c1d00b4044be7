#include "steering/zone_load.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "steering/placement_pool.h"
#include "zone_load_state.h"

/*
 * Time constant of the averages. A load that begins shows after half a second
 * (63 % of it after one time constant), and a zone with 200 requests a second
 * still has 80 of them in its average.
 */
#define AVERAGE_NS (400 * NS_PER_MS)
/* A mean without new responses is used for this long. */
#define MEAN_AGE_MAX_NS (10 * NS_PER_S)
/*
 * Responses in a block. The mean of fewer varies too much: the lowest of many
 * blocks would be far below the time of an unloaded host.
 */
#define FLOOR_BLOCK_RESPONSES 64
/* The lowest mean of the last one to two epochs counts. */
#define FLOOR_EPOCH_NS (60 * NS_PER_S)
/* Handshakes of a zone before their mean is used. */
#define HANDSHAKES_MIN 8
/* Shortest time at a host; the estimate of the network delay varies. */
#define TIME_MIN_NS (100 * NS_PER_US)
/* Interval at which the usable slots are counted again. */
#define REFRESH_INTERVAL_NS (500 * NS_PER_MS)

struct zone_loads *zone_loads_create(const char *zone)
{
	struct zone_loads *loads = g_new0(struct zone_loads, 1);

	loads->own_zone = zone_load_hash(zone);
	loads->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	loads->followers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return loads;
}

void zone_loads_destroy(struct zone_loads *loads)
{
	if (!loads)
		return;
	g_hash_table_destroy(loads->services);
	g_hash_table_destroy(loads->followers);
	g_free(loads);
}

uint32_t zone_load_hash(const char *name)
{
	uint32_t hash = XXH32(name, strlen(name), 0);

	return hash != 0 ? hash : 1;
}

GHashTable *zone_loads_services(struct zone_loads *loads)
{
	return loads->services;
}

uint32_t zone_loads_own_zone(const struct zone_loads *loads)
{
	return loads->own_zone;
}

struct service_load *zone_loads_find(const struct zone_loads *loads,
				     const char *service)
{
	return g_hash_table_lookup(loads->services,
				   GUINT_TO_POINTER(zone_load_hash(service)));
}

struct zone_load *service_load_find(struct service_load *service, uint32_t zone)
{
	for (size_t i = 0; i < service->zone_count; i++) {
		if (service->zones[i].zone == zone)
			return &service->zones[i];
	}
	return NULL;
}

bool zone_load_is_fresh(const struct zone_load *load, int64_t now_ns)
{
	return load->measured_ns != 0 &&
	       now_ns - load->measured_ns <= ZONE_LOAD_AGE_MAX_NS;
}

static struct service_load *service_get_or_add(struct zone_loads *loads,
					       const char *name)
{
	struct service_load *service = zone_loads_find(loads, name);

	if (service)
		return service;
	service = g_new0(struct service_load, 1);
	service->hash = zone_load_hash(name);
	g_strlcpy(service->name, name, sizeof(service->name));
	g_hash_table_insert(loads->services, GUINT_TO_POINTER(service->hash),
			    service);
	return service;
}

/* Returns NULL if there are too many zones. */
static struct zone_load *zone_get_or_add(struct service_load *service,
					 const struct known_host *host)
{
	uint32_t zone = zone_load_hash(host->published.zone);
	struct zone_load *load = service_load_find(service, zone);

	if (load || service->zone_count == ZONE_LOAD_ZONES_MAX)
		return load;
	load = &service->zones[service->zone_count++];
	load->zone = zone;
	g_strlcpy(load->name, host->published.zone, sizeof(load->name));
	return load;
}

static struct zone_load *host_load_get_or_add(struct zone_loads *loads,
					      const struct known_host *host)
{
	return zone_get_or_add(
		service_get_or_add(loads, host->published.service), host);
}

static void average_decay(struct load_average *average, int64_t now_ns)
{
	double factor =
		exp(-(double)(now_ns - average->updated_ns) / AVERAGE_NS);

	average->requests *= factor;
	average->responses *= factor;
	average->response_ns *= factor;
	average->updated_ns = now_ns;
}

double load_average_rate(const struct load_average *average, int64_t now_ns)
{
	double factor =
		exp(-(double)(now_ns - average->updated_ns) / AVERAGE_NS);

	return average->requests * factor * NS_PER_S / AVERAGE_NS;
}

int64_t load_average_mean_ns(const struct load_average *average, int64_t now_ns)
{
	if (now_ns - average->responded_ns > MEAN_AGE_MAX_NS)
		return 0;
	return average->mean_ns;
}

static int64_t lowest(int64_t a, int64_t b)
{
	if (a == 0 || b == 0)
		return MAX(a, b);
	return MIN(a, b);
}

void load_floor_add(struct load_floor *floor, int64_t mean_ns, double weight,
		    int64_t now_ns)
{
	if (now_ns - floor->epoch_ns >= FLOOR_EPOCH_NS) {
		floor->previous_ns = floor->current_ns;
		floor->current_ns = 0;
		floor->epoch_ns = now_ns;
	}
	floor->weight += weight;
	floor->sum_ns += (double)mean_ns * weight;
	if (floor->weight < FLOOR_BLOCK_RESPONSES)
		return;
	floor->current_ns = lowest(floor->current_ns,
				   (int64_t)(floor->sum_ns / floor->weight));
	floor->weight = 0;
	floor->sum_ns = 0;
}

int64_t load_floor_ns(const struct load_floor *floor)
{
	return lowest(floor->current_ns, floor->previous_ns);
}

void zone_loads_record_request(struct zone_loads *loads,
			       const struct known_host *host, int64_t now_ns)
{
	struct zone_load *load = host_load_get_or_add(loads, host);

	if (!load)
		return;
	average_decay(&load->observed, now_ns);
	load->observed.requests += 1;
}

void zone_loads_record_response(struct zone_loads *loads,
				const struct known_host *host, int64_t wait_ns,
				int64_t now_ns)
{
	struct zone_load *load = host_load_get_or_add(loads, host);
	struct load_average *average;
	int64_t time_ns;

	if (!load)
		return;
	time_ns = wait_ns - zone_loads_handshake_ns(loads, load->zone);
	time_ns = MAX(time_ns, TIME_MIN_NS);
	average = &load->observed;
	average_decay(average, now_ns);
	average->responses += 1;
	average->response_ns += (double)time_ns;
	average->mean_ns = (int64_t)(average->response_ns / average->responses);
	average->responded_ns = now_ns;
	load_floor_add(&load->floor, time_ns, 1, now_ns);
}

static struct rtt_estimate *handshake_get_or_add(struct zone_loads *loads,
						 uint32_t zone)
{
	for (size_t i = 0; i < loads->handshake_count; i++) {
		if (loads->handshakes[i].zone == zone)
			return &loads->handshakes[i].estimate;
	}
	if (loads->handshake_count == ZONE_LOAD_ZONES_MAX)
		return NULL;
	loads->handshakes[loads->handshake_count].zone = zone;
	return &loads->handshakes[loads->handshake_count++].estimate;
}

void zone_loads_record_handshake(struct zone_loads *loads,
				 const struct known_host *host, int64_t time_ns)
{
	struct rtt_estimate *estimate = handshake_get_or_add(
		loads, zone_load_hash(host->published.zone));

	if (estimate)
		rtt_estimate_add(estimate, time_ns);
}

int64_t zone_loads_handshake_ns(const struct zone_loads *loads, uint32_t zone)
{
	for (size_t i = 0; i < loads->handshake_count; i++) {
		const struct zone_handshake *handshake = &loads->handshakes[i];

		if (handshake->zone == zone)
			return handshake->estimate.samples >= HANDSHAKES_MIN
				       ? handshake->estimate.smoothed_ns
				       : 0;
	}
	return 0;
}

/* Suspect hosts work on: a full host is suspect, too. */
static bool is_working(const struct known_host *host)
{
	enum pool_class class = pool_classify(host, NULL);

	return class == POOL_LOCAL || class == POOL_SUSPECT;
}

static gboolean service_prune(gpointer key, gpointer value, gpointer context)
{
	const struct service_load *service = value;

	return !service->has_hosts;
}

static void service_refresh(struct service_load *service,
			    const GPtrArray *hosts, int64_t now_ns)
{
	service->has_hosts = hosts->len > 0;
	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);
		struct zone_load *load = zone_get_or_add(service, host);

		if (load && is_working(host))
			load->slots += pool_host_weight(host, now_ns);
	}
}

void zone_loads_refresh(struct zone_loads *loads, struct host_table *hosts,
			int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	if (loads->refreshed_ns != 0 &&
	    now_ns - loads->refreshed_ns < REFRESH_INTERVAL_NS)
		return;
	loads->refreshed_ns = now_ns;
	g_hash_table_iter_init(&iterator, loads->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_load *service = value;

		service->has_hosts = false;
		for (size_t i = 0; i < service->zone_count; i++)
			service->zones[i].slots = 0;
	}
	g_hash_table_iter_init(&iterator, host_table_services(hosts));
	while (g_hash_table_iter_next(&iterator, &key, &value))
		service_refresh(service_get_or_add(loads, key), value, now_ns);
	g_hash_table_foreach_remove(loads->services, service_prune, NULL);
}

double zone_loads_own_level(const struct zone_loads *loads,
			    const struct service_load *service)
{
	double slots = 0;
	double busy = 0;

	for (size_t i = 0; i < service->zone_count; i++) {
		const struct zone_load *load = &service->zones[i];

		if (load->zone == loads->own_zone) {
			slots = load->slots;
			busy += load->busy_slots;
		} else {
			busy += load->own_busy_slots;
		}
	}
	if (slots > 0)
		return busy / slots;
	return busy > 0 ? HUGE_VAL : 0;
}

bool zone_loads_service_sum(const struct zone_loads *loads, const char *service,
			    int64_t now_ns, struct service_load_sum *sum)
{
	const struct service_load *load = zone_loads_find(loads, service);

	memset(sum, 0, sizeof(*sum));
	sum->lowest_level = HUGE_VAL;
	for (size_t i = 0; load && i < load->zone_count; i++) {
		const struct zone_load *zone = &load->zones[i];

		if (!zone_load_is_fresh(zone, now_ns))
			continue;
		sum->zone_count++;
		sum->busy_slots += zone->busy_slots;
		sum->usable_slots += zone->usable_slots;
		/* A zone without usable hosts, such as a drained one, has none. */
		if (zone->usable_slots > 0)
			sum->lowest_level =
				MIN(sum->lowest_level,
				    zone->busy_slots / zone->usable_slots);
		sum->time_ms += zone->busy_slots * zone->time_ms;
		sum->unloaded_ms += zone->busy_slots * zone->unloaded_ms;
		sum->age_ms = MAX(sum->age_ms,
				  (now_ns - zone->measured_ns) / NS_PER_MS);
	}
	if (sum->busy_slots > 0) {
		sum->time_ms /= sum->busy_slots;
		sum->unloaded_ms /= sum->busy_slots;
	}
	return sum->zone_count > 0;
}
