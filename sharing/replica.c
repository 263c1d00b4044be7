#include "sharing/replica.h"

#include <string.h>

#include "common/clock.h"

/* Maximum bytes of hosts in one message of changes, and in a listing page. */
#define CHANGES_BYTES_MAX 900
#define PAGE_BYTES_MAX 1250

static uint64_t host_revision(const struct known_host *host)
{
	return host->is_removed ? host->removed_revision
				: host->published.revision;
}

static int revision_compare(const void *left, const void *right)
{
	uint64_t a = host_revision(*(struct known_host *const *)left);
	uint64_t b = host_revision(*(struct known_host *const *)right);

	return a < b ? -1 : a > b;
}

static void update_fill(const struct known_host *host, int64_t now_ns,
			struct host_update *update)
{
	int64_t slow_ns = host->slow_start_until_ns - now_ns;

	update->is_removed = host->is_removed;
	update->host = host->published;
	update->host.revision = host_revision(host);
	update->host.slow_start_ms =
		slow_ns > 0 ? (uint32_t)(slow_ns / NS_PER_MS) : 0;
}

/* Appends @host if it fits; the first host is always appended. */
static bool host_append(const struct known_host *host, int64_t now_ns,
			size_t bytes_max, size_t *bytes,
			struct sharing_message *message)
{
	struct host_update update;

	update_fill(host, now_ns, &update);
	*bytes += host_update_bytes(&update);
	if (*bytes > bytes_max && message->hosts->len > 0)
		return false;
	g_array_append_val(message->hosts, update);
	return true;
}

static GPtrArray *changed_hosts_find(struct host_table *table, uint64_t after)
{
	GPtrArray *changed = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	/* Most polls find no change and must not scan all hosts. */
	if (after >= host_table_newest_revision(table))
		return changed;
	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (host_revision(value) > after)
			g_ptr_array_add(changed, value);
	}
	g_ptr_array_sort(changed, revision_compare);
	return changed;
}

void replica_fill_changes(struct host_table *table, uint64_t after,
			  uint64_t revision, int64_t now_ns,
			  struct sharing_message *message)
{
	GPtrArray *changed = changed_hosts_find(table, after);
	size_t bytes = 0;
	guint count = 0;

	message->hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	while (count < changed->len &&
	       host_append(g_ptr_array_index(changed, count), now_ns,
			   CHANGES_BYTES_MAX, &bytes, message))
		count++;
	message->has_more = count < changed->len;
	/*
	 * Several hosts may be removed at one revision, that of a listing, so
	 * hosts left out may share the revision of the last one that fitted.
	 */
	message->revision = revision;
	if (message->has_more)
		message->revision = MIN(
			host_revision(g_ptr_array_index(changed, count)) - 1,
			revision);
	message->base_revision = after;
	g_ptr_array_unref(changed);
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
	while (host &&
	       host_append(host, now_ns, PAGE_BYTES_MAX, &bytes, message)) {
		g_strlcpy(message->cursor, host->published.id,
			  sizeof(message->cursor));
		host = host_table_next(table, host->published.id);
	}
	message->has_more = host != NULL;
}

/*
 * A removed host that is not known is kept as well: its announcement may come
 * late, and members that have it ask this balancer for the changes.
 */
static void removal_apply(struct host_table *table,
			  const struct host_announcement *host, int64_t now_ns)
{
	if (host_table_find(table, host->id))
		host_table_remove(table, host->id, host->revision, now_ns);
	else
		host_table_restore(table, host, host->revision, now_ns);
}

void replica_apply(struct host_table *table, struct host_listing *listing,
		   const struct sharing_message *message, int64_t now_ns)
{
	for (guint i = 0; message->hosts && i < message->hosts->len; i++) {
		const struct host_update *update =
			&g_array_index(message->hosts, struct host_update, i);

		if (update->is_removed)
			removal_apply(table, &update->host, now_ns);
		else
			host_listing_put(listing, table, &update->host, now_ns);
	}
}
