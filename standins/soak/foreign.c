#include <arpa/inet.h>
#include <inttypes.h>

#include "standins/soak/soak.h"

/* Size of the largest value that the store takes. */
#define VALUE_BYTES_MAX (1024 * 1024)
#define VALUE_KEYS 3

void soak_foreign_values_put(struct soak *soak)
{
	static const char *const units[VALUE_KEYS] = { "{},", "[[]],",
						       "{\"a\":0}," };

	soak_fault_print(soak, "values of other programs");
	for (int i = 0; i < VALUE_KEYS; i++) {
		GString *value = g_string_new("{\"service\":[");
		char *key = g_strdup_printf("servers/agent-%x", i + 1);

		while (value->len < VALUE_BYTES_MAX - 32)
			g_string_append(value, units[i]);
		g_string_append(value, "0]}");
		soak_store_put(soak->store, key, value->str);
		g_string_free(value, TRUE);
		g_free(key);
	}
}

/* An agent on the machine of the host, which started after the host. */
static void agent_put(const struct soak_host *host)
{
	struct in_addr in = { .s_addr = htonl(host->address) };
	char *key = g_strdup_printf("servers/agent-%08" PRIx64, host->id);
	char *value = g_strdup_printf(
		"{\"service\":\"node-metrics\",\"address\":\"%s:%u\","
		"\"zone\":\"%s\",\"version\":\"v1\",\"slots\":1,"
		"\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,"
		"\"born\":%" PRIu64 "}",
		inet_ntoa(in), host->soak->host_port,
		soak_zone_names[host->zone], host->started_ms + 1);

	soak_store_put(host->soak->store, key, value);
	g_free(key);
	g_free(value);
}

void soak_foreign_agents_put(struct soak *soak)
{
	soak_fault_print(soak, "agents at the addresses of all hosts");
	for (uint32_t i = 0; i < soak->host_count; i++) {
		if (soak->hosts[i].socket)
			agent_put(&soak->hosts[i]);
	}
}
