#ifndef PARSLEYLADDER_SHARING_SHARING_STATE_H
#define PARSLEYLADDER_SHARING_SHARING_STATE_H

/**
 * Internal state of the sharing module, and its layers: sharing.c handles
 * datagrams and ticks and calls sharing_gossip.c, sharing_follow.c,
 * sharing_read.c, sharing_lookup.c, sharing_serve.c, sharing_zone_loads.c or
 * sharing_host_speeds.c; sharing_serve.c calls sharing_host_speeds.c;
 * sharing_gossip.c and sharing_follow.c call sharing_listing.c; this and
 * sharing_serve.c call sharing_drains.c, and all of these call sharing_routes.c
 * and sharing_send.c. No file calls one of a higher layer.
 */

#include "common/token_bucket.h"
#include "sharing/member_history.h"
#include "sharing/routing_codec.h"
#include "sharing/sharing.h"

/** Interval between polls of a responsive leader. */
#define POLL_INTERVAL_NS (500 * NS_PER_MS)
/** Time-out of a poll. */
#define POLL_TIMEOUT_NS (400 * NS_PER_MS)
/** Consecutive poll time-outs after which the leader is skipped. */
#define POLL_TIMEOUTS_MAX 2
/** A member whose replica is older than this is not followed. */
#define MEMBER_REPLICA_AGE_MAX_NS (1800 * NS_PER_MS)
/** The replica is stale after this; a store reader confirms it every second. */
#define REPLICA_AGE_MAX_NS (1500 * NS_PER_MS)
/** How long a member with a newer replica is polled besides the leader. */
#define ALTERNATE_DURATION_NS (2 * NS_PER_S)
/** A transfer of routes without a chunk for this long is given up. */
#define ROUTES_TIMEOUT_NS (1 * NS_PER_S)
/**
 * Updates without a chunk, in response to polls for the first chunk of the
 * extended encoding, after which the plain one is requested. Each is polled for
 * at once, so this takes a few round trips. A pushed update counts as well, so
 * one alone proves nothing.
 */
#define EXTENDED_REFUSALS_MAX 3
/**
 * They count if the transfer is at least that old: after a pause, pushes that
 * waited are handled all at once, before any response.
 */
#define EXTENDED_REFUSAL_MIN_NS (100 * NS_PER_MS)
/**
 * After that, the extended encoding is not requested from the member for this
 * long. The member may have been replaced by a newer version since.
 */
#define EXTENDED_RETRY_NS (30 * NS_PER_S)
/** Time after which a missing page of a listing is requested again. */
#define PAGE_RETRY_NS (100 * NS_PER_MS)
/** A listing without a page for this long is restarted from another member. */
#define LISTING_TIMEOUT_NS (500 * NS_PER_MS)
/** Time to find an up-to-date member before listing from a stale one. */
#define STALE_LISTING_DELAY_NS (150 * NS_PER_MS)
/**
 * Maximum number of listings served at the same time. A rejected balancer asks
 * a member that has completed its own listing, so the load spreads as a tree.
 */
#define LISTINGS_SERVED_MAX 24
/** A follower that did not poll for this long is removed. */
#define FOLLOWER_AGE_MAX_NS (1500 * NS_PER_MS)

/**
 * Number of recent versions of the routes kept as bases for incremental
 * updates; a burst of changes publishes several.
 */
#define RECENT_ROUTES_MAX 8

/** What a follower knows of the drained zones. */
struct follower_drains {
	uint64_t digest; /* of the state that it last sent, 0 for none */
	struct store_position position; /* of that state */
	uint64_t sent_digest; /* of the state last sent to it, 0 for none */
	int64_t sent_ns;
	uint32_t unanswered; /* messages since its last one */
};

/** A balancer that polls this one. */
struct follower {
	struct store_position position; /* in its last poll */
	bool knows_eras; /* that poll had one */
	uint64_t routes_version;
	int64_t polled_ns;
	int64_t listing_ns; /* when it last requested a page of a listing */
	bool has_speeds; /* of all hosts, since it polls this balancer */
	struct host_load loads[HOST_LOADS_MAX];
	size_t load_count;
	struct follower_drains drains;
};

/**
 * Routes being received in chunks. Only the chunks of one source with one base
 * fit together.
 */
struct routes_transfer {
	uint64_t version; /* 0 for none */
	uint64_t base_version; /* version held at its begin */
	uint32_t source;
	enum routes_encoding encoding;
	/* All routes are requested: what is held is no base for changes. */
	bool is_complete;
	uint32_t refusals; /* updates without the first chunk */
	uint32_t next_chunk; /* from 1 */
	int64_t progress_ns; /* time of the announcement, or of the last chunk */
	GByteArray *bytes;
};

/**
 * Where the changes of hosts that a member sends continue. It applies to that
 * member and to the position that the replica had.
 */
struct changes_position {
	uint32_t source; /* 0 for none */
	struct store_position after;
	char cursor[HOST_ID_BYTES_MAX + 1];
};

/** The leader of another zone. */
struct zone_leader {
	uint32_t address; /* 0 if it is not known */
	int64_t heard_ns; /* when it last reported; 0 for never */
};

/** Totals that a follower is sent. */
struct follower_totals {
	int64_t polled_ns;
	int64_t sent_ns; /* 0 for never */
	bool is_due; /* it has polled since */
};

/** Exchange of the loads of zones. */
struct zone_reports {
	GHashTable *leaders; /* hash of a zone to struct zone_leader */
	GHashTable *totals; /* address to struct follower_totals */
	int64_t leading_since_ns; /* 0 while this balancer follows */
	int64_t next_report_ns; /* to the leader, or to those of other zones */
};

/** The newest routes in one encoding. */
struct encoded_routes {
	GHashTable *by_base; /* version of the base to GByteArray */
	uint64_t digest; /* valid if @by_base has an entry */
};

struct sharing {
	struct sharing_options options;
	uint32_t zone;
	struct members *members;
	/* NULL while no service has a slow-start limit. */
	struct member_history *member_history;
	int64_t running_since_ns; /* since the start, or since a pause */
	GRand *random;
	uint32_t *seeds;
	size_t seed_count;
	int64_t started_ns;
	double start_jitter; /* random, 0 to 1: avoids simultaneous starts */
	bool has_multipage_listing; /* the store's listing has several pages */
	int64_t first_gossip_ns; /* 0 for none */
	int64_t complete_since_ns; /* first complete listing; 0 for none */
	int64_t next_gossip_ns;
	int64_t next_seed_gossip_ns;
	bool is_replica_announced; /* seeds and a few members were notified */
	bool is_store_reader;

	/* Following. */
	uint32_t leader; /* 0: this balancer leads or is alone */
	int64_t poll_sent_ns; /* 0 if no poll is pending */
	int64_t next_poll_ns;
	uint32_t consecutive_poll_timeouts;
	int64_t leader_since_ns; /* when the leader was selected */
	int64_t last_fresh_update_ns; /* from the leader */
	int64_t leader_response_ns; /* last response from any leader */
	/*
	 * Polled besides a leader whose replica is old; also the source of the
	 * first listing. 0 for none.
	 */
	uint32_t alternate;
	int64_t alternate_response_ns;
	int64_t alternate_until_ns;
	int64_t next_alternate_poll_ns;
	/* Member that serves the current listing; 0 for none. */
	uint32_t listing_source;
	struct host_listing *listing; /* NULL before its first page */
	uint64_t listing_era; /* of a new era; 0 for the first listing */
	int64_t listing_progress_ns; /* begin, or last page */
	char cursor[HOST_ID_BYTES_MAX + 1];
	struct host_load reported_loads[HOST_LOADS_MAX]; /* in the last poll */
	size_t reported_load_count;

	/* Changes of hosts that are received in several messages. */
	struct changes_position changes_position;

	/* Routes being received in chunks. */
	uint64_t announced_routes_version; /* newest one, 0 for none */
	struct routes_transfer routes_transfer;
	bool needs_all_routes; /* the incremental update did not match */

	/* Serving. */
	GHashTable *followers; /* address to struct follower */
	struct routing *recent_routes[RECENT_ROUTES_MAX]; /* newest first */
	struct encoded_routes encoded_routes[ROUTES_ENCODINGS];

	struct zone_reports zone_reports;
	/* Speeds of hosts. */
	int64_t speed_reported_ns;
	int64_t next_marks_ns;
	uint32_t next_reported_token; /* reports go around by token */
	int64_t next_speeds_ns;
	uint32_t next_speed_token;
	int64_t speeds_received_ns; /* from any leader, 0 for never */
	int64_t unequal_ns; /* a host last had another speed than its peers */

	struct token_bucket lookup_limit; /* rate limit of host look-ups */
	struct histogram poll_response_us;
	uint64_t counters[SHARING_COUNTERS];
};

/* Sending, and the age of the replica: sharing_send.c. */
/** Fills in the sender and encodes the message; the caller frees the result. */
GByteArray *sharing_encode(struct sharing *sharing,
			   struct sharing_message *message);
void sharing_send_bytes(struct sharing *sharing, uint32_t address,
			const GByteArray *bytes);
void sharing_send(struct sharing *sharing, uint32_t address,
		  struct sharing_message *message);
/** Era of what the replica of the hosts and routes holds. */
uint64_t sharing_era(const struct sharing *sharing);

/** Age of the local replica; UINT32_MAX if it is incomplete. */
uint32_t sharing_replica_age_ms(const struct sharing *sharing, int64_t now_ns);
/** True if the local replica was not confirmed within REPLICA_AGE_MAX_NS. */
bool sharing_is_stale(const struct sharing *sharing, int64_t now_ns);

/** True while only the drained zones are not known after a start. */
bool drains_are_awaited(const struct sharing *sharing);

/** Identifies what follows @cursor: a page of a listing, or changes. */
uint64_t page_id(const char *cursor);
/** Where the changes from this member continue; empty for from the start. */
const char *changes_cursor(const struct sharing *sharing, uint32_t address);

/* Gossip, and the announcement of the first listing: sharing_gossip.c. */
void gossip_tick(struct sharing *sharing, int64_t now_ns);
void gossip_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, int64_t now_ns);

/* Loads of the zones: sharing_zone_loads.c. */
void zone_reports_create(struct zone_reports *reports);
void zone_reports_clear(struct zone_reports *reports);
/** Sends the own observations to the leader, or adds up those of followers. */
void zone_reports_tick(struct sharing *sharing, int64_t now_ns);
void zone_reports_handle(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *message, int64_t now_ns);
/** Sends the totals to a follower, beside the response to its poll. */
void zone_reports_handle_poll(struct sharing *sharing, uint32_t address,
			      int64_t now_ns);

/* Deciding whether to read the store: sharing_read.c. */
void store_reader_tick(struct sharing *sharing, int64_t now_ns);

/* Receiving routes in chunks: sharing_routes.c. */
/** Ends a transfer; reports it unless it is complete. */
void routes_drop(struct sharing *sharing, const char *reason);
/** Version of the routes in force; 0 for none. */
uint64_t routes_version(const struct sharing *sharing);
/** Next chunk to request from the member at @address; 0 for none. */
uint32_t routes_next_chunk(const struct sharing *sharing, uint32_t address);
/** Version to report to that member, as the base of what it sends; or 0. */
uint64_t routes_base_version(const struct sharing *sharing, uint32_t address);
/** Gives up a transfer that is no longer needed or makes no progress. */
void routes_tick(struct sharing *sharing, int64_t now_ns);
/** Returns true if the next poll is to follow at once. */
bool routes_handle_chunk(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *update, int64_t now_ns);

/* The first listing, and the alternate: sharing_listing.c. */
/** Requests updates, the next page of a listing or the next chunk of routes. */
void poll_send(struct sharing *sharing, uint32_t address);
void listing_tick(struct sharing *sharing, int64_t now_ns);
/** True if this balancer polls the member, as its leader or besides it. */
bool member_is_polled(const struct sharing *sharing, uint32_t address,
		      int64_t now_ns);
/** True while another member than the leader is polled. */
bool alternate_is_active(const struct sharing *sharing, int64_t now_ns);
/**
 * Given the replica age of a member: without a complete replica, lists from an
 * up-to-date member; with a stale one, polls this member besides the leader if
 * it is up to date.
 */
void alternate_consider(struct sharing *sharing, uint32_t address,
			uint32_t replica_age_ms, int64_t now_ns);
/**
 * Handles an update of a member whose era is higher: lists from it, once the
 * routes are as new. Returns true if the rest is to be requested at once.
 */
bool listing_handle_new_era(struct sharing *sharing, uint32_t address,
			    const struct sharing_message *update,
			    int64_t now_ns);
/** The member does not serve the listing that was requested from it. */
void listing_give_up(struct sharing *sharing, uint32_t address);
/** Returns true if another page is to be requested. */
bool listing_handle_update(struct sharing *sharing, uint32_t address,
			   const struct sharing_message *update,
			   int64_t now_ns);
void alternate_poll(struct sharing *sharing, int64_t now_ns);
/** Extends the use of the alternate while it serves the first listing. */
void alternate_handle_response(struct sharing *sharing, int64_t now_ns);
/** Replaces an alternate that is unresponsive, busy or not synced. */
void alternate_replace(struct sharing *sharing, int64_t now_ns);

/* Following: sharing_follow.c. */
void follow_set_leader(struct sharing *sharing, uint32_t leader,
		       const char *reason);
void follow_tick(struct sharing *sharing, int64_t now_ns);
void follow_handle_update(struct sharing *sharing, uint32_t address,
			  const struct sharing_message *update, int64_t now_ns);

/* Drained zones: sharing_drains.c. */
void drains_tick(struct sharing *sharing, int64_t now_ns);
/**
 * Tells a member that is polled next what this balancer knows: the member may
 * take it for the process that ran before.
 */
void drains_report(struct sharing *sharing, uint32_t address);
/** Sends the state to a follower that has polled, if it may lack it. */
void drains_serve(struct sharing *sharing, uint32_t address,
		  struct follower_drains *follower, int64_t now_ns);
/** Sends a changed state to the followers. */
void drains_push(struct sharing *sharing, int64_t now_ns);
/** Merges the state of a member; replies if this balancer polls it. */
void drains_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, bool is_polled,
		   int64_t now_ns);

/** Maximum rate of host look-ups by token. */
#define LOOKUPS_PER_S 50

/* Host look-ups: sharing_lookup.c. */
void lookup_handle_request(struct sharing *sharing, uint32_t address,
			   uint32_t token);
void lookup_handle_response(struct sharing *sharing,
			    const struct sharing_message *message,
			    int64_t now_ns);

/* Speeds of hosts: sharing_host_speeds.c. */
void speeds_tick(struct sharing *sharing, int64_t now_ns);
/** Sends all speeds to a follower that polls this balancer for the first time. */
void speeds_handle_poll(struct sharing *sharing, uint32_t address,
			struct follower *follower, int64_t now_ns);
void speeds_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, int64_t now_ns);

/* Serving: sharing_serve.c. */
void serve_handle_poll(struct sharing *sharing, uint32_t address,
		       const struct sharing_message *message, int64_t now_ns);
void serve_push(struct sharing *sharing, int64_t now_ns);
/** Sums up the open flows that the followers reported. */
void serve_tick(struct sharing *sharing, int64_t now_ns);
/**
 * Open flows of hosts of the own zone, counted by this balancer only or, if
 * @is_total, by all of its zone.
 */
size_t serve_loads_fill(struct sharing *sharing, bool is_total,
			struct host_load loads[HOST_LOADS_MAX]);

#endif
