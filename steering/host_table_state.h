#ifndef PARSLEYLADDER_STEERING_HOST_TABLE_STATE_H
#define PARSLEYLADDER_STEERING_HOST_TABLE_STATE_H

/**
 * State of the host table, and its layers: host_listing.c applies complete
 * listings and calls host_restore.c, for those of a new era, and
 * host_changes.c. host_restore.c calls host_changes.c, which applies single changes and calls
 * host_services.c and host_tokens.c. host_services.c tells the hosts of routed
 * services from other entries, and calls host_tokens.c. host_zones.c marks the
 * hosts of a zone. host_table.c holds the table and its queries.
 */

#include <glib.h>

#include "steering/host_table.h"
#include "steering/removal_log.h"

struct host_table {
	struct host_table_options options;
	GHashTable *by_id; /* owns the hosts */
	GHashTable *by_token;
	GHashTable *by_service; /* name to GPtrArray of routed hosts */
	GTree *sorted; /* by id */
	struct removal_log *removals; /* of hosts that were never known */
	/* See host_table_oldest_position(), host_table_newest_position(). */
	struct store_position oldest_position;
	struct store_position newest_position;
	struct store_position listed_position; /* newest of a complete listing */
	int64_t wait_end_ns; /* no host waits for longer; 0: none waits */
	uint64_t generation; /* see host_table_generation() */
	uint32_t published_count;
};

/* Changes: host_changes.c. */
void host_put(struct host_table *table,
	      const struct host_announcement *announcement, int64_t now_ns);
/** Newest position of the host that is not a removal. */
struct store_position host_announced_position(const struct known_host *host);
void host_mark_removed(struct host_table *table, struct known_host *host,
		       struct store_position position, int64_t now_ns);
/**
 * The host is unknown although a newer complete listing was applied, so it was
 * removed before that listing: the announcement arrived late.
 */
bool is_announcement_outdated(const struct host_table *table,
			      const struct host_announcement *announcement);

/* Listings of a new era: host_restore.c. */
/** Applies an announcement of such a listing. */
void host_restore_put(struct host_table *table,
		      const struct host_announcement *announcement,
		      int64_t now_ns);
/** The listing as of @position is complete, and @is_listed tells of the host. */
void host_restore_finish(struct host_table *table, struct known_host *host,
			 struct store_position position, bool is_listed,
			 int64_t now_ns);

/* Services: host_services.c. */
/**
 * Adds the host to its service if a route leads to it, and takes it out
 * otherwise. True if that is a change.
 */
bool host_service_update(struct host_table *table, struct known_host *host);
void host_service_leave(struct host_table *table, struct known_host *host);

/* Tokens: host_tokens.c. */
/** Finds the host that a shared token belongs to. */
void token_owner_update(struct host_table *table, uint32_t token);

#endif
