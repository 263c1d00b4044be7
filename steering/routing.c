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

static int rule_compare(const void *left, const void *right)
{
	return route_rule_compare(left, right);
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
	routing->references = 1;
	return routing;
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
	g_free(routing->rules);
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

bool routing_has_service(const struct routing *routing, const char *service)
{
	for (size_t i = 0; i < routing->rule_count; i++) {
		const struct route_rule *rule = &routing->rules[i];

		for (uint32_t j = 0; j < rule->target_count; j++) {
			if (strcmp(rule->targets[j].service, service) == 0)
				return true;
		}
	}
	return false;
}
