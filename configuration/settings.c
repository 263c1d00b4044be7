#include "configuration/settings.h"

#include <string.h>

#include "common/endpoint.h"
#include "configuration/field_reader.h"
#include "configuration/json_text.h"
#include "configuration/settings_text.h"
#include "packet/packet.h"

/** Largest settings file, in bytes. */
#define SETTINGS_BYTES_MAX (512 * 1024)
/** Maximum number of seeds. */
#define SEEDS_MAX 64
/** Maximum number of availability zones. */
#define ZONES_MAX 64
/** Maximum numbers of profiles, teams and services. */
#define PROFILES_MAX 64
#define TEAMS_MAX 256
#define SERVICES_MAX 2048
/** Largest core share that is accepted. */
#define CORE_SHARE_MAX 64

static const struct field_choice log_levels[] = {
	{ "error", LOG_LEVEL_ERROR },
	{ "warning", LOG_LEVEL_WARNING },
	{ "info", LOG_LEVEL_INFO },
	{ "debug", LOG_LEVEL_DEBUG },
	{ NULL, 0 },
};

static const struct field_choice switches[] = {
	{ "off", false },
	{ "on", true },
	{ NULL, 0 },
};

#define ENDPOINT_FIELD(member, required)                                     \
	.name = #member, .type = FIELD_TEXT, .max = ENDPOINT_TEXT_BYTES - 1, \
	.min = (required), .is_required = (required),                        \
	FIELD_MEMBER(settings, member)

static const struct field_choice zone_preferences[] = {
	{ "local_first", ZONE_LOCAL_FIRST },
	{ "any", ZONE_ANY },
	{ NULL, 0 },
};

#define NEW_FLOWS_FIELD(structure)                             \
	.name = "new_flows_per_second", .type = FIELD_INTEGER, \
	.unit = "flows/s", .max = 1000000,                     \
	FIELD_MEMBER(structure, new_flows_per_s)

static const struct field profile_fields[] = {
	{ .name = "name",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(profile_settings, name) },
	{ .name = "zone_preference",
	  .type = FIELD_CHOICE,
	  .choices = zone_preferences,
	  .integer_default = ZONE_LOCAL_FIRST,
	  FIELD_MEMBER(profile_settings, zone_preference) },
	{ NEW_FLOWS_FIELD(profile_settings) },
};

static const struct field team_fields[] = {
	{ .name = "name",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(team_settings, name) },
	{ NEW_FLOWS_FIELD(team_settings) },
};

static const struct field service_fields[] = {
	{ .name = "name",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(service_settings, name) },
	{ .name = "profile",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(service_settings, profile) },
	{ .name = "team",
	  .type = FIELD_TEXT,
	  .max = NAME_BYTES_MAX,
	  FIELD_MEMBER(service_settings, team) },
};

static const struct field_table profile_table = {
	profile_fields,
	G_N_ELEMENTS(profile_fields),
	sizeof(struct profile_settings),
};

static const struct field_table team_table = {
	team_fields,
	G_N_ELEMENTS(team_fields),
	sizeof(struct team_settings),
};

static const struct field_table service_table = {
	service_fields,
	G_N_ELEMENTS(service_fields),
	sizeof(struct service_settings),
};

#define OBJECTS_FIELD(member, count_member, table, maximum)           \
	.name = #member, .type = FIELD_OBJECT_LIST, .max = (maximum), \
	.offset = offsetof(struct settings, member),                  \
	.count_offset = offsetof(struct settings, count_member),      \
	.element = &(table)

static const struct field settings_fields[] = {
	{ .name = "instance_id",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(settings, instance_id) },
	{ .name = "availability_zone",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(settings, zone) },
	{ .name = "availability_zones",
	  .type = FIELD_TEXT_LIST,
	  .max = ZONES_MAX,
	  .offset = offsetof(struct settings, availability_zones) },
	{ ENDPOINT_FIELD(packet_endpoint, true) },
	{ ENDPOINT_FIELD(readiness_endpoint, true) },
	{ ENDPOINT_FIELD(control_endpoint, true) },
	{ ENDPOINT_FIELD(admin_endpoint, false) },
	{ .name = "admin_token",
	  .type = FIELD_TEXT,
	  .max = ADMIN_TOKEN_BYTES_MAX,
	  .is_secret = true,
	  FIELD_MEMBER(settings, admin_token) },
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
	{ .name = "member_wait_milliseconds",
	  .type = FIELD_INTEGER,
	  .unit = "ms",
	  .max = 60000,
	  .integer_default = 20,
	  FIELD_MEMBER(settings, member_wait_ms) },
	{ .name = "stop_deadline_milliseconds",
	  .type = FIELD_INTEGER,
	  .unit = "ms",
	  .max = 3600000,
	  .integer_default = 4000,
	  FIELD_MEMBER(settings, stop_deadline_ms) },
	{ .name = "spillover",
	  .type = FIELD_CHOICE,
	  .choices = switches,
	  .integer_default = true,
	  FIELD_MEMBER(settings, spillover) },
	{ .name = "spillover_gain_milliseconds",
	  .type = FIELD_INTEGER,
	  .unit = "ms",
	  .max = 60000,
	  .integer_default = 5,
	  FIELD_MEMBER(settings, spillover_gain_ms) },
	{ .name = "failing_host_ejection",
	  .type = FIELD_CHOICE,
	  .choices = switches,
	  .integer_default = true,
	  FIELD_MEMBER(settings, failing_host_ejection) },
	{ .name = "host_speed_weights",
	  .type = FIELD_CHOICE,
	  .choices = switches,
	  .integer_default = true,
	  FIELD_MEMBER(settings, host_speed_weights) },
	{ .name = "slow_start_limits",
	  .type = FIELD_CHOICE,
	  .choices = switches,
	  .integer_default = true,
	  FIELD_MEMBER(settings, slow_start_limits) },
	{ .name = "slow_start_overage",
	  .type = FIELD_DECIMAL,
	  .max = 1000,
	  .text_default = "1",
	  FIELD_MEMBER(settings, slow_start_overage_permille) },
	{ .name = "slow_start_slack_flows",
	  .type = FIELD_DECIMAL,
	  .unit = "flows",
	  .max = 1000000,
	  .text_default = "0",
	  FIELD_MEMBER(settings, slow_start_slack_permille) },
	{ .name = "admission_by_priority",
	  .type = FIELD_CHOICE,
	  .choices = switches,
	  .integer_default = false,
	  FIELD_MEMBER(settings, admission_by_priority) },
	{ OBJECTS_FIELD(profiles, profile_count, profile_table, PROFILES_MAX) },
	{ OBJECTS_FIELD(teams, team_count, team_table, TEAMS_MAX) },
	{ OBJECTS_FIELD(services, service_count, service_table, SERVICES_MAX) },
};

static const struct field_table settings_table = {
	settings_fields,
	G_N_ELEMENTS(settings_fields),
	sizeof(struct settings),
};

const struct field_table *settings_field_table(void)
{
	return &settings_table;
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
		reader, path,
		"\"%s\" is not valid, allowed an IP address and a port of 1 "
		"to 65535, as ADDRESS:PORT",
		text);
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

/* The share is a decimal number of CPU cores, such as 0.25 or 2. */
static bool core_share_check(const struct field_reader *reader,
			     const struct settings *settings)
{
	char *end;
	double share = g_ascii_strtod(settings->core_share, &end);

	if (*end == '\0' && share > 0 && share <= CORE_SHARE_MAX)
		return true;
	return field_reader_fail_at(
		reader, "$.core_share",
		"\"%s\" is not valid, allowed a number above 0 and up to "
		"%d",
		settings->core_share, CORE_SHARE_MAX);
}

const struct profile_settings *
settings_find_profile(const struct settings *settings, const char *name)
{
	for (size_t i = 0; i < settings->profile_count; i++) {
		if (strcmp(settings->profiles[i].name, name) == 0)
			return &settings->profiles[i];
	}
	return NULL;
}

static bool team_is_known(const struct settings *settings, const char *name)
{
	for (size_t i = 0; i < settings->team_count; i++) {
		if (strcmp(settings->teams[i].name, name) == 0)
			return true;
	}
	return *name == '\0';
}

static bool service_fail(const struct field_reader *reader, size_t index,
			 const char *field, const char *value,
			 const char *problem)
{
	char *path = g_strdup_printf("$.services[%zu].%s", index, field);

	field_reader_fail_at(reader, path, "\"%s\" %s", value, problem);
	g_free(path);
	return false;
}

static bool services_check(const struct field_reader *reader,
			   const struct settings *settings)
{
	for (size_t i = 0; i < settings->service_count; i++) {
		const struct service_settings *service = &settings->services[i];

		if (!settings_find_profile(settings, service->profile))
			return service_fail(reader, i, "profile",
					    service->profile,
					    "is not known, allowed the name of "
					    "a profile");
		if (!team_is_known(settings, service->team))
			return service_fail(reader, i, "team", service->team,
					    "is not known, allowed the name of "
					    "a team");
	}
	return true;
}

bool settings_has_zone(const struct settings *settings, const char *zone)
{
	const char *const *zones =
		(const char *const *)settings->availability_zones;

	return !zones || !*zones || g_strv_contains(zones, zone);
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
	is_valid = field_reader_read(&reader, &settings_table,
				     json_node_get_object(root), settings) &&
		   endpoints_check(&reader, settings) &&
		   core_share_check(&reader, settings) &&
		   services_check(&reader, settings);
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
	field_table_clear(&settings_table, settings);
	g_free(settings);
}

char *settings_print(const struct settings *settings)
{
	return field_table_text(&settings_table, settings);
}

char *settings_diff(const struct settings *a, const struct settings *b)
{
	GString *names = g_string_new(NULL);

	for (size_t i = 0; i < settings_table.field_count; i++) {
		const struct field *field = &settings_table.fields[i];
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
