#ifndef PARSLEYLADDER_SHARING_SHARING_STATE_H
#define PARSLEYLADDER_SHARING_SHARING_STATE_H

/**
 * State of the sharing of news, and its layers: sharing.c takes datagrams and
 * ticks and calls sharing_send_gossip.c, sharing_read.c, sharing_find.c or
 * sharing_serve.c; greetings and sharing_follow.c call sharing_listing.c, and all
 * of these call sharing_routes.c and sharing_send.c. None calls back.
 */

#include "common/token_bucket.h"
#include "sharing/sharing.h"

/** Time between two polls of a leader that answers. */
#define POLL_INTERVAL_NS (500 * NS_PER_MS)
/** A poll without an answer for this long is lost. */
#define POLL_TIMEOUT_NS (400 * NS_PER_MS)
/** Lost polls in a row after which the leader is passed over. */
#define POLL_TIMEOUTS_MAX 2
/** News older than this are no reason to follow the one who tells them. */
#define PEER_REPLICA_AGE_MAX_NS (1800 * NS_PER_MS)
/** What is known is old after this; a reader confirms it every second. */
#define REPLICA_AGE_MAX_NS (1500 * NS_PER_MS)
/** How long a member with newer news is asked beside the leader. */
#define ALTERNATE_DURATION_NS (2 * NS_PER_S)
/** A page of a listing that did not come for this long is asked for again. */
#define PAGE_RETRY_NS (100 * NS_PER_MS)
/** A listing without a page for this long starts again at another member. */
#define LISTING_TIMEOUT_NS (500 * NS_PER_MS)
/** Time to hear of a member with fresh news before old ones are listed. */
#define STALE_LISTING_DELAY_NS (150 * NS_PER_MS)
/**
 * Listings that are served at once. Whoever is turned away asks a member that
 * has finished its own meanwhile, so that the load spreads like a tree.
 */
#define LISTINGS_SERVED_MAX 24
/** A follower that did not poll for this long is forgotten. */
#define FOLLOWER_AGE_MAX_NS (1500 * NS_PER_MS)

/** Versions of the routes whose changes can be told; a storm brings several. */
#define RECENT_ROUTES_MAX 8

/** A balancer that polls this one. */
struct follower {
	uint64_t revision; /* that it had with its last poll */
	uint64_t routes_version;
	int64_t polled_ns;
	int64_t listing_ns; /* when it last asked for a page of a listing */
	struct host_load loads[HOST_LOADS_MAX];
	size_t load_count;
};

struct sharing {
	struct sharing_options options;
	uint32_t zone;
	struct members *members;
	GRand *random;
	uint32_t *seeds;
	size_t seed_count;
	int64_t started_ns;
	double start_jitter; /* from 0 to 1, spreads the starts */
	bool has_multipage_listing; /* a listing of the store has many pages */
	int64_t first_gossip_response_ns; /* of the first answer to a greeting; 0 for none */
	int64_t next_gossip_ns;
	int64_t next_seed_gossip_ns;
	bool is_listing_announced; /* members were told of the first listing */
	bool is_store_reader;

	/* Following. */
	uint32_t leader; /* 0 for none: this balancer leads, or stands alone */
	int64_t poll_sent_ns; /* 0 if none is waited for */
	int64_t next_poll_ns;
	uint32_t consecutive_poll_timeouts; /* in a row */
	int64_t leader_since_ns; /* when the leader was chosen */
	int64_t last_fresh_update_ns; /* when the leader last told fresh news */
	int64_t answered_ns; /* when any leader last answered */
	/* Asked beside a leader that tells old news. */
	uint32_t alternate;
	int64_t alternate_heard_ns;
	int64_t alternate_until_ns;
	int64_t next_alternate_poll_ns;
	/* All pages of the listing come from it; 0 if none is under way. */
	uint32_t listing_source;
	bool awaits_routes; /* the source has routes that are not known here */
	struct host_listing *listing; /* NULL before its first page */
	char cursor[HOST_ID_BYTES_MAX + 1];
	struct host_load reported_loads[HOST_LOADS_MAX]; /* with the last poll */
	size_t reported_load_count;

	/* Routes that arrive chunk by chunk. */
	uint64_t incoming_routes_version; /* 0 for none */
	uint32_t incoming_routes_next_chunk; /* chunk that is wanted, from 1 */
	GByteArray *incoming_routes;
	bool needs_all_routes; /* changes did not give what was encoded */

	/* Serving. */
	GHashTable *followers; /* address to struct follower */
	struct routing *recent_routes[RECENT_ROUTES_MAX]; /* newest first */
	/* The newest routes, encoded: version of the base to GByteArray. */
	GHashTable *encoded_routes;
	uint64_t encoded_routes_digest; /* of them, once there is one in @encoded_routes */

	struct token_bucket lookup_limit; /* bounds the requests for hosts */
	struct histogram poll_response_us;
	uint64_t counters[SHARING_COUNTERS];
};

/* Sending, and the age of what is told: sharing_send.c. */
/** Fills in the sender and encodes; the caller frees the result. */
GByteArray *sharing_encode(struct sharing *sharing,
			   struct sharing_message *message);
void sharing_send_bytes(struct sharing *sharing, uint32_t address,
			const GByteArray *bytes);
void sharing_send(struct sharing *sharing, uint32_t address,
		  struct sharing_message *message);

/** Age of what is known here, in milliseconds; UINT32_MAX if incomplete. */
uint32_t sharing_replica_age_ms(const struct sharing *sharing, int64_t now_ns);
/** True if nothing has confirmed for long what is known here. */
bool sharing_is_stale(const struct sharing *sharing, int64_t now_ns);

/** Names the page that follows @cursor, in the answer that carries it. */
uint64_t listing_page_id(const char *cursor);

/* Finding members, and telling of a first listing: sharing_send_gossip.c. */
void gossip_tick(struct sharing *sharing, int64_t now_ns);
void gossip_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, int64_t now_ns);

/* Deciding whether to read the store: sharing_read.c. */
void store_reader_tick(struct sharing *sharing, int64_t now_ns);

/* Routes that come chunk by chunk: sharing_routes.c. */
void routes_drop(struct sharing *sharing);
/** Returns whether a further chunk is wanted at once. */
bool routes_handle_chunk(struct sharing *sharing,
			 const struct sharing_message *update);

/* The first listing, and members asked beside a leader: sharing_listing.c. */
/** Asks for news, for the next page of a listing or the next chunk of routes. */
void poll_send(struct sharing *sharing, uint32_t address);
void listing_tick(struct sharing *sharing, int64_t now_ns);
/** Another member than the leader is asked. */
bool alternate_is_active(const struct sharing *sharing, int64_t now_ns);
/** A member told how old its news are; newer ones are asked for. */
void alternate_consider(struct sharing *sharing, uint32_t address,
			uint32_t replica_age_ms, int64_t now_ns);
/** Returns whether another page is wanted. */
bool listing_handle_update(struct sharing *sharing, uint32_t address,
			   const struct sharing_message *update,
			   int64_t now_ns);
void alternate_poll(struct sharing *sharing, int64_t now_ns);
/** The helper answered; it is kept while the first listing comes from it. */
void alternate_handle_response(struct sharing *sharing, int64_t now_ns);
/** The helper is silent, busy or knows nothing itself. */
void alternate_replace(struct sharing *sharing, int64_t now_ns);

/* Following: sharing_follow.c. */
void follow_set_leader(struct sharing *sharing, uint32_t leader,
		       const char *reason);
void follow_tick(struct sharing *sharing, int64_t now_ns);
void follow_handle_update(struct sharing *sharing, uint32_t address,
			  const struct sharing_message *update, int64_t now_ns);

/** Requests for hosts by their tokens, per second. */
#define LOOKUPS_PER_S 50

/* Finding: sharing_find.c. */
void lookup_handle_request(struct sharing *sharing, uint32_t address,
			   uint32_t token);
void lookup_handle_response(struct sharing *sharing,
			    const struct sharing_message *message,
			    int64_t now_ns);

/* Serving: sharing_serve.c. */
void serve_handle_poll(struct sharing *sharing, uint32_t address,
		       const struct sharing_message *message, int64_t now_ns);
void serve_push(struct sharing *sharing, int64_t now_ns);
/** Adds up the open flows that the followers report. */
void serve_tick(struct sharing *sharing, int64_t now_ns);
/** Open flows of this balancer by host, most of the own zone. */
size_t serve_loads_fill(struct sharing *sharing, bool is_total,
			struct host_load loads[HOST_LOADS_MAX]);

#endif
