#include "sharing/replica.h"

#include <string.h>

#include "common/clock.h"

/* Maximum bytes of hosts in one message of changes, and in a listing page. */
#define CHANGES_BYTES_MAX 900
#define PAGE_BYTES_MAX 1250

/* A change of a host that is passed on. */
struct host_change {
	uint64_t revision;
	const char *id;
	const struct known_host *host; /* NULL if it was never known */
	const struct host_announcement *announcement; /* NULL if it was removed */
};

static int change_compare(const void *left, const void *right)
{
	const struct host_change *a = left;
	const struct host_change *b = right;

	if (a->revision != b->revision)
		return a->revision < b->revision ? -1 : 1;
	return strcmp(a->id, b->id);
}

static void update_fill(const struct host_change *change, int64_t now_ns,
			struct host_update *update)
{
	const struct known_host *host = change->host;
	int64_t slow_ns;

	memset(update, 0, sizeof(*update));
	update->is_removed = !change->announcement;
	if (change->announcement)
		update->host = *change->announcement;
	g_strlcpy(update->host.id, change->id, sizeof(update->host.id));
	update->host.revision = change->revision;
	if (!change->announcement || change->announcement != &host->published)
		return;
	slow_ns = host->slow_start_until_ns - now_ns;
	update->host.slow_start_ms =
		slow_ns > 0 ? (uint32_t)(slow_ns / NS_PER_MS) : 0;
}

/* Appends the change if it fits; the first one is always appended. */
static bool change_append(const struct host_change *change, int64_t now_ns,
			  size_t bytes_max, size_t *bytes,
			  struct sharing_message *message)
{
	struct host_update update;

	update_fill(change, now_ns, &update);
	*bytes += host_update_bytes(&update);
	if (*bytes > bytes_max && message->hosts->len > 0)
		return false;
	g_array_append_val(message->hosts, update);
	return true;
}

static void change_add(GArray *changes, uint64_t after,
		       const struct host_change *change)
{
	if (change->revision > after)
		g_array_append_val(changes, *change);
}

static void host_changes_add(GArray *changes, uint64_t after,
			     const struct known_host *host)
{
	const struct host_change published = {
		.revision = host->is_removed ? host->removed_revision
					     : host->published.revision,
		.id = host->published.id,
		.host = host,
		.announcement = host->is_removed ? NULL : &host->published,
	};
	const struct host_change deferred = {
		.revision = host->deferred ? host->deferred->revision : 0,
		.id = host->published.id,
		.host = host,
		.announcement = host->deferred,
	};

	change_add(changes, after, &published);
	change_add(changes, after, &deferred);
}

static void unknown_removals_add(GArray *changes, uint64_t after,
				 GHashTable *removals)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, removals);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		const struct host_removal *removal = value;
		const struct host_change change = {
			.revision = removal->revision,
			.id = key,
		};

		change_add(changes, after, &change);
	}
}

static GArray *changes_find(struct host_table *table, uint64_t after)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct host_change));
	GHashTableIter iterator;
	gpointer value;

	/* Most polls find no change and must not scan all hosts. */
	if (after >= host_table_newest_revision(table))
		return changes;
	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		host_changes_add(changes, after, value);
	unknown_removals_add(changes, after,
			     host_table_unknown_removals(table));
	g_array_sort(changes, change_compare);
	return changes;
}

void replica_fill_changes(struct host_table *table, uint64_t after,
			  uint64_t revision, int64_t now_ns,
			  struct sharing_message *message)
{
	GArray *changes = changes_find(table, after);
	const struct host_change *change = NULL;
	size_t bytes = 0;
	guint count = 0;

	message->hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	for (; count < changes->len; count++) {
		change = &g_array_index(changes, struct host_change, count);
		if (!change_append(change, now_ns, CHANGES_BYTES_MAX, &bytes,
				   message))
			break;
	}
	message->has_more = count < changes->len;
	/*
	 * Several hosts may be removed at one revision, that of a listing, so
	 * hosts left out may share the revision of the last one that fitted.
	 */
	message->revision = revision;
	if (message->has_more)
		message->revision = MIN(change->revision - 1, revision);
	message->base_revision = after;
	g_array_unref(changes);
}

/* Returns false if the host does not fit into the page. */
static bool listed_host_append(const struct known_host *host, int64_t now_ns,
			       size_t *bytes, struct sharing_message *message)
{
	struct host_change change = {
		.revision = host->published.revision,
		.id = host->published.id,
		.host = host,
		.announcement = &host->published,
	};

	if (!change_append(&change, now_ns, PAGE_BYTES_MAX, bytes, message))
		return false;
	if (!host->deferred)
		return true;
	change.revision = host->deferred->revision;
	change.announcement = host->deferred;
	return change_append(&change, now_ns, PAGE_BYTES_MAX, bytes, message);
}

void replica_fill_listing(struct host_table *table, const char *cursor,
			  uint64_t revision, int64_t now_ns,
			  struct sharing_message *message)
{
	const struct known_host *host = host_table_next(table, cursor);
	size_t bytes = 0;

	message->hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	message->is_listing = true;
	message->revision = revision;
	while (host && listed_host_append(host, now_ns, &bytes, message)) {
		g_strlcpy(message->cursor, host->published.id,
			  sizeof(message->cursor));
		host = host_table_next(table, host->published.id);
	}
	message->has_more = host != NULL;
}

void replica_apply(struct host_table *table, struct host_listing *listing,
		   const struct sharing_message *message, int64_t now_ns)
{
	for (guint i = 0; message->hosts && i < message->hosts->len; i++) {
		const struct host_update *update =
			&g_array_index(message->hosts, struct host_update, i);

		if (update->is_removed)
			host_table_remove(table, update->host.id,
					  update->host.revision, now_ns);
		else
			host_listing_put(listing, table, &update->host, now_ns);
	}
}
