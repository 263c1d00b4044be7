#ifndef PARSLEYLADDER_CONFIGURATION_CONFIGURATION_H
#define PARSLEYLADDER_CONFIGURATION_CONFIGURATION_H

/**
 * One immutable, validated revision of what operators publish: profiles and
 * the services that choose among them.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "packet/packet.h"

/** Longest name of a profile, service, team, host or zone, without the NUL. */
#define NAME_BYTES_MAX 63
/** Largest value that the platform holds, in bytes. */
#define CONFIGURATION_PART_BYTES_MAX (1024 * 1024)

struct field_table;

enum spread_policy {
	SPREAD_FEWEST_MOVES,
	SPREAD_EVEN_LOAD,
};

enum zone_preference {
	ZONE_ANY,
	ZONE_LOCAL_FIRST,
};

enum silent_flow_policy {
	SILENT_FLOW_KEEP,
	SILENT_FLOW_RESET,
};

struct profile {
	char name[NAME_BYTES_MAX + 1];
	enum spread_policy spread;
	/* Excess over the mean that an even-load host may have, in 1/1000. */
	uint32_t even_load_margin_permille;
	enum zone_preference zone_preference;
	/* Excess over the mean at which local_first spills, in 1/1000. */
	uint32_t spill_permille;
	uint32_t new_flows_per_second; /* fleet-wide limit, 0 = none */
	uint32_t drain_s;
	uint32_t idle_timeout_s;
	uint32_t slow_start_s;
	enum silent_flow_policy silent_flows;
};

struct service_address {
	struct ip_address address;
	uint16_t port;
	uint8_t protocol; /* enum packet_protocol */
};

enum host_state {
	HOST_SERVING,
	HOST_DRAINING,
};

struct host {
	char name[NAME_BYTES_MAX + 1];
	uint32_t id; /* XXH32 of "service/host"; unique, never 0 */
	struct ip_address address;
	uint16_t port;
	char zone[NAME_BYTES_MAX + 1];
	uint32_t slots;
	uint32_t connections; /* what the host carries at most */
	enum host_state state;
};

struct service {
	char name[NAME_BYTES_MAX + 1];
	uint32_t id; /* XXH32 of the name; unique, never 0 */
	char team[NAME_BYTES_MAX + 1];
	const struct profile *profile;
	struct service_address *addresses;
	size_t address_count;
	struct host *hosts; /* sorted by id */
	size_t host_count;
};

/** Slot of the hash table from service address to service. */
struct address_slot {
	const struct service_address *address; /* NULL if empty */
	const struct service *service;
};

struct configuration {
	uint64_t revision;
	uint64_t digest; /* of the index, see docs/design.md */
	struct profile *profiles;
	size_t profile_count;
	struct service *services; /* sorted by id */
	size_t service_count;
	/* Parts as published, name to GBytes, kept for peers that ask. */
	GHashTable *parts;
	/* Open addressing, a power of 2 of slots, for one lookup per packet. */
	struct address_slot *address_slots;
	size_t address_slot_mask;
	gint references;
};

/**
 * Parses and validates the @parts (name to GBytes) of @revision. Returns NULL
 * and fills @error with part, JSON path, bad value and allowed range
 * (ERROR_CONFIGURATION). The caller owns one reference.
 */
struct configuration *configuration_create(uint64_t revision, GHashTable *parts,
					   struct error *error);
/**
 * Like configuration_create(), but parts that @previous (or NULL) has with the
 * same bytes are copied from it. Parsing takes most of the time of a change.
 */
struct configuration *
configuration_create_after(const struct configuration *previous,
			   uint64_t revision, GHashTable *parts,
			   struct error *error);
struct configuration *configuration_ref(struct configuration *configuration);
void configuration_unref(struct configuration *configuration);

/**
 * Reads a configuration from files; each file maps to a part by its content.
 * Errors name the file.
 */
struct configuration *configuration_load_files(char *const *paths,
					       size_t path_count,
					       uint64_t revision,
					       struct error *error);

/** Service that has the address of @key, or NULL. */
const struct service *
configuration_find_service(const struct configuration *configuration,
			   const struct flow_key *key);
const struct service *
configuration_service_by_id(const struct configuration *configuration,
			    uint32_t service_id);
const struct service *
configuration_service_by_name(const struct configuration *configuration,
			      const char *name);
const struct host *service_host_by_id(const struct service *service,
				      uint32_t host_id);

/** True for the part names "profiles" and "service/NAME". */
bool configuration_part_name_is_valid(const char *part_name);
/** Fields of a profile, an address, a host and a service. */
const struct field_table *configuration_profile_fields(void);
const struct field_table *configuration_address_fields(void);
const struct field_table *configuration_host_fields(void);
const struct field_table *configuration_service_fields(void);
/** Digest of one part's bytes: XXH3 64-bit. */
uint64_t configuration_part_digest(GBytes *part);
/** Digests of @parts: name to guint64 *, both owned by the result. */
GHashTable *configuration_part_digests(GHashTable *parts);
/** Digest over the sorted "name=digest" lines of @digests. */
uint64_t configuration_digest_of_digests(GHashTable *digests);
/** Digest over the sorted "name=digest" lines of @parts. */
uint64_t configuration_index_digest(GHashTable *parts);

#endif
