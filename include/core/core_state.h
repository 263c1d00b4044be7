#ifndef PARSLEYLADDER_CORE_CORE_STATE_H
#define PARSLEYLADDER_CORE_CORE_STATE_H

/**
 * State of the decision core, shared by its sources only.
 */

#include <glib.h>

#include "core/core.h"
#include "core/shard_set.h"
#include "flow/answer_cache.h"
#include "flow/flow_table.h"
#include "flow/recent_filter.h"
#include "placement/load_table.h"
#include "placement/rendezvous.h"

/* After this long without an active peer a member starts with what it has. */
#define COLD_START_NS (2500 * NS_PER_MS)
/* Nobody sends a SYN to a draining host later than this; the bound is 3 s. */
#define DRAIN_CUT_OFF_NS (2500 * NS_PER_MS)
/* A SYN repeated after 1 s still reaches a draining host. */
#define DRAIN_GRACE_NS (1500 * NS_PER_MS)
#define COMMIT_GRACE_NS (2 * NS_PER_S)
#define MAP_RESEND_NS (500 * NS_PER_MS)
#define PULL_RESEND_NS (500 * NS_PER_MS)
#define STREAM_RESEND_NS (300 * NS_PER_MS)
/* Records come every 100 ms; acknowledging each batch would double messages. */
#define RECORDS_ACKNOWLEDGE_NS (400 * NS_PER_MS)
#define RECORDS_RESEND_NS (800 * NS_PER_MS)
#define RECORD_FLUSH_NS (100 * NS_PER_MS)
#define PAUSE_NS NS_PER_S
#define ANSWER_LIFETIME_NS (30 * NS_PER_S)

struct limiter {
	int64_t tokens_micro; /* 1/1,000,000 of a flow */
	int64_t updated_ns;
};

struct host_entry {
	uint32_t id;
	uint32_t service_id;
	const struct host *host; /* NULL if not published */
	int64_t total; /* open flows summed over members */
	int64_t placed; /* off base by this member since its last report */
	int32_t own; /* counted by this member */
	int32_t announced;
	bool is_silent;
	bool is_referenced;
	int64_t drain_since_ns; /* 0 if not draining */
	int64_t serving_since_ns; /* 0 if it needs no slow start */
};

enum bucket_flag {
	BUCKET_OPEN = 0x01, /* unknown packets go to the owner */
	BUCKET_MAP_OPEN = 0x02, /* open in the map in force */
	BUCKET_READY = 0x04, /* exceptions allowed: the opening is committed */
	BUCKET_GRACE = 0x08, /* opened by the last commit */
};

struct bucket {
	struct host_entry *base;
	struct host_entry *target;
	uint8_t flags;
};

struct team {
	struct limiter limiter;
	uint64_t limit; /* new flows/s over all members, 0 = none */
};

struct service_state {
	uint32_t id;
	const struct service *service;
	struct team *team;
	struct limiter limiter;
	struct bucket *buckets;
	uint32_t bucket_count; /* 0 without a map */
	struct map_version version;
	bool is_committed;
	bool is_confirmed; /* false after a pause until a peer confirms it */
	uint64_t committed_revision;
	uint64_t address_revision; /* newest binding of an address */
	int64_t grace_until_ns;
	uint64_t coordinator_id;
	/* Used by the coordinator of the service. */
	GArray *acknowledged; /* uint64_t member ids */
	uint8_t *vetoes; /* bucket_count entries or NULL */
	bool is_changed; /* needs a new version whatever the tables say */
	bool is_vetoed;
	bool has_extra_open; /* open here but closed in the map */
	int64_t extra_until_ns; /* then they close, if the map is committed */
	uint64_t weights_hash;
	int64_t resend_at_ns;
	int64_t resend_interval_ns;
	int64_t closing_at_ns;
	int64_t closing_interval_ns;
	bool is_rebalancing; /* all buckets are open, for a host to catch up */
	int64_t review_at_ns;
	uint64_t new_flows; /* first seen here since the last review */
	/* Host weights of the present configuration, rebuilt on a change. */
	struct host_entry **hosts;
	size_t host_count;
};

struct address_binding {
	struct service_address address;
	struct service_state *service; /* NULL marks a free slot */
	uint64_t since_revision; /* quarantined until this is committed */
};

/* Messages on their way to one peer; more would only fill the budget. */
#define STREAM_WINDOW 32

enum stream_channel {
	STREAM_RECORDS,
	STREAM_SHARDS, /* apart, so that records do not wait for bulk state */
	STREAM_CHANNELS,
};

struct stream_message {
	enum core_message_kind kind;
	struct shard_set shards;
	uint32_t sequence;
	GArray *records; /* struct flow_record, may be NULL */
};

struct stream {
	uint64_t out_id;
	uint32_t out_next; /* number of the next new message, from 1 */
	uint32_t out_sent; /* highest number sent */
	uint32_t out_acknowledged;
	int64_t resend_at_ns;
	int64_t resend_interval_ns;
	GQueue out; /* struct stream_message, not acknowledged yet */
	uint64_t in_id;
	uint32_t in_sequence;
	int64_t acknowledge_at_ns; /* 0 if nothing is to be acknowledged */
	/* Received out of order, by number modulo the window. */
	struct stream_message *in_waiting[STREAM_WINDOW];
};

enum transfer {
	TRANSFER_NONE,
	TRANSFER_COPY,
	TRANSFER_COPY_AND_RELEASE,
	TRANSFER_RELEASE,
	TRANSFER_RELEASED,
};

struct peer {
	uint64_t id;
	uint32_t incarnation; /* 0 until it is in view */
	struct stream streams[STREAM_CHANNELS];
	GArray *batch; /* struct flow_record to replicate */
	GArray *answers;
	uint8_t transfers[SHARD_COUNT]; /* enum transfer */
	bool has_transfers;
	struct shard_set pulls; /* to ask for at the end of this tick */
};

#define SHARD_COPIES_MAX 6

struct shard {
	struct shard_members members; /* in the present view */
	uint64_t owner_id; /* 0 if there is none */
	bool is_acting; /* this member decides, or did until it hands over */
	bool is_early; /* decides although sources have not released yet */
	bool is_complete; /* holds a full copy */
	bool is_orphan; /* holds a copy of an owner that is gone */
	bool is_held; /* owner or replica, also counting joining members */
	uint64_t hint_id; /* decides until it releases the shard */
	GArray *sources; /* uint64_t members that have not released yet */
	int64_t pull_at_ns;
	int64_t lost_at_ns; /* when ownership went while sources were left */
	int64_t unheld_since_ns;
	uint32_t copy_count;
	uint64_t copies[SHARD_COPIES_MAX]; /* members that get each record */
};

struct core_counters {
	uint64_t actions[CORE_ACTIONS];
	uint64_t reasons[CORE_REASONS];
	uint64_t messages_received;
	uint64_t messages_unknown;
	uint64_t records_sent;
	uint64_t exceptions_placed;
	uint64_t new_flows_open; /* SYNs that an owner placed */
	uint64_t stale_revisions;
	uint64_t budget_short;
};

/** Rules that tests switch off to show that each of them is needed. */
enum core_rule {
	CORE_RULE_COMMIT = 0x01, /* no exception before the commit */
	CORE_RULE_LEASE = 0x02,
	CORE_RULE_DRAIN_CUT_OFF = 0x04,
	CORE_RULE_PIN = 0x08, /* base placements are remembered */
	CORE_RULE_SHARD_SYNC = 0x10, /* new owner waits for its sources */
	CORE_RULE_QUARANTINE = 0x20,
	CORE_RULE_VETO = 0x40, /* no closing while exceptions exist */
	CORE_RULE_REJOIN = 0x80,
	CORE_RULE_REPLICATION = 0x100,
	CORE_RULES_ALL = 0x1ff,
};

struct core {
	struct core_options options;
	unsigned int rules; /* enum core_rule in force */
	struct configuration *configuration;
	struct member_view *view;
	GHashTable *services; /* id to struct service_state */
	GHashTable *hosts; /* id to struct host_entry */
	GHashTable *teams; /* name to struct team */
	GHashTable *peers; /* id to struct peer */
	struct address_binding *bindings;
	size_t binding_slots; /* power of two */
	struct flow_table *flows;
	struct answer_cache *answers;
	struct load_table *loads;
	struct recent_filter *syns;
	struct recent_filter *ends;
	struct recent_filter *passes;
	struct shard shards[SHARD_COUNT];
	struct core_counters counters;
	uint32_t active_count;
	bool is_self_active;
	bool is_leaving;
	int64_t now_ns;
	int64_t created_ns; /* start, rejoin or last active peer seen */
	int64_t ticked_ns;
	int64_t all_open_until_ns;
	int64_t suspect_until_ns; /* a pause was noticed, the view may follow */
	int64_t flush_at_ns;
	int64_t load_at_ns;
	uint32_t confirm_nonce; /* of this start or rejoin, never 0 */
	int64_t confirm_at_ns; /* when to ask again */
	int64_t digest_at_ns;
	size_t sweep_cursor;
	uint32_t load_cursor;
};

static inline bool core_has_rule(const struct core *core, enum core_rule rule)
{
	return core->rules & rule;
}

/* Hook for tests: which rules are in force, enum core_rule. */
void core_set_rules(struct core *core, unsigned int rules);

static inline uint32_t core_now_ds(const struct core *core)
{
	return (uint32_t)(core->now_ns / (100 * NS_PER_MS));
}

static inline bool host_accepts(const struct host_entry *state)
{
	return state && state->host && state->host->state == HOST_SERVING &&
	       !state->is_silent;
}

/* hosts.c */
struct host_entry *host_state_find(const struct core *core, uint32_t host_id);
struct host_entry *host_state_get(struct core *core, uint32_t host_id,
				  uint32_t service_id);
uint32_t host_weight(const struct core *core,
		     const struct service_state *service,
		     const struct host_entry *state);
void hosts_apply(struct core *core, bool is_first);
void hosts_collect(struct core *core);
void load_count(struct core *core, struct host_entry *state, int difference);
void load_handle(struct core *core, uint64_t sender_id,
		 const struct core_message *message);
void load_drop_member(struct core *core, uint64_t member_id);
void loads_tick(struct core *core);

/* services.c */
struct service_state *service_state_find(const struct core *core, uint32_t id);
void services_apply(struct core *core, bool is_first);
void service_state_free(void *data);
const struct address_binding *binding_find(const struct core *core,
					   const struct flow_key *key);
bool binding_is_quarantined(const struct core *core,
			    const struct address_binding *binding);

/* limits.c */
bool limiter_take(struct limiter *limiter, uint64_t per_second,
		  uint32_t sharers, int64_t now_ns);
bool limits_admit(struct core *core, struct service_state *service,
		  enum core_reason *reason);

/* map.c */
bool map_version_is_greater(const struct map_version *a,
			    const struct map_version *b);
bool bucket_is_permanent(const struct service_state *service, uint32_t bucket);
void map_adopt(struct core *core, struct service_state *service,
	       const struct core_message *proposal);
/** Closes buckets that the map closes, but not if @keeps_extra. */
void map_commit(struct core *core, struct service_state *service,
		bool keeps_extra);
void map_message(const struct service_state *service,
		 struct core_message *message);
void map_message_clear(struct core_message *message);
void map_send(struct core *core, const struct service_state *service,
	      uint64_t member_id);

/* rebalance.c */
/** True if the service has to open all its buckets now. */
bool rebalance_review(struct core *core, struct service_state *service);

/* map_messages.c */
void map_handle(struct core *core, uint64_t sender_id,
		const struct core_message *message);
void map_send_digest(struct core *core, uint64_t member_id,
		     bool is_coordinated_only, uint32_t nonce);
void map_tick(struct core *core);
uint8_t *map_vetoes(struct core *core, struct service_state *service);

/* coordinator.c */
void coordinator_tick(struct core *core, struct service_state *service);
void coordinator_acknowledge(struct core *core, struct service_state *service,
			     uint64_t member_id,
			     const struct core_message *message);

/* view.c */
const struct member *view_member(const struct member_view *view, uint64_t id);
void view_apply(struct core *core, const struct member_view *view);

/* shards.c */
void shards_apply(struct core *core, const struct member_view *old);
void shards_rejoin(struct core *core);
void shard_pull_handle(struct core *core, uint64_t sender_id, uint32_t index);
void shard_release_handle(struct core *core, uint64_t sender_id,
			  uint32_t index);
void shard_ensure_copies(struct core *core, uint32_t index);
void shards_tick(struct core *core);
bool shard_may_decide(const struct core *core, uint32_t index, uint8_t hops);
bool shards_are_synchronized(const struct core *core);
void shard_forget_member(struct core *core, uint64_t member_id);

/* transfer.c */
void transfer_want(struct peer *peer, uint32_t shard, enum transfer transfer);
void transfers_run(struct core *core, struct peer *peer);

/* stream.c */
struct peer *peer_get(struct core *core, uint64_t member_id);
/** Drops what was to be sent; what comes in goes on where it was. */
void peer_reset(struct core *core, struct peer *peer);
/** Drops both directions: the peer has a new incarnation. */
void peer_restarted(struct core *core, struct peer *peer);
void peer_free(void *data);
void stream_append(struct core *core, struct peer *peer,
		   enum stream_channel channel, struct stream_message message);
void stream_flush_batch(struct core *core, struct peer *peer);
void stream_tick(struct core *core, struct peer *peer);
void stream_acknowledged(struct core *core, struct peer *peer,
			 const struct core_message *message);
/** Takes in one message and applies all that are next in their stream. */
void stream_receive(struct core *core, struct peer *peer,
		    const struct core_message *message);

/* records.c */
void records_apply(struct core *core, uint64_t sender_id,
		   const struct stream_message *message);
void record_replicate(struct core *core, const struct flow_entry *entry,
		      uint8_t flags);
void records_sweep(struct core *core);
void records_drop_unpublished(struct core *core);

/* decide.c */
/** Whether a pause was noticed that the view has not repaired yet. */
bool core_is_suspended(const struct core *core);

enum packet_kind {
	PACKET_NEW, /* SYN */
	PACKET_DATA,
	PACKET_END, /* FIN or RST */
};

struct decision {
	struct service_state *service;
	struct bucket *bucket;
	uint64_t hash;
	uint32_t shard;
	enum packet_kind kind;
	bool is_udp;
	bool is_dry; /* changes no state */
	uint8_t hops;
	uint64_t sender_id;
	struct core_action *action;
};

void decision_forward(struct core *core, struct decision *decision,
		      struct host_entry *state, enum core_reason reason);
void decision_end(struct decision *decision, enum core_action_kind kind,
		  enum core_reason reason);
void decision_pass(struct core *core, struct decision *decision,
		   uint64_t member_id, enum core_reason reason);

/* owner.c */
void owner_decide(struct core *core, struct decision *decision);

/* choose.c */
/** Host for a new flow that need not go to base; NULL if none accepts. */
struct host_entry *host_choose(const struct core *core,
			       const struct service_state *service,
			       const struct bucket *bucket, uint64_t flow_hash);

/* print.c */
void core_print_services(const struct core *core, JsonBuilder *builder);

/* answers.c */
void answers_count_pass(struct core *core, const struct decision *decision,
			uint32_t host_id);
void answers_handle(struct core *core, uint64_t sender_id,
		    const struct core_message *message);
void answers_send(struct core *core, struct peer *peer);

#endif
