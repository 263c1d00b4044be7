#include <inttypes.h>
#include <string.h>

#include "steering/routing_check.h"

struct diff {
	const struct routing_draft *draft;
	const struct routing_draft *current;
	const struct service_flows *flows; /* NULL: not known */
	const struct routing_report *report;
	uint64_t differences;
};

static char *rule_print(const struct route_rule *rule)
{
	char address[IP_ADDRESS_TEXT_BYTES];
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "%s:%u to",
			       ip_address_print(&rule->address, address),
			       rule->port);
	for (uint32_t i = 0; i < rule->target_count; i++) {
		const struct route_target *target = &rule->targets[i];

		g_string_append_printf(text, "%s %s", i > 0 ? "," : "",
				       target->service);
		if (rule->target_count > 1)
			g_string_append_printf(text, " (weight %" PRIu32 ")",
					       target->weight);
	}
	return g_string_free(text, FALSE);
}

static void value_print(GString *text, const char *name, uint32_t before,
			uint32_t after)
{
	if (before != after)
		g_string_append_printf(text,
				       ", %s from %" PRIu32 " to %" PRIu32,
				       name, before, after);
}

static char *attributes_print(const struct route_rule *before,
			      const struct route_rule *after)
{
	GString *text = g_string_new(NULL);

	value_print(text, "priority", before->priority, after->priority);
	value_print(text, "time limit in ms", before->time_limit_ms,
		    after->time_limit_ms);
	value_print(text, "target latency in ms", before->target_latency_ms,
		    after->target_latency_ms);
	if (before->is_idempotent != after->is_idempotent)
		g_string_append(text, after->is_idempotent
					      ? ", requests may be repeated"
					      : ", requests may not be "
						"repeated");
	return g_string_free(text, FALSE);
}

static void rule_added(struct diff *diff, const struct route_rule *rule)
{
	char *text = rule_print(rule);

	diff->differences++;
	routing_report_add(diff->report, FINDING_ROUTE_ADDED, ROUTING_PART_RULE,
			   (size_t)(rule - diff->draft->rules), 0,
			   "route %s is added", text);
	g_free(text);
}

/* Open flows at the services of @rule; "" if they are not known. */
static char *flows_print(const struct diff *diff, const struct route_rule *rule)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; diff->flows && i < rule->target_count; i++) {
		const char *service = rule->targets[i].service;

		g_string_append_printf(
			text, "%s %" PRIu64 " open flows of service \"%s\"",
			i > 0 ? "," : ";",
			diff->flows->count(diff->flows->context, service),
			service);
	}
	return g_string_free(text, FALSE);
}

static void rule_removed(struct diff *diff, const struct route_rule *rule)
{
	char *text = rule_print(rule);
	char *flows = flows_print(diff, rule);

	diff->differences++;
	routing_report_add(diff->report, FINDING_ROUTE_REMOVED,
			   ROUTING_PART_ROUTES, 0, 0, "route %s is removed%s",
			   text, flows);
	g_free(flows);
	g_free(text);
}

static void rule_compare(struct diff *diff, const struct route_rule *rule,
			 const struct route_rule *current)
{
	bool has_targets = route_rule_equal(rule, current);
	bool has_attributes = diff->current->is_partial ||
			      route_rule_attributes_equal(rule, current);
	char *attributes;
	char *before;
	char *after;

	if (has_targets && has_attributes)
		return;
	diff->differences++;
	attributes = has_attributes ? g_strdup("")
				    : attributes_print(current, rule);
	before = rule_print(current);
	after = rule_print(rule);
	routing_report_add(
		diff->report, FINDING_ROUTE_CHANGED, ROUTING_PART_RULE,
		(size_t)(rule - diff->draft->rules), 0,
		"route %s changes%s%s%s", after,
		has_targets ? "" : ", before: ", has_targets ? "" : before,
		attributes);
	g_free(after);
	g_free(before);
	g_free(attributes);
}

/* Of several rules for one address and port, the first one is compared. */
static size_t rule_next(const struct route_rule **rules, size_t index)
{
	size_t next = index + 1;

	while (rules[next] &&
	       route_rule_compare(rules[index], rules[next]) == 0)
		next++;
	return next;
}

static void rules_compare(struct diff *diff)
{
	const struct route_rule **rules = routing_draft_sort(diff->draft);
	const struct route_rule **current = routing_draft_sort(diff->current);
	size_t i = 0;
	size_t j = 0;

	while (rules[i] || current[j]) {
		int order = !rules[i] ? 1
			    : !current[j]
				    ? -1
				    : route_rule_compare(rules[i], current[j]);

		if (order < 0)
			rule_added(diff, rules[i]);
		else if (order > 0)
			rule_removed(diff, current[j]);
		else
			rule_compare(diff, rules[i], current[j]);
		if (order <= 0)
			i = rule_next(rules, i);
		if (order >= 0)
			j = rule_next(current, j);
	}
	g_free(current);
	g_free(rules);
}

/*
 * Name to definition, which is NULL for a service that is not defined. Services
 * are those that routes lead to, and the defined ones if both versions have
 * definitions.
 */
static GHashTable *services_collect(const struct routing_draft *draft,
				    bool has_definitions)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < draft->rule_count; i++) {
		const struct route_rule *rule = &draft->rules[i];

		for (uint32_t j = 0; j < rule->target_count; j++)
			g_hash_table_insert(services,
					    (char *)rule->targets[j].service,
					    NULL);
	}
	for (size_t i = draft->service_count; i > 0; i--) {
		struct service_definition *service = &draft->services[i - 1];
		char *name = service->limit.service;

		/* From the end, so that the first definition of a name stays. */
		if (has_definitions || g_hash_table_contains(services, name))
			g_hash_table_insert(services, name, service);
	}
	return services;
}

static void service_removed(struct diff *diff, const char *name)
{
	uint64_t open = diff->flows
				? diff->flows->count(diff->flows->context, name)
				: 0;

	diff->differences++;
	routing_report_add(diff->report, FINDING_SERVICE_REMOVED,
			   ROUTING_PART_SERVICES, 0, 0,
			   "service \"%s\" is removed", name);
	if (open > 0)
		routing_report_add(diff->report, FINDING_FLOWS_END,
				   ROUTING_PART_SERVICES, 0, 0,
				   "%" PRIu64 " open flows of service \"%s\" "
				   "at this balancer end",
				   open, name);
}

/* A definition without a limit counts as none: balancers do not keep it. */
static bool limits_are_equal(const struct service_definition *a,
			     const struct service_definition *b)
{
	uint32_t rate_a = a ? a->limit.flows_per_1000_s : 0;
	uint32_t rate_b = b ? b->limit.flows_per_1000_s : 0;

	if (rate_a != rate_b)
		return false;
	return rate_a == 0 || a->limit.slow_start_s == b->limit.slow_start_s;
}

static bool services_are_equal(const struct diff *diff,
			       const struct service_definition *a,
			       const struct service_definition *b)
{
	if (!diff->current->is_partial && !limits_are_equal(a, b))
		return false;
	if (!diff->draft->has_services || !diff->current->has_services)
		return true;
	return !a == !b &&
	       (!a || (a->limit.slow_start_s == b->limit.slow_start_s &&
		       g_strcmp0(a->other, b->other) == 0));
}

static void service_compare(struct diff *diff, const char *name,
			    const struct service_definition *service,
			    const struct service_definition *current)
{
	size_t index;

	if (services_are_equal(diff, service, current))
		return;
	diff->differences++;
	index = service ? (size_t)(service - diff->draft->services) : 0;
	routing_report_add(
		diff->report, FINDING_SERVICE_CHANGED,
		service ? ROUTING_PART_SERVICE : ROUTING_PART_SERVICES, index,
		0, "definition of service \"%s\" changes", name);
}

static GList *names_sorted(GHashTable *services)
{
	return g_list_sort(g_hash_table_get_keys(services),
			   (GCompareFunc)strcmp);
}

static void service_visit(struct diff *diff, const char *name,
			  GHashTable *services, GHashTable *current)
{
	const struct service_definition *service =
		g_hash_table_lookup(services, name);

	if (g_hash_table_contains(current, name)) {
		service_compare(diff, name, service,
				g_hash_table_lookup(current, name));
		return;
	}
	diff->differences++;
	routing_report_add(
		diff->report, FINDING_SERVICE_ADDED,
		service ? ROUTING_PART_SERVICE : ROUTING_PART_SERVICES,
		service ? (size_t)(service - diff->draft->services) : 0, 0,
		"service \"%s\" is added", name);
}

static void services_compare(struct diff *diff)
{
	bool has_definitions = diff->draft->has_services &&
			       diff->current->has_services;
	GHashTable *services = services_collect(diff->draft, has_definitions);
	GHashTable *current = services_collect(diff->current, has_definitions);
	GList *names = names_sorted(services);
	GList *current_names = names_sorted(current);

	for (GList *name = names; name; name = name->next)
		service_visit(diff, name->data, services, current);
	for (GList *name = current_names; name; name = name->next) {
		if (!g_hash_table_contains(services, name->data))
			service_removed(diff, name->data);
	}
	g_list_free(current_names);
	g_list_free(names);
	g_hash_table_unref(current);
	g_hash_table_unref(services);
}

static void idle_timeout_compare(struct diff *diff)
{
	uint32_t idle_ms = diff->draft->idle_timeout_ms;
	uint32_t current_ms = diff->current->idle_timeout_ms;

	if (idle_ms == current_ms)
		return;
	diff->differences++;
	routing_report_add(diff->report, FINDING_LIMIT_CHANGED,
			   ROUTING_PART_IDLE_TIMEOUT, 0, 0,
			   "idle timeout changes from %" PRIu32 " ms to "
			   "%" PRIu32 " ms",
			   current_ms, idle_ms);
}

static void version_compare(const struct diff *diff)
{
	uint64_t version = diff->draft->version;
	uint64_t current = diff->current->version;

	if (version > current)
		return;
	if (version == current && diff->differences == 0) {
		routing_report_add(diff->report, FINDING_SAME_VERSION,
				   ROUTING_PART_VERSION, 0, 0,
				   "version %" PRIu64 " is in force already",
				   current);
		return;
	}
	routing_report_add(diff->report, FINDING_OLD_VERSION,
			   ROUTING_PART_VERSION, 0, 0,
			   "%" PRIu64 " is not above %" PRIu64
			   ", the version in force, so it is ignored",
			   version, current);
}

void routing_diff(const struct routing_draft *draft,
		  const struct routing_draft *current,
		  const struct service_flows *flows,
		  const struct routing_report *report)
{
	struct diff diff = {
		.draft = draft,
		.current = current,
		.flows = flows,
		.report = report,
	};

	rules_compare(&diff);
	services_compare(&diff);
	idle_timeout_compare(&diff);
	version_compare(&diff);
}
