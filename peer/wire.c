#include "peer/wire.h"

#include <string.h>

/* A 64-bit value takes ten groups of 7 bits. */
#define VARINT_BYTES_MAX 10

void wire_write_u8(GByteArray *out, uint8_t value)
{
	g_byte_array_append(out, &value, 1);
}

void wire_write_u32(GByteArray *out, uint32_t value)
{
	value = GUINT32_TO_LE(value);
	g_byte_array_append(out, (const uint8_t *)&value, sizeof(value));
}

void wire_write_u64(GByteArray *out, uint64_t value)
{
	value = GUINT64_TO_LE(value);
	g_byte_array_append(out, (const uint8_t *)&value, sizeof(value));
}

void wire_write_varint(GByteArray *out, uint64_t value)
{
	uint8_t bytes[VARINT_BYTES_MAX];
	unsigned int count = 0;

	while (value >= 0x80) {
		bytes[count++] = (uint8_t)(value | 0x80);
		value >>= 7;
	}
	bytes[count++] = (uint8_t)value;
	g_byte_array_append(out, bytes, count);
}

void wire_write_signed(GByteArray *out, int64_t value)
{
	uint64_t sign = value < 0 ? UINT64_MAX : 0;

	wire_write_varint(out, ((uint64_t)value << 1) ^ sign);
}

/* Nothing is left then, so that loops over the rest of the input end. */
static void reader_fail(struct wire_reader *reader)
{
	reader->is_bad = true;
	reader->left = 0;
}

/* Copies @count bytes, or zeroes if they are not there. */
static void wire_read(struct wire_reader *reader, void *out, size_t count)
{
	if (reader->is_bad || reader->left < count) {
		reader_fail(reader);
		memset(out, 0, count);
		return;
	}
	memcpy(out, reader->data, count);
	reader->data += count;
	reader->left -= count;
}

uint8_t wire_read_u8(struct wire_reader *reader)
{
	uint8_t value;

	wire_read(reader, &value, sizeof(value));
	return value;
}

uint32_t wire_read_u32(struct wire_reader *reader)
{
	uint32_t value;

	wire_read(reader, &value, sizeof(value));
	return GUINT32_FROM_LE(value);
}

uint64_t wire_read_u64(struct wire_reader *reader)
{
	uint64_t value;

	wire_read(reader, &value, sizeof(value));
	return GUINT64_FROM_LE(value);
}

uint64_t wire_read_varint(struct wire_reader *reader)
{
	uint64_t value = 0;

	for (unsigned int i = 0; i < VARINT_BYTES_MAX; i++) {
		uint8_t byte = wire_read_u8(reader);

		if (i == VARINT_BYTES_MAX - 1 && byte > 1)
			break;
		value |= (uint64_t)(byte & 0x7f) << (7 * i);
		if (!(byte & 0x80))
			return reader->is_bad ? 0 : value;
	}
	reader_fail(reader);
	return 0;
}

int64_t wire_read_signed(struct wire_reader *reader)
{
	uint64_t value = wire_read_varint(reader);

	return (int64_t)((value >> 1) ^ (~(value & 1) + 1));
}

uint32_t wire_read_limited(struct wire_reader *reader, uint32_t max)
{
	uint64_t value = wire_read_varint(reader);

	if (value > max) {
		reader_fail(reader);
		return 0;
	}
	return (uint32_t)value;
}

bool wire_reader_is_done(const struct wire_reader *reader)
{
	return !reader->is_bad && reader->left == 0;
}
