#include "balancer_private.h"
#include "common/json_member.h"

static const char *host_state_name(enum host_state state)
{
	return state == HOST_DRAINING ? "draining" : "serving";
}

static void hosts_print(const struct service *service, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "hosts");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < service->host_count; i++) {
		const struct host *host = &service->hosts[i];

		json_builder_begin_object(builder);
		json_member_string(builder, "name", host->name);
		json_member_string(builder, "availability_zone", host->zone);
		json_member_string(builder, "state",
				   host_state_name(host->state));
		json_builder_set_member_name(builder, "id");
		json_builder_add_int_value(builder, host->id);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static bool service_print(void *context, const char *name, JsonBuilder *builder,
			  struct error *error)
{
	const struct balancer *balancer = context;
	const struct service *service = NULL;

	if (balancer->configuration)
		service = configuration_service_by_name(balancer->configuration,
							name);
	if (!service)
		return error_set(error, ERROR_NOT_FOUND, "no service '%s'",
				 name);
	json_builder_begin_object(builder);
	json_member_string(builder, "name", service->name);
	json_member_string(builder, "team", service->team);
	json_member_string(builder, "profile", service->profile->name);
	json_builder_set_member_name(builder, "revision");
	json_builder_add_int_value(builder,
				   (gint64)balancer->configuration->revision);
	hosts_print(service, builder);
	json_builder_end_object(builder);
	return true;
}

static bool explain_print(void *context, const struct flow_key *key,
			  JsonBuilder *builder, struct error *error)
{
	const struct balancer *balancer = context;
	struct core_action action;

	(void)error;
	core_explain(balancer->core, key, &action);
	json_builder_begin_object(builder);
	json_member_string(builder, "action", core_action_name(action.kind));
	json_member_string(builder, "rule", core_reason_name(action.reason));
	if (action.service)
		json_member_string(builder, "service", action.service->name);
	if (action.kind == CORE_FORWARD && action.host)
		json_member_string(builder, "host", action.host->name);
	if (action.kind == CORE_PASS_ON)
		json_member_string(builder, "instance",
				   peering_member_name(balancer->peering,
						       action.member_id));
	json_builder_end_object(builder);
	return true;
}

static void members_print(void *context, JsonBuilder *builder)
{
	const struct balancer *balancer = context;

	json_builder_begin_object(builder);
	peering_print_json(balancer->peering, builder);
	json_builder_end_object(builder);
}

static void counters_append(JsonNode *node, GString *prefix, GString *text);

static void member_append(JsonObject *object, const gchar *name, JsonNode *node,
			  gpointer context)
{
	GString **buffers = context;
	gsize length = buffers[0]->len;

	(void)object;
	if (length > 0)
		g_string_append_c(buffers[0], '_');
	g_string_append(buffers[0], name);
	counters_append(node, buffers[0], buffers[1]);
	g_string_truncate(buffers[0], length);
}

/* Arrays are left out: their elements have no stable names. */
static void counters_append(JsonNode *node, GString *prefix, GString *text)
{
	GString *buffers[] = { prefix, text };

	if (JSON_NODE_HOLDS_OBJECT(node))
		json_object_foreach_member(json_node_get_object(node),
					   member_append, buffers);
	else if (JSON_NODE_HOLDS_VALUE(node) &&
		 json_node_get_value_type(node) == G_TYPE_INT64)
		g_string_append_printf(text, "%s %" G_GINT64_FORMAT "\n",
				       prefix->str, json_node_get_int(node));
}

static void counters_print(void *context, GString *text)
{
	JsonBuilder *builder = json_builder_new();
	GString *prefix = g_string_new(NULL);
	JsonNode *root;

	balancer_print_json(context, builder);
	root = json_builder_get_root(builder);
	counters_append(root, prefix, text);
	json_node_unref(root);
	g_string_free(prefix, TRUE);
	g_object_unref(builder);
}

bool balancer_admin_open(struct balancer *balancer, struct error *error)
{
	const struct admin_options options = {
		.address = balancer->settings->admin_address,
		.port = balancer->settings->admin_port,
		.token = balancer->settings->admin_token,
		.print_state = balancer_print_json,
		.print_members = members_print,
		.print_service = service_print,
		.print_explain = explain_print,
		.print_counters = counters_print,
		.context = balancer,
	};

	balancer->admin = admin_create(&options, error);
	return balancer->admin != NULL;
}

void balancer_admin_close(struct balancer *balancer)
{
	if (balancer->admin)
		admin_destroy(balancer->admin);
}
