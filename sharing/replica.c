#include "sharing/replica.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

/* Maximum bytes of hosts in one message of changes, and in a listing page. */
#define CHANGES_BYTES_MAX 900
#define PAGE_BYTES_MAX 1250

/* A change of a host that is passed on. */
struct host_change {
	struct store_position position;
	const char *id;
	const struct known_host *host; /* NULL if it was never known */
	const struct host_announcement *announcement; /* NULL if it was removed */
};

static uint64_t id_digest(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

static int change_compare(const void *left, const void *right)
{
	const struct host_change *a = left;
	const struct host_change *b = right;
	int order = store_position_compare(a->position, b->position);
	uint64_t a_digest;
	uint64_t b_digest;

	if (order != 0)
		return order;
	a_digest = id_digest(a->id);
	b_digest = id_digest(b->id);
	return a_digest < b_digest ? -1 : a_digest > b_digest;
}

/* Cursors have the order of the changes, which are of one era. */
static void cursor_print(const struct host_change *change,
			 char cursor[HOST_ID_BYTES_MAX + 1])
{
	g_snprintf(cursor, HOST_ID_BYTES_MAX + 1, "%016" PRIx64 "%016" PRIx64,
		   change->position.revision, id_digest(change->id));
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
	update->host.position = change->position;
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

static void change_add(GArray *changes, const struct position_range *range,
		       const struct host_change *change)
{
	if (store_position_is_before(range->after, change->position) &&
	    !store_position_is_before(range->last, change->position))
		g_array_append_val(changes, *change);
}

/* A host that the listing of a new era does not contain is removed for others. */
static bool is_withdrawn(const struct known_host *host)
{
	return host->is_removed || host->unlisted_until_ns != 0;
}

static void host_changes_add(GArray *changes,
			     const struct position_range *range,
			     const struct known_host *host)
{
	const struct host_change published = {
		.position = is_withdrawn(host) ? host->removed_position
					       : host->published.position,
		.id = host->published.id,
		.host = host,
		.announcement = is_withdrawn(host) ? NULL : &host->published,
	};
	struct host_change deferred = {
		.id = host->published.id,
		.host = host,
		.announcement = host->deferred,
	};

	change_add(changes, range, &published);
	if (!host->deferred)
		return;
	deferred.position = host->deferred->position;
	change_add(changes, range, &deferred);
}

static void unknown_removals_add(GArray *changes,
				 const struct position_range *range,
				 GHashTable *removals)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, removals);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		const struct host_removal *removal = value;
		const struct host_change change = {
			.position = removal->position,
			.id = key,
		};

		change_add(changes, range, &change);
	}
}

/*
 * A member has all changes up to its position only, so later ones that it knows
 * are left out: others may come between them.
 */
static GArray *changes_find(struct host_table *table,
			    const struct position_range *range)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct host_change));
	GHashTableIter iterator;
	gpointer value;

	/* Most polls find no change and must not scan all hosts. */
	if (!store_position_is_before(range->after,
				      host_table_newest_position(table)))
		return changes;
	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		host_changes_add(changes, range, value);
	unknown_removals_add(changes, range,
			     host_table_unknown_removals(table));
	g_array_sort(changes, change_compare);
	return changes;
}

static guint changes_skip(const GArray *changes, const char *cursor)
{
	char own[HOST_ID_BYTES_MAX + 1];
	guint count = 0;

	for (; count < changes->len; count++) {
		cursor_print(&g_array_index(changes, struct host_change, count),
			     own);
		if (strcmp(own, cursor) > 0)
			break;
	}
	return count;
}

/*
 * The position up to which no change from @first on is left out. A listing shows
 * that a host was removed, but not when, so the position of a removal may be
 * after the one in the store.
 */
static struct store_position
complete_position(const GArray *changes, guint first,
		  const struct position_range *range)
{
	struct store_position position;

	if (first == changes->len)
		return range->last;
	for (guint i = first; i < changes->len; i++) {
		const struct host_change *change =
			&g_array_index(changes, struct host_change, i);

		if (!change->announcement)
			return range->after;
	}
	position = g_array_index(changes, struct host_change, first).position;
	position.revision--;
	return position;
}

void replica_fill_changes(struct host_table *table,
			  const struct position_range *range,
			  const char *cursor, int64_t now_ns,
			  struct sharing_message *message)
{
	GArray *changes = changes_find(table, range);
	guint count = changes_skip(changes, cursor);
	size_t bytes = 0;

	message->hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	for (; count < changes->len; count++) {
		const struct host_change *change =
			&g_array_index(changes, struct host_change, count);

		if (!change_append(change, now_ns, CHANGES_BYTES_MAX, &bytes,
				   message))
			break;
		cursor_print(change, message->cursor);
	}
	message->has_more = count < changes->len;
	message->position = complete_position(changes, count, range);
	message->base_revision = range->after.revision;
	g_array_unref(changes);
}

/* Returns false if the host does not fit into the page. */
static bool listed_host_append(const struct known_host *host, int64_t now_ns,
			       size_t *bytes, struct sharing_message *message)
{
	struct host_change change = {
		.position = host->published.position,
		.id = host->published.id,
		.host = host,
		.announcement = &host->published,
	};

	if (!change_append(&change, now_ns, PAGE_BYTES_MAX, bytes, message))
		return false;
	if (!host->deferred)
		return true;
	change.position = host->deferred->position;
	change.announcement = host->deferred;
	return change_append(&change, now_ns, PAGE_BYTES_MAX, bytes, message);
}

void replica_fill_listing(struct host_table *table, const char *cursor,
			  struct store_position position, int64_t now_ns,
			  struct sharing_message *message)
{
	const struct known_host *host = host_table_next(table, cursor);
	size_t bytes = 0;

	message->hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	message->is_listing = true;
	message->position = position;
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
					  update->host.position, now_ns);
		else
			host_listing_put(listing, table, &update->host, now_ns);
	}
}
