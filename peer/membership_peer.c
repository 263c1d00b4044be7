#include "peer/membership_peer.h"

const char *peer_status_name(enum peer_status status)
{
	static const char *const names[PEER_STATUSES] = {
		[PEER_UNHEARD] = "unheard",
		[PEER_ALIVE] = "alive",
		[PEER_FAILED] = "failed",
		[PEER_LEFT] = "left",
	};

	return names[status];
}

uint64_t peer_sequence_next(struct peer *peer, int64_t now_ns)
{
	peer->sent_sequence++;
	peer->sent_ns[peer->sent_sequence % SENT_TIMES] = now_ns;
	return peer->sent_sequence;
}

static void peer_begin_incarnation(struct peer *peer, uint32_t incarnation,
				   int64_t now_ns)
{
	/*
	 * The lease stays: it was granted by a heartbeat that the previous
	 * incarnation had received, and the new one may own nothing until it
	 * has waited longer than a lease for answers.
	 */
	peer->incarnation = incarnation;
	peer->state = MEMBER_JOINING;
	peer->has_acknowledged = false;
	link_detector_init(&peer->link, now_ns);
}

enum peer_heartbeat_result peer_receive(struct peer *peer,
					const struct heartbeat *heartbeat,
					int64_t now_ns)
{
	bool is_changed = peer->status != PEER_ALIVE;

	if (heartbeat->incarnation < peer->incarnation)
		return PEER_HEARTBEAT_STALE;
	if (heartbeat->incarnation > peer->incarnation) {
		peer_begin_incarnation(peer, heartbeat->incarnation, now_ns);
		is_changed = true;
	}
	if (heartbeat->sequence <= peer->link.sequence)
		return PEER_HEARTBEAT_STALE;
	link_detector_arrival(&peer->link, heartbeat->sequence, now_ns);
	peer->heard_ns = now_ns;
	peer->status = PEER_ALIVE;
	peer->revision = heartbeat->revision;
	peer->revision_digest = heartbeat->revision_digest;
	/* Leaving is final within an incarnation. */
	if (peer->state != heartbeat->state && peer->state != MEMBER_LEAVING) {
		peer->state = heartbeat->state;
		is_changed = true;
	}
	return is_changed ? PEER_HEARTBEAT_CHANGED : PEER_HEARTBEAT_ACCEPTED;
}

bool peer_acknowledge(struct peer *peer, uint64_t sequence)
{
	if (sequence == 0 || sequence > peer->sent_sequence)
		return false;
	peer->has_acknowledged = true;
	if (sequence <= peer->acknowledged ||
	    sequence + SENT_TIMES <= peer->sent_sequence)
		return false;
	peer->acknowledged = sequence;
	peer->lease_until_ns =
		peer->sent_ns[sequence % SENT_TIMES] + LEASE_MS * NS_PER_MS;
	return true;
}

bool peer_expire(struct peer *peer, int64_t now_ns)
{
	if (peer->status != PEER_ALIVE ||
	    now_ns - peer->heard_ns < peer->link.timeout_ns)
		return false;
	peer->status = peer->state == MEMBER_LEAVING ? PEER_LEFT : PEER_FAILED;
	peer->has_acknowledged = false;
	return true;
}

void peer_restart_lease(struct peer *peer, int64_t now_ns)
{
	peer->lease_until_ns = 0;
	peer->has_acknowledged = false;
	/*
	 * Only heartbeats sent from now on carry the new incarnation. An
	 * acknowledgement of an earlier one must not extend the lease.
	 */
	peer->acknowledged = peer->sent_sequence;
	/* The peer gets a full timeout to answer, whatever the pause was. */
	peer->heard_ns = now_ns;
	peer->next_send_ns = now_ns;
}
