#include <math.h>
#include <string.h>

#include "zone_load_state.h"

/*
 * Followers are sent the totals of services whose own zone is at least this
 * busy: below, no decision depends on them, and a quiet zone sends nothing.
 */
#define PUBLISHED_LEVEL 0.5
/*
 * How long they are sent after that, so that followers learn the end of a load
 * rather than use its last totals until these are too old.
 */
#define PUBLISHED_NS (3 * NS_PER_S)
/* Further followers are ignored; there are no more members. */
#define FOLLOWERS_MAX 1024
/* Entries for services that are not busy; further ones need the room. */
#define QUIET_ENTRIES_MAX ZONE_LOAD_ENTRIES_MAX
/* Less load than this is not reported to leaders of other zones. */
#define REPORTED_SLOTS_MIN 0.1

/* A service of a report, with what it is sorted by. */
struct ranked_service {
	struct service_load *service;
	double level;
};

static uint16_t milliseconds(int64_t time_ns)
{
	if (time_ns <= 0)
		return 0;
	return (uint16_t)CLAMP((time_ns + NS_PER_MS / 2) / NS_PER_MS, 1,
			       UINT16_MAX);
}

static uint32_t slot_parts(double slots)
{
	return (uint32_t)CLAMP(slots * ZONE_LOAD_SLOT_PARTS + 0.5, 0,
			       (double)G_MAXINT32);
}

static double parts_slots(uint32_t parts)
{
	return (double)parts / ZONE_LOAD_SLOT_PARTS;
}

/* Without measured responses, the mean time of the whole zone is assumed. */
static double observed_mean_ms(const struct zone_load *load, int64_t now_ns)
{
	int64_t mean_ns = load_average_mean_ns(&load->observed, now_ns);

	if (mean_ns != 0)
		return (double)mean_ns / NS_PER_MS;
	if (zone_load_is_fresh(load, now_ns) && load->time_ms > 0)
		return load->time_ms;
	return (double)load_floor_ns(&load->floor) / NS_PER_MS;
}

static double observed_busy_slots(const struct zone_load *load, int64_t now_ns)
{
	return load_average_rate(&load->observed, now_ns) *
	       observed_mean_ms(load, now_ns) / 1000;
}

static struct zone_load *entry_find(const struct zone_loads *loads,
				    const struct zone_load_entry *entry)
{
	struct service_load *service = g_hash_table_lookup(
		loads->services, GUINT_TO_POINTER(entry->service));

	return service ? service_load_find(service, entry->zone) : NULL;
}

static int level_compare(const void *left, const void *right)
{
	const struct ranked_service *a = left;
	const struct ranked_service *b = right;

	if (a->level != b->level)
		return a->level > b->level ? -1 : 1;
	return a->service->hash < b->service->hash ? -1 : 1;
}

/* Services by descending level; those for which @level is negative are left
 * out. */
static GArray *services_rank(const struct zone_loads *loads, int64_t now_ns,
			     double (*level)(const struct zone_loads *loads,
					     const struct service_load *service,
					     int64_t now_ns))
{
	GArray *ranked =
		g_array_new(FALSE, FALSE, sizeof(struct ranked_service));
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, loads->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct ranked_service entry = { .service = value };

		entry.level = level(loads, value, now_ns);
		if (entry.level >= 0)
			g_array_append_val(ranked, entry);
	}
	g_array_sort(ranked, level_compare);
	return ranked;
}

/* Which services are reported, and what of each of their zones. */
struct entry_source {
	double (*level)(const struct zone_loads *loads,
			const struct service_load *service, int64_t now_ns);
	/* False to leave the zone out. */
	bool (*fill)(const struct zone_loads *loads,
		     const struct service_load *service,
		     const struct zone_load *load, int64_t now_ns,
		     struct zone_load_entry *entry);
};

/* Entries of the services with the highest levels first; returns their number. */
static size_t entries_collect(const struct zone_loads *loads, int64_t now_ns,
			      const struct entry_source *source,
			      struct zone_load_entry *entries, size_t max)
{
	GArray *ranked = services_rank(loads, now_ns, source->level);
	size_t count = 0;

	for (guint i = 0; i < ranked->len; i++) {
		const struct service_load *service =
			g_array_index(ranked, struct ranked_service, i).service;

		for (size_t j = 0; j < service->zone_count && count < max; j++)
			count += source->fill(loads, service,
					      &service->zones[j], now_ns,
					      &entries[count]);
	}
	g_array_unref(ranked);
	return count;
}

/* Highest level of the own observations; negative without any. */
static double observed_level(const struct zone_loads *loads,
			     const struct service_load *service, int64_t now_ns)
{
	double level = -1;

	for (size_t i = 0; i < service->zone_count; i++) {
		const struct zone_load *load = &service->zones[i];
		double busy = observed_busy_slots(load, now_ns);

		if (slot_parts(busy) > 0)
			level = MAX(level, busy / MAX(load->slots, 1));
	}
	return level;
}

static bool observed_entry_fill(const struct zone_loads *loads,
				const struct service_load *service,
				const struct zone_load *load, int64_t now_ns,
				struct zone_load_entry *entry)
{
	uint32_t parts = slot_parts(observed_busy_slots(load, now_ns));

	(void)loads;
	*entry = (struct zone_load_entry){
		.zone = load->zone,
		.service = service->hash,
		.busy_parts = parts,
		.own_parts = parts,
		.time_ms = milliseconds(
			load_average_mean_ns(&load->observed, now_ns)),
	};
	return parts > 0;
}

size_t zone_loads_observed(const struct zone_loads *loads, int64_t now_ns,
			   struct zone_load_entry *entries, size_t max)
{
	static const struct entry_source source = { observed_level,
						    observed_entry_fill };

	return entries_collect(loads, now_ns, &source, entries, max);
}

void zone_loads_set_follower(struct zone_loads *loads, uint32_t address,
			     const struct zone_load_entry *entries,
			     size_t count, int64_t now_ns)
{
	struct follower_load *follower = g_hash_table_lookup(
		loads->followers, GUINT_TO_POINTER(address));

	if (!follower) {
		if (g_hash_table_size(loads->followers) >= FOLLOWERS_MAX)
			return;
		follower = g_new0(struct follower_load, 1);
		g_hash_table_insert(loads->followers, GUINT_TO_POINTER(address),
				    follower);
	}
	follower->entry_count = MIN(count, ZONE_LOAD_ENTRIES_MAX);
	memcpy(follower->entries, entries,
	       follower->entry_count * sizeof(entries[0]));
	follower->received_ns = now_ns;
}

/* Returns NULL if there are too many zones. */
static struct zone_contribution *contribution_get_or_add(struct zone_load *load,
							 uint32_t source)
{
	struct zone_contribution *contribution;

	for (size_t i = 0; i < load->contribution_count; i++) {
		if (load->contributions[i].source == source)
			return &load->contributions[i];
	}
	if (load->contribution_count == ZONE_LOAD_ZONES_MAX)
		return NULL;
	contribution = &load->contributions[load->contribution_count++];
	contribution->source = source;
	return contribution;
}

void zone_loads_set_zone(struct zone_loads *loads, uint32_t source,
			 const struct zone_load_entry *entries, size_t count,
			 int64_t now_ns)
{
	for (size_t i = 0; i < count; i++) {
		const struct zone_load_entry *entry = &entries[i];
		struct zone_load *load = entry_find(loads, entry);
		int64_t measured_ns = now_ns - entry->age_ms * NS_PER_MS;
		struct zone_contribution *contribution;

		if (!load)
			continue;
		contribution = contribution_get_or_add(load, source);
		if (contribution) {
			contribution->busy_slots =
				parts_slots(entry->own_parts);
			contribution->measured_ns = measured_ns;
		}
		if (entry->zone == source) {
			load->reported = *entry;
			load->reported_ns = measured_ns;
		}
	}
}

static void observations_sum(struct zone_loads *loads, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, loads->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_load *service = value;

		for (size_t i = 0; i < service->zone_count; i++) {
			struct zone_load *load = &service->zones[i];
			int64_t mean_ns =
				load_average_mean_ns(&load->observed, now_ns);

			load->sum_busy_slots =
				observed_busy_slots(load, now_ns);
			load->sum_rate =
				mean_ns != 0 ? load_average_rate(
						       &load->observed, now_ns)
					     : 0;
		}
	}
}

/* Adds what the followers reported, without their own unknown times. */
static void followers_sum(struct zone_loads *loads, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, loads->followers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct follower_load *follower = value;

		if (now_ns - follower->received_ns > ZONE_LOAD_AGE_MAX_NS) {
			g_hash_table_iter_remove(&iterator);
			continue;
		}
		for (size_t i = 0; i < follower->entry_count; i++) {
			const struct zone_load_entry *entry =
				&follower->entries[i];
			struct zone_load *load = entry_find(loads, entry);
			double busy = parts_slots(entry->busy_parts);

			if (!load)
				continue;
			load->sum_busy_slots += busy;
			if (entry->time_ms > 0)
				load->sum_rate += busy * 1000 / entry->time_ms;
		}
	}
}

static void total_set_own(struct zone_load *load, uint32_t address,
			  int64_t interval_ns, int64_t now_ns)
{
	double time_ms = 0;

	if (load->sum_rate > 0)
		time_ms = load->sum_busy_slots * 1000 / load->sum_rate;
	/* The leader alone may see too few responses for a floor. */
	if (time_ms > 0 && interval_ns <= ZONE_LOAD_AGE_MAX_NS)
		load_floor_add(&load->floor, (int64_t)(time_ms * NS_PER_MS),
			       load->sum_rate * (double)interval_ns / NS_PER_S,
			       now_ns);
	load->usable_slots = load->slots;
	load->time_ms = time_ms;
	load->unloaded_ms = (double)load_floor_ns(&load->floor) / NS_PER_MS;
	load->leader = address;
	load->measured_ns = now_ns;
}

static void total_set_reported(struct zone_load *load)
{
	load->usable_slots = load->reported.usable_slots;
	load->time_ms = load->reported.time_ms;
	load->unloaded_ms = load->reported.unloaded_ms;
	load->leader = load->reported.leader;
	load->measured_ns = load->reported_ns;
}

static void total_set(const struct zone_loads *loads, struct zone_load *load,
		      uint32_t address, int64_t interval_ns, int64_t now_ns)
{
	if (load->zone == loads->own_zone)
		total_set_own(load, address, interval_ns, now_ns);
	else
		total_set_reported(load);
	load->own_busy_slots = load->sum_busy_slots;
	load->busy_slots = load->sum_busy_slots;
	for (size_t i = 0; i < load->contribution_count; i++) {
		const struct zone_contribution *contribution =
			&load->contributions[i];

		if (now_ns - contribution->measured_ns <= ZONE_LOAD_AGE_MAX_NS)
			load->busy_slots += contribution->busy_slots;
	}
}

void zone_loads_sum(struct zone_loads *loads, uint32_t address, int64_t now_ns)
{
	int64_t interval_ns = now_ns - loads->summed_ns;
	GHashTableIter iterator;
	gpointer value;

	loads->summed_ns = now_ns;
	observations_sum(loads, now_ns);
	followers_sum(loads, now_ns);
	g_hash_table_iter_init(&iterator, loads->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_load *service = value;

		for (size_t i = 0; i < service->zone_count; i++)
			total_set(loads, &service->zones[i], address,
				  interval_ns, now_ns);
		service->totals_ns = now_ns;
		if (zone_loads_own_level(loads, service) >= PUBLISHED_LEVEL)
			service->publish_until_ns = now_ns + PUBLISHED_NS;
	}
}

/* Highest level of any zone: services that are busy anywhere come first. */
static double highest_level(const struct zone_loads *loads,
			    const struct service_load *service, int64_t now_ns)
{
	double level = zone_loads_own_level(loads, service);

	for (size_t i = 0; i < service->zone_count; i++) {
		const struct zone_load *load = &service->zones[i];

		if (zone_load_is_fresh(load, now_ns))
			level = MAX(level, load->busy_slots /
						   MAX(load->usable_slots, 1));
	}
	return level;
}

static struct zone_load_entry sum_entry(const struct zone_loads *loads,
					const struct service_load *service,
					const struct zone_load *load,
					int64_t now_ns)
{
	struct zone_load_entry entry = {
		.zone = load->zone,
		.service = service->hash,
		.busy_parts = slot_parts(load->sum_busy_slots),
		.own_parts = slot_parts(load->sum_busy_slots),
		.age_ms = (uint16_t)MIN((now_ns - loads->summed_ns) / NS_PER_MS,
					UINT16_MAX),
	};

	if (load->zone != loads->own_zone)
		return entry;
	entry.leader = load->leader;
	entry.usable_slots = (uint16_t)MIN(load->usable_slots, UINT16_MAX);
	entry.time_ms = milliseconds((int64_t)(load->time_ms * NS_PER_MS));
	entry.unloaded_ms = milliseconds(load_floor_ns(&load->floor));
	return entry;
}

size_t zone_loads_sums(const struct zone_loads *loads, int64_t now_ns,
		       struct zone_load_entry *entries, size_t max)
{
	GArray *ranked = services_rank(loads, now_ns, highest_level);
	size_t count = 0;

	for (guint i = 0; i < ranked->len; i++) {
		const struct ranked_service *service =
			&g_array_index(ranked, struct ranked_service, i);
		size_t limit = service->level >= PUBLISHED_LEVEL
				       ? max
				       : MIN(max, QUIET_ENTRIES_MAX);

		for (size_t j = 0; j < service->service->zone_count; j++) {
			const struct zone_load *load =
				&service->service->zones[j];

			/* An idle zone is reported: it has spare capacity. */
			if (count >= limit ||
			    (load->zone != loads->own_zone &&
			     load->sum_busy_slots < REPORTED_SLOTS_MIN))
				continue;
			entries[count++] = sum_entry(loads, service->service,
						     load, now_ns);
		}
	}
	g_array_unref(ranked);
	return count;
}

static double published_level(const struct zone_loads *loads,
			      const struct service_load *service,
			      int64_t now_ns)
{
	return now_ns < service->publish_until_ns
		       ? zone_loads_own_level(loads, service)
		       : -1;
}

static bool total_entry_fill(const struct zone_loads *loads,
			     const struct service_load *service,
			     const struct zone_load *load, int64_t now_ns,
			     struct zone_load_entry *entry)
{
	(void)loads;
	if (!zone_load_is_fresh(load, now_ns))
		return false;
	*entry = (struct zone_load_entry){
		.zone = load->zone,
		.service = service->hash,
		.leader = load->leader,
		.usable_slots = (uint16_t)MIN(load->usable_slots, UINT16_MAX),
		.busy_parts = slot_parts(load->busy_slots),
		.own_parts = slot_parts(load->own_busy_slots),
		.time_ms = milliseconds((int64_t)(load->time_ms * NS_PER_MS)),
		.unloaded_ms =
			milliseconds((int64_t)(load->unloaded_ms * NS_PER_MS)),
		.age_ms = (uint16_t)((now_ns - load->measured_ns) / NS_PER_MS),
	};
	return true;
}

size_t zone_loads_totals(const struct zone_loads *loads, int64_t now_ns,
			 struct zone_load_entry *entries, size_t max)
{
	static const struct entry_source source = { published_level,
						    total_entry_fill };

	return entries_collect(loads, now_ns, &source, entries, max);
}

void zone_loads_set_totals(struct zone_loads *loads,
			   const struct zone_load_entry *entries, size_t count,
			   int64_t now_ns)
{
	for (size_t i = 0; i < count; i++) {
		const struct zone_load_entry *entry = &entries[i];
		struct service_load *service = g_hash_table_lookup(
			loads->services, GUINT_TO_POINTER(entry->service));
		struct zone_load *load = entry_find(loads, entry);

		if (!load)
			continue;
		load->usable_slots = entry->usable_slots;
		load->busy_slots = parts_slots(entry->busy_parts);
		load->own_busy_slots = parts_slots(entry->own_parts);
		load->time_ms = entry->time_ms;
		load->unloaded_ms = entry->unloaded_ms;
		load->leader = entry->leader;
		load->measured_ns = now_ns - entry->age_ms * NS_PER_MS;
		service->totals_ns = now_ns;
	}
}
