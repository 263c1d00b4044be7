#include <string.h>

#include "host_table_state.h"

void host_table_set_zone_drained(struct host_table *table, const char *zone,
				 bool is_drained)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (strcmp(host->published.zone, zone) == 0)
			host->is_zone_drained = is_drained;
	}
	table->generation++;
}

uint32_t host_table_zone_flows(struct host_table *table, const char *zone)
{
	GHashTableIter iterator;
	uint32_t flows = 0;
	gpointer value;

	g_hash_table_iter_init(&iterator, table->by_id);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		if (strcmp(host->published.zone, zone) == 0)
			flows += host->open_flows;
	}
	return flows;
}
