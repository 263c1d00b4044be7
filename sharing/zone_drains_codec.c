#include "sharing/zone_drains_codec.h"

#include <string.h>
#include <xxhash.h>

#include "sharing/byte_codec.h"

#define REVISION_BYTES 8
#define ACTIVE_BIT (1ULL << 63)

enum zone_drains_flag {
	ZONE_DRAINS_ARE_COMPLETE = 1,
	ZONE_DRAINS_ARE_REPLY = 2,
	ZONE_DRAINS_FLAGS = 3,
};

static GByteArray *entries_encode(const struct sharing_message *message)
{
	GByteArray *bytes = g_byte_array_new();

	for (guint i = 0; message->drains && i < message->drains->len; i++) {
		const struct zone_drain *drain =
			&g_array_index(message->drains, struct zone_drain, i);
		size_t length = strlen(drain->zone);

		bytes_put(bytes, length, 1);
		g_byte_array_append(bytes, (const guint8 *)drain->zone,
				    (guint)length);
		bytes_put(bytes,
			  drain->position.revision |
				  (drain->is_active ? ACTIVE_BIT : 0),
			  REVISION_BYTES);
	}
	return bytes;
}

void zone_drains_write(struct field_writer *writer,
		       const struct sharing_message *message)
{
	unsigned int flags =
		(message->is_complete ? ZONE_DRAINS_ARE_COMPLETE : 0) |
		(message->is_reply ? ZONE_DRAINS_ARE_REPLY : 0);

	field_write_uint(writer, flags);
	field_write_uint(writer, message->position.revision);
	field_write_uint(writer, message->listed_position.revision);
	field_write_byte_array(writer, entries_encode(message));
}

/* Reads the next entry of [*@data, @end); false if it is not valid. */
static bool entry_read(const uint8_t **data, const uint8_t *end,
		       struct zone_drain *drain)
{
	size_t length = bytes_get(data, 1);
	uint64_t revision;

	if (length == 0 || length > NAME_BYTES_MAX ||
	    length + REVISION_BYTES > (size_t)(end - *data) ||
	    memchr(*data, '\0', length))
		return false;
	memset(drain, 0, sizeof(*drain));
	memcpy(drain->zone, *data, length);
	*data += length;
	revision = bytes_get(data, REVISION_BYTES);
	drain->position.revision = revision & ~ACTIVE_BIT;
	drain->is_active = (revision & ACTIVE_BIT) != 0;
	return true;
}

/* Entries in another order would have another digest. */
static bool is_in_order(const GArray *drains, const struct zone_drain *next)
{
	if (drains->len == 0)
		return true;
	return strcmp(g_array_index(drains, struct zone_drain, drains->len - 1)
			      .zone,
		      next->zone) < 0;
}

static bool entries_read(const uint8_t *data, size_t length, GArray *drains)
{
	const uint8_t *end = length > 0 ? data + length : data;

	while (data < end) {
		struct zone_drain drain;

		if (drains->len == ZONE_DRAINS_MAX ||
		    !entry_read(&data, end, &drain) ||
		    !is_in_order(drains, &drain))
			return false;
		g_array_append_val(drains, drain);
	}
	return true;
}

void zone_drains_read(struct array_reader *reader,
		      struct sharing_message *message)
{
	uint64_t flags = field_read_uint(reader, ZONE_DRAINS_FLAGS);
	const uint8_t *data;
	size_t length;

	message->is_complete = flags & ZONE_DRAINS_ARE_COMPLETE;
	message->is_reply = flags & ZONE_DRAINS_ARE_REPLY;
	message->position.revision = field_read_uint(reader, G_MAXINT64);
	message->listed_position.revision = field_read_uint(reader, G_MAXINT64);
	data = field_read_bytes(reader, &length);
	message->drains = g_array_new(FALSE, FALSE, sizeof(struct zone_drain));
	if (!reader->has_error && !entries_read(data, length, message->drains))
		reader->has_error = true;
}

uint64_t zone_drains_digest(const struct sharing_message *message)
{
	GByteArray *bytes = entries_encode(message);
	uint64_t digest;

	bytes_put(bytes, message->listed_position.revision, REVISION_BYTES);
	bytes_put(bytes, message->is_complete, 1);
	digest = XXH3_64bits(bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	return MAX(digest, 1);
}
