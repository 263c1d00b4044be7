#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "peer/membership.h"
#include "peer/transport_state.h"

#define FLUSH_INTERVAL_MS 20
#define EXPIRE_INTERVAL_MS 250
/* A peer that was unreachable for this long gets none of the old messages. */
#define UNREACHABLE_MS 3000
/* Time for a connection to succeed before another server key is tried. */
#define CANDIDATE_MS 2500

/* The kernel gives a connection up when sent data stays unacknowledged. */
#define TCP_UNACKNOWLEDGED_MS 4000
#define SEND_FRAMES_MAX 32
/*
 * After a pause the sockets hold frames of any age. Reading them takes a
 * fraction of this time, and peers repeat what they still need.
 */
#define DISCARD_MS 1000

struct socket_option {
	int option;
	int value;
};

/*
 * With ZMQ_IMMEDIATE a frame is taken only by a complete connection, and
 * frames in a broken one are dropped, so nothing arrives long after it was
 * queued. The other options bound how long a dead peer holds a connection.
 */
static const struct socket_option dealer_options[] = {
	{ ZMQ_IMMEDIATE, 1 },
	{ ZMQ_LINGER, 0 },
	{ ZMQ_SNDHWM, SEND_FRAMES_MAX },
	{ ZMQ_RCVHWM, 1 },
	{ ZMQ_IPV6, 1 },
	{ ZMQ_SNDBUF, 128 * 1024 },
	{ ZMQ_RECONNECT_IVL, 100 },
	{ ZMQ_RECONNECT_IVL_MAX, 2000 },
	{ ZMQ_CONNECT_TIMEOUT, 2000 },
	{ ZMQ_HANDSHAKE_IVL, 3000 },
	{ ZMQ_TCP_MAXRT, TCP_UNACKNOWLEDGED_MS },
	{ ZMQ_TCP_KEEPALIVE, 1 },
	{ ZMQ_TCP_KEEPALIVE_IDLE, 5 },
	{ ZMQ_TCP_KEEPALIVE_INTVL, 2 },
	{ ZMQ_TCP_KEEPALIVE_CNT, 3 },
};

static bool dealer_configure(const struct transport *transport,
			     const struct transport_peer *peer, void *socket)
{
	const char *server_key = key_ring_candidate(
		transport->ring, peer->public_key, peer->candidate);
	uint8_t id[ROUTING_ID_BYTES] = { ROUTING_ID_TAG };
	uint64_t self_id = GUINT64_TO_LE(transport->self_id);

	for (size_t i = 0; i < G_N_ELEMENTS(dealer_options); i++) {
		if (zmq_setsockopt(socket, dealer_options[i].option,
				   &dealer_options[i].value,
				   sizeof(dealer_options[i].value)) != 0)
			return false;
	}
	memcpy(id + 1, &self_id, sizeof(self_id));
	memcpy(id + 9, &transport->routing_nonce,
	       sizeof(transport->routing_nonce));
	return zmq_setsockopt(socket, ZMQ_ROUTING_ID, id, sizeof(id)) == 0 &&
	       zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server_key,
			      CURVE_KEY_TEXT_BYTES) == 0 &&
	       zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY,
			      transport->public_key,
			      CURVE_KEY_TEXT_BYTES) == 0 &&
	       zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY,
			      transport->secret_key, CURVE_KEY_TEXT_BYTES) == 0;
}

bool transport_peer_connect(struct transport *transport,
			    struct transport_peer *peer, struct error *error)
{
	peer->socket = zmq_socket(transport->zmq_context, ZMQ_DEALER);
	peer->socket_ns = clock_now_ns(transport->clock);
	if (peer->socket && dealer_configure(transport, peer, peer->socket) &&
	    zmq_connect(peer->socket, peer->endpoint) == 0)
		return true;
	error_set(error, ERROR_SETTINGS, "peer %s, public key %s: %s",
		  peer->endpoint, peer->public_key, zmq_strerror(errno));
	if (peer->socket)
		zmq_close(peer->socket);
	peer->socket = NULL;
	return false;
}

/*
 * During a key rotation the peer's server may already use the next key. The
 * connection then never completes, and the other accepted keys are tried.
 */
static void candidate_rotate(struct transport *transport,
			     struct transport_peer *peer, int64_t now_ns)
{
	const char *next;

	if (now_ns - peer->socket_ns < CANDIDATE_MS * NS_PER_MS)
		return;
	next = key_ring_candidate(transport->ring, peer->public_key,
				  peer->candidate + 1);
	if (!next && peer->candidate == 0)
		return;
	peer->candidate = next ? peer->candidate + 1 : 0;
	zmq_close(peer->socket);
	transport_peer_connect(transport, peer, NULL);
}

enum send_result {
	SEND_DONE,
	SEND_NOTHING, /* no frame of this priority */
	SEND_NO_BUDGET,
	SEND_BLOCKED, /* the peer takes no frames now */
};

static enum send_result frame_send(struct transport *transport,
				   struct transport_peer *peer,
				   enum message_priority priority,
				   int64_t now_ns)
{
	struct transport_counters *counters = &transport->counters;
	uint8_t frame[FRAME_BYTES_MAX];
	size_t length = send_queue_peek(&peer->queue, priority, frame);
	uint32_t cost = (uint32_t)length + TRANSPORT_OVERHEAD_BYTES;

	if (length == 0)
		return SEND_NOTHING;
	if (peer->blocked_ns > 0 && peer->tried_ns == now_ns)
		return SEND_BLOCKED;
	/* Heartbeats never wait: silence would look like a failure. */
	if (priority != MESSAGE_PRIORITY_HEARTBEAT &&
	    token_bucket_available(&transport->bucket, now_ns) < cost)
		return SEND_NO_BUDGET;
	if (!peer->socket ||
	    zmq_send(peer->socket, frame, length, ZMQ_DONTWAIT) < 0) {
		if (peer->blocked_ns == 0)
			peer->blocked_ns = now_ns;
		peer->tried_ns = now_ns;
		return SEND_BLOCKED;
	}
	peer->blocked_ns = 0;
	send_queue_pop(&peer->queue, priority);
	token_bucket_force(&transport->bucket, now_ns, cost);
	counters->bytes_sent[priority] += cost;
	counters->messages_sent[priority]++;
	return SEND_DONE;
}

/* One frame to each peer in turn; false if the budget is spent. */
static bool round_send(struct transport *transport,
		       enum message_priority priority, int64_t now_ns,
		       bool *is_sent)
{
	guint count = transport->peers->len;

	*is_sent = false;
	for (guint i = 0; i < count; i++) {
		guint index = (transport->first_peer + i) % count;
		struct transport_peer *peer =
			g_ptr_array_index(transport->peers, index);
		enum send_result result =
			frame_send(transport, peer, priority, now_ns);

		if (result == SEND_NO_BUDGET) {
			/* This peer is the first one to be served next. */
			transport->first_peer = index;
			return false;
		}
		*is_sent |= result == SEND_DONE;
	}
	return true;
}

static size_t peer_queued_bytes(const struct transport_peer *peer)
{
	size_t sum = 0;

	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		sum += peer->queue.bytes[i];
	return sum;
}

static void peer_expire(struct transport *transport,
			struct transport_peer *peer, int64_t now_ns)
{
	bool is_unreachable = peer->blocked_ns > 0 &&
			      now_ns - peer->blocked_ns >
				      UNREACHABLE_MS * NS_PER_MS;

	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++) {
		transport->counters.dropped[i] +=
			is_unreachable
				? send_queue_drop(&peer->queue, i)
				: send_queue_expire(&peer->queue, i, now_ns);
	}
	if (is_unreachable)
		candidate_rotate(transport, peer, now_ns);
}

static void queues_expire(struct transport *transport, int64_t now_ns)
{
	if (now_ns < transport->expire_ns)
		return;
	transport->expire_ns = now_ns + EXPIRE_INTERVAL_MS * NS_PER_MS;
	transport->queued_bytes = 0;
	for (guint i = 0; i < transport->peers->len; i++) {
		struct transport_peer *peer =
			g_ptr_array_index(transport->peers, i);

		peer_expire(transport, peer, now_ns);
		transport->queued_bytes += peer_queued_bytes(peer);
	}
}

static bool is_waiting(const struct transport *transport)
{
	for (guint i = 0; i < transport->peers->len; i++) {
		const struct transport_peer *peer =
			g_ptr_array_index(transport->peers, i);

		if (!send_queue_is_empty(&peer->queue))
			return true;
	}
	return false;
}

static gboolean flush_timer(gpointer context)
{
	struct transport *transport = context;

	transport->flush_source = 0;
	transport_check_pause(transport);
	transport_flush(transport);
	return G_SOURCE_REMOVE;
}

void transport_check_pause(struct transport *transport)
{
	int64_t now_ns = clock_now_ns(transport->clock);
	bool is_paused = now_ns - transport->running_ns > PAUSE_MS * NS_PER_MS;

	transport->running_ns = now_ns;
	if (!is_paused)
		return;
	transport->discard_until_ns = now_ns + DISCARD_MS * NS_PER_MS;
	for (guint i = 0; i < transport->peers->len; i++) {
		struct transport_peer *peer =
			g_ptr_array_index(transport->peers, i);

		for (unsigned int j = 0; j < MESSAGE_PRIORITIES; j++)
			transport->counters.dropped[j] +=
				send_queue_drop(&peer->queue, j);
	}
}

void transport_flush(struct transport *transport)
{
	int64_t now_ns = clock_now_ns(transport->clock);
	bool has_budget = true;
	bool is_sent;

	queues_expire(transport, now_ns);

	for (unsigned int i = 0; i < MESSAGE_PRIORITIES && has_budget; i++) {
		do {
			has_budget = round_send(transport, i, now_ns, &is_sent);
		} while (has_budget && is_sent);
	}
	if (is_waiting(transport) && transport->flush_source == 0)
		transport->flush_source = g_timeout_add(FLUSH_INTERVAL_MS,
							flush_timer, transport);
}

void transport_send(struct transport *transport, uint64_t member_id,
		    const uint8_t *data, size_t length,
		    enum message_priority priority)
{
	struct transport_peer *peer =
		g_hash_table_lookup(transport->by_id, &member_id);

	if ((unsigned int)priority >= MESSAGE_PRIORITIES)
		return;
	transport_check_pause(transport);
	if (!peer ||
	    (priority != MESSAGE_PRIORITY_HEARTBEAT &&
	     transport->queued_bytes + length > TRANSPORT_QUEUED_BYTES_MAX)) {
		transport->counters.dropped[priority]++;
		return;
	}
	transport->queued_bytes += length;
	transport->counters.dropped[priority] +=
		send_queue_push(&peer->queue, priority, data, length,
				clock_now_ns(transport->clock));
	transport_flush(transport);
}

uint64_t transport_budget_bytes(struct transport *transport)
{
	int64_t left = token_bucket_available(&transport->bucket,
					      clock_now_ns(transport->clock));

	/* Waiting messages of the two highest priorities go first. */
	for (guint i = 0; i < transport->peers->len; i++) {
		const struct transport_peer *peer =
			g_ptr_array_index(transport->peers, i);

		left -= (int64_t)peer->queue.bytes[MESSAGE_PRIORITY_HEARTBEAT];
		left -= (int64_t)peer->queue.bytes[MESSAGE_PRIORITY_RECORDS];
	}
	return left > 0 ? (uint64_t)left : 0;
}
