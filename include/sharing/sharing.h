#ifndef PARSLEYLADDER_SHARING_SHARING_H
#define PARSLEYLADDER_SHARING_SHARING_H

/**
 * Replicates the published state (hosts and routes) between balancers. In each
 * zone the highest-ranked responsive member reads the store, and the others
 * poll it as their leader. A leader that does not respond, or whose replica is
 * stale, is skipped. Any balancer may become a store reader: one that finds no
 * member with a fresh replica reads the store itself. There is no election,
 * because two readers do no harm. No I/O is done here, and the clock is passed
 * in.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/store_position.h"
#include "sharing/members.h"
#include "sharing/sharing_message.h"
#include "steering/steering.h"

/** Status of the local replica of the published state. */
struct replica_status {
	bool is_complete; /* a listing was applied completely */
	/*
	 * All changes up to it were applied, those of the routes included. The
	 * store is watched from it, so it must not be raised before they are.
	 */
	struct store_position position;
	/* Version of the routes that belong to the listing; 0 for none. */
	uint64_t listed_routes_version;
	int64_t confirmed_ns; /* last known to be up to date; 0 for never */
	/*
	 * A listing of the store, or the state of a member that has one, was
	 * applied to the drained zones.
	 */
	bool has_zone_drains;
	/*
	 * All changes of drained zones up to it were applied; none before
	 * @has_zone_drains. It may be before @position, as messages about
	 * drained zones are sent apart from updates.
	 */
	struct store_position zone_drains_position;
	const char *source; /* of the last change: "none", "store" or "peer" */
};

enum sharing_counter {
	SHARING_POLLS_SENT,
	SHARING_POLLS_RECEIVED, /* from other balancers */
	SHARING_POLL_TIMEOUTS, /* sent, without a response in time */
	SHARING_UPDATES_APPLIED, /* accepted for applying */
	SHARING_UPDATES_REJECTED, /* not from a polled member, or with a gap */
	SHARING_UPDATES_PUSHED,
	SHARING_LISTINGS_STARTED, /* requested from a member */
	SHARING_LISTINGS_REJECTED, /* too many served at the same time */
	SHARING_LOOKUPS_SENT, /* of hosts by token */
	SHARING_LOOKUP_RESPONSES,
	SHARING_MALFORMED,
	SHARING_LEADER_CHANGES,
	SHARING_SPEED_REPORTS_SENT, /* response times of hosts, to the leader */
	SHARING_SPEED_REPORTS_RECEIVED,
	SHARING_SPEEDS_SENT, /* messages with speeds, to followers */
	SHARING_SPEEDS_RECEIVED, /* from the leader */
	SHARING_BYTES_SENT,
	SHARING_DRAINS_SENT, /* messages about drained zones */
	SHARING_DRAINS_RECEIVED,
	SHARING_COUNTERS,
};

extern const char *const sharing_counter_names[SHARING_COUNTERS];

#define SHARING_START_TICK_MS 10

struct sharing;

struct sharing_options {
	const struct clock *clock;
	uint32_t address; /* of this balancer, IPv4 in host byte order */
	const char *zone;
	uint16_t capacity; /* share of a core, per mille */
	uint64_t random_seed;
	/** How long to wait for the first response of a member. */
	uint32_t member_wait_ms;
	struct steering *steering;
	/** Shared with the store client. */
	struct replica_status *replica_status;
	void (*send)(void *context, uint32_t address, const uint8_t *data,
		     size_t length);
	/** Newer routes were received; the callee takes a reference. */
	void (*on_routing)(void *context, struct routing *routing);
	/** This balancer is to start or stop reading the store. */
	void (*on_store_reader_changed)(void *context, bool is_store_reader,
					const char *reason);
	/** The leader changed to @address; 0 for none. */
	void (*on_leader_changed)(void *context, uint32_t address,
				  const char *reason);
	/** The member at @address announced newer routes, which are requested. */
	void (*on_routes_announced)(void *context, uint32_t address,
				    uint64_t version);
	/** A transfer of routes ended after @chunks, before the last one. */
	void (*on_routes_dropped)(void *context, uint64_t version,
				  uint32_t chunks, const char *reason);
	void *context;
};

struct sharing *sharing_create(const struct sharing_options *options);
void sharing_destroy(struct sharing *sharing);
/** Replaces the seed addresses for discovery. */
void sharing_set_seeds(struct sharing *sharing, const uint32_t *addresses,
		       size_t count);
/**
 * To be called every STEERING_TICK_MS, and every SHARING_START_TICK_MS until
 * sharing_is_synced() and sharing_knows_zone_drains().
 */
void sharing_tick(struct sharing *sharing);
/** Handles a datagram from the balancer at @address. */
void sharing_handle_datagram(struct sharing *sharing, uint32_t address,
			     const uint8_t *data, size_t length);
/**
 * Asks other balancers for the host that has the token. A host in a response is
 * added to the host table, marked as removed if it was. Rate-limited.
 */
void sharing_lookup_token(struct sharing *sharing, uint32_t token);
/**
 * Handles the first page of a listing from the store. If more pages follow, a
 * starting balancer may stop reading and list from a member instead.
 */
void sharing_handle_first_page(struct sharing *sharing, bool has_more);
/** Sends the latest changes to the followers. */
void sharing_push(struct sharing *sharing);
/** The process was paused: the replica is stale by the length of the pause. */
void sharing_handle_resume(struct sharing *sharing);
/** Text of a balancer's address, "none" for 0. */
const char *sharing_address_print(uint32_t address,
				  char text[IP_ADDRESS_TEXT_BYTES]);
/** True once all hosts, and the routes that belong to them, were received. */
bool sharing_is_synced(const struct sharing *sharing);
/**
 * True once the drained zones were received, or the wait for them has ended:
 * members of the previous version do not send them.
 */
bool sharing_knows_zone_drains(const struct sharing *sharing);
/**
 * Position from which a balancer that becomes store reader can watch the store;
 * none if it has to list.
 */
struct store_position sharing_watch_position(const struct sharing *sharing);
/**
 * True if a store reader may continue with the changes after the position of the
 * replica. Otherwise it needs a listing: nothing is known yet, or the routes are
 * partial, and what they lack would be published again with the next version
 * only.
 */
bool sharing_can_watch_store(const struct sharing *sharing);
/**
 * Sets the number of members of the own zone, the most known in the last
 * minutes, and the rank of this balancer among them in the order for @key.
 * Returns false while they are not known well enough, after a start or a pause,
 * and while no service has a slow-start limit.
 */
bool sharing_find_rank(const struct sharing *sharing, const char *key,
		       uint32_t *members, uint32_t *rank);
bool sharing_is_store_reader(const struct sharing *sharing);
/**
 * Newest version of the routes that a polled member announced; 0 for none. The
 * own version is older while the routes are transferred.
 */
uint64_t sharing_announced_routes_version(const struct sharing *sharing);
/** Time from a poll to its response, in microseconds. */
const struct histogram *
sharing_poll_response_times(const struct sharing *sharing);
const uint64_t *sharing_counters(const struct sharing *sharing);
/** Adds members to the JSON object that is open in @builder. */
void sharing_print_json(const struct sharing *sharing, JsonBuilder *builder);

#endif
