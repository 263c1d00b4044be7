#include "steering/host_table.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

struct host_listing {
	uint64_t revision;
	GHashTable *ids; /* char *, as a set */
};

struct host_table {
	struct host_table_options options;
	GHashTable *by_id; /* owns the hosts */
	GHashTable *by_token;
	GHashTable *by_service; /* name to GPtrArray of hosts */
	GTree *sorted; /* by id */
	uint64_t oldest_revision; /* see host_table_oldest_revision() */
	uint64_t newest_revision; /* see host_table_newest_revision() */
	uint64_t listed_revision; /* newest of a complete listing */
	uint64_t generation; /* see host_table_generation() */
	uint32_t published_count;
};

static gint id_compare(gconstpointer left, gconstpointer right,
		       gpointer context)
{
	(void)context;
	return strcmp(left, right);
}

uint32_t host_token(const char *id)
{
	uint32_t token = XXH32(id, strlen(id), 0);

	return token == 0 ? 1 : token;
}

struct host_table *host_table_create(const struct host_table_options *options)
{
	struct host_table *table = g_new0(struct host_table, 1);

	table->options = *options;
	table->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	table->by_token = g_hash_table_new(NULL, NULL);
	table->sorted = g_tree_new_full(id_compare, NULL, NULL, NULL);
	table->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	return table;
}

void host_table_destroy(struct host_table *table)
{
	if (!table)
		return;
	g_tree_unref(table->sorted);
	g_hash_table_destroy(table->by_token);
	g_hash_table_destroy(table->by_service);
	g_hash_table_destroy(table->by_id);
	g_free(table);
}

static void service_add_host(struct host_table *table, struct known_host *host)
{
	const char *name = host->published.service;

	host->service_hosts = g_hash_table_lookup(table->by_service, name);
	if (!host->service_hosts) {
		host->service_hosts = g_ptr_array_new();
		g_hash_table_insert(table->by_service, g_strdup(name),
				    host->service_hosts);
	}
	g_ptr_array_add(host->service_hosts, host);
}

static struct known_host *host_add(struct host_table *table, const char *id)
{
	struct known_host *host = g_new0(struct known_host, 1);
	struct known_host *other;

	g_strlcpy(host->published.id, id, sizeof(host->published.id));
	host->token = host_token(id);
	other = host_table_find_token(table, host->token);
	if (other) {
		host->has_token_conflict = true;
		other->has_token_conflict = true;
	} else {
		g_hash_table_insert(table->by_token,
				    GUINT_TO_POINTER(host->token), host);
	}
	g_hash_table_insert(table->by_id, host->published.id, host);
	g_tree_insert(table->sorted, host->published.id, host);
	return host;
}

static bool is_older(const struct known_host *a, const struct known_host *b)
{
	if (a->published.started_ms != b->published.started_ms)
		return a->published.started_ms < b->published.started_ms;
	return strcmp(a->published.id, b->published.id) < 0;
}

/*
 * Of several hosts with one token, the oldest one has its open flows: the others
 * never got any. Each balancer has to find the same one, in whatever order it
 * learned of them.
 */
static void token_owner_update(struct host_table *table, uint32_t token)
{
	struct known_host *oldest = NULL;
	GHashTableIter iterator;
	bool is_shared = false;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (host->token != token)
			continue;
		is_shared = oldest != NULL;
		if (!oldest || is_older(host, oldest))
			oldest = host;
	}
	if (!oldest)
		return;
	oldest->has_token_conflict = is_shared;
	g_hash_table_insert(table->by_token, GUINT_TO_POINTER(token), oldest);
}

/* The health observed of the old process does not apply to the new one. */
static void host_restart(struct host_table *table, struct known_host *host)
{
	memset(&host->health, 0, sizeof(host->health));
	table->options.on_ended(table->options.context, host, true);
}

static bool announcement_is_equal(const struct host_announcement *a,
				  const struct host_announcement *b)
{
	return ip_address_equal(&a->address, &b->address) &&
	       a->port == b->port && a->slots == b->slots &&
	       a->started_ms == b->started_ms &&
	       a->is_draining == b->is_draining &&
	       strcmp(a->service, b->service) == 0 &&
	       strcmp(a->zone, b->zone) == 0;
}

static void announcement_apply(struct known_host *host,
			       const struct host_announcement *announcement,
			       int64_t now_ns)
{
	host->published = *announcement;
	host->slow_start_until_ns =
		now_ns + announcement->slow_start_ms * NS_PER_MS;
}

static bool is_foreign(const struct host_table *table,
		       const struct known_host *host,
		       const struct host_announcement *announcement)
{
	const struct host_table_options *options = &table->options;

	return !host->is_removed && host->published.service[0] != '\0' &&
	       strcmp(host->published.service, announcement->service) != 0 &&
	       options->is_service_used(options->context,
					host->published.service) &&
	       !options->is_service_used(options->context,
					 announcement->service);
}

static void host_put(struct host_table *table,
		     const struct host_announcement *announcement,
		     int64_t now_ns)
{
	struct known_host *host = host_table_find(table, announcement->id);
	bool is_new = !host || host->is_removed;
	bool is_changed;

	if (host && (announcement->revision < host->published.revision ||
		     announcement->revision < host->removed_revision))
		return;
	if (host && is_foreign(table, host, announcement)) {
		table->options.on_rejected(table->options.context, host,
					   announcement);
		return;
	}
	if (!host)
		host = host_add(table, announcement->id);
	table->newest_revision =
		MAX(table->newest_revision, announcement->revision);
	if (!is_new && announcement->revision == host->published.revision)
		return;
	is_changed = !announcement_is_equal(&host->published, announcement);
	if (host->service_hosts &&
	    announcement->started_ms != host->published.started_ms)
		host_restart(table, host);
	if (host->service_hosts &&
	    strcmp(host->published.service, announcement->service) != 0) {
		g_ptr_array_remove_fast(host->service_hosts, host);
		host->service_hosts = NULL;
	}
	announcement_apply(host, announcement, now_ns);
	if (host->has_token_conflict)
		token_owner_update(table, host->token);
	if (!host->service_hosts)
		service_add_host(table, host);
	if (is_new)
		table->published_count++;
	host->is_removed = false;
	if (!is_new && !is_changed)
		return;
	table->generation++;
	table->options.on_changed(table->options.context, host, is_new);
}

/*
 * The host is unknown although a newer complete listing was applied, so it was
 * removed before that listing: the announcement arrived late.
 */
static bool
is_announcement_outdated(const struct host_table *table,
			 const struct host_announcement *announcement)
{
	return announcement->revision <= table->listed_revision &&
	       !g_hash_table_contains(table->by_id, announcement->id);
}

void host_table_put(struct host_table *table,
		    const struct host_announcement *announcement,
		    int64_t now_ns)
{
	if (!is_announcement_outdated(table, announcement))
		host_put(table, announcement, now_ns);
}

static void host_mark_removed(struct host_table *table, struct known_host *host,
			      uint64_t revision, int64_t now_ns)
{
	host->is_removed = true;
	host->removed_revision = revision;
	table->newest_revision = MAX(table->newest_revision, revision);
	host->removed_since_ns = now_ns;
	table->published_count--;
	table->generation++;
	table->options.on_ended(table->options.context, host, false);
}

void host_table_remove(struct host_table *table, const char *id,
		       uint64_t revision, int64_t now_ns)
{
	struct known_host *host = host_table_find(table, id);

	if (!host || host->is_removed || revision < host->published.revision)
		return;
	host_mark_removed(table, host, revision, now_ns);
}

void host_table_restore(struct host_table *table,
			const struct host_announcement *announcement,
			uint64_t removed_revision, int64_t now_ns)
{
	bool is_removed = removed_revision > 0 ||
			  is_announcement_outdated(table, announcement);

	if (g_hash_table_contains(table->by_id, announcement->id))
		return;
	host_put(table, announcement, now_ns);
	if (is_removed)
		host_table_remove(table, announcement->id,
				  MAX(removed_revision, table->listed_revision),
				  now_ns);
}

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

void host_listing_put(struct host_listing *listing, struct host_table *table,
		      const struct host_announcement *announcement,
		      int64_t now_ns)
{
	if (!listing) {
		host_table_put(table, announcement, now_ns);
		return;
	}
	g_hash_table_add(listing->ids, g_strdup(announcement->id));
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
		    host->published.revision <= listing->revision &&
		    !g_hash_table_contains(listing->ids, host->published.id))
			host_mark_removed(table, host, listing->revision,
					  now_ns);
	}
	table->listed_revision = MAX(table->listed_revision, listing->revision);
	if (table->oldest_revision == 0)
		table->oldest_revision = listing->revision;
}

static bool host_is_expired(const struct known_host *host, int64_t before_ns)
{
	return host->is_removed && host->removed_since_ns <= before_ns &&
	       host->flows.length == 0;
}

void host_table_expire(struct host_table *table, int64_t before_ns)
{
	GArray *shared_tokens = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (!host_is_expired(host, before_ns))
			continue;
		if (host_table_find_token(table, host->token) == host)
			g_hash_table_remove(table->by_token,
					    GUINT_TO_POINTER(host->token));
		if (host->has_token_conflict)
			g_array_append_val(shared_tokens, host->token);
		g_ptr_array_remove_fast(host->service_hosts, host);
		g_tree_remove(table->sorted, host->published.id);
		table->oldest_revision =
			MAX(table->oldest_revision, host->removed_revision);
		table->generation++;
		g_hash_table_iter_remove(&iterator);
	}
	for (guint i = 0; i < shared_tokens->len; i++)
		token_owner_update(table,
				   g_array_index(shared_tokens, uint32_t, i));
	g_array_unref(shared_tokens);
}

struct known_host *host_table_find(struct host_table *table, const char *id)
{
	return g_hash_table_lookup(table->by_id, id);
}

struct known_host *host_table_find_token(struct host_table *table,
					 uint32_t token)
{
	return g_hash_table_lookup(table->by_token, GUINT_TO_POINTER(token));
}

const GPtrArray *host_table_service(const struct host_table *table,
				    const char *service)
{
	return g_hash_table_lookup(table->by_service, service);
}

uint64_t host_table_oldest_revision(const struct host_table *table)
{
	return table->oldest_revision;
}

uint64_t host_table_generation(const struct host_table *table)
{
	return table->generation;
}

uint64_t host_table_newest_revision(const struct host_table *table)
{
	return table->newest_revision;
}

struct known_host *host_table_next(struct host_table *table, const char *id)
{
	GTreeNode *node = g_tree_upper_bound(table->sorted, id);

	while (node) {
		struct known_host *host = g_tree_node_value(node);

		if (!host->is_removed)
			return host;
		node = g_tree_node_next(node);
	}
	return NULL;
}

uint32_t host_table_count(const struct host_table *table)
{
	return table->published_count;
}

GHashTable *host_table_all(struct host_table *table)
{
	return table->by_id;
}

GHashTable *host_table_services(struct host_table *table)
{
	return table->by_service;
}
