#include "sharing/cursor_codec.h"

#include <string.h>

#include "sharing/byte_codec.h"

#define ERA_BYTES_MAX 8

static size_t era_bytes(uint64_t era)
{
	size_t length = 0;

	for (; era > 0; era >>= 8)
		length++;
	return length;
}

void cursor_write(struct field_writer *writer,
		  const struct sharing_message *message)
{
	uint64_t era = message->position.era;
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, (const guint8 *)message->cursor,
			    (guint)strlen(message->cursor));
	if (message->has_era) {
		bytes_put(bytes, 0, 1);
		bytes_put(bytes, era, era_bytes(era));
	}
	field_write_byte_array(writer, bytes);
}

/* The bytes after the cursor: none, or a NUL and the era. */
static void cursor_era_read(struct array_reader *reader, const uint8_t *data,
			    size_t length, struct sharing_message *message)
{
	if (length == 0)
		return;
	message->has_era = true;
	data++;
	if (length - 1 > ERA_BYTES_MAX)
		reader->has_error = true;
	else
		message->position.era = bytes_get(&data, length - 1);
}

void cursor_read(struct array_reader *reader, struct sharing_message *message)
{
	size_t length;
	const uint8_t *data = field_read_bytes(reader, &length);
	size_t cursor_bytes = length > 0 ? strnlen((const char *)data, length)
					 : 0;

	if (cursor_bytes > HOST_ID_BYTES_MAX) {
		reader->has_error = true;
		return;
	}
	if (cursor_bytes > 0)
		memcpy(message->cursor, data, cursor_bytes);
	message->cursor[cursor_bytes] = '\0';
	cursor_era_read(reader, data + cursor_bytes, length - cursor_bytes,
			message);
}
