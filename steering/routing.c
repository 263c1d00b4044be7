#include "steering/routing.h"

#include <glib.h>
#include <string.h>

int route_rule_compare(const struct route_rule *a, const struct route_rule *b)
{
	int order = memcmp(a->address.bytes, b->address.bytes,
			   sizeof(a->address.bytes));

	return order != 0 ? order : (int)a->port - (int)b->port;
}

bool route_rule_equal(const struct route_rule *a, const struct route_rule *b)
{
	if (route_rule_compare(a, b) != 0 || a->target_count != b->target_count)
		return false;
	for (uint32_t i = 0; i < a->target_count; i++) {
		if (a->targets[i].weight != b->targets[i].weight ||
		    strcmp(a->targets[i].service, b->targets[i].service) != 0)
			return false;
	}
	return true;
}

bool route_rule_attributes_equal(const struct route_rule *a,
				 const struct route_rule *b)
{
	return a->priority == b->priority &&
	       a->time_limit_ms == b->time_limit_ms &&
	       a->target_latency_ms == b->target_latency_ms &&
	       a->is_idempotent == b->is_idempotent;
}

int service_limit_compare(const struct service_limit *a,
			  const struct service_limit *b)
{
	return strcmp(a->service, b->service);
}

static int rule_compare(const void *left, const void *right)
{
	return route_rule_compare(left, right);
}

static int limit_compare(const void *left, const void *right)
{
	return service_limit_compare(left, right);
}

/* Stable, so that the first one of a service applies. */
static int limit_order(gconstpointer left, gconstpointer right, gpointer data)
{
	(void)data;
	return service_limit_compare(left, right);
}

/* The names belong to the rules. */
static GHashTable *services_collect(struct route_rule *rules, size_t rule_count)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < rule_count; i++) {
		for (uint32_t j = 0; j < rules[i].target_count; j++)
			g_hash_table_add(services, rules[i].targets[j].service);
	}
	return services;
}

struct routing *routing_create(uint64_t version, uint32_t idle_timeout_ms,
			       struct route_rule *rules, size_t rule_count)
{
	struct routing *routing = g_new0(struct routing, 1);

	if (rule_count > 0)
		qsort(rules, rule_count, sizeof(*rules), rule_compare);
	routing->version = version;
	routing->idle_timeout_ms = idle_timeout_ms;
	routing->rules = rules;
	routing->rule_count = rule_count;
	routing->services = services_collect(rules, rule_count);
	routing->references = 1;
	return routing;
}

void routing_set_limits(struct routing *routing, struct service_limit *limits,
			size_t limit_count)
{
	size_t kept = 0;

	if (limit_count > 0)
		g_qsort_with_data(limits, (gint)limit_count, sizeof(*limits),
				  limit_order, NULL);
	for (size_t i = 0; i < limit_count; i++) {
		bool is_repeated =
			i > 0 &&
			service_limit_compare(&limits[i - 1], &limits[i]) == 0;

		if (!is_repeated && limits[i].flows_per_1000_s > 0)
			limits[kept++] = limits[i];
	}
	g_free(routing->limits);
	routing->limits = limits;
	routing->limit_count = kept;
}

static void rule_inherit(struct route_rule *rule,
			 const struct route_rule *previous)
{
	rule->priority = previous->priority;
	rule->time_limit_ms = previous->time_limit_ms;
	rule->target_latency_ms = previous->target_latency_ms;
	rule->is_idempotent = previous->is_idempotent;
}

void routing_inherit_attributes(struct routing *routing,
				const struct routing *previous)
{
	routing->is_partial = true;
	if (!previous)
		return;
	for (size_t i = 0; i < routing->rule_count; i++) {
		struct route_rule *rule = &routing->rules[i];
		const struct route_rule *known =
			routing_find(previous, &rule->address, rule->port);

		if (known)
			rule_inherit(rule, known);
	}
	routing_set_limits(
		routing,
		g_memdup2(previous->limits,
			  previous->limit_count * sizeof(*previous->limits)),
		previous->limit_count);
}

struct routing *routing_ref(struct routing *routing)
{
	routing->references++;
	return routing;
}

void routing_unref(struct routing *routing)
{
	if (!routing || --routing->references > 0)
		return;
	g_hash_table_unref(routing->services);
	g_free(routing->rules);
	g_free(routing->limits);
	g_free(routing);
}

const struct route_rule *routing_find(const struct routing *routing,
				      const struct ip_address *address,
				      uint16_t port)
{
	struct route_rule wanted = { .address = *address, .port = port };

	if (routing->rule_count == 0)
		return NULL;
	return bsearch(&wanted, routing->rules, routing->rule_count,
		       sizeof(wanted), rule_compare);
}

const char *route_rule_service(const struct route_rule *rule,
			       uint64_t flow_hash)
{
	uint64_t total = 0;
	uint64_t point;

	for (uint32_t i = 0; i < rule->target_count; i++)
		total += rule->targets[i].weight;
	if (total == 0)
		return NULL;
	point = flow_hash % total;
	for (uint32_t i = 0; i < rule->target_count; i++) {
		if (point < rule->targets[i].weight)
			return rule->targets[i].service;
		point -= rule->targets[i].weight;
	}
	return NULL;
}

const struct service_limit *routing_find_limit(const struct routing *routing,
					       const char *service)
{
	struct service_limit wanted = { 0 };

	if (routing->limit_count == 0)
		return NULL;
	g_strlcpy(wanted.service, service, sizeof(wanted.service));
	return bsearch(&wanted, routing->limits, routing->limit_count,
		       sizeof(wanted), limit_compare);
}

bool routing_is_newer(const struct routing *routing,
		      const struct routing *current)
{
	if (!current || routing->version > current->version)
		return true;
	return routing->version == current->version && current->is_partial &&
	       !routing->is_partial;
}

bool routing_has_service(const struct routing *routing, const char *service)
{
	return g_hash_table_contains(routing->services, service);
}
