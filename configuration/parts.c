#include "configuration/parts.h"

#include <string.h>
#include <xxhash.h>

#include "configuration/json_text.h"

static const struct field_choice spreads[] = {
	{ "fewest_moves", SPREAD_FEWEST_MOVES },
	{ "even_load", SPREAD_EVEN_LOAD },
	{ NULL, 0 },
};

static const struct field_choice zone_preferences[] = {
	{ "any", ZONE_ANY },
	{ "local_first", ZONE_LOCAL_FIRST },
	{ NULL, 0 },
};

static const struct field_choice silent_flow_policies[] = {
	{ "keep", SILENT_FLOW_KEEP },
	{ "reset", SILENT_FLOW_RESET },
	{ NULL, 0 },
};

static const struct field_choice protocols[] = {
	{ "tcp", PACKET_PROTOCOL_TCP },
	{ "udp", PACKET_PROTOCOL_UDP },
	{ NULL, 0 },
};

static const struct field_choice host_states[] = {
	{ "serving", HOST_SERVING },
	{ "draining", HOST_DRAINING },
	{ NULL, 0 },
};

static const struct field profile_fields[] = {
	{ .name = "name",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(profile, name) },
	{ .name = "spread",
	  .type = FIELD_CHOICE,
	  .is_required = true,
	  .choices = spreads,
	  FIELD_MEMBER(profile, spread) },
	{ .name = "even_load_margin_permille",
	  .type = FIELD_INTEGER,
	  .unit = "permille",
	  .max = 1000,
	  .integer_default = 10,
	  FIELD_MEMBER(profile, even_load_margin_permille) },
	{ .name = "zone_preference",
	  .type = FIELD_CHOICE,
	  .choices = zone_preferences,
	  .integer_default = ZONE_ANY,
	  FIELD_MEMBER(profile, zone_preference) },
	{ .name = "spill_permille",
	  .type = FIELD_INTEGER,
	  .unit = "permille",
	  .max = 10000,
	  .integer_default = 250,
	  FIELD_MEMBER(profile, spill_permille) },
	{ .name = "new_flows_per_second",
	  .type = FIELD_INTEGER,
	  .unit = "flows/s",
	  .max = 10000000,
	  FIELD_MEMBER(profile, new_flows_per_second) },
	{ .name = "drain_seconds",
	  .type = FIELD_INTEGER,
	  .unit = "seconds",
	  .min = 1,
	  .max = 604800,
	  .integer_default = 28800,
	  FIELD_MEMBER(profile, drain_s) },
	{ .name = "idle_timeout_seconds",
	  .type = FIELD_INTEGER,
	  .unit = "seconds",
	  .min = 1,
	  .max = 604800,
	  .integer_default = 86400,
	  FIELD_MEMBER(profile, idle_timeout_s) },
	{ .name = "slow_start_seconds",
	  .type = FIELD_INTEGER,
	  .unit = "seconds",
	  .max = 3600,
	  .integer_default = 30,
	  FIELD_MEMBER(profile, slow_start_s) },
	{ .name = "silent_flows",
	  .type = FIELD_CHOICE,
	  .choices = silent_flow_policies,
	  .integer_default = SILENT_FLOW_KEEP,
	  FIELD_MEMBER(profile, silent_flows) },
};

static const struct field address_fields[] = {
	{ .name = "address",
	  .type = FIELD_ADDRESS,
	  .is_required = true,
	  FIELD_MEMBER(service_address, address) },
	{ .name = "port",
	  .type = FIELD_INTEGER,
	  .is_required = true,
	  .min = 1,
	  .max = 65535,
	  FIELD_MEMBER(service_address, port) },
	{ .name = "protocol",
	  .type = FIELD_CHOICE,
	  .choices = protocols,
	  .integer_default = PACKET_PROTOCOL_TCP,
	  FIELD_MEMBER(service_address, protocol) },
};

static const struct field host_fields[] = {
	{ .name = "name",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(host, name) },
	{ .name = "address",
	  .type = FIELD_ADDRESS,
	  .is_required = true,
	  FIELD_MEMBER(host, address) },
	{ .name = "port",
	  .type = FIELD_INTEGER,
	  .is_required = true,
	  .min = 1,
	  .max = 65535,
	  FIELD_MEMBER(host, port) },
	{ .name = "availability_zone",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(host, zone) },
	{ .name = "slots",
	  .type = FIELD_INTEGER,
	  .is_required = true,
	  .unit = "slots",
	  .min = 1,
	  .max = 1024,
	  FIELD_MEMBER(host, slots) },
	{ .name = "connections",
	  .type = FIELD_INTEGER,
	  .is_required = true,
	  .unit = "connections",
	  .min = 1,
	  .max = 10000000,
	  FIELD_MEMBER(host, connections) },
	{ .name = "state",
	  .type = FIELD_CHOICE,
	  .choices = host_states,
	  .integer_default = HOST_SERVING,
	  FIELD_MEMBER(host, state) },
};

static const struct field_table profile_table = { profile_fields,
						  G_N_ELEMENTS(profile_fields),
						  sizeof(struct profile) };

static const struct field_table address_table = {
	address_fields, G_N_ELEMENTS(address_fields),
	sizeof(struct service_address)
};

static const struct field_table host_table = { host_fields,
					       G_N_ELEMENTS(host_fields),
					       sizeof(struct host) };

static const struct field profiles_fields[] = {
	{ .name = "profiles",
	  .type = FIELD_OBJECT_LIST,
	  .is_required = true,
	  .min = 1,
	  .max = 1024,
	  .element = &profile_table,
	  .offset = offsetof(struct profiles_document, profiles),
	  .count_offset = offsetof(struct profiles_document, profile_count) },
};

static const struct field service_fields[] = {
	{ .name = "name",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(service_document, service.name) },
	{ .name = "team",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(service_document, service.team) },
	{ .name = "profile",
	  .type = FIELD_NAME,
	  .is_required = true,
	  FIELD_MEMBER(service_document, profile_name) },
	{ .name = "addresses",
	  .type = FIELD_OBJECT_LIST,
	  .is_required = true,
	  .min = 1,
	  .max = 1024,
	  .element = &address_table,
	  .offset = offsetof(struct service_document, service.addresses),
	  .count_offset =
		  offsetof(struct service_document, service.address_count) },
	/* A service without hosts would refuse every flow. */
	{ .name = "hosts",
	  .type = FIELD_OBJECT_LIST,
	  .is_required = true,
	  .min = 1,
	  .max = 4096,
	  .element = &host_table,
	  .offset = offsetof(struct service_document, service.hosts),
	  .count_offset =
		  offsetof(struct service_document, service.host_count) },
};

static const struct field_table profiles_table = {
	profiles_fields, G_N_ELEMENTS(profiles_fields),
	sizeof(struct profiles_document)
};

static const struct field_table service_table = {
	service_fields, G_N_ELEMENTS(service_fields),
	sizeof(struct service_document)
};

const struct field_table *configuration_profile_fields(void)
{
	return &profile_table;
}

const struct field_table *configuration_address_fields(void)
{
	return &address_table;
}

const struct field_table *configuration_host_fields(void)
{
	return &host_table;
}

const struct field_table *configuration_service_fields(void)
{
	return &service_table;
}

static bool document_read(const char *source, GBytes *part,
			  const struct field_table *table, void *document,
			  struct error *error)
{
	struct field_reader reader;
	size_t length;
	const char *data = g_bytes_get_data(part, &length);
	JsonNode *root;
	bool is_read;

	if (length > CONFIGURATION_PART_BYTES_MAX)
		return error_set(error, ERROR_CONFIGURATION,
				 "%s: %zu bytes, allowed at most %d", source,
				 length, CONFIGURATION_PART_BYTES_MAX);
	root = json_text_parse(source, data, length, ERROR_CONFIGURATION,
			       error);
	if (!root)
		return false;
	field_reader_init(&reader, source, ERROR_CONFIGURATION, error);
	is_read = field_reader_read(&reader, table, json_node_get_object(root),
				    document);
	field_reader_clear(&reader);
	json_node_unref(root);
	return is_read;
}

bool profiles_document_read(const char *source, GBytes *part,
			    struct profiles_document *document,
			    struct error *error)
{
	return document_read(source, part, &profiles_table, document, error);
}

uint32_t configuration_id_of(const char *text)
{
	uint32_t id = XXH32(text, strlen(text), 0);

	return id == 0 ? 1 : id;
}

bool service_document_read(const char *source, GBytes *part,
			   struct service_document *document,
			   struct error *error)
{
	struct service *service = &document->service;

	if (!document_read(source, part, &service_table, document, error))
		return false;
	service->id = configuration_id_of(service->name);
	for (size_t i = 0; i < service->host_count; i++) {
		struct host *host = &service->hosts[i];
		char *text = g_strconcat(service->name, "/", host->name, NULL);

		host->id = configuration_id_of(text);
		g_free(text);
	}
	return true;
}

void profiles_document_clear(struct profiles_document *document)
{
	field_table_clear(&profiles_table, document);
}

void service_document_clear(struct service_document *document)
{
	field_table_clear(&service_table, document);
}
