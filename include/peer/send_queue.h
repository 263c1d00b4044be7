#ifndef PARSLEYLADDER_PEER_SEND_QUEUE_H
#define PARSLEYLADDER_PEER_SEND_QUEUE_H

/**
 * Messages waiting for one peer, by priority, and their wire frames.
 *
 * A message that is longer than one fragment is cut, so that messages of a
 * higher priority can pass between its fragments. A frame begins with one byte
 * of priority and flags; a fragment has a message number and a fragment number
 * in addition, which show the receiver a fragment lost with a connection.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

#define FRAGMENT_BYTES_MAX 4096
/** Longest message, with room for a part of 1 MB and its fields. */
#define PEER_MESSAGE_BYTES_MAX (1100 * 1024)
#define FRAME_HEADER_BYTES_MAX 5
#define FRAME_BYTES_MAX (FRAME_HEADER_BYTES_MAX + FRAGMENT_BYTES_MAX)

struct send_queue {
	GQueue *messages[MESSAGE_PRIORITIES];
	size_t bytes[MESSAGE_PRIORITIES]; /* not yet sent */
	uint16_t next_number;
};

void send_queue_init(struct send_queue *queue);
void send_queue_clear(struct send_queue *queue);
/**
 * Adds a copy. If the queue is full, a heartbeat displaces the oldest one, and
 * any other message is dropped itself. Returns the number of messages dropped.
 */
unsigned int send_queue_push(struct send_queue *queue,
			     enum message_priority priority,
			     const uint8_t *data, size_t length,
			     int64_t now_ns);
/** Writes the next frame of @priority; 0 if there is none. */
size_t send_queue_peek(const struct send_queue *queue,
		       enum message_priority priority,
		       uint8_t frame[FRAME_BYTES_MAX]);
/** Removes the frame that send_queue_peek() returned. */
void send_queue_pop(struct send_queue *queue, enum message_priority priority);
/** Drops messages of @priority older than its age limit; returns how many. */
unsigned int send_queue_expire(struct send_queue *queue,
			       enum message_priority priority, int64_t now_ns);
/** Drops all messages of @priority; returns how many. */
unsigned int send_queue_drop(struct send_queue *queue,
			     enum message_priority priority);
bool send_queue_is_empty(const struct send_queue *queue);

/** Messages of one peer that are being put together again. */
struct reassembly {
	struct {
		GByteArray *data; /* NULL if none is under way */
		uint16_t number;
		uint16_t next;
	} partial[MESSAGE_PRIORITIES];
	GByteArray *complete; /* the message returned last */
};

enum reassembly_result {
	REASSEMBLY_COMPLETE,
	REASSEMBLY_PARTIAL,
	REASSEMBLY_MALFORMED, /* a fragment is missing, or not a valid frame */
};

/** A message; @data is valid until the next call for the same peer. */
struct reassembled {
	enum message_priority priority;
	const uint8_t *data;
	size_t length;
};

void reassembly_clear(struct reassembly *reassembly);
enum reassembly_result reassembly_add(struct reassembly *reassembly,
				      const uint8_t *frame, size_t length,
				      struct reassembled *message);

#endif
