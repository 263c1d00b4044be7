#include <string.h>
#include <zmq.h>

#include "peer/transport_state.h"

/* Frames handled before other sources of the main loop get their turn. */
#define FRAMES_PER_DISPATCH 64

static bool sender_parse(zmq_msg_t *id, uint64_t *sender_id)
{
	const uint8_t *data = zmq_msg_data(id);

	if (zmq_msg_size(id) != ROUTING_ID_BYTES || data[0] != ROUTING_ID_TAG)
		return false;
	memcpy(sender_id, data + 1, sizeof(*sender_id));
	*sender_id = GUINT64_FROM_LE(*sender_id);
	return true;
}

/* The sender that a frame claims, or NULL if its key does not allow that. */
static struct transport_peer *sender_find(struct transport *transport,
					  zmq_msg_t *id, zmq_msg_t *payload)
{
	const char *user = zmq_msg_gets(payload, "User-Id");
	struct transport_peer *peer;
	uint64_t sender_id;
	int key;

	if (!user || !sender_parse(id, &sender_id)) {
		transport->counters.malformed++;
		return NULL;
	}
	peer = g_hash_table_lookup(transport->by_id, &sender_id);
	if (!peer) {
		transport->counters.unknown_sender++;
		return NULL;
	}
	key = (int)g_ascii_strtoll(user, NULL, 10);
	if (!key_ring_allows(transport->ring, key, sender_id)) {
		transport->counters.impostors++;
		return NULL;
	}
	return peer;
}

static void payload_handle(struct transport *transport,
			   struct transport_peer *peer, zmq_msg_t *payload)
{
	struct transport_counters *counters = &transport->counters;
	size_t length = zmq_msg_size(payload);
	struct reassembled message;

	switch (reassembly_add(&peer->reassembly, zmq_msg_data(payload), length,
			       &message)) {
	case REASSEMBLY_MALFORMED:
		counters->malformed++;
		return;
	case REASSEMBLY_PARTIAL:
		counters->bytes_received[message.priority] +=
			length + TRANSPORT_OVERHEAD_BYTES;
		return;
	case REASSEMBLY_COMPLETE:
		break;
	}
	counters->bytes_received[message.priority] +=
		length + TRANSPORT_OVERHEAD_BYTES;
	counters->messages_received[message.priority]++;
	transport->on_message(transport->context, peer->id, message.data,
			      message.length);
}

/* Reads the rest of a message that has too many frames. */
static void rest_discard(struct transport *transport, zmq_msg_t *frame)
{
	transport->counters.malformed++;
	while (zmq_msg_more(frame)) {
		if (zmq_msg_recv(frame, transport->router, ZMQ_DONTWAIT) < 0)
			return;
	}
}

/* False if nothing waits. */
static bool message_receive(struct transport *transport, zmq_msg_t *id,
			    zmq_msg_t *payload)
{
	struct transport_peer *peer;

	if (zmq_msg_recv(id, transport->router, ZMQ_DONTWAIT) < 0)
		return false;
	if (!zmq_msg_more(id)) {
		transport->counters.malformed++;
		return true;
	}
	if (zmq_msg_recv(payload, transport->router, ZMQ_DONTWAIT) < 0)
		return false;
	if (zmq_msg_more(payload)) {
		rest_discard(transport, payload);
		return true;
	}
	if (clock_now_ns(transport->clock) < transport->discard_until_ns) {
		transport->counters.discarded++;
		return true;
	}
	peer = sender_find(transport, id, payload);
	if (peer)
		payload_handle(transport, peer, payload);
	return true;
}

gboolean transport_receive(gpointer context)
{
	struct transport *transport = context;
	zmq_msg_t id;
	zmq_msg_t payload;

	transport_check_pause(transport);
	zmq_msg_init(&id);
	zmq_msg_init(&payload);
	for (unsigned int i = 0; i < FRAMES_PER_DISPATCH; i++) {
		if (!message_receive(transport, &id, &payload))
			break;
	}
	zmq_msg_close(&payload);
	zmq_msg_close(&id);
	return G_SOURCE_CONTINUE;
}
