#include "steering/routing_check.h"

#include <inttypes.h>
#include <stdarg.h>

void routing_draft_clear(struct routing_draft *draft)
{
	g_free(draft->rules);
	for (size_t i = 0; i < draft->service_count; i++)
		g_free(draft->services[i].other);
	g_free(draft->services);
}

void routing_report_add(const struct routing_report *report,
			enum finding_kind kind, enum routing_part part,
			size_t index, size_t target, const char *format, ...)
{
	char *place = report->place(report->context, part, index, target);
	va_list arguments;
	char *message;

	va_start(arguments, format);
	message = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	finding_add(report->findings, kind, place, "%s", message);
	g_free(message);
	g_free(place);
}

static int rule_order(const void *left, const void *right)
{
	const struct route_rule *a = *(const struct route_rule *const *)left;
	const struct route_rule *b = *(const struct route_rule *const *)right;
	int order = route_rule_compare(a, b);

	return order != 0 ? order : a < b ? -1 : a > b;
}

const struct route_rule **routing_draft_sort(const struct routing_draft *draft)
{
	const struct route_rule **sorted =
		g_new0(const struct route_rule *, draft->rule_count + 1);

	for (size_t i = 0; i < draft->rule_count; i++)
		sorted[i] = &draft->rules[i];
	if (draft->rule_count > 0)
		qsort(sorted, draft->rule_count,
		      sizeof(const struct route_rule *), rule_order);
	return sorted;
}

static void duplicate_rules_check(const struct routing_draft *draft,
				  const struct routing_report *report)
{
	const struct route_rule **sorted = routing_draft_sort(draft);
	size_t first = 0;

	for (size_t i = 1; i < draft->rule_count; i++) {
		char *place;

		if (route_rule_compare(sorted[first], sorted[i]) != 0) {
			first = i;
			continue;
		}
		place = report->place(report->context, ROUTING_PART_RULE,
				      (size_t)(sorted[first] - draft->rules),
				      0);
		routing_report_add(report, FINDING_DUPLICATE_ROUTE,
				   ROUTING_PART_RULE,
				   (size_t)(sorted[i] - draft->rules), 0,
				   "same address and port as %s, only one of "
				   "them applies",
				   place);
		g_free(place);
	}
	g_free(sorted);
}

static void weights_check(const struct route_rule *rule, size_t index,
			  const struct routing_report *report)
{
	for (uint32_t i = 0; i < rule->target_count; i++) {
		if (rule->targets[i].weight > 0)
			return;
	}
	routing_report_add(report, FINDING_ZERO_WEIGHTS, ROUTING_PART_TARGETS,
			   index, 0, "weights sum to 0, all flows are refused");
}

static void rule_check(const struct route_rule *rule, size_t index,
		       GHashTable *defined, const struct routing_report *report)
{
	weights_check(rule, index, report);
	if (rule->time_limit_ms > 0 &&
	    rule->target_latency_ms > rule->time_limit_ms)
		routing_report_add(report, FINDING_TARGET_LATENCY,
				   ROUTING_PART_TARGET_LATENCY, index, 0,
				   "%" PRIu32 " ms is above the time limit of "
				   "%" PRIu32 " ms",
				   rule->target_latency_ms,
				   rule->time_limit_ms);
	for (uint32_t i = 0; defined && i < rule->target_count; i++) {
		if (g_hash_table_contains(defined, rule->targets[i].service))
			continue;
		routing_report_add(report, FINDING_UNDEFINED_SERVICE,
				   ROUTING_PART_TARGET, index, i,
				   "service \"%s\" is not defined",
				   rule->targets[i].service);
	}
}

/* Names of the services that routes lead to, as keys. */
static GHashTable *used_services(const struct routing_draft *draft)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < draft->rule_count; i++) {
		const struct route_rule *rule = &draft->rules[i];

		for (uint32_t j = 0; j < rule->target_count; j++)
			g_hash_table_add(used,
					 (char *)rule->targets[j].service);
	}
	return used;
}

/* Adds the defined services to @defined, name to index + 1. */
static void services_check(const struct routing_draft *draft,
			   GHashTable *defined,
			   const struct routing_report *report)
{
	GHashTable *used = used_services(draft);

	for (size_t i = 0; i < draft->service_count; i++) {
		char *name = draft->services[i].limit.service;

		if (!g_hash_table_add(defined, name))
			routing_report_add(report, FINDING_DUPLICATE_SERVICE,
					   ROUTING_PART_SERVICE, i, 0,
					   "service \"%s\" is defined before, "
					   "only the first definition is used",
					   name);
		else if (!g_hash_table_contains(used, name))
			routing_report_add(report, FINDING_UNUSED_SERVICE,
					   ROUTING_PART_SERVICE, i, 0,
					   "no route leads to service \"%s\"",
					   name);
	}
	g_hash_table_unref(used);
}

void routing_check(const struct routing_draft *draft,
		   const struct routing_report *report)
{
	GHashTable *defined = g_hash_table_new(g_str_hash, g_str_equal);

	services_check(draft, defined, report);
	if (!draft->has_services)
		routing_report_add(report, FINDING_NO_SERVICES,
				   ROUTING_PART_SERVICES, 0, 0,
				   "no definitions of services, so the "
				   "services of routes are not checked");
	duplicate_rules_check(draft, report);
	for (size_t i = 0; i < draft->rule_count; i++)
		rule_check(&draft->rules[i], i,
			   draft->has_services ? defined : NULL, report);
	g_hash_table_unref(defined);
}

void routing_check_connections(const struct routing_draft *draft,
			       const struct service_flows *flows,
			       const struct routing_report *report)
{
	for (size_t i = 0; i < draft->service_count; i++) {
		const struct service_definition *service = &draft->services[i];
		uint64_t open =
			flows->count(flows->context, service->limit.service);

		if (service->connections_max == 0 ||
		    open <= service->connections_max)
			continue;
		routing_report_add(report, FINDING_CONNECTION_LIMIT,
				   ROUTING_PART_SERVICE_CONNECTIONS, i, 0,
				   "%" PRIu32 " is below the %" PRIu64
				   " open flows of service \"%s\" at this "
				   "balancer",
				   service->connections_max, open,
				   service->limit.service);
	}
}

bool routing_draft_has_service(const struct routing_draft *draft,
			       const char *service)
{
	for (size_t i = 0; i < draft->service_count; i++) {
		if (g_str_equal(draft->services[i].limit.service, service))
			return true;
	}
	if (draft->has_services)
		return false;
	for (size_t i = 0; i < draft->rule_count; i++) {
		const struct route_rule *rule = &draft->rules[i];

		for (uint32_t j = 0; j < rule->target_count; j++) {
			if (g_str_equal(rule->targets[j].service, service))
				return true;
		}
	}
	return false;
}
