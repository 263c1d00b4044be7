#ifndef PARSLEYLADDER_SHARING_ZONE_DRAINS_CODEC_H
#define PARSLEYLADDER_SHARING_ZONE_DRAINS_CODEC_H

/**
 * Fields of a SHARING_ZONE_DRAINS message. The entries are one binary field;
 * each is the length of the zone's name in one byte, the name, and the revision
 * in eight bytes, whose highest bit is set while the zone is drained.
 */

#include "sharing/field_codec.h"
#include "sharing/sharing_message.h"

/** Number of fields, without those that all messages have. */
#define ZONE_DRAINS_FIELDS 4

void zone_drains_write(struct field_writer *writer,
		       const struct sharing_message *message);
void zone_drains_read(struct array_reader *reader,
		      struct sharing_message *message);
/**
 * Digest of the state that the message carries, never 0. It tells whether two
 * balancers of one era know the same; the message's position is not part of it.
 */
uint64_t zone_drains_digest(const struct sharing_message *message);

#endif
