#include <string.h>
#include <xxhash.h>

#include "host_table_state.h"

uint32_t host_token(const char *id)
{
	uint32_t token = XXH32(id, strlen(id), 0);

	return token == 0 ? 1 : token;
}

static bool is_older(const struct known_host *a, const struct known_host *b)
{
	if (a->published.started_ms != b->published.started_ms)
		return a->published.started_ms < b->published.started_ms;
	return strcmp(a->published.id, b->published.id) < 0;
}

/* An entry that is not routed has no flows. */
static bool is_likelier_owner(const struct known_host *a,
			      const struct known_host *b)
{
	if (host_is_routed(a) != host_is_routed(b))
		return host_is_routed(a);
	return is_older(a, b);
}

static GPtrArray *token_hosts_find(const struct host_table *table,
				   uint32_t token)
{
	GPtrArray *hosts = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		if (host->token == token)
			g_ptr_array_add(hosts, value);
	}
	return hosts;
}

static void conflicts_mark(const GPtrArray *hosts, bool is_conflict)
{
	for (guint i = 0; i < hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(hosts, i);

		host->shares_token = hosts->len > 1;
		host->has_token_conflict = is_conflict && host_is_routed(host);
	}
}

/*
 * Of several hosts with one token, the oldest one has its open flows: the others
 * never got any. Each balancer has to find the same one, in whatever order it
 * learned of them.
 */
void token_owner_update(struct host_table *table, uint32_t token)
{
	GPtrArray *hosts = token_hosts_find(table, token);
	struct known_host *owner = NULL;
	uint32_t routed = 0;

	for (guint i = 0; i < hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(hosts, i);

		routed += host_is_routed(host);
		if (!owner || is_likelier_owner(host, owner))
			owner = host;
	}
	if (owner)
		g_hash_table_insert(table->by_token, GUINT_TO_POINTER(token),
				    owner);
	conflicts_mark(hosts, routed > 1);
	g_ptr_array_unref(hosts);
}
