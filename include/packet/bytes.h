#ifndef PARSLEYLADDER_PACKET_BYTES_H
#define PARSLEYLADDER_PACKET_BYTES_H

/**
 * Big-endian integers in unaligned packet bytes.
 */

#include <stdint.h>

static inline uint16_t bytes_read_u16(const uint8_t *bytes)
{
	return (uint16_t)(bytes[0] << 8 | bytes[1]);
}

static inline uint32_t bytes_read_u32(const uint8_t *bytes)
{
	return (uint32_t)bytes_read_u16(bytes) << 16 |
	       bytes_read_u16(bytes + 2);
}

static inline uint64_t bytes_read_u64(const uint8_t *bytes)
{
	return (uint64_t)bytes_read_u32(bytes) << 32 |
	       bytes_read_u32(bytes + 4);
}

static inline void bytes_write_u16(uint8_t *bytes, uint16_t value)
{
	bytes[0] = (uint8_t)(value >> 8);
	bytes[1] = (uint8_t)value;
}

static inline void bytes_write_u32(uint8_t *bytes, uint32_t value)
{
	bytes_write_u16(bytes, (uint16_t)(value >> 16));
	bytes_write_u16(bytes + 2, (uint16_t)value);
}

static inline void bytes_write_u64(uint8_t *bytes, uint64_t value)
{
	bytes_write_u32(bytes, (uint32_t)(value >> 32));
	bytes_write_u32(bytes + 4, (uint32_t)value);
}

#endif
