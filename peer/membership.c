#include "peer/membership.h"

#include <glib.h>
#include <string.h>

#include "common/log.h"
#include "peer/membership_state.h"

/* After a start, slower peers get this long to be heard before the first end. */
#define REJOIN_SETTLE_MS 1000
/* Hearing nobody for this long after a start means being alone. */
#define REJOIN_ALONE_MS 3000
/* Some peers acknowledged, others are heard but cannot hear this instance. */
#define REJOIN_MAX_MS 10000
/*
 * After a longer gap between ticks, heartbeats may still wait unread in the
 * socket, so silence is judged at the next tick only.
 */
#define STALL_MS 250

static int64_t membership_now(const struct membership *membership)
{
	return clock_now_ns(membership->options.clock);
}

/* Generator splitmix64: small, seedable, and good enough to spread sends. */
static uint64_t random_next(struct membership *membership)
{
	uint64_t value = membership->random_state += 0x9e3779b97f4a7c15;

	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
	return value ^ (value >> 31);
}

static struct peer *peer_find(const struct membership *membership, uint64_t id)
{
	size_t position = membership_position(membership, id);

	if (position == membership->peer_count ||
	    membership->peers[position].id != id)
		return NULL;
	return &membership->peers[position];
}

static struct peer *peer_insert(struct membership *membership, uint64_t id)
{
	size_t position = membership_position(membership, id);
	struct peer *peer;

	if (membership->peer_count >= MEMBER_VIEW_MAX - 1)
		return NULL;
	membership->peers = g_renew(struct peer, membership->peers,
				    membership->peer_count + 1);
	peer = &membership->peers[position];
	memmove(peer + 1, peer,
		(membership->peer_count - position) * sizeof(*peer));
	memset(peer, 0, sizeof(*peer));
	membership->peer_count++;
	membership->view =
		g_realloc(membership->view,
			  membership_view_bytes(membership->peer_count + 1));
	peer->id = id;
	return peer;
}

static void heartbeat_send(struct membership *membership, struct peer *peer,
			   int64_t now_ns)
{
	struct heartbeat heartbeat = {
		.sequence = peer_sequence_next(peer, now_ns),
		.acknowledged = peer->link.sequence,
		.incarnation = membership->incarnation,
		.addressee_incarnation = peer->incarnation,
		.state = (uint8_t)membership->state,
		.zone = membership->options.zone,
		.revision = membership->revision,
		.revision_digest = membership->revision_digest,
	};

	membership->sent++;
	membership->options.send(membership->options.context, peer->id,
				 &heartbeat);
}

static void heartbeat_send_due(struct membership *membership, int64_t now_ns)
{
	const int64_t interval_ns = HEARTBEAT_INTERVAL_MS * NS_PER_MS;

	for (size_t i = 0; i < membership->peer_count; i++) {
		struct peer *peer = &membership->peers[i];

		if (!peer->is_configured || now_ns < peer->next_send_ns)
			continue;
		heartbeat_send(membership, peer, now_ns);
		if (peer->sent_sequence == 1)
			/* A random phase spreads the sends over time. */
			peer->next_send_ns =
				now_ns + random_next(membership) % interval_ns;
		else if (now_ns - peer->next_send_ns < interval_ns)
			peer->next_send_ns += interval_ns;
		else
			peer->next_send_ns = now_ns + interval_ns;
	}
}

static void heartbeat_send_all(struct membership *membership)
{
	int64_t now_ns = membership_now(membership);

	for (size_t i = 0; i < membership->peer_count; i++) {
		if (membership->peers[i].is_configured)
			heartbeat_send(membership, &membership->peers[i],
				       now_ns);
	}
}

static void rejoin_begin(struct membership *membership, uint32_t incarnation,
			 int64_t now_ns)
{
	membership->incarnation = incarnation;
	membership->is_rejoining = true;
	membership->rejoin_ns = now_ns;
	membership->is_view_changed = true;
	if (membership->state == MEMBER_ACTIVE)
		membership->state = MEMBER_JOINING;
	for (size_t i = 0; i < membership->peer_count; i++)
		peer_restart_lease(&membership->peers[i], now_ns);
}

static void pause_check(struct membership *membership, int64_t now_ns)
{
	int64_t gap_ns = now_ns - membership->last_tick_ns;

	if (gap_ns <= PAUSE_MS * NS_PER_MS)
		return;
	membership->last_tick_ns = now_ns;
	membership->pauses++;
	rejoin_begin(membership, membership->incarnation + 1, now_ns);
	log_event(LOG_LEVEL_WARNING, "pause_detected",
		  "gap_ms=%" G_GINT64_FORMAT " incarnation=%u",
		  gap_ns / NS_PER_MS, membership->incarnation);
	membership_publish(membership);
}

static bool rejoin_is_complete(const struct membership *membership,
			       int64_t waited_ms)
{
	size_t alive = 0;
	size_t acknowledged = 0;

	for (size_t i = 0; i < membership->peer_count; i++) {
		alive += membership->peers[i].status == PEER_ALIVE;
		acknowledged += membership->peers[i].has_acknowledged;
	}
	if (acknowledged == membership->configured_count)
		return true;
	if (alive == 0)
		return waited_ms >= REJOIN_ALONE_MS;
	if (acknowledged == alive)
		return waited_ms >= REJOIN_SETTLE_MS;
	/*
	 * While nobody acknowledges, the peers that are heard cannot hear this
	 * instance and count it as failed, so it keeps waiting.
	 */
	return acknowledged > 0 && waited_ms >= REJOIN_MAX_MS;
}

static void rejoin_check(struct membership *membership, int64_t now_ns)
{
	int64_t waited_ms = (now_ns - membership->rejoin_ns) / NS_PER_MS;

	if (!membership->is_rejoining ||
	    !rejoin_is_complete(membership, waited_ms))
		return;
	membership->is_rejoining = false;
	membership->is_view_changed = true;
	log_event(LOG_LEVEL_INFO, "rejoined",
		  "waited_ms=%" G_GINT64_FORMAT " incarnation=%u", waited_ms,
		  membership->incarnation);
}

static void peers_expire(struct membership *membership, int64_t now_ns)
{
	for (size_t i = 0; i < membership->peer_count; i++) {
		struct peer *peer = &membership->peers[i];

		if (!peer_expire(peer, now_ns))
			continue;
		membership->is_view_changed = true;
		membership->failures += peer->status == PEER_FAILED;
		log_event(LOG_LEVEL_WARNING, "member_silent",
			  "member=%016" G_GINT64_MODIFIER "x status=%s"
			  " timeout_ms=%" G_GINT64_FORMAT,
			  peer->id, peer_status_name(peer->status),
			  peer->link.timeout_ns / NS_PER_MS);
	}
}

struct membership *membership_create(const struct membership_options *options)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->options = *options;
	membership->incarnation = options->incarnation;
	membership->random_state = options->random_seed;
	membership->state = MEMBER_JOINING;
	membership->view = g_malloc0(membership_view_bytes(1));
	membership->last_tick_ns = membership_now(membership);
	membership->rejoin_ns = membership->last_tick_ns;
	membership->is_rejoining = true;
	membership->is_view_changed = true;
	membership_build_view(membership);
	return membership;
}

void membership_destroy(struct membership *membership)
{
	if (!membership)
		return;
	g_free(membership->peers);
	g_free(membership->view);
	g_free(membership);
}

void membership_add_peer(struct membership *membership, uint64_t member_id,
			 uint16_t zone)
{
	struct peer *peer = peer_find(membership, member_id);

	if (member_id == membership->options.self_id)
		return;
	if (!peer)
		peer = peer_insert(membership, member_id);
	if (!peer || peer->is_configured)
		return;
	peer->zone = zone;
	peer->is_configured = true;
	peer->next_send_ns = membership_now(membership);
	link_detector_init(&peer->link, peer->next_send_ns);
	membership->configured_count++;
	membership->is_view_changed = true;
}

void membership_set_listed(struct membership *membership, uint64_t member_id,
			   bool is_listed)
{
	struct peer *peer = peer_find(membership, member_id);

	if (member_id == membership->options.self_id || (!peer && !is_listed))
		return;
	if (!peer)
		peer = peer_insert(membership, member_id);
	if (!peer || peer->is_listed == is_listed)
		return;
	peer->is_listed = is_listed;
	membership->is_view_changed = true;
}

/* An earlier process of this instance used a greater incarnation. */
static void incarnation_raise(struct membership *membership,
			      uint32_t incarnation, int64_t now_ns)
{
	if (incarnation == UINT32_MAX)
		return;
	membership->incarnation_conflicts++;
	rejoin_begin(membership, incarnation + 1, now_ns);
	log_event(LOG_LEVEL_WARNING, "incarnation_raised", "incarnation=%u",
		  membership->incarnation);
}

static void acknowledgement_handle(struct membership *membership,
				   struct peer *peer,
				   const struct heartbeat *heartbeat,
				   int64_t now_ns)
{
	uint32_t incarnation = heartbeat->addressee_incarnation;

	if (incarnation < membership->incarnation)
		return;
	/* A restart within one second can reuse the incarnation itself. */
	if (incarnation > membership->incarnation ||
	    heartbeat->acknowledged > peer->sent_sequence)
		incarnation_raise(membership, incarnation, now_ns);
	else if (peer_acknowledge(peer, heartbeat->acknowledged))
		membership->is_lease_changed = true;
}

void membership_handle(struct membership *membership, uint64_t sender_id,
		       const struct heartbeat *heartbeat)
{
	int64_t now_ns = membership_now(membership);
	enum peer_heartbeat_result result;
	struct peer *peer;

	pause_check(membership, now_ns);
	/* Looked up last, since on_view may add peers and move the array. */
	peer = peer_find(membership, sender_id);
	if (!peer || !peer->is_configured) {
		membership->unknown_sender++;
		return;
	}
	result = peer_receive(peer, heartbeat, now_ns);
	if (result == PEER_HEARTBEAT_STALE) {
		membership->stale++;
		return;
	}
	membership->received++;
	membership->zone_mismatches += heartbeat->zone != peer->zone;
	if (result == PEER_HEARTBEAT_CHANGED) {
		membership->is_view_changed = true;
		peer->next_send_ns = now_ns;
		log_event(LOG_LEVEL_INFO, "member_changed",
			  "member=%016" G_GINT64_MODIFIER
			  "x incarnation=%u state=%d",
			  peer->id, peer->incarnation, peer->state);
	}
	acknowledgement_handle(membership, peer, heartbeat, now_ns);
	/* Changed leases alone wait for the next tick. */
	if (membership->is_view_changed)
		membership_publish(membership);
}

void membership_tick(struct membership *membership)
{
	int64_t now_ns = membership_now(membership);
	bool is_stalled;

	pause_check(membership, now_ns);
	is_stalled = now_ns - membership->last_tick_ns > STALL_MS * NS_PER_MS;
	membership->last_tick_ns = now_ns;
	if (!is_stalled)
		peers_expire(membership, now_ns);
	rejoin_check(membership, now_ns);
	heartbeat_send_due(membership, now_ns);
	membership_publish(membership);
}

void membership_set_active(struct membership *membership)
{
	if (membership->is_rejoining || membership->state != MEMBER_JOINING)
		return;
	membership->state = MEMBER_ACTIVE;
	membership->is_view_changed = true;
	heartbeat_send_all(membership);
	membership_publish(membership);
}

void membership_leave(struct membership *membership)
{
	if (membership->state == MEMBER_LEAVING)
		return;
	membership->state = MEMBER_LEAVING;
	membership->is_view_changed = true;
	heartbeat_send_all(membership);
	membership_publish(membership);
}

void membership_set_revision(struct membership *membership, uint64_t revision,
			     uint64_t digest)
{
	membership->revision = revision;
	membership->revision_digest = digest;
}

const struct member_view *membership_view(const struct membership *membership)
{
	return membership->view;
}
