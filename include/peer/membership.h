#ifndef PARSLEYLADDER_PEER_MEMBERSHIP_H
#define PARSLEYLADDER_PEER_MEMBERSHIP_H

/**
 * Membership and failure detection among the balancers of a deployment.
 * A pure state machine: heartbeats and time in, views and heartbeats out.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "placement/member_view.h"

/** Time between two heartbeats to the same peer. */
#define HEARTBEAT_INTERVAL_MS 500
/** An owner acts at most this long after the heartbeat that was acknowledged. */
#define LEASE_MS 1500
/** Least silence after which a peer counts as failed; more than the lease. */
#define FAILURE_TIMEOUT_MIN_MS 2000
/** Gap between two ticks that counts as a pause of this process. */
#define PAUSE_MS 1000

struct heartbeat {
	uint64_t sequence;
	uint64_t acknowledged; /* last sequence received from the addressee */
	uint32_t incarnation;
	uint32_t addressee_incarnation; /* 0 if never heard */
	uint8_t state; /* enum member_state */
	uint16_t zone;
	uint64_t revision; /* configuration in force at the sender */
	uint64_t revision_digest;
};

struct membership;

struct membership_options {
	uint64_t self_id;
	uint16_t zone;
	uint32_t incarnation; /* of this start, e.g. from wall time */
	const struct clock *clock;
	uint64_t random_seed;
	void (*send)(void *context, uint64_t member_id,
		     const struct heartbeat *heartbeat);
	/** The view changed, in members, states, leases or flags. */
	void (*on_view)(void *context, const struct member_view *view);
	void *context;
};

struct membership *membership_create(const struct membership_options *options);
void membership_destroy(struct membership *membership);
/** Adds a known peer, reachable or not. */
void membership_add_peer(struct membership *membership, uint64_t member_id,
			 uint16_t zone);
/** Hint from the platform's list, which lags: @is_listed as live or leaving. */
void membership_set_listed(struct membership *membership, uint64_t member_id,
			   bool is_listed);
void membership_handle(struct membership *membership, uint64_t sender_id,
		       const struct heartbeat *heartbeat);
/**
 * Runs timers and detects pauses. Call it every 100 ms or more often, and first
 * of all after a wait for events, so that no packet is decided on the view from
 * before a pause.
 */
void membership_tick(struct membership *membership);
/**
 * Tells peers that this instance holds its state and may own shards. Ignored
 * while the view is rejoining, that is from the start or a pause until the peers
 * have acknowledged the new incarnation, or nobody has answered for 3 s. A pause
 * sets the state back to joining, so this is called again after each one.
 */
void membership_set_active(struct membership *membership);
/** Announces a graceful shutdown to all peers. */
void membership_leave(struct membership *membership);
/** Revision to announce in heartbeats. */
void membership_set_revision(struct membership *membership, uint64_t revision,
			     uint64_t digest);
const struct member_view *membership_view(const struct membership *membership);
void membership_print_json(const struct membership *membership,
			   JsonBuilder *builder);

#endif
