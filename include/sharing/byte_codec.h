#ifndef PARSLEYLADDER_SHARING_BYTE_CODEC_H
#define PARSLEYLADDER_SHARING_BYTE_CODEC_H

/**
 * Big-endian integers in binary fields, and records with a length prefix.
 * Decoding never allocates memory by a claimed count.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of the length prefix of a record, in bytes. */
#define RECORD_LENGTH_BYTES 2

static inline void bytes_put(GByteArray *bytes, uint64_t value, size_t length)
{
	while (length-- > 0) {
		guint8 byte = (guint8)(value >> (8 * length));

		g_byte_array_append(bytes, &byte, 1);
	}
}

static inline uint64_t bytes_get(const uint8_t **data, size_t length)
{
	uint64_t value = 0;

	while (length-- > 0)
		value = value << 8 | *(*data)++;
	return value;
}

/** Appends @record with its length prefix and frees it. */
static inline void record_put(GByteArray *bytes, GByteArray *record)
{
	bytes_put(bytes, record->len, RECORD_LENGTH_BYTES);
	g_byte_array_append(bytes, record->data, record->len);
	g_byte_array_unref(record);
}

/**
 * Reads the next record of [*@data, @end) and advances *@data; false if the
 * record is incomplete or empty.
 */
static inline bool record_get(const uint8_t **data, const uint8_t *end,
			      const uint8_t **record, size_t *length)
{
	if (end - *data < RECORD_LENGTH_BYTES)
		return false;
	*length = bytes_get(data, RECORD_LENGTH_BYTES);
	if (*length == 0 || *length > (size_t)(end - *data))
		return false;
	*record = *data;
	*data += *length;
	return true;
}

#endif
