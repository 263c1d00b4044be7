#include "packet/packet.h"

#include <string.h>

#include "packet/bytes.h"
#include "packet/headers.h"
#include "packet/transport.h"

#define IPV4_FLAG_MORE_FRAGMENTS 0x2000
#define IPV4_OFFSET_MASK 0x1fff
#define IPV6_OFFSET_MASK 0xfff8
#define IPV6_FLAG_MORE_FRAGMENTS 0x0001

/* Bounds the work that a chain of small extension headers can cause. */
#define IPV6_EXTENSIONS_MAX 8

static const char *const outcome_names[PACKET_OUTCOMES] = {
	[PACKET_OK] = "ok",
	[PACKET_TRUNCATED] = "truncated",
	[PACKET_BAD_HEADER] = "bad_header",
	[PACKET_FRAGMENT] = "fragment",
	[PACKET_MARTIAN] = "martian",
	[PACKET_UNSUPPORTED] = "unsupported",
	[PACKET_TTL_EXPIRED] = "ttl_expired",
};

const char *packet_outcome_name(enum packet_outcome outcome)
{
	if ((unsigned int)outcome >= PACKET_OUTCOMES)
		return "unknown";
	return outcome_names[outcome];
}

static void ip_address_read_v4(const uint8_t *bytes, struct ip_address *address)
{
	memset(address->bytes, 0, 10);
	memset(address->bytes + 10, 0xff, 2);
	memcpy(address->bytes + 12, bytes, 4);
}

static enum packet_outcome ipv4_parse(const uint8_t *data, size_t length,
				      bool is_embedded, struct ip_payload *ip)
{
	size_t header_bytes, total_bytes;
	uint16_t fragment;

	if (length < IPV4_HEADER_BYTES)
		return PACKET_TRUNCATED;
	header_bytes = (size_t)(data[0] & 0x0f) * 4;
	total_bytes = is_embedded ? length : bytes_read_u16(data + 2);
	if (header_bytes < IPV4_HEADER_BYTES)
		return PACKET_BAD_HEADER;
	if (header_bytes > length || total_bytes > length)
		return PACKET_TRUNCATED;
	if (total_bytes < header_bytes)
		return PACKET_BAD_HEADER;
	/* The first fragment of an embedded packet has the ports. */
	fragment = bytes_read_u16(data + 6);
	if ((fragment & IPV4_OFFSET_MASK) ||
	    (!is_embedded && (fragment & IPV4_FLAG_MORE_FRAGMENTS)))
		return PACKET_FRAGMENT;
	if (!is_embedded && data[8] == 0)
		return PACKET_TTL_EXPIRED;
	ip->version = 4;
	ip->protocol = data[9];
	ip_address_read_v4(data + 12, &ip->source);
	ip_address_read_v4(data + 16, &ip->destination);
	ip->data = data + header_bytes;
	ip->length = total_bytes - header_bytes;
	return PACKET_OK;
}

static enum packet_outcome ipv6_fragment_check(const uint8_t *header,
					       bool is_embedded)
{
	uint16_t field = bytes_read_u16(header + 2);

	/* A packet whose offset and M flag are 0 is atomic (RFC 6946). */
	if ((field & IPV6_OFFSET_MASK) ||
	    (!is_embedded && (field & IPV6_FLAG_MORE_FRAGMENTS)))
		return PACKET_FRAGMENT;
	return PACKET_OK;
}

/* Checks the extension header at ip->data and stores its size. */
static enum packet_outcome ipv6_extension_check(const struct ip_payload *ip,
						bool is_first, bool is_embedded,
						size_t *header_bytes)
{
	/* Smallest extension header, and unit of their lengths. */
	if (ip->length < 8)
		return PACKET_TRUNCATED;
	*header_bytes = 8;
	if (ip->protocol == IP_FRAGMENT)
		return ipv6_fragment_check(ip->data, is_embedded);
	*header_bytes += (size_t)ip->data[1] * 8;
	if (*header_bytes > ip->length)
		return PACKET_TRUNCATED;
	/* RFC 8200, 4.1: hop-by-hop options only follow the IPv6 header. */
	if (ip->protocol == IP_HOP_BY_HOP && !is_first)
		return PACKET_BAD_HEADER;
	/* With segments left, the destination is not the final one. */
	if (ip->protocol == IP_ROUTING && ip->data[3] != 0)
		return PACKET_UNSUPPORTED;
	return PACKET_OK;
}

static enum packet_outcome ipv6_extensions_skip(struct ip_payload *ip,
						bool is_embedded)
{
	for (int i = 0; i < IPV6_EXTENSIONS_MAX; i++) {
		enum packet_outcome outcome;
		size_t header_bytes;

		switch (ip->protocol) {
		case IP_HOP_BY_HOP:
		case IP_ROUTING:
		case IP_FRAGMENT:
		case IP_DESTINATION_OPTIONS:
			break;
		default:
			return PACKET_OK;
		}
		outcome = ipv6_extension_check(ip, i == 0, is_embedded,
					       &header_bytes);
		if (outcome != PACKET_OK)
			return outcome;
		ip->protocol = ip->data[0];
		ip->data += header_bytes;
		ip->length -= header_bytes;
	}
	return PACKET_UNSUPPORTED;
}

static enum packet_outcome ipv6_parse(const uint8_t *data, size_t length,
				      bool is_embedded, struct ip_payload *ip)
{
	size_t payload_bytes;

	if (length < IPV6_HEADER_BYTES)
		return PACKET_TRUNCATED;
	payload_bytes = is_embedded ? length - IPV6_HEADER_BYTES
				    : bytes_read_u16(data + 4);
	if (payload_bytes > length - IPV6_HEADER_BYTES)
		return PACKET_TRUNCATED;
	if (!is_embedded && data[7] == 0)
		return PACKET_TTL_EXPIRED;
	ip->version = 6;
	ip->protocol = data[6];
	memcpy(ip->source.bytes, data + 8, 16);
	memcpy(ip->destination.bytes, data + 24, 16);
	ip->data = data + IPV6_HEADER_BYTES;
	ip->length = payload_bytes;
	/* On the wire, these would share keys with IPv4 flows (RFC 4942, 2.2). */
	if (ip_address_is_v4(&ip->destination))
		return PACKET_BAD_HEADER;
	if (ip_address_is_v4(&ip->source))
		return PACKET_MARTIAN;
	return ipv6_extensions_skip(ip, is_embedded);
}

static enum packet_outcome ip_parse(const uint8_t *data, size_t length,
				    bool is_embedded, struct ip_payload *ip)
{
	if (length == 0)
		return PACKET_TRUNCATED;
	switch (data[0] >> 4) {
	case 4:
		return ipv4_parse(data, length, is_embedded, ip);
	case 6:
		return ipv6_parse(data, length, is_embedded, ip);
	default:
		return PACKET_BAD_HEADER;
	}
}

enum packet_outcome ip_embedded_parse(const uint8_t *data, size_t length,
				      struct ip_payload *ip)
{
	return ip_parse(data, length, true, ip);
}

enum packet_outcome packet_parse(const uint8_t *data, size_t length,
				 struct packet_facts *facts)
{
	struct ip_payload ip;
	enum packet_outcome outcome = ip_parse(data, length, false, &ip);

	if (outcome != PACKET_OK)
		return outcome;
	if (ip_address_is_martian(&ip.source) ||
	    ip_address_equal(&ip.source, &ip.destination))
		return PACKET_MARTIAN;
	return transport_parse(&ip, facts);
}
