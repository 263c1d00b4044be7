#include "packet/packet.h"

#include <arpa/inet.h>
#include <endian.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

static const uint8_t v4_mapped_prefix[12] = { [10] = 0xff, [11] = 0xff };

bool ip_address_is_v4(const struct ip_address *address)
{
	return memcmp(address->bytes, v4_mapped_prefix,
		      sizeof(v4_mapped_prefix)) == 0;
}

uint32_t ip_address_v4(const struct ip_address *address)
{
	uint32_t number;

	memcpy(&number, address->bytes + sizeof(v4_mapped_prefix),
	       sizeof(number));
	return be32toh(number);
}

void ip_address_from_v4(uint32_t number, struct ip_address *address)
{
	uint32_t bytes = htobe32(number);

	memcpy(address->bytes, v4_mapped_prefix, sizeof(v4_mapped_prefix));
	memcpy(address->bytes + sizeof(v4_mapped_prefix), &bytes,
	       sizeof(bytes));
}

bool ip_address_equal(const struct ip_address *a, const struct ip_address *b)
{
	return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
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
 * Form in which a key is hashed. It has no padding, as the bytes of padding are
 * undefined.
 * @rest has, from its most significant byte, the caller port, the service port,
 * the protocol and three bytes of 0. It is stored as one big-endian word, so
 * that instances of either byte order compute the same hash, and to avoid the
 * stalls of loading a word that was just stored as narrower fields.
 */
struct hashed_key {
	struct ip_address caller;
	struct ip_address service;
	uint64_t rest;
};

_Static_assert(sizeof(struct hashed_key) == 40, "the hashed key has padding");

uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed)
{
	const struct hashed_key hashed = {
		.caller = key->caller,
		.service = key->service,
		.rest = htobe64((uint64_t)key->caller_port << 48 |
				(uint64_t)key->service_port << 32 |
				(uint64_t)key->protocol << 24),
	};

	return XXH3_64bits_withSeed(&hashed, sizeof(hashed), seed);
}

bool flow_key_equal(const struct flow_key *a, const struct flow_key *b)
{
	return a->caller_port == b->caller_port &&
	       a->service_port == b->service_port &&
	       a->protocol == b->protocol &&
	       ip_address_equal(&a->caller, &b->caller) &&
	       ip_address_equal(&a->service, &b->service);
}

guint flow_key_table_hash(gconstpointer key)
{
	return (guint)flow_key_hash(key, 0);
}

gboolean flow_key_table_equal(gconstpointer left, gconstpointer right)
{
	return flow_key_equal(left, right);
}
