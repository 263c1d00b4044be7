#include "steering/zone_drains.h"

#include <string.h>

struct zone_drains {
	struct zone_drains_options options;
	GArray *entries; /* struct zone_drain, by zone */
	/* See zone_drains_listed_position(). */
	struct store_position listed_position;
	uint64_t era; /* of all entries */
	struct store_position listing_position; /* of the listing in progress */
	/* struct zone_drain of that listing, if it is of a new era. */
	GArray *listed;
	bool has_ignored; /* since the listing began */
};

struct zone_drains *
zone_drains_create(const struct zone_drains_options *options)
{
	struct zone_drains *drains = g_new0(struct zone_drains, 1);

	drains->options = *options;
	drains->entries = g_array_new(FALSE, FALSE, sizeof(struct zone_drain));
	drains->listed = g_array_new(FALSE, FALSE, sizeof(struct zone_drain));
	return drains;
}

void zone_drains_destroy(struct zone_drains *drains)
{
	if (!drains)
		return;
	g_array_unref(drains->entries);
	g_array_unref(drains->listed);
	g_free(drains);
}

static struct zone_drain *entry_at(const struct zone_drains *drains,
				   guint index)
{
	return &g_array_index(drains->entries, struct zone_drain, index);
}

/* Index of the first entry that is not before @zone. */
static guint entry_index(const struct zone_drains *drains, const char *zone)
{
	guint index = 0;

	while (index < drains->entries->len &&
	       strcmp(entry_at(drains, index)->zone, zone) < 0)
		index++;
	return index;
}

static struct zone_drain *entry_find(const struct zone_drains *drains,
				     const char *zone)
{
	for (guint i = 0; i < drains->entries->len; i++) {
		struct zone_drain *entry = entry_at(drains, i);

		if (strcmp(entry->zone, zone) == 0)
			return entry;
	}
	return NULL;
}

static bool has_room(const struct zone_drains *drains, const char *zone)
{
	size_t bytes = strlen(zone);

	for (guint i = 0; i < drains->entries->len; i++)
		bytes += strlen(entry_at(drains, i)->zone);
	return drains->entries->len < ZONE_DRAINS_MAX &&
	       bytes <= ZONE_DRAINS_NAMES_BYTES_MAX;
}

bool zone_drain_is_in_force(const struct zone_drain *drain)
{
	return drain->is_active || drain->kept_until_ns != 0;
}

static bool is_listed_after(const struct zone_drains *drains,
			    struct store_position position)
{
	return !store_position_is_before(drains->listed_position, position);
}

/* Without them, the listed position says the same of these zones. */
static void implied_entries_remove(struct zone_drains *drains)
{
	for (guint i = drains->entries->len; i-- > 0;) {
		const struct zone_drain *entry = entry_at(drains, i);

		if (!zone_drain_is_in_force(entry) &&
		    is_listed_after(drains, entry->position))
			g_array_remove_index(drains->entries, i);
	}
}

/* Adds an inactive entry; NULL if there is no room. */
static struct zone_drain *entry_add(struct zone_drains *drains,
				    const char *zone)
{
	struct zone_drain entry = { 0 };
	guint index;

	if (!has_room(drains, zone))
		implied_entries_remove(drains);
	if (!has_room(drains, zone))
		return NULL;
	g_strlcpy(entry.zone, zone, sizeof(entry.zone));
	index = entry_index(drains, zone);
	g_array_insert_val(drains->entries, index, entry);
	return entry_at(drains, index);
}

/*
 * At the same position the withdrawal wins: it comes from a listing without the
 * key, which is newer than the request.
 */
static bool is_newer(const struct zone_drain *entry,
		     struct store_position position, bool is_active)
{
	int order = store_position_compare(position, entry->position);

	return order > 0 || (order == 0 && entry->is_active && !is_active);
}

static void entry_change(struct zone_drains *drains, struct zone_drain *entry,
			 struct store_position position, bool is_active,
			 int64_t now_ns)
{
	bool was_in_force = zone_drain_is_in_force(entry);

	if (!is_newer(entry, position, is_active))
		return;
	entry->position = position;
	entry->is_active = is_active;
	entry->kept_until_ns = 0;
	entry->changed_ns = now_ns;
	if (was_in_force != zone_drain_is_in_force(entry))
		drains->options.on_changed(drains->options.context, entry);
}

/* Returns false if there is no room for another zone. */
static bool change_apply(struct zone_drains *drains, const char *zone,
			 struct store_position position, bool is_active,
			 int64_t now_ns)
{
	struct zone_drain *entry = entry_find(drains, zone);

	/* A late request: it was withdrawn before the listing. */
	if (!entry && is_active && is_listed_after(drains, position))
		return true;
	if (!entry)
		entry = entry_add(drains, zone);
	if (!entry)
		return !is_active && is_listed_after(drains, position);
	entry_change(drains, entry, position, is_active, now_ns);
	return true;
}

/* Before the first listing there is nothing to compare with. */
static bool is_new_era(const struct zone_drains *drains, uint64_t era)
{
	return drains->era != 0 && era > drains->era;
}

static bool is_listing_new_era(const struct zone_drains *drains)
{
	return is_new_era(drains, drains->listing_position.era);
}

bool zone_drains_set(struct zone_drains *drains, const char *zone,
		     struct store_position position, bool is_active,
		     int64_t now_ns)
{
	struct zone_drain listed = { .position = position,
				     .is_active = is_active };
	struct zone_drain *entry;

	if (is_listing_new_era(drains)) {
		g_strlcpy(listed.zone, zone, sizeof(listed.zone));
		g_array_append_val(drains->listed, listed);
		return true;
	}
	if (!change_apply(drains, zone, position, is_active, now_ns)) {
		drains->has_ignored = true;
		return false;
	}
	entry = entry_find(drains, zone);
	if (entry)
		entry->is_listed = true;
	return true;
}

void zone_drains_ignore(struct zone_drains *drains, const char *zone)
{
	struct zone_drain *entry = entry_find(drains, zone);

	drains->has_ignored = true;
	if (entry)
		entry->is_listed = true;
}

static void listed_marks_clear(struct zone_drains *drains)
{
	for (guint i = 0; i < drains->entries->len; i++)
		entry_at(drains, i)->is_listed = false;
}

/*
 * Zones that are drained stay so for a while, and those whose requests are
 * ignored (marked as listed) until a change. The other entries of the former
 * era say nothing in the new one.
 */
static void new_era_begin(struct zone_drains *drains, uint64_t era,
			  int64_t now_ns)
{
	const struct store_position start = { .era = era };

	for (guint i = drains->entries->len; i-- > 0;) {
		struct zone_drain *entry = entry_at(drains, i);

		if (!zone_drain_is_in_force(entry)) {
			g_array_remove_index(drains->entries, i);
			continue;
		}
		if (!entry->is_active || !entry->is_listed) {
			entry->is_active = false;
			entry->kept_until_ns = now_ns + STORE_REWRITE_NS;
		}
		entry->position = start;
	}
	drains->era = era;
	drains->listed_position = STORE_POSITION_NONE;
}

static void listed_apply(struct zone_drains *drains, int64_t now_ns)
{
	for (guint i = 0; i < drains->listed->len; i++) {
		const struct zone_drain *listed =
			&g_array_index(drains->listed, struct zone_drain, i);

		zone_drains_set(drains, listed->zone, listed->position,
				listed->is_active, now_ns);
	}
	g_array_set_size(drains->listed, 0);
}

void zone_drains_listing_begin(struct zone_drains *drains,
			       struct store_position position)
{
	drains->listing_position = position;
	drains->has_ignored = false;
	g_array_set_size(drains->listed, 0);
	listed_marks_clear(drains);
}

void zone_drains_listing_end(struct zone_drains *drains, int64_t now_ns)
{
	struct store_position position = drains->listing_position;

	if (is_listing_new_era(drains))
		new_era_begin(drains, position.era, now_ns);
	drains->era = MAX(drains->era, position.era);
	listed_apply(drains, now_ns);
	for (guint i = 0; i < drains->entries->len; i++) {
		struct zone_drain *entry = entry_at(drains, i);

		if (entry->is_active && !entry->is_listed)
			entry_change(drains, entry, position, false, now_ns);
	}
	/*
	 * Another balancer may know a usable earlier request of the zone whose
	 * entry was ignored, so that zone must not count as not drained.
	 */
	if (!drains->has_ignored)
		drains->listed_position =
			store_position_max(drains->listed_position, position);
}

static bool is_among(const char *zone, const struct zone_drains_state *state)
{
	for (size_t i = 0; i < state->count; i++) {
		if (strcmp(state->entries[i].zone, zone) == 0)
			return true;
	}
	return false;
}

void zone_drains_merge(struct zone_drains *drains,
		       const struct zone_drains_state *state, int64_t now_ns)
{
	if (is_new_era(drains, state->era)) {
		listed_marks_clear(drains);
		new_era_begin(drains, state->era, now_ns);
	}
	drains->era = MAX(drains->era, state->era);
	for (size_t i = 0; i < state->count; i++)
		change_apply(drains, state->entries[i].zone,
			     state->entries[i].position,
			     state->entries[i].is_active, now_ns);
	for (guint i = 0; i < drains->entries->len; i++) {
		struct zone_drain *entry = entry_at(drains, i);

		if (entry->is_active && !is_among(entry->zone, state))
			entry_change(drains, entry, state->listed_position,
				     false, now_ns);
	}
	drains->listed_position = store_position_max(drains->listed_position,
						     state->listed_position);
}

void zone_drains_end_waits(struct zone_drains *drains, int64_t now_ns)
{
	for (guint i = 0; i < drains->entries->len; i++) {
		struct zone_drain *entry = entry_at(drains, i);

		if (entry->kept_until_ns == 0 || now_ns < entry->kept_until_ns)
			continue;
		entry->kept_until_ns = 0;
		entry->changed_ns = now_ns;
		drains->options.on_changed(drains->options.context, entry);
	}
}

bool zone_drains_is_active(const struct zone_drains *drains, const char *zone)
{
	const struct zone_drain *entry = entry_find(drains, zone);

	return entry && zone_drain_is_in_force(entry);
}

const struct zone_drain *zone_drains_entries(const struct zone_drains *drains,
					     size_t *count)
{
	*count = drains->entries->len;
	return (const struct zone_drain *)drains->entries->data;
}

uint64_t zone_drains_era(const struct zone_drains *drains)
{
	return drains->era;
}

struct store_position
zone_drains_listed_position(const struct zone_drains *drains)
{
	return drains->listed_position;
}

uint32_t zone_drains_active_count(const struct zone_drains *drains)
{
	uint32_t count = 0;

	for (guint i = 0; i < drains->entries->len; i++)
		count += zone_drain_is_in_force(entry_at(drains, i));
	return count;
}
