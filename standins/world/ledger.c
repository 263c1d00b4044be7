#include "standins/world/ledger.h"

#include <glib.h>

struct record {
	uint32_t service;
	uint32_t first_host; /* host index + 1, 0 = none yet */
	bool has_two_hosts;
	bool is_refused;
	bool is_refusal_false;
	GArray *runs; /* per request number: host index + 1, 0 = not run */
};

struct ledger {
	GHashTable *records; /* flow id to struct record */
	struct ledger_counters counters;
};

static void record_destroy(void *data)
{
	struct record *record = data;

	g_array_free(record->runs, TRUE);
	g_free(record);
}

struct ledger *ledger_create(void)
{
	struct ledger *ledger = g_new0(struct ledger, 1);

	ledger->records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, record_destroy);
	return ledger;
}

void ledger_destroy(struct ledger *ledger)
{
	g_hash_table_destroy(ledger->records);
	g_free(ledger);
}

static struct record *record_find(const struct ledger *ledger, uint64_t flow_id)
{
	return g_hash_table_lookup(ledger->records, &flow_id);
}

void ledger_open_flow(struct ledger *ledger, uint64_t flow_id, uint32_t service)
{
	struct record *record = g_new0(struct record, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = flow_id;
	record->service = service;
	record->runs = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	g_hash_table_insert(ledger->records, key, record);
}

void ledger_see_packet(struct ledger *ledger, uint64_t flow_id,
		       uint32_t service, uint32_t host)
{
	struct record *record = record_find(ledger, flow_id);

	if (!record || record->service != service)
		ledger->counters.packets_misdelivered++;
	if (!record)
		return;
	if (record->first_host == 0)
		record->first_host = host + 1;
	if (record->first_host == host + 1 || record->has_two_hosts)
		return;
	record->has_two_hosts = true;
	ledger->counters.flows_two_servers++;
}

static void refusal_check(struct ledger *ledger, struct record *record)
{
	if (!record->is_refused || record->is_refusal_false ||
	    record->runs->len == 0)
		return;
	record->is_refusal_false = true;
	ledger->counters.refused_but_run++;
}

void ledger_run_request(struct ledger *ledger, uint64_t flow_id,
			uint32_t number, uint32_t host)
{
	struct record *record = record_find(ledger, flow_id);
	uint32_t *run;

	if (!record)
		return;
	if (record->runs->len <= number)
		g_array_set_size(record->runs, number + 1);
	run = &g_array_index(record->runs, uint32_t, number);
	if (*run != 0)
		ledger->counters.requests_duplicated++;
	else
		*run = host + 1;
	ledger->counters.requests_run++;
	refusal_check(ledger, record);
}

void ledger_refuse_flow(struct ledger *ledger, uint64_t flow_id)
{
	struct record *record = record_find(ledger, flow_id);

	if (!record)
		return;
	record->is_refused = true;
	refusal_check(ledger, record);
}

bool ledger_flow_host(const struct ledger *ledger, uint64_t flow_id,
		      uint32_t *host)
{
	const struct record *record = record_find(ledger, flow_id);

	if (!record || record->first_host == 0)
		return false;
	*host = record->first_host - 1;
	return true;
}

const struct ledger_counters *ledger_counters(const struct ledger *ledger)
{
	return &ledger->counters;
}
