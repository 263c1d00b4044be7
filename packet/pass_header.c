#include "packet/pass_header.h"

#include <string.h>

#include "packet/bytes.h"

/*
 * Layout: magic (4 bytes), version, hops, reserved (2 bytes, 0), sender id
 * (8 bytes, big-endian).
 */
#define PASS_HEADER_VERSION 1

static const uint8_t pass_header_magic[4] = { 'P', 'L', 'P', 'H' };

void pass_header_write(const struct pass_header *header,
		       uint8_t bytes[PASS_HEADER_BYTES])
{
	memcpy(bytes, pass_header_magic, sizeof(pass_header_magic));
	bytes[4] = PASS_HEADER_VERSION;
	bytes[5] = header->hops;
	bytes_write_u16(bytes + 6, 0);
	bytes_write_u64(bytes + 8, header->sender_id);
}

bool pass_header_read(const uint8_t *bytes, size_t length,
		      struct pass_header *header)
{
	if (length < PASS_HEADER_BYTES ||
	    memcmp(bytes, pass_header_magic, sizeof(pass_header_magic)) != 0 ||
	    bytes[4] != PASS_HEADER_VERSION || bytes[5] == 0 ||
	    bytes_read_u16(bytes + 6) != 0)
		return false;
	header->hops = bytes[5];
	header->sender_id = bytes_read_u64(bytes + 8);
	return true;
}
