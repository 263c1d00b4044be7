#include "host_table_state.h"

static bool is_service_routed(const struct host_table *table,
			      const char *service)
{
	const struct host_table_options *options = &table->options;

	return !options->is_service_routed ||
	       options->is_service_routed(options->context, service);
}

static void service_join(struct host_table *table, struct known_host *host)
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

void host_service_leave(struct host_table *table, struct known_host *host)
{
	GPtrArray *hosts = host->service_hosts;

	if (!hosts)
		return;
	host->service_hosts = NULL;
	g_ptr_array_remove_fast(hosts, host);
	if (hosts->len == 0)
		g_hash_table_remove(table->by_service, host->published.service);
}

bool host_service_update(struct host_table *table, struct known_host *host)
{
	bool is_routed = is_service_routed(table, host->published.service);

	if (is_routed == host_is_routed(host))
		return false;
	if (is_routed)
		service_join(table, host);
	else
		host_service_leave(table, host);
	return true;
}

void host_table_update_routes(struct host_table *table)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (!host_service_update(table, host))
			continue;
		table->generation++;
		if (host->shares_token)
			token_owner_update(table, host->token);
	}
}

uint32_t host_table_unrouted_count(const struct host_table *table)
{
	GHashTableIter iterator;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		count += !host->is_removed && !host_is_routed(host);
	}
	return count;
}
