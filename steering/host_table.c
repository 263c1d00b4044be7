#include "host_table_state.h"

#include <string.h>

static gint id_compare(gconstpointer left, gconstpointer right,
		       gpointer context)
{
	(void)context;
	return strcmp(left, right);
}

static void host_free(void *context)
{
	struct known_host *host = context;

	g_free(host->deferred);
	g_free(host->speed);
	g_free(host->sizes);
	g_free(host);
}

struct host_table *host_table_create(const struct host_table_options *options)
{
	struct host_table *table = g_new0(struct host_table, 1);

	table->options = *options;
	table->removals = removal_log_create();
	table->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, host_free);
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
	removal_log_destroy(table->removals);
	g_free(table);
}

static bool host_is_expired(const struct known_host *host, int64_t before_ns)
{
	if (!host->is_removed || host->flows.length > 0)
		return false;
	return !host_is_routed(host) || host->removed_since_ns <= before_ns;
}

/*
 * Members may still ask for the removal. That of an entry that is not routed is
 * kept apart, so that a program that writes many of them takes little memory.
 */
static void removal_keep(struct host_table *table,
			 const struct known_host *host)
{
	if (host_is_routed(host))
		table->oldest_position = store_position_max(
			table->oldest_position, host->removed_position);
	else
		removal_log_add(table->removals, host->published.id,
				host->removed_position, host->removed_since_ns);
}

void host_table_expire(struct host_table *table, int64_t before_ns)
{
	GArray *shared_tokens = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct store_position expired;
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
		if (host->shares_token)
			g_array_append_val(shared_tokens, host->token);
		removal_keep(table, host);
		host_service_leave(table, host);
		g_tree_remove(table->sorted, host->published.id);
		table->generation++;
		g_hash_table_iter_remove(&iterator);
	}
	expired = removal_log_expire(table->removals, before_ns);
	table->oldest_position =
		store_position_max(table->oldest_position, expired);
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

struct store_position host_table_oldest_position(const struct host_table *table)
{
	return table->oldest_position;
}

uint64_t host_table_generation(const struct host_table *table)
{
	return table->generation;
}

struct store_position host_table_newest_position(const struct host_table *table)
{
	return table->newest_position;
}

struct known_host *host_table_next(struct host_table *table, const char *id)
{
	GTreeNode *node = g_tree_upper_bound(table->sorted, id);

	while (node) {
		struct known_host *host = g_tree_node_value(node);

		if (!host->is_removed && host->unlisted_until_ns == 0)
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

GHashTable *host_table_unknown_removals(struct host_table *table)
{
	return removal_log_all(table->removals);
}

GHashTable *host_table_services(struct host_table *table)
{
	return table->by_service;
}
