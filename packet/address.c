#include "packet/packet.h"

#include <arpa/inet.h>
#include <string.h>

#include "packet/bytes.h"
#include "packet/transport.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

static const uint8_t v4_mapped_prefix[12] = { [10] = 0xff, [11] = 0xff };

bool ip_address_is_v4(const struct ip_address *address)
{
	return memcmp(address->bytes, v4_mapped_prefix,
		      sizeof(v4_mapped_prefix)) == 0;
}

bool ip_address_equal(const struct ip_address *a, const struct ip_address *b)
{
	return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

bool ip_address_is_multicast(const struct ip_address *address)
{
	if (ip_address_is_v4(address))
		return address->bytes[12] >= 224;
	return address->bytes[0] == 0xff;
}

bool ip_address_is_martian(const struct ip_address *address)
{
	const uint8_t *bytes = address->bytes;

	/* 0.0.0.0/8, 127.0.0.0/8, 169.254.0.0/16, 224.0.0.0/4, 240.0.0.0/4. */
	if (ip_address_is_v4(address))
		return bytes[12] == 0 || bytes[12] == 127 || bytes[12] >= 224 ||
		       (bytes[12] == 169 && bytes[13] == 254);
	/* ff00::/8 and fe80::/10. */
	if (bytes[0] != 0)
		return bytes[0] == 0xff ||
		       (bytes[0] == 0xfe && (bytes[1] & 0xc0) == 0x80);
	/* The unspecified address and the loopback address. */
	return bytes_read_u64(bytes) == 0 && bytes_read_u64(bytes + 8) <= 1;
}

bool ip_address_parse(const char *text, struct ip_address *address)
{
	if (inet_pton(AF_INET, text, address->bytes + 12) == 1) {
		memcpy(address->bytes, v4_mapped_prefix,
		       sizeof(v4_mapped_prefix));
		return true;
	}
	return inet_pton(AF_INET6, text, address->bytes) == 1;
}

const char *ip_address_print(const struct ip_address *address, char *text)
{
	if (ip_address_is_v4(address))
		inet_ntop(AF_INET, address->bytes + 12, text,
			  IP_ADDRESS_TEXT_BYTES);
	else
		inet_ntop(AF_INET6, address->bytes, text,
			  IP_ADDRESS_TEXT_BYTES);
	return text;
}

/*
 * Hashed form of a key. It has no padding, whose bytes would be undefined, and
 * its ports are big-endian, so that instances of either byte order agree.
 */
struct hashed_key {
	struct ip_address caller;
	struct ip_address service;
	uint16_t caller_port;
	uint16_t service_port;
	uint8_t protocol;
} __attribute__((packed));

uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed)
{
	const struct hashed_key hashed = {
		.caller = key->caller,
		.service = key->service,
		.caller_port = htons(key->caller_port),
		.service_port = htons(key->service_port),
		.protocol = key->protocol,
	};

	return XXH3_64bits_withSeed(&hashed, sizeof(hashed), seed);
}
