#include "parsleyladder/held_packets.h"

#include <glib.h>
#include <string.h>

#include "packet/transport.h"

/* Left for the handshake when an opening packet is released. */
#define HANDSHAKE_NS (100 * NS_PER_MS)
/* The caller of an older packet may have given up. */
#define OPENING_AGE_MAX_NS                                          \
	(TRANSPORT_OPENING_TIMEOUT_NS - TRANSPORT_LAST_OPENING_NS - \
	 HANDSHAKE_NS)
/* Newer packets have replaced an older one. */
#define OPEN_AGE_MAX_NS TRANSPORT_RETRANSMISSION_MAX_NS

struct held_packet {
	struct flow_key key;
	int64_t held_ns;
	bool is_opening;
	size_t length;
	GList age_link; /* longest held first */
	uint8_t data[]; /* headroom, then the packet */
};

struct held_packets {
	struct held_packets_options options;
	GHashTable *by_flow; /* struct flow_key to struct held_packet */
	GQueue by_age;
};

struct held_packets *
held_packets_create(const struct held_packets_options *options)
{
	struct held_packets *held = g_new0(struct held_packets, 1);

	held->options = *options;
	held->by_flow =
		g_hash_table_new(flow_key_table_hash, flow_key_table_equal);
	return held;
}

static void packet_remove(struct held_packets *held, struct held_packet *packet)
{
	g_hash_table_remove(held->by_flow, &packet->key);
	g_queue_unlink(&held->by_age, &packet->age_link);
	g_free(packet);
}

void held_packets_destroy(struct held_packets *held)
{
	if (!held)
		return;
	while (!g_queue_is_empty(&held->by_age))
		packet_remove(held, g_queue_peek_head(&held->by_age));
	g_hash_table_destroy(held->by_flow);
	g_free(held);
}

static struct held_packet *packet_create(const struct held_packets *held,
					 const struct flow_key *key,
					 const uint8_t *data, size_t length)
{
	size_t headroom = held->options.headroom_bytes;
	struct held_packet *packet =
		g_malloc0(sizeof(*packet) + headroom + length);

	packet->key = *key;
	packet->length = length;
	packet->age_link.data = packet;
	memcpy(packet->data + headroom, data, length);
	return packet;
}

void held_packets_add(struct held_packets *held, const struct flow_key *key,
		      bool is_opening, const uint8_t *data, size_t length,
		      int64_t now_ns)
{
	struct held_packet *packet = g_hash_table_lookup(held->by_flow, key);

	if (packet)
		packet_remove(held, packet);
	else if (held->by_age.length >= held->options.packets_max)
		packet_remove(held, g_queue_peek_head(&held->by_age));
	packet = packet_create(held, key, data, length);
	packet->held_ns = now_ns;
	packet->is_opening = is_opening;
	g_hash_table_insert(held->by_flow, &packet->key, packet);
	g_queue_push_tail_link(&held->by_age, &packet->age_link);
}

static bool is_too_old(const struct held_packet *packet, int64_t now_ns)
{
	int64_t age_ns = now_ns - packet->held_ns;

	return age_ns >
	       (packet->is_opening ? OPENING_AGE_MAX_NS : OPEN_AGE_MAX_NS);
}

uint32_t held_packets_release(struct held_packets *held, int64_t now_ns,
			      bool (*release)(void *context, uint8_t *data,
					      size_t length),
			      void *context)
{
	GList *link = held->by_age.head;
	uint32_t count = 0;

	while (link) {
		struct held_packet *packet = link->data;
		uint8_t *data = packet->data + held->options.headroom_bytes;

		link = link->next;
		if (!is_too_old(packet, now_ns) &&
		    !release(context, data, packet->length))
			continue;
		packet_remove(held, packet);
		count++;
	}
	return count;
}

uint32_t held_packets_count(const struct held_packets *held)
{
	return held->by_age.length;
}
