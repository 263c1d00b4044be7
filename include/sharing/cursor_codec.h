#ifndef PARSLEYLADDER_SHARING_CURSOR_CODEC_H
#define PARSLEYLADDER_SHARING_CURSOR_CODEC_H

/**
 * The field with the cursor of a poll or an update. If the message has an era,
 * that follows after a NUL, in as few bytes as it needs. Members of the previous
 * version read the cursor up to the NUL, so for them the message has no era.
 */

#include "sharing/field_codec.h"
#include "sharing/sharing_message.h"

void cursor_write(struct field_writer *writer,
		  const struct sharing_message *message);
/** Sets has_error of @reader if the field is not valid. */
void cursor_read(struct array_reader *reader, struct sharing_message *message);

#endif
