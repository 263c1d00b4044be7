#ifndef PARSLEYLADDER_STEERING_FLOW_CACHE_H
#define PARSLEYLADDER_STEERING_FLOW_CACHE_H

/**
 * Recently seen flows. It is only a cache: the token in each packet suffices to
 * forward it, so an entry may be dropped at any time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "packet/packet.h"
#include "steering/host_table.h"

enum flow_state {
	FLOW_OPENING, /* the opening packet was forwarded */
	FLOW_OPEN, /* the caller sent a packet after the opening one */
	FLOW_CLOSING, /* the caller has finished; not counted as open */
};

struct cached_flow {
	struct flow_key key;
	struct known_host *host; /* NULL if none is known */
	enum flow_state state;
	uint32_t sequence; /* of the last packet with data, SYN or FIN */
	uint32_t acknowledged; /* by the caller's last packet */
	uint32_t sent_end; /* end of the data that the caller has sent */
	/* The caller may send up to here before the host acknowledges more. */
	uint32_t window_end;
	bool is_handshake_pending; /* its handshake is not overdue yet */
	/* A request whose response the caller has not acknowledged to its end. */
	bool has_request;
	uint32_t request_acknowledged; /* by its first packet */
	bool has_copies; /* the opening packet was retransmitted */
	uint32_t retransmissions; /* of the last packet, without progress */
	/* Time of the oldest unanswered data, 0 for none. */
	int64_t pending_since_ns;
	int64_t first_packet_ns;
	int64_t last_packet_ns;
	GList lru_link; /* least recently used first */
	GList host_link;
	GList handshake_link; /* pending handshakes, oldest first */
};

struct flow_cache;

/** At most @flows_max entries are kept; the one idle for longest is evicted. */
struct flow_cache *flow_cache_create(uint32_t flows_max);
void flow_cache_destroy(struct flow_cache *cache);
struct cached_flow *flow_cache_find(struct flow_cache *cache,
				    const struct flow_key *key);
/** Adds an entry in state FLOW_OPENING. @host may be NULL. */
struct cached_flow *flow_cache_add(struct flow_cache *cache,
				   const struct flow_key *key,
				   struct known_host *host, int64_t now_ns);
void flow_cache_remove(struct flow_cache *cache, struct cached_flow *entry);
/** Marks the entry as the one with the newest packet. */
void flow_cache_touch(struct flow_cache *cache, struct cached_flow *entry,
		      int64_t now_ns);
void cached_flow_set_host(struct cached_flow *entry, struct known_host *host);
/** Also updates the count of open flows of the host. */
void cached_flow_set_state(struct flow_cache *cache, struct cached_flow *entry,
			   enum flow_state state);
/**
 * Returns the flow with the oldest pending handshake, if its first packet
 * arrived at or before @before_ns; NULL if there is none. The handshake is no
 * longer pending then, but the entry stays in the cache.
 */
struct cached_flow *flow_cache_take_overdue(struct flow_cache *cache,
					    int64_t before_ns);
/** Removes entries without a packet since @before_ns. */
void flow_cache_expire(struct flow_cache *cache, int64_t before_ns);
uint32_t flow_cache_count(const struct flow_cache *cache);
/** Entries evicted because the cache was full. */
uint64_t flow_cache_evictions(const struct flow_cache *cache);

#endif
