#ifndef PARSLEYLADDER_SHARING_FIELD_CODEC_H
#define PARSLEYLADDER_SHARING_FIELD_CODEC_H

/**
 * A flat msgpack array of integers, strings and binary fields. Nested arrays
 * and maps are rejected, so that decoding never allocates memory by a claimed
 * count.
 */

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum length of a msgpack fixarray, whose header is one byte. */
#define FIELDS_MAX 15

struct field_writer {
	msgpack_packer packer;
	GByteArray *out;
};

/** @out must stay valid while @writer is used. */
void field_writer_init(struct field_writer *writer, GByteArray *out,
		       unsigned int field_count);
void field_write_uint(struct field_writer *writer, uint64_t value);
void field_write_bytes(struct field_writer *writer, const void *data,
		       size_t length);
/** Writes @bytes and frees it. */
void field_write_byte_array(struct field_writer *writer, GByteArray *bytes);
void field_write_text(struct field_writer *writer, const char *text);

/** Fields of a received array; binary and text fields point into the input. */
struct array_reader {
	msgpack_object fields[FIELDS_MAX];
	unsigned int count;
	unsigned int next;
	/* A field was missing, of another type or out of range. */
	bool has_error;
};

/** False if @data is not exactly one flat array. */
bool array_reader_init(struct array_reader *reader, const uint8_t *data,
		       size_t length);
uint64_t field_read_uint(struct array_reader *reader, uint64_t max);
const uint8_t *field_read_bytes(struct array_reader *reader, size_t *length);
/** Copies a text of 1 to @max bytes without NUL; NULL if it is not valid. */
char *field_read_text(struct array_reader *reader, size_t max);
/** True if every field was read and each was valid. */
bool array_reader_is_done(const struct array_reader *reader);

#endif
