#include "host_table_state.h"

struct host_listing {
	uint64_t revision;
	GHashTable *ids; /* char *, as a set */
};

struct host_listing *host_listing_create(uint64_t revision)
{
	struct host_listing *listing = g_new0(struct host_listing, 1);

	listing->revision = revision;
	listing->ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return listing;
}

void host_listing_destroy(struct host_listing *listing)
{
	if (!listing)
		return;
	g_hash_table_destroy(listing->ids);
	g_free(listing);
}

uint64_t host_listing_revision(const struct host_listing *listing)
{
	return listing->revision;
}

void host_listing_keep(struct host_listing *listing, const char *id)
{
	if (listing)
		g_hash_table_add(listing->ids, g_strdup(id));
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
	/* A newer listing may contain a host that an earlier one missed. */
	if (listing->revision >= table->listed_revision ||
	    !is_announcement_outdated(table, announcement))
		host_put(table, announcement, now_ns);
}

void host_listing_finish(const struct host_listing *listing,
			 struct host_table *table, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (!host->is_removed &&
		    host_announced_revision(host) <= listing->revision &&
		    !g_hash_table_contains(listing->ids, host->published.id))
			host_mark_removed(table, host, listing->revision,
					  now_ns);
	}
	table->listed_revision = MAX(table->listed_revision, listing->revision);
	if (table->oldest_revision == 0)
		table->oldest_revision = listing->revision;
}
