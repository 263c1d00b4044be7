#ifndef PARSLEYLADDER_SHARING_ZONE_LOAD_CODEC_H
#define PARSLEYLADDER_SHARING_ZONE_LOAD_CODEC_H

/**
 * Encodes the loads of zones as one binary field of a message.
 */

#include "sharing/field_codec.h"
#include "steering/zone_load.h"

void zone_load_entries_write(struct field_writer *writer,
			     const struct zone_load_entry *entries,
			     size_t count);
/**
 * Reads at most ZONE_LOAD_ENTRIES_MAX entries; sets has_error of @reader if
 * there are more, or if the length is not that of whole entries.
 */
size_t zone_load_entries_read(struct array_reader *reader,
			      struct zone_load_entry *entries);

#endif
