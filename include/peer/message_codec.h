#ifndef PARSLEYLADDER_PEER_MESSAGE_CODEC_H
#define PARSLEYLADDER_PEER_MESSAGE_CODEC_H

/**
 * Wire form of the inner protocol: one msgpack array a message, with the
 * protocol version and the kind first.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "core/message.h"
#include "peer/membership.h"

#define PEER_PROTOCOL_VERSION 1

enum peer_message_kind {
	PEER_MESSAGE_HEARTBEAT,
	PEER_MESSAGE_CORE,
	PEER_MESSAGE_REVISION_REQUEST, /* asks for revision and part digests */
	PEER_MESSAGE_REVISION_INDEX,
	PEER_MESSAGE_PART_REQUEST,
	PEER_MESSAGE_PART,
	PEER_MESSAGE_KINDS,
};

/** Name and digest of one part of a revision. */
struct part_reference {
	char *name;
	uint64_t digest;
};

struct peer_message {
	enum peer_message_kind kind;
	struct heartbeat heartbeat;
	struct core_message core;
	uint64_t revision; /* REVISION_*, PART_* */
	/*
	 * REVISION_REQUEST: revision that the sender has, 0 for none.
	 * REVISION_INDEX: revision that @parts are the changes to, a removed
	 * part having digest 0; or 0, and @parts are complete.
	 */
	uint64_t base_revision;
	struct part_reference *parts; /* REVISION_INDEX */
	size_t part_count;
	char *part_name; /* PART_REQUEST, PART */
	uint64_t part_digest; /* PART_REQUEST, PART */
	const uint8_t *part_data; /* PART */
	size_t part_bytes;
};

/** Encodes @message into a new byte array. */
GByteArray *peer_message_encode(const struct peer_message *message);
/**
 * Decodes @length bytes. Every count is checked against the bytes present.
 * Returns NULL and fills @error (ERROR_PEER). Free with peer_message_free().
 */
struct peer_message *peer_message_decode(const uint8_t *data, size_t length,
					 struct error *error);
void peer_message_free(struct peer_message *message);

#endif
