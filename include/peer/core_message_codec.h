#ifndef PARSLEYLADDER_PEER_CORE_MESSAGE_CODEC_H
#define PARSLEYLADDER_PEER_CORE_MESSAGE_CODEC_H

/** Fields of the messages between decision cores; see message_codec.h. */

#include <stdbool.h>

#include "core/message.h"
#include "peer/field_codec.h"

/** Number of fields that core_message_encode() writes for @kind. */
unsigned int core_message_field_count(enum core_message_kind kind);
void core_message_encode(const struct core_message *message,
			 struct field_writer *writer);
/** Allocates the arrays of @message; release them with core_message_clear(). */
bool core_message_decode(struct core_message *message,
			 struct array_reader *reader);
void core_message_clear(struct core_message *message);

#endif
