#ifndef PARSLEYLADDER_SHARING_HOST_SPEEDS_CODEC_H
#define PARSLEYLADDER_SHARING_HOST_SPEEDS_CODEC_H

/** Fields of a SHARING_HOST_SPEEDS message. */

#include "sharing/field_codec.h"
#include "sharing/sharing_message.h"

/** Fields of the message, including those that all messages have. */
#define HOST_SPEEDS_FIELDS 8

void host_speeds_write(struct field_writer *writer,
		       const struct sharing_message *message);
void host_speeds_read(struct array_reader *reader,
		      struct sharing_message *message);

#endif
