#include "host_table_state.h"

static void wait_begin(struct host_table *table, int64_t *until_ns,
		       int64_t now_ns)
{
	*until_ns = now_ns + STORE_REWRITE_NS;
	table->wait_end_ns = *until_ns;
	table->generation++;
}

/* The process that wrote it has ended: the host has started again since. */
static bool is_earlier_lifetime(const struct known_host *host,
				const struct host_announcement *announcement)
{
	return host->published.service[0] != '\0' &&
	       announcement->started_ms < host->published.started_ms;
}

static bool is_same_lifetime(const struct known_host *host,
			     const struct host_announcement *announcement)
{
	return host->published.service[0] != '\0' &&
	       announcement->started_ms == host->published.started_ms;
}

/* The copy tells of a slow start that may have ended since. */
static void known_host_put(struct host_table *table, struct known_host *host,
			   const struct host_announcement *announcement,
			   int64_t now_ns)
{
	bool was_leaving = host->is_removed || host->published.is_draining;
	int64_t slow_start_until_ns = host->slow_start_until_ns;

	host_put(table, announcement, now_ns);
	host->slow_start_until_ns =
		MIN(host->slow_start_until_ns, slow_start_until_ns);
	if (was_leaving && !host->published.is_draining)
		wait_begin(table, &host->withheld_until_ns, now_ns);
}

void host_restore_put(struct host_table *table,
		      const struct host_announcement *announcement,
		      int64_t now_ns)
{
	struct known_host *host = host_table_find(table, announcement->id);

	if (host && is_earlier_lifetime(host, announcement))
		host->published.position = announcement->position;
	else if (host && is_same_lifetime(host, announcement))
		known_host_put(table, host, announcement, now_ns);
	else
		host_put(table, announcement, now_ns);
}

void host_restore_finish(struct host_table *table, struct known_host *host,
			 struct store_position position, bool is_listed,
			 int64_t now_ns)
{
	bool is_later = store_position_is_before(position,
						 host_announced_position(host));

	/* An earlier restore may have lacked it. */
	if (is_listed)
		host->unlisted_until_ns = 0;
	if (host->is_removed) {
		host->removed_position = position;
	} else if (!is_listed && !is_later) {
		g_clear_pointer(&host->deferred, g_free);
		host->removed_position = position;
		wait_begin(table, &host->unlisted_until_ns, now_ns);
	}
	/*
	 * What is still from the former era, as it was removed, or its entry is
	 * missing, deferred or cannot be read, is older than any change in this
	 * one.
	 */
	if (host->published.position.era < position.era)
		host->published.position =
			(struct store_position){ .era = position.era };
}

/* It may have ended before the restore, so it is probed before it is used. */
static void withheld_host_release(struct host_table *table,
				  struct known_host *host)
{
	host->withheld_until_ns = 0;
	host->health.is_handshake_overdue = true;
	table->generation++;
}

void host_table_end_waits(struct host_table *table, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	if (table->wait_end_ns == 0)
		return;
	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (host->unlisted_until_ns != 0 &&
		    now_ns >= host->unlisted_until_ns)
			host_mark_removed(table, host, host->removed_position,
					  now_ns);
		if (host->withheld_until_ns != 0 &&
		    now_ns >= host->withheld_until_ns)
			withheld_host_release(table, host);
	}
	if (now_ns >= table->wait_end_ns)
		table->wait_end_ns = 0;
}

uint32_t host_table_unlisted_count(const struct host_table *table)
{
	GHashTableIter iterator;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		count +=
			((const struct known_host *)value)->unlisted_until_ns !=
			0;
	return count;
}

uint32_t host_table_withheld_count(const struct host_table *table)
{
	GHashTableIter iterator;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		count +=
			((const struct known_host *)value)->withheld_until_ns !=
			0;
	return count;
}
