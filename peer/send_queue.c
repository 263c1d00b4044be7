#include "peer/send_queue.h"

#include <string.h>

#include "common/clock.h"
#include "peer/frame.h"

struct waiting_message {
	size_t length;
	size_t offset; /* bytes already sent */
	uint16_t number;
	uint16_t fragment;
	int64_t queued_ns;
	uint8_t data[];
};

/*
 * Age limits follow from the use of a message: proposals and records are
 * repeated or sent anew by then. Parts and shards need time, since 1 MB takes
 * 256 s at 4,096 bytes/s.
 */
static const struct {
	unsigned int count;
	size_t bytes;
	int64_t age_s;
} limits[MESSAGE_PRIORITIES] = {
	[MESSAGE_PRIORITY_HEARTBEAT] = { 4, 16 * 1024, 1 },
	[MESSAGE_PRIORITY_RECORDS] = { 256, 64 * 1024, 5 },
	[MESSAGE_PRIORITY_REVISION] = { 64, 2 * PEER_MESSAGE_BYTES_MAX, 600 },
	[MESSAGE_PRIORITY_MAP] = { 256, 512 * 1024, 30 },
	[MESSAGE_PRIORITY_SHARD] = { 1024, 1024 * 1024, 120 },
	[MESSAGE_PRIORITY_ANSWER] = { 64, 16 * 1024, 2 },
};

void send_queue_init(struct send_queue *queue)
{
	memset(queue, 0, sizeof(*queue));
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		queue->messages[i] = g_queue_new();
}

void send_queue_clear(struct send_queue *queue)
{
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		g_queue_free_full(queue->messages[i], g_free);
}

static void head_drop(struct send_queue *queue, enum message_priority priority)
{
	struct waiting_message *message =
		g_queue_pop_head(queue->messages[priority]);

	queue->bytes[priority] -= message->length - message->offset;
	g_free(message);
}

unsigned int send_queue_push(struct send_queue *queue,
			     enum message_priority priority,
			     const uint8_t *data, size_t length, int64_t now_ns)
{
	struct waiting_message *message;
	unsigned int dropped = 0;

	if (length == 0 || length > PEER_MESSAGE_BYTES_MAX)
		return 1;
	/* An old heartbeat is worth less than a new one. */
	if (priority == MESSAGE_PRIORITY_HEARTBEAT &&
	    queue->messages[priority]->length >= limits[priority].count) {
		head_drop(queue, priority);
		dropped++;
	}
	if (queue->messages[priority]->length >= limits[priority].count ||
	    queue->bytes[priority] + length > limits[priority].bytes)
		return dropped + 1;
	message = g_malloc(sizeof(*message) + length);
	message->length = length;
	message->offset = 0;
	message->number = queue->next_number++;
	message->fragment = 0;
	message->queued_ns = now_ns;
	memcpy(message->data, data, length);
	g_queue_push_tail(queue->messages[priority], message);
	queue->bytes[priority] += length;
	return dropped;
}

static size_t fragment_bytes(const struct waiting_message *message)
{
	return MIN(message->length - message->offset, FRAGMENT_BYTES_MAX);
}

size_t send_queue_peek(const struct send_queue *queue,
		       enum message_priority priority,
		       uint8_t frame[FRAME_BYTES_MAX])
{
	const struct waiting_message *message =
		g_queue_peek_head(queue->messages[priority]);
	bool is_fragment;
	size_t length;
	size_t header = 1;

	if (!message)
		return 0;
	length = fragment_bytes(message);
	is_fragment = message->length > FRAGMENT_BYTES_MAX;
	frame[0] = (uint8_t)priority;
	if (message->offset + length == message->length)
		frame[0] |= FRAME_LAST;
	if (is_fragment) {
		frame[0] |= FRAME_FRAGMENT;
		frame_put_u16(frame + 1, message->number);
		frame_put_u16(frame + 3, message->fragment);
		header = FRAME_HEADER_BYTES_MAX;
	}
	memcpy(frame + header, message->data + message->offset, length);
	return header + length;
}

void send_queue_pop(struct send_queue *queue, enum message_priority priority)
{
	struct waiting_message *message =
		g_queue_peek_head(queue->messages[priority]);
	size_t length;

	if (!message)
		return;
	length = fragment_bytes(message);
	message->offset += length;
	message->fragment++;
	queue->bytes[priority] -= length;
	if (message->offset == message->length)
		head_drop(queue, priority);
}

unsigned int send_queue_expire(struct send_queue *queue,
			       enum message_priority priority, int64_t now_ns)
{
	const struct waiting_message *message;
	unsigned int dropped = 0;

	/* Messages were queued in order of time, so the oldest one is first. */
	while ((message = g_queue_peek_head(queue->messages[priority])) &&
	       now_ns - message->queued_ns >
		       limits[priority].age_s * NS_PER_S) {
		head_drop(queue, priority);
		dropped++;
	}
	return dropped;
}

unsigned int send_queue_drop(struct send_queue *queue,
			     enum message_priority priority)
{
	unsigned int dropped = queue->messages[priority]->length;

	while (!g_queue_is_empty(queue->messages[priority]))
		head_drop(queue, priority);
	return dropped;
}

bool send_queue_is_empty(const struct send_queue *queue)
{
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++) {
		if (!g_queue_is_empty(queue->messages[i]))
			return false;
	}
	return true;
}
