#ifndef PARSLEYLADDER_CORE_CORE_H
#define PARSLEYLADDER_CORE_CORE_H

/**
 * Decision core: maps packets to actions. It does no I/O; time, random numbers
 * and output are passed in, so the same calls give the same actions.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "configuration/configuration.h"
#include "core/message.h"
#include "packet/packet.h"
#include "placement/member_view.h"

struct core;

enum core_action_kind {
	CORE_FORWARD, /* to the backend server host */
	CORE_PASS_ON, /* to another member */
	CORE_REFUSE, /* answer the caller: nothing was forwarded */
	CORE_DROP,
	CORE_ACTIONS,
};

/** Rule that decided; printed by `explain` and counted. */
enum core_reason {
	CORE_REASON_CLOSED_BUCKET, /* base of a closed bucket */
	CORE_REASON_RECORD, /* a recorded exception */
	CORE_REASON_CACHED_ANSWER,
	CORE_REASON_OWNER_BASE, /* unknown to the owner, so on base */
	CORE_REASON_OWNER_PLACED, /* new flow placed by the owner */
	CORE_REASON_PASS_TO_OWNER,
	CORE_REASON_PASS_TO_REPLICA,
	CORE_REASON_NO_SERVICE, /* address of no service */
	CORE_REASON_ADDRESS_QUARANTINED,
	CORE_REASON_SERVICE_LIMIT,
	CORE_REASON_TEAM_LIMIT,
	CORE_REASON_NO_HOST, /* no backend server accepts flows */
	CORE_REASON_TABLE_FULL,
	CORE_REASON_HOST_GONE, /* the flow's server is not published */
	CORE_REASON_HOP_LIMIT,
	CORE_REASON_NO_OWNER, /* lease lapsed and nobody to pass to */
	CORE_REASONS,
};

struct core_action {
	enum core_action_kind kind;
	enum core_reason reason;
	/* CORE_FORWARD; valid until the next core_apply_configuration(). */
	const struct host *host;
	const struct service *service; /* NULL if none matched */
	uint64_t member_id; /* CORE_PASS_ON */
};

enum core_placement_mode {
	CORE_PLACEMENT_EXCEPTIONS, /* the product */
	CORE_PLACEMENT_TABLE_ONLY, /* baseline: plain consistent hashing */
	CORE_PLACEMENT_OWNER_ONLY, /* baseline: every packet by the owner */
};

struct core_options {
	uint64_t self_id;
	uint16_t zone;
	/* Name of the availability zone, as hosts carry it; may be NULL. */
	const char *zone_name;
	const struct clock *clock;
	uint64_t flow_hash_seed;
	uint64_t random_seed;
	uint32_t exceptions_max; /* records held at most */
	enum core_placement_mode placement_mode;
	/** Sends @message to @member_id; may drop it if the budget is spent. */
	void (*send)(void *context, uint64_t member_id,
		     const struct core_message *message,
		     enum message_priority priority);
	/** Bytes that the control budget still allows; may be NULL. */
	uint64_t (*budget_bytes)(void *context);
	void *context;
};

struct core *core_create(const struct core_options *options);
void core_destroy(struct core *core);

/** Adopts @configuration if its revision is greater; false if it is not. */
bool core_apply_configuration(struct core *core,
			      struct configuration *configuration);
/** Copies @view. */
void core_set_view(struct core *core, const struct member_view *view);
/**
 * Decides for one packet. @hops is 0 for a packet from the fabric, and
 * @sender_id is then ignored; otherwise both come from the pass header.
 */
void core_handle_packet(struct core *core, const struct packet_facts *facts,
			uint8_t hops, uint64_t sender_id,
			struct core_action *action);
void core_handle_message(struct core *core, uint64_t sender_id,
			 const struct core_message *message);
/** Runs timers. Call it every CORE_TICK_MS. */
void core_tick(struct core *core);
#define CORE_TICK_MS 50

/** True once every shard and map that other members held has been received. */
bool core_is_synchronized(const struct core *core);
/** Revision in force, 0 for none. */
uint64_t core_revision(const struct core *core);
/** Marks a host as silent (it gets no new flows) or not, by observation. */
void core_set_host_silent(struct core *core, uint32_t host_id, bool is_silent);
/** Starts a graceful shutdown: hands owned shards over. */
void core_leave(struct core *core);
/** True once nothing is owned any more, so that the process may end. */
bool core_has_left(const struct core *core);

/** Says what would happen to a packet of @key that is no SYN; changes nothing. */
void core_explain(struct core *core, const struct flow_key *key,
		  struct core_action *action);

const char *core_reason_name(enum core_reason reason);
const char *core_action_name(enum core_action_kind kind);

/** Writes the state as members of the JSON object that @builder has open. */
void core_print_json(const struct core *core, JsonBuilder *builder);

#endif
