#ifndef PARSLEYLADDER_PEER_MEMBERSHIP_PEER_H
#define PARSLEYLADDER_PEER_MEMBERSHIP_PEER_H

/**
 * What membership keeps about one peer. Internal to the package.
 */

#include <stdbool.h>
#include <stdint.h>

#include "peer/link_detector.h"
#include "peer/membership.h"
#include "placement/member_view.h"

/* Send times are kept for this many heartbeats, 8 s. */
#define SENT_TIMES 16

enum peer_status {
	PEER_UNHEARD, /* no heartbeat since this instance started */
	PEER_ALIVE,
	PEER_FAILED,
	PEER_LEFT, /* fell silent after it had announced its leaving */
	PEER_STATUSES,
};

struct peer {
	uint64_t id;
	uint16_t zone;
	uint32_t incarnation;
	enum member_state state;
	enum peer_status status;
	bool is_configured; /* false: known from the platform's list only */
	bool is_listed;
	bool has_acknowledged; /* the present incarnation of this instance */
	struct link_detector link;
	int64_t heard_ns;
	int64_t next_send_ns;
	uint64_t sent_sequence;
	uint64_t acknowledged; /* greatest own sequence that it acknowledged */
	int64_t sent_ns[SENT_TIMES];
	int64_t lease_until_ns;
	uint64_t revision;
	uint64_t revision_digest;
};

enum peer_heartbeat_result {
	PEER_HEARTBEAT_ACCEPTED,
	PEER_HEARTBEAT_CHANGED, /* accepted; state, incarnation or status new */
	PEER_HEARTBEAT_STALE, /* older incarnation, or not a new sequence */
};

/** Counts a heartbeat to the peer as sent and returns its sequence. */
uint64_t peer_sequence_next(struct peer *peer, int64_t now_ns);
enum peer_heartbeat_result peer_receive(struct peer *peer,
					const struct heartbeat *heartbeat,
					int64_t now_ns);
/**
 * Takes an acknowledgement of a heartbeat that had the present incarnation.
 * Returns true if the lease was extended.
 */
bool peer_acknowledge(struct peer *peer, uint64_t sequence);
/** Sets the status to failed or left if the silence has lasted too long. */
bool peer_expire(struct peer *peer, int64_t now_ns);
/** Forgets what was acknowledged to an older incarnation of this instance. */
void peer_restart_lease(struct peer *peer, int64_t now_ns);
const char *peer_status_name(enum peer_status status);

#endif
