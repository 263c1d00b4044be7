#ifndef PARSLEYLADDER_CONFIGURATION_SETTINGS_H
#define PARSLEYLADDER_CONFIGURATION_SETTINGS_H

/**
 * Settings of a balancer, read from a JSON file.
 * Unknown fields are skipped, as newer deployments may add some.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/log.h"
#include "common/name.h"

/** Maximum length of ADDRESS:PORT, in bytes with the terminating NUL. */
#define ENDPOINT_TEXT_BYTES 64

#define ADMIN_TOKEN_BYTES_MAX 63

enum zone_preference {
	ZONE_LOCAL_FIRST,
	ZONE_ANY,
};

/** How new flows are handled; a service refers to a profile by its name. */
struct profile_settings {
	char name[NAME_BYTES_MAX + 1];
	enum zone_preference zone_preference;
	uint32_t new_flows_per_s; /* of a service, 0 = no limit */
};

struct team_settings {
	char name[NAME_BYTES_MAX + 1];
	uint32_t new_flows_per_s; /* of all its services, 0 = no limit */
};

struct service_settings {
	char name[NAME_BYTES_MAX + 1];
	char profile[NAME_BYTES_MAX + 1];
	char team[NAME_BYTES_MAX + 1]; /* "" = none */
};

struct settings {
	char instance_id[NAME_BYTES_MAX + 1];
	char zone[NAME_BYTES_MAX + 1]; /* key "availability_zone" */
	/* All zones of the deployment, NULL-terminated; empty: not known. */
	char **availability_zones;
	char packet_endpoint[ENDPOINT_TEXT_BYTES];
	char readiness_endpoint[ENDPOINT_TEXT_BYTES];
	/*
	 * For other balancers. Only the address is used: their datagrams go to
	 * sharing_port.
	 */
	char control_endpoint[ENDPOINT_TEXT_BYTES];
	char admin_endpoint[ENDPOINT_TEXT_BYTES]; /* "" = none */
	/* Bearer token of the administration API; "" = none. */
	char admin_token[ADMIN_TOKEN_BYTES_MAX + 1];
	char store_endpoint[ENDPOINT_TEXT_BYTES];
	uint16_t sharing_port; /* UDP, the same on all balancers */
	char core_share[16]; /* CPU share of the instance, in cores */
	/*
	 * Control endpoints of other members, NULL-terminated. Only the address
	 * is used: datagrams go to sharing_port.
	 */
	char **seeds;
	enum log_level log_level;
	uint32_t decision_lines_per_s; /* log lines about single flows */
	uint32_t flows_max;
	/*
	 * Key "flow_age_max_seconds": how long a removed host is kept; longer
	 * while it has flows.
	 */
	uint32_t flow_age_max_s;
	/*
	 * At start, time to wait for the first response of another balancer
	 * before listing the store.
	 */
	uint32_t member_wait_ms;
	uint32_t stop_deadline_ms;
	/* Whether new flows leave a busy availability zone. */
	bool spillover;
	/* They do if the response comes this much earlier. */
	uint32_t spillover_gain_ms;
	/* Whether hosts that fail fast get new flows only if need be. */
	bool failing_host_ejection;
	bool host_speed_weights; /* hosts get flows by their speeds, too */
	/* Whether the limits that the configuration gives cold hosts apply. */
	bool slow_start_limits;
	/* Key "slow_start_overage": factor on these limits. */
	uint32_t slow_start_overage_permille;
	/* Key "slow_start_slack_flows": added to them, in thousandths. */
	uint32_t slow_start_slack_permille;
	/* While hosts are full, new flows of less urgent routes are refused. */
	bool admission_by_priority;
	struct profile_settings *profiles;
	size_t profile_count;
	struct team_settings *teams;
	size_t team_count;
	struct service_settings *services;
	size_t service_count;
};

struct field_table;

const struct field_table *settings_field_table(void);
/** Returns NULL and fills @error (ERROR_SETTINGS). */
struct settings *settings_parse(const char *source, const char *data,
				size_t length, struct error *error);
/** Like settings_parse(), from the file @path. */
struct settings *settings_load(const char *path, struct error *error);
/** Returns NULL if there is no such profile. */
const struct profile_settings *
settings_find_profile(const struct settings *settings, const char *name);
/** True if the deployment has the zone, or if its zones are not known. */
bool settings_has_zone(const struct settings *settings, const char *zone);
/** CPU share of the instance, in thousandths of a core. */
uint16_t settings_capacity(const struct settings *settings);
/** Accepts NULL. */
void settings_destroy(struct settings *settings);
/** Settings as JSON text, defaults included; g_free() it. */
char *settings_print(const struct settings *settings);
/** Names of the fields that differ, separated by commas; g_free() it. */
char *settings_diff(const struct settings *a, const struct settings *b);

#endif
