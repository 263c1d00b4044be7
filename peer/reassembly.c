#include <string.h>

#include "peer/frame.h"
#include "peer/send_queue.h"

static void partial_drop(struct reassembly *reassembly,
			 enum message_priority priority)
{
	if (reassembly->partial[priority].data)
		g_byte_array_unref(reassembly->partial[priority].data);
	reassembly->partial[priority].data = NULL;
}

static void complete_drop(struct reassembly *reassembly)
{
	if (reassembly->complete)
		g_byte_array_unref(reassembly->complete);
	reassembly->complete = NULL;
}

void reassembly_clear(struct reassembly *reassembly)
{
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		partial_drop(reassembly, i);
	complete_drop(reassembly);
}

static enum reassembly_result fragment_add(struct reassembly *reassembly,
					   enum message_priority priority,
					   const uint8_t *frame, size_t length)
{
	uint16_t number = frame_get_u16(frame + 1);
	uint16_t fragment = frame_get_u16(frame + 3);
	GByteArray *data;

	if (fragment == 0) {
		partial_drop(reassembly, priority);
		reassembly->partial[priority].data = g_byte_array_new();
		reassembly->partial[priority].number = number;
		reassembly->partial[priority].next = 0;
	}
	data = reassembly->partial[priority].data;
	length -= FRAME_HEADER_BYTES_MAX;
	if (!data || reassembly->partial[priority].number != number ||
	    reassembly->partial[priority].next != fragment ||
	    data->len + length > PEER_MESSAGE_BYTES_MAX) {
		partial_drop(reassembly, priority);
		return REASSEMBLY_MALFORMED;
	}
	g_byte_array_append(data, frame + FRAME_HEADER_BYTES_MAX, length);
	reassembly->partial[priority].next++;
	return frame[0] & FRAME_LAST ? REASSEMBLY_COMPLETE : REASSEMBLY_PARTIAL;
}

enum reassembly_result reassembly_add(struct reassembly *reassembly,
				      const uint8_t *frame, size_t length,
				      struct reassembled *message)
{
	enum reassembly_result result;
	enum message_priority priority;

	complete_drop(reassembly);
	if (length < 2 || length > FRAME_BYTES_MAX ||
	    (frame[0] & FRAME_PRIORITY_MASK) >= MESSAGE_PRIORITIES)
		return REASSEMBLY_MALFORMED;
	priority = frame[0] & FRAME_PRIORITY_MASK;
	message->priority = priority;
	if (!(frame[0] & FRAME_FRAGMENT)) {
		message->data = frame + 1;
		message->length = length - 1;
		return frame[0] & FRAME_LAST ? REASSEMBLY_COMPLETE
					     : REASSEMBLY_MALFORMED;
	}
	if (length <= FRAME_HEADER_BYTES_MAX)
		return REASSEMBLY_MALFORMED;
	result = fragment_add(reassembly, priority, frame, length);
	if (result == REASSEMBLY_COMPLETE) {
		reassembly->complete = reassembly->partial[priority].data;
		reassembly->partial[priority].data = NULL;
		message->data = reassembly->complete->data;
		message->length = reassembly->complete->len;
	}
	return result;
}
