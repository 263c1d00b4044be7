#ifndef PARSLEYLADDER_PEER_WIRE_H
#define PARSLEYLADDER_PEER_WIRE_H

/**
 * Integers inside the binary fields of peer messages: little-endian fixed
 * widths and LEB128 variable-length integers ("varint").
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Reads from a buffer. After a read past the end all reads return 0. */
struct wire_reader {
	const uint8_t *data;
	size_t left;
	bool is_bad;
};

void wire_write_u8(GByteArray *out, uint8_t value);
void wire_write_u32(GByteArray *out, uint32_t value);
void wire_write_u64(GByteArray *out, uint64_t value);
void wire_write_varint(GByteArray *out, uint64_t value);
/** Zigzag form: small magnitudes of either sign take few bytes. */
void wire_write_signed(GByteArray *out, int64_t value);

uint8_t wire_read_u8(struct wire_reader *reader);
uint32_t wire_read_u32(struct wire_reader *reader);
uint64_t wire_read_u64(struct wire_reader *reader);
uint64_t wire_read_varint(struct wire_reader *reader);
int64_t wire_read_signed(struct wire_reader *reader);
/** Reads a varint of at most @max; a greater one makes the reader bad. */
uint32_t wire_read_limited(struct wire_reader *reader, uint32_t max);
/** True if everything was read and nothing was missing. */
bool wire_reader_is_done(const struct wire_reader *reader);

#endif
