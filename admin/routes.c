#include "admin/routes.h"

#include <string.h>

#define SERVICES_PATH "/v1/services/"
#define FLOW_PARAMETERS 5

struct route {
	const char *path;
	/* Adds one JSON value to @builder, or fills @error. */
	bool (*print)(const struct admin_options *options, GHashTable *query,
		      JsonBuilder *builder, struct error *error);
};

static bool path_not_found(const char *path, struct error *error)
{
	return error_set(error, ERROR_NOT_FOUND, "unknown path '%s'", path);
}

static bool state_print(const struct admin_options *options, GHashTable *query,
			JsonBuilder *builder, struct error *error)
{
	(void)query;
	if (!options->print_state)
		return path_not_found("/v1/state", error);
	options->print_state(options->context, builder);
	return true;
}

static bool members_print(const struct admin_options *options,
			  GHashTable *query, JsonBuilder *builder,
			  struct error *error)
{
	(void)query;
	if (!options->print_members)
		return path_not_found("/v1/members", error);
	options->print_members(options->context, builder);
	return true;
}

static bool routes_print(const struct admin_options *options, GHashTable *query,
			 JsonBuilder *builder, struct error *error)
{
	(void)query;
	if (!options->print_routes)
		return path_not_found("/v1/routes", error);
	options->print_routes(options->context, builder);
	return true;
}

static const char *query_parameter(GHashTable *query, const char *name,
				   struct error *error)
{
	const char *value = query ? g_hash_table_lookup(query, name) : NULL;

	if (!value)
		error_set(error, ERROR_USAGE, "query parameter '%s' is missing",
			  name);
	return value;
}

static bool parameter_invalid(const char *name, const char *value,
			      const char *allowed, struct error *error)
{
	return error_set(error, ERROR_USAGE, "%s '%.64s' is not %s", name,
			 value, allowed);
}

static bool address_read(GHashTable *query, const char *name,
			 struct ip_address *address, struct error *error)
{
	const char *text = query_parameter(query, name, error);

	if (!text)
		return false;
	if (!ip_address_parse(text, address))
		return parameter_invalid(name, text, "an IP address", error);
	return true;
}

static bool port_read(GHashTable *query, const char *name, uint16_t *port,
		      struct error *error)
{
	const char *text = query_parameter(query, name, error);
	guint64 value;

	if (!text)
		return false;
	if (!g_ascii_string_to_unsigned(text, 10, 1, UINT16_MAX, &value, NULL))
		return parameter_invalid(name, text, "a port from 1 to 65535",
					 error);
	*port = (uint16_t)value;
	return true;
}

static bool protocol_read(GHashTable *query, uint8_t *protocol,
			  struct error *error)
{
	const char *text = query_parameter(query, "protocol", error);

	if (!text)
		return false;
	if (strcmp(text, "tcp") == 0)
		*protocol = PACKET_PROTOCOL_TCP;
	else if (strcmp(text, "udp") == 0)
		*protocol = PACKET_PROTOCOL_UDP;
	else
		return parameter_invalid("protocol", text, "tcp or udp", error);
	return true;
}

static bool flow_key_read(GHashTable *query, struct flow_key *key,
			  struct error *error)
{
	memset(key, 0, sizeof(*key));
	if (!protocol_read(query, &key->protocol, error) ||
	    !address_read(query, "caller", &key->caller, error) ||
	    !port_read(query, "caller_port", &key->caller_port, error) ||
	    !address_read(query, "address", &key->service, error) ||
	    !port_read(query, "port", &key->service_port, error))
		return false;
	if (g_hash_table_size(query) != FLOW_PARAMETERS)
		return error_set(
			error, ERROR_USAGE,
			"unknown parameter: expected protocol, caller, "
			"caller_port, address and port");
	if (ip_address_is_v4(&key->caller) != ip_address_is_v4(&key->service))
		return error_set(error, ERROR_USAGE,
				 "caller and address are of two IP versions: "
				 "expected both IPv4 or both IPv6");
	return true;
}

static bool explain_print(const struct admin_options *options,
			  GHashTable *query, JsonBuilder *builder,
			  struct error *error)
{
	struct flow_key key;

	if (!options->print_explain)
		return path_not_found("/v1/explain", error);
	return flow_key_read(query, &key, error) &&
	       options->print_explain(options->context, &key, builder, error);
}

static const struct route routes[] = {
	{ "/v1/explain", explain_print },
	{ "/v1/members", members_print },
	{ "/v1/routes", routes_print },
	{ "/v1/state", state_print },
};

static bool json_print(const struct admin_options *options, const char *path,
		       GHashTable *query, JsonBuilder *builder,
		       struct error *error)
{
	const char *name = path + strlen(SERVICES_PATH);

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].path, path) == 0)
			return routes[i].print(options, query, builder, error);
	}
	if (options->print_service && g_str_has_prefix(path, SERVICES_PATH) &&
	    *name != '\0')
		return options->print_service(options->context, name, builder,
					      error);
	return path_not_found(path, error);
}

static void text_respond(const struct admin_options *options,
			 SoupServerMessage *message,
			 void (*print)(void *context, GString *text))
{
	GString *text = g_string_new(NULL);

	print(options->context, text);
	response_set_text(message, text->str, text->len);
	g_string_free(text, TRUE);
}

void routes_handle(const struct admin_options *options,
		   SoupServerMessage *message, const char *path,
		   GHashTable *query)
{
	struct error error = { .kind = ERROR_INTERNAL, .detail = "no answer" };
	JsonBuilder *builder;

	if (options->print_counters && strcmp(path, "/v1/counters") == 0) {
		text_respond(options, message, options->print_counters);
		return;
	}
	if (options->print_metrics && strcmp(path, "/metrics") == 0) {
		text_respond(options, message, options->print_metrics);
		return;
	}
	builder = json_builder_new();
	if (json_print(options, path, query, builder, &error))
		response_set_json(message, SOUP_STATUS_OK, builder);
	else
		response_set_error(message, 0, &error);
	g_object_unref(builder);
}
