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

/*
 * Of several hosts with one token, the oldest one has its open flows: the others
 * never got any. Each balancer has to find the same one, in whatever order it
 * learned of them.
 */
void token_owner_update(struct host_table *table, uint32_t token)
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
