#include <string.h>

#include "common/clock.h"
#include "host_table_state.h"

static struct known_host *host_add(struct host_table *table, const char *id)
{
	struct known_host *host = g_new0(struct known_host, 1);
	struct known_host *other;

	g_strlcpy(host->published.id, id, sizeof(host->published.id));
	host->token = host_token(id);
	other = host_table_find_token(table, host->token);
	if (other) {
		host->shares_token = true;
		other->shares_token = true;
	} else {
		g_hash_table_insert(table->by_token,
				    GUINT_TO_POINTER(host->token), host);
	}
	removal_log_drop(table->removals, id);
	g_hash_table_insert(table->by_id, host->published.id, host);
	g_tree_insert(table->sorted, host->published.id, host);
	return host;
}

/* What was observed of the old process does not apply to the new one. */
static void host_restart(struct host_table *table, struct known_host *host)
{
	memset(&host->health, 0, sizeof(host->health));
	g_clear_pointer(&host->speed, g_free);
	host->speed_offset = 0;
	g_clear_pointer(&host->sizes, g_free);
	host->is_failing = false;
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

static void announcement_apply(const struct host_table *table,
			       struct known_host *host,
			       const struct host_announcement *announcement,
			       int64_t now_ns)
{
	const struct host_table_options *options = &table->options;

	host->published = *announcement;
	host->is_zone_drained =
		options->is_zone_drained &&
		options->is_zone_drained(options->context, announcement->zone);
	host->slow_start_until_ns =
		now_ns + announcement->slow_start_ms * NS_PER_MS;
}

struct store_position host_announced_position(const struct known_host *host)
{
	return host->deferred ? host->deferred->position
			      : host->published.position;
}

static void newest_position_raise(struct host_table *table,
				  struct store_position position)
{
	table->newest_position =
		store_position_max(table->newest_position, position);
}

static bool is_outdated(const struct host_table *table,
			const struct known_host *host,
			const struct host_announcement *announcement)
{
	struct store_position known;

	if (host)
		known = store_position_max(host_announced_position(host),
					   host->removed_position);
	else
		known = removal_log_find(table->removals, announcement->id);
	return store_position_is_before(announcement->position, known);
}

static bool needs_routes(const struct host_table *table,
			 const struct known_host *host,
			 const struct host_announcement *announcement)
{
	const struct host_table_options *options = &table->options;

	return !host->is_removed && host->published.service[0] != '\0' &&
	       strcmp(host->published.service, announcement->service) != 0 &&
	       !options->can_change_service(options->context,
					    host->published.service,
					    announcement->service);
}

static void announcement_defer(struct host_table *table,
			       struct known_host *host,
			       const struct host_announcement *announcement)
{
	bool is_known = host->deferred &&
			store_position_is_equal(host->deferred->position,
						announcement->position);

	if (is_known)
		return;
	g_free(host->deferred);
	host->deferred = g_new(struct host_announcement, 1);
	*host->deferred = *announcement;
	newest_position_raise(table, announcement->position);
	table->options.on_deferred(table->options.context, host);
}

void host_put(struct host_table *table,
	      const struct host_announcement *announcement, int64_t now_ns)
{
	struct known_host *host = host_table_find(table, announcement->id);
	bool is_new = !host || host->is_removed;
	bool is_announced;
	bool is_changed;

	if (is_outdated(table, host, announcement))
		return;
	if (host && needs_routes(table, host, announcement)) {
		announcement_defer(table, host, announcement);
		return;
	}
	if (!host)
		host = host_add(table, announcement->id);
	g_clear_pointer(&host->deferred, g_free);
	newest_position_raise(table, announcement->position);
	if (!is_new && store_position_is_equal(announcement->position,
					       host->published.position))
		return;
	host->unlisted_until_ns = 0;
	host->withheld_until_ns = 0;
	is_announced = host->published.service[0] != '\0';
	is_changed = !announcement_is_equal(&host->published, announcement);
	if (is_announced &&
	    announcement->started_ms != host->published.started_ms)
		host_restart(table, host);
	if (strcmp(host->published.service, announcement->service) != 0)
		host_service_leave(table, host);
	announcement_apply(table, host, announcement, now_ns);
	host_service_update(table, host);
	if (host->shares_token)
		token_owner_update(table, host->token);
	if (is_new)
		table->published_count++;
	host->is_removed = false;
	if (!is_new && !is_changed)
		return;
	table->generation++;
	table->options.on_changed(table->options.context, host, is_new);
}

bool is_announcement_outdated(const struct host_table *table,
			      const struct host_announcement *announcement)
{
	return !store_position_is_before(table->listed_position,
					 announcement->position) &&
	       !g_hash_table_contains(table->by_id, announcement->id);
}

void host_table_put(struct host_table *table,
		    const struct host_announcement *announcement,
		    int64_t now_ns)
{
	if (!is_announcement_outdated(table, announcement))
		host_put(table, announcement, now_ns);
}

void host_mark_removed(struct host_table *table, struct known_host *host,
		       struct store_position position, int64_t now_ns)
{
	g_clear_pointer(&host->deferred, g_free);
	host->is_removed = true;
	host->unlisted_until_ns = 0;
	host->removed_position = position;
	newest_position_raise(table, position);
	host->removed_since_ns = now_ns;
	table->published_count--;
	table->generation++;
	table->options.on_ended(table->options.context, host, false);
}

void host_table_remove(struct host_table *table, const char *id,
		       struct store_position position, int64_t now_ns)
{
	struct known_host *host = host_table_find(table, id);

	if (!host) {
		removal_log_add(table->removals, id, position, now_ns);
		newest_position_raise(table, position);
		return;
	}
	if (host->is_removed ||
	    store_position_is_before(position, host_announced_position(host)))
		return;
	host_mark_removed(table, host, position, now_ns);
}

void host_table_restore(struct host_table *table,
			const struct host_announcement *announcement,
			struct store_position removed_position, int64_t now_ns)
{
	const char *id = announcement->id;
	struct store_position logged = removal_log_find(table->removals, id);

	if (g_hash_table_contains(table->by_id, id))
		return;
	if (is_announcement_outdated(table, announcement))
		removed_position = store_position_max(removed_position,
						      table->listed_position);
	if (store_position_is_before(announcement->position, logged))
		removed_position = store_position_max(removed_position, logged);
	/* Keeps the host although a removal of it is recorded. */
	removal_log_drop(table->removals, id);
	host_put(table, announcement, now_ns);
	if (!store_position_is_none(removed_position))
		host_table_remove(table, id, removed_position, now_ns);
}

static GPtrArray *deferred_hosts_find(const struct host_table *table)
{
	GPtrArray *hosts = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		if (host->deferred)
			g_ptr_array_add(hosts, value);
	}
	return hosts;
}

void host_table_retry_deferred(struct host_table *table, int64_t now_ns)
{
	GPtrArray *hosts = deferred_hosts_find(table);

	for (guint i = 0; i < hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(hosts, i);
		const struct host_announcement announcement = *host->deferred;

		host_put(table, &announcement, now_ns);
	}
	g_ptr_array_unref(hosts);
}
