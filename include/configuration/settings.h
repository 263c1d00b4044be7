#ifndef PARSLEYLADDER_CONFIGURATION_SETTINGS_H
#define PARSLEYLADDER_CONFIGURATION_SETTINGS_H

/**
 * Settings of one balancer process, read once from a JSON file at start.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/log.h"
#include "configuration/configuration.h"
#include "peer/transport.h"

struct peer_settings {
	char instance_id[NAME_BYTES_MAX + 1];
	char zone[NAME_BYTES_MAX + 1]; /* key "availability_zone" */
	char address[IP_ADDRESS_TEXT_BYTES];
	uint16_t pass_port;
	uint16_t peer_port;
	char public_key[CURVE_KEY_TEXT_BYTES];
};

struct settings {
	char instance_id[NAME_BYTES_MAX + 1];
	char zone[NAME_BYTES_MAX + 1];
	char data_address[IP_ADDRESS_TEXT_BYTES];
	uint16_t data_port;
	uint16_t pass_port;
	uint16_t peer_port;
	/* Where packets towards callers (refusals) are sent, in GUE. */
	char fabric_address[IP_ADDRESS_TEXT_BYTES];
	uint16_t fabric_port;
	char admin_address[IP_ADDRESS_TEXT_BYTES];
	uint16_t admin_port;
	char admin_token[NAME_BYTES_MAX + 1]; /* "" = none asked for */
	char platform_url[256]; /* "" = configuration from files */
	struct peer_settings *peers;
	size_t peer_count;
	uint64_t flow_hash_seed;
	enum log_level log_level;
	uint32_t control_bytes_per_second;
	char public_key[CURVE_KEY_TEXT_BYTES];
	char secret_key[CURVE_KEY_TEXT_BYTES];
	char **accepted_keys; /* NULL-terminated */
	uint32_t drain_deadline_s; /* key "drain_deadline_seconds" */
	uint32_t exceptions_max; /* key "max_exceptions" */
	char **configuration_files; /* NULL-terminated */
};

struct field_table;

/** Fields of the settings, with ranges and defaults. */
const struct field_table *settings_field_table(void);
/**
 * Reads @length bytes of JSON; @source names them in errors. Returns NULL and
 * fills @error (ERROR_SETTINGS) with source, JSON path, value and range.
 */
struct settings *settings_parse(const char *source, const char *data,
				size_t length, struct error *error);
/** Like settings_parse(), from the file @path. */
struct settings *settings_load(const char *path, struct error *error);
void settings_destroy(struct settings *settings);
/** Settings as JSON text, defaults included, secrets masked; g_free() it. */
char *settings_print(const struct settings *settings);
/** Numeric id of an instance: XXH3 64-bit of its name. */
uint64_t instance_id_hash(const char *instance_id);

#endif
