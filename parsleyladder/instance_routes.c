#include "parsleyladder/instance_routes.h"

#include <string.h>

#include "common/json_member.h"
#include "platform/item_fields.h"

static void rule_print(const struct route_rule *rule, JsonBuilder *builder)
{
	char text[IP_ADDRESS_TEXT_BYTES];

	json_builder_begin_object(builder);
	json_member_string(builder, "address",
			   ip_address_print(&rule->address, text));
	json_member_integer(builder, "port", rule->port);
	json_member_integer(builder, "priority", rule->priority);
	json_member_integer(builder, "time_limit_ms", rule->time_limit_ms);
	json_member_integer(builder, "target_latency_ms",
			    rule->target_latency_ms);
	json_member_boolean(builder, "is_idempotent", rule->is_idempotent);
	json_builder_set_member_name(builder, "services");
	json_builder_begin_array(builder);
	for (uint32_t i = 0; i < rule->target_count; i++) {
		json_builder_begin_object(builder);
		json_member_string(builder, "service",
				   rule->targets[i].service);
		json_member_integer(builder, "weight", rule->targets[i].weight);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
}

static void service_flows_print(const char *service, const GPtrArray *hosts,
				JsonBuilder *builder)
{
	int64_t open_flows = 0;

	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);

		open_flows += host->open_flows;
	}
	json_builder_begin_object(builder);
	json_member_string(builder, "service", service);
	json_member_integer(builder, "open_flows", open_flows);
	json_builder_end_object(builder);
}

static void services_print(struct host_table *hosts, JsonBuilder *builder)
{
	GHashTableIter iterator;
	gpointer service;
	gpointer service_hosts;

	json_builder_set_member_name(builder, "services");
	json_builder_begin_array(builder);
	g_hash_table_iter_init(&iterator, host_table_services(hosts));
	while (g_hash_table_iter_next(&iterator, &service, &service_hosts))
		service_flows_print(service, service_hosts, builder);
	json_builder_end_array(builder);
}

static void routing_print(const struct routing *routing, JsonBuilder *builder)
{
	json_member_integer(builder, "version", (int64_t)routing->version);
	json_member_boolean(builder, "is_partial", routing->is_partial);
	json_member_integer(builder, "idle_timeout_ms",
			    routing->idle_timeout_ms);
	json_builder_set_member_name(builder, "routes");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < routing->rule_count; i++)
		rule_print(&routing->rules[i], builder);
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "slow_start_limits");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < routing->limit_count; i++) {
		const struct service_limit *limit = &routing->limits[i];

		json_builder_begin_object(builder);
		json_member_string(builder, "service", limit->service);
		json_member_integer(builder, "slow_start_s",
				    limit->slow_start_s);
		json_member_integer(builder, "flows_per_1000_s",
				    limit->flows_per_1000_s);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

void instance_routes_print(const struct routing *routing,
			   struct host_table *hosts, JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	json_member_boolean(builder, "is_known", routing != NULL);
	if (routing)
		routing_print(routing, builder);
	services_print(hosts, builder);
	json_builder_end_object(builder);
}

static bool uint32_read(JsonObject *object, const char *name, uint32_t *value)
{
	int64_t number;

	if (!integer_get(object, name, 0, UINT32_MAX, &number))
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool boolean_read(JsonObject *object, const char *name, bool *value)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return false;
	*value = json_node_get_boolean(node);
	return true;
}

static bool targets_read(JsonArray *services, struct route_rule *rule)
{
	guint count = services ? json_array_get_length(services) : 0;

	if (count == 0 || count > ROUTE_TARGETS_MAX)
		return false;
	for (guint i = 0; i < count; i++) {
		JsonObject *object = element_get(services, i);
		struct route_target *target = &rule->targets[i];

		if (!object || !name_get(object, "service", target->service) ||
		    !uint32_read(object, "weight", &target->weight))
			return false;
	}
	rule->target_count = count;
	return true;
}

static bool rule_read(JsonObject *object, struct route_rule *rule)
{
	const char *address = object ? string_get(object, "address") : NULL;
	int64_t port;
	int64_t priority;

	if (!address || !ip_address_parse(address, &rule->address) ||
	    !integer_get(object, "port", 1, UINT16_MAX, &port) ||
	    !integer_get(object, "priority", 0, UINT8_MAX, &priority))
		return false;
	rule->port = (uint16_t)port;
	rule->priority = (uint8_t)priority;
	return uint32_read(object, "time_limit_ms", &rule->time_limit_ms) &&
	       uint32_read(object, "target_latency_ms",
			   &rule->target_latency_ms) &&
	       boolean_read(object, "is_idempotent", &rule->is_idempotent) &&
	       targets_read(array_get(object, "services"), rule);
}

static bool rules_read(JsonArray *routes, struct routing_draft *draft)
{
	guint count = routes ? json_array_get_length(routes) : 0;

	if (!routes || count > ROUTES_MAX)
		return false;
	draft->rules = g_new0(struct route_rule, count + 1);
	draft->rule_count = count;
	for (guint i = 0; i < count; i++) {
		if (!rule_read(element_get(routes, i), &draft->rules[i]))
			return false;
	}
	return true;
}

static bool limits_read(JsonArray *limits, struct routing_draft *draft)
{
	guint count = limits ? json_array_get_length(limits) : 0;

	if (!limits || count > SERVICE_LIMITS_MAX)
		return false;
	draft->services = g_new0(struct service_definition, count + 1);
	draft->service_count = count;
	for (guint i = 0; i < count; i++) {
		struct service_limit *limit = &draft->services[i].limit;
		JsonObject *object = element_get(limits, i);

		if (!object || !name_get(object, "service", limit->service) ||
		    !uint32_read(object, "slow_start_s",
				 &limit->slow_start_s) ||
		    !uint32_read(object, "flows_per_1000_s",
				 &limit->flows_per_1000_s))
			return false;
	}
	return true;
}

static bool flows_read(JsonArray *services, GHashTable *open_flows)
{
	guint count = services ? json_array_get_length(services) : 0;

	for (guint i = 0; i < count; i++) {
		JsonObject *object = element_get(services, i);
		char name[NAME_BYTES_MAX + 1];
		uint64_t *open;
		int64_t value;

		if (!object || !name_get(object, "service", name) ||
		    !integer_get(object, "open_flows", 0, G_MAXINT64, &value))
			return false;
		open = g_new(uint64_t, 1);
		*open = (uint64_t)value;
		g_hash_table_insert(open_flows, g_strdup(name), open);
	}
	return services != NULL;
}

static bool draft_read(JsonObject *object, struct routing_draft *draft)
{
	int64_t version;

	if (!integer_get(object, "version", 0, G_MAXINT64, &version))
		return false;
	draft->version = (uint64_t)version;
	return boolean_read(object, "is_partial", &draft->is_partial) &&
	       uint32_read(object, "idle_timeout_ms",
			   &draft->idle_timeout_ms) &&
	       rules_read(array_get(object, "routes"), draft) &&
	       limits_read(array_get(object, "slow_start_limits"), draft);
}

bool instance_routes_read(JsonNode *root, struct instance_routes *routes,
			  struct error *error)
{
	JsonObject *object;
	bool is_known;

	memset(routes, 0, sizeof(*routes));
	routes->open_flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	object = JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root)
					      : NULL;
	if (!object || !boolean_read(object, "is_known", &is_known) ||
	    !flows_read(array_get(object, "services"), routes->open_flows))
		return error_set(error, ERROR_PEER, "response malformed");
	if (!is_known)
		return error_set(error, ERROR_NOT_FOUND,
				 "the balancer has no routes yet");
	if (!draft_read(object, &routes->draft))
		return error_set(error, ERROR_PEER, "routes malformed");
	return true;
}

void instance_routes_clear(struct instance_routes *routes)
{
	routing_draft_clear(&routes->draft);
	g_hash_table_unref(routes->open_flows);
}

static uint64_t flows_count(void *context, const char *service)
{
	const struct instance_routes *routes = context;
	const uint64_t *open = g_hash_table_lookup(routes->open_flows, service);

	return open ? *open : 0;
}

void instance_routes_flows(const struct instance_routes *routes,
			   struct service_flows *flows)
{
	flows->count = flows_count;
	flows->context = (void *)routes;
}
