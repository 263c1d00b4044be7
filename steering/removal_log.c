#include "steering/removal_log.h"

struct removal_log {
	GHashTable *by_id; /* owns the ids and the removals */
};

struct removal_log *removal_log_create(void)
{
	struct removal_log *log = g_new0(struct removal_log, 1);

	log->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return log;
}

void removal_log_destroy(struct removal_log *log)
{
	if (!log)
		return;
	g_hash_table_destroy(log->by_id);
	g_free(log);
}

void removal_log_add(struct removal_log *log, const char *id,
		     struct store_position position, int64_t now_ns)
{
	struct host_removal *removal;

	if (!store_position_is_before(removal_log_find(log, id), position))
		return;
	removal = g_new0(struct host_removal, 1);
	removal->position = position;
	removal->since_ns = now_ns;
	g_hash_table_insert(log->by_id, g_strdup(id), removal);
}

struct store_position removal_log_find(const struct removal_log *log,
				       const char *id)
{
	const struct host_removal *removal =
		g_hash_table_lookup(log->by_id, id);

	return removal ? removal->position : STORE_POSITION_NONE;
}

void removal_log_drop(struct removal_log *log, const char *id)
{
	g_hash_table_remove(log->by_id, id);
}

void removal_log_clear(struct removal_log *log)
{
	g_hash_table_remove_all(log->by_id);
}

struct store_position removal_log_expire(struct removal_log *log,
					 int64_t before_ns)
{
	struct store_position newest = STORE_POSITION_NONE;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, log->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct host_removal *removal = value;

		if (removal->since_ns > before_ns)
			continue;
		newest = store_position_max(newest, removal->position);
		g_hash_table_iter_remove(&iterator);
	}
	return newest;
}

GHashTable *removal_log_all(const struct removal_log *log)
{
	return log->by_id;
}
