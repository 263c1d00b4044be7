#include "configuration/settings.h"

#include <string.h>

#include "common/endpoint.h"
#include "configuration/field_reader.h"
#include "configuration/json_text.h"
#include "configuration/settings_text.h"
#include "packet/packet.h"

/** Largest settings file, in bytes. */
#define SETTINGS_BYTES_MAX (64 * 1024)
/** Most seeds that are read. */
#define SEEDS_MAX 64
/** Largest core share that is believed. */
#define CORE_SHARE_MAX 64

static const struct field_choice log_levels[] = {
	{ "error", LOG_LEVEL_ERROR },
	{ "warning", LOG_LEVEL_WARNING },
	{ "info", LOG_LEVEL_INFO },
	{ "debug", LOG_LEVEL_DEBUG },
	{ NULL, 0 },
};

#define ENDPOINT_FIELD(member, required)                                     \
	.name = #member, .type = FIELD_TEXT, .max = ENDPOINT_TEXT_BYTES - 1, \
	.min = (required), .is_required = (required),                        \
	FIELD_MEMBER(settings, member)

static const struct field token_fields[] = {
	{ .name = "instance_id",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(settings, instance_id) },
	{ .name = "availability_zone",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(settings, zone) },
	{ ENDPOINT_FIELD(packet_endpoint, true) },
	{ ENDPOINT_FIELD(readiness_endpoint, true) },
	{ ENDPOINT_FIELD(control_endpoint, true) },
	{ ENDPOINT_FIELD(admin_endpoint, false) },
	{ ENDPOINT_FIELD(store_endpoint, true) },
	{ .name = "sharing_port",
	  .type = FIELD_INTEGER,
	  .min = 1,
	  .max = 65535,
	  .is_required = true,
	  FIELD_MEMBER(settings, sharing_port) },
	{ .name = "core_share",
	  .type = FIELD_TEXT,
	  .max = sizeof(((struct settings *)NULL)->core_share) - 1,
	  .text_default = "1",
	  FIELD_MEMBER(settings, core_share) },
	{ .name = "seeds",
	  .type = FIELD_TEXT_LIST,
	  .max = SEEDS_MAX,
	  .offset = offsetof(struct settings, seeds) },
	{ .name = "log_level",
	  .type = FIELD_CHOICE,
	  .choices = log_levels,
	  .integer_default = LOG_LEVEL_INFO,
	  FIELD_MEMBER(settings, log_level) },
	{ .name = "decision_lines_per_second",
	  .type = FIELD_INTEGER,
	  .unit = "lines/s",
	  .max = 100000,
	  .integer_default = 50,
	  FIELD_MEMBER(settings, decision_lines_per_s) },
	{ .name = "max_flows",
	  .type = FIELD_INTEGER,
	  .unit = "flows",
	  .min = 1024,
	  .max = 16777216,
	  .integer_default = 65536,
	  FIELD_MEMBER(settings, flows_max) },
	{ .name = "flow_age_max_seconds",
	  .type = FIELD_INTEGER,
	  .unit = "seconds",
	  .min = 1,
	  .max = 604800,
	  .integer_default = 60,
	  FIELD_MEMBER(settings, flow_age_max_s) },
	{ .name = "stop_deadline_milliseconds",
	  .type = FIELD_INTEGER,
	  .unit = "ms",
	  .max = 3600000,
	  .integer_default = 4000,
	  FIELD_MEMBER(settings, stop_deadline_ms) },
};

static const struct field_table token_table = {
	token_fields,
	G_N_ELEMENTS(token_fields),
	sizeof(struct settings),
};

const struct field_table *settings_field_table(void)
{
	return &token_table;
}

static bool endpoint_check(const struct field_reader *reader, const char *path,
			   const char *text)
{
	struct endpoint endpoint;
	struct ip_address address;

	if (endpoint_parse(text, &endpoint) &&
	    ip_address_parse(endpoint.address, &address))
		return true;
	return field_reader_fail_at(
		reader, path, "\"%s\", allowed an IP address and a port", text);
}

static bool endpoints_check(const struct field_reader *reader,
			    const struct settings *settings)
{
	return endpoint_check(reader, "$.packet_endpoint",
			      settings->packet_endpoint) &&
	       endpoint_check(reader, "$.readiness_endpoint",
			      settings->readiness_endpoint) &&
	       endpoint_check(reader, "$.control_endpoint",
			      settings->control_endpoint) &&
	       endpoint_check(reader, "$.store_endpoint",
			      settings->store_endpoint) &&
	       (!*settings->admin_endpoint ||
		endpoint_check(reader, "$.admin_endpoint",
			       settings->admin_endpoint));
}

/* The share is a decimal fraction, such as 0.25. */
static bool core_share_check(const struct field_reader *reader,
			     const struct settings *settings)
{
	char *end;
	double share = g_ascii_strtod(settings->core_share, &end);

	if (*end == '\0' && share > 0 && share <= CORE_SHARE_MAX)
		return true;
	return field_reader_fail_at(reader, "$.core_share",
				    "\"%s\", allowed a number above 0 and up "
				    "to %d",
				    settings->core_share, CORE_SHARE_MAX);
}

uint16_t settings_capacity(const struct settings *settings)
{
	return (uint16_t)(g_ascii_strtod(settings->core_share, NULL) * 1000);
}

struct settings *settings_parse(const char *source, const char *data,
				size_t length, struct error *error)
{
	JsonNode *root =
		json_text_parse(source, data, length, ERROR_SETTINGS, error);
	struct settings *settings;
	struct field_reader reader;
	bool is_valid;

	if (!root)
		return NULL;
	settings = g_new0(struct settings, 1);
	field_reader_init(&reader, source, ERROR_SETTINGS, error);
	reader.is_lenient = true;
	is_valid = field_reader_read(&reader, &token_table,
				     json_node_get_object(root), settings) &&
		   endpoints_check(&reader, settings) &&
		   core_share_check(&reader, settings);
	field_reader_clear(&reader);
	json_node_unref(root);
	if (is_valid)
		return settings;
	settings_destroy(settings);
	return NULL;
}

struct settings *settings_load(const char *path, struct error *error)
{
	struct settings *settings = NULL;
	size_t length;
	char *data =
		settings_text_read(path, SETTINGS_BYTES_MAX, &length, error);

	if (data)
		settings = settings_parse(path, data, length, error);
	g_free(data);
	return settings;
}

void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	field_table_clear(&token_table, settings);
	g_free(settings);
}

char *settings_print(const struct settings *settings)
{
	return field_table_text(&token_table, settings);
}

char *settings_diff(const struct settings *a, const struct settings *b)
{
	GString *names = g_string_new(NULL);

	for (size_t i = 0; i < token_table.field_count; i++) {
		const struct field *field = &token_table.fields[i];
		char *before = field_print_value(field, a);
		char *after = field_print_value(field, b);

		if (strcmp(before, after) != 0)
			g_string_append_printf(names, "%s%s",
					       names->len > 0 ? "," : "",
					       field->name);
		g_free(before);
		g_free(after);
	}
	return g_string_free(names, FALSE);
}
