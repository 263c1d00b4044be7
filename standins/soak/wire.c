#include "standins/soak/wire.h"

#include <string.h>

static void put(uint8_t **cursor, uint64_t value, int bytes)
{
	while (bytes-- > 0)
		*(*cursor)++ = (uint8_t)(value >> (8 * bytes));
}

static uint32_t get(const uint8_t **cursor, int bytes)
{
	uint32_t value = 0;

	while (bytes-- > 0)
		value = value << 8 | *(*cursor)++;
	return value;
}

size_t soak_packet_write(const struct soak_packet *packet, uint8_t *out)
{
	uint8_t *cursor = out;

	put(&cursor, packet->checksum, 4);
	put(&cursor, packet->data_bytes, 2);
	put(&cursor, packet->sequence, 4);
	put(&cursor, packet->acknowledgement, 4);
	put(&cursor, packet->token, 4);
	put(&cursor, packet->flags, 1);
	put(&cursor, 0, 1);
	put(&cursor, packet->destination, 4);
	put(&cursor, packet->destination_port, 2);
	put(&cursor, packet->source_port, 2);
	put(&cursor, packet->source, 4);
	memcpy(cursor, packet->data, packet->data_bytes);
	return SOAK_HEADER_BYTES + packet->data_bytes;
}

bool soak_packet_read(const uint8_t *data, size_t length,
		      struct soak_packet *packet)
{
	const uint8_t *cursor = data;

	memset(packet, 0, sizeof(*packet));
	if (length < SOAK_HEADER_BYTES)
		return false;
	packet->checksum = get(&cursor, 4);
	packet->data_bytes = (uint16_t)get(&cursor, 2);
	packet->sequence = get(&cursor, 4);
	packet->acknowledgement = get(&cursor, 4);
	packet->token = get(&cursor, 4);
	packet->flags = (uint8_t)get(&cursor, 1);
	get(&cursor, 1);
	packet->destination = get(&cursor, 4);
	packet->destination_port = (uint16_t)get(&cursor, 2);
	packet->source_port = (uint16_t)get(&cursor, 2);
	packet->source = get(&cursor, 4);
	if (packet->data_bytes != length - SOAK_HEADER_BYTES ||
	    packet->data_bytes > SOAK_DATA_MAX)
		return false;
	memcpy(packet->data, cursor, packet->data_bytes);
	return true;
}
