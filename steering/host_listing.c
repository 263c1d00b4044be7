#include "host_table_state.h"

struct host_listing {
	struct store_position position;
	GHashTable *ids; /* char *, as a set */
	/* struct host_announcement; of a new era, applied at the end. */
	GArray *announcements;
};

struct host_listing *host_listing_create(struct store_position position)
{
	struct host_listing *listing = g_new0(struct host_listing, 1);

	listing->position = position;
	listing->ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	listing->announcements =
		g_array_new(FALSE, FALSE, sizeof(struct host_announcement));
	return listing;
}

void host_listing_destroy(struct host_listing *listing)
{
	if (!listing)
		return;
	g_hash_table_destroy(listing->ids);
	g_array_unref(listing->announcements);
	g_free(listing);
}

struct store_position host_listing_position(const struct host_listing *listing)
{
	return listing->position;
}

void host_listing_keep(struct host_listing *listing, const char *id)
{
	if (listing)
		g_hash_table_add(listing->ids, g_strdup(id));
}

/* The first listing has nothing to compare with, so it needs no care. */
static bool is_new_era(const struct host_listing *listing,
		       const struct host_table *table)
{
	return !store_position_is_none(table->listed_position) &&
	       listing->position.era > table->listed_position.era;
}

void host_listing_put(struct host_listing *listing, struct host_table *table,
		      const struct host_announcement *announcement,
		      int64_t now_ns)
{
	if (!listing) {
		host_table_put(table, announcement, now_ns);
		return;
	}
	host_listing_keep(listing, announcement->id);
	if (is_new_era(listing, table)) {
		g_array_append_val(listing->announcements, *announcement);
		return;
	}
	/* A newer listing may contain a host that an earlier one missed. */
	if (!store_position_is_before(listing->position,
				      table->listed_position) ||
	    !is_announcement_outdated(table, announcement))
		host_put(table, announcement, now_ns);
}

static void missing_host_remove(const struct host_listing *listing,
				struct host_table *table,
				struct known_host *host, int64_t now_ns)
{
	bool is_later = store_position_is_before(listing->position,
						 host_announced_position(host));

	if (!host->is_removed && !is_later && host->unlisted_until_ns == 0)
		host_mark_removed(table, host, listing->position, now_ns);
}

/* All positions are of the new era afterwards. */
static void new_era_begin(const struct host_listing *listing,
			  struct host_table *table, int64_t now_ns)
{
	for (guint i = 0; i < listing->announcements->len; i++)
		host_restore_put(table,
				 &g_array_index(listing->announcements,
						struct host_announcement, i),
				 now_ns);
	removal_log_clear(table->removals);
	table->oldest_position = listing->position;
	table->newest_position =
		store_position_max(table->newest_position, listing->position);
}

void host_listing_finish(const struct host_listing *listing,
			 struct host_table *table, int64_t now_ns)
{
	bool is_new = is_new_era(listing, table);
	GHashTableIter iterator;
	gpointer value;

	if (is_new)
		new_era_begin(listing, table, now_ns);
	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;
		bool is_listed =
			g_hash_table_contains(listing->ids, host->published.id);

		if (is_new)
			host_restore_finish(table, host, listing->position,
					    is_listed, now_ns);
		else if (!is_listed)
			missing_host_remove(listing, table, host, now_ns);
	}
	table->listed_position =
		store_position_max(table->listed_position, listing->position);
	if (store_position_is_none(table->oldest_position))
		table->oldest_position = listing->position;
}
