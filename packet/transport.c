#include "packet/transport.h"

#include "packet/bytes.h"
#include "packet/headers.h"

#define TCP_FLAGS_KNOWN \
	(TCP_FLAG_FIN | TCP_FLAG_SYN | TCP_FLAG_RST | TCP_FLAG_ACK)

/* Bytes of the embedded transport header that RFC 792 guarantees. */
#define ICMP_EMBEDDED_BYTES 8

static enum packet_outcome tcp_parse(const struct ip_payload *ip,
				     struct packet_facts *facts)
{
	const uint8_t *tcp = ip->data;
	size_t header_bytes;
	uint8_t flags;

	if (ip->length < TCP_HEADER_BYTES)
		return PACKET_TRUNCATED;
	header_bytes = (size_t)(tcp[12] >> 4) * 4;
	if (header_bytes < TCP_HEADER_BYTES)
		return PACKET_BAD_HEADER;
	if (header_bytes > ip->length)
		return PACKET_TRUNCATED;
	/* A segment that both opens and ends a flow would be counted as both. */
	flags = tcp[13] & TCP_FLAGS_KNOWN;
	if ((flags & TCP_FLAG_SYN) && (flags & (TCP_FLAG_FIN | TCP_FLAG_RST)))
		return PACKET_BAD_HEADER;
	facts->tcp_flags = flags;
	facts->tcp_sequence = bytes_read_u32(tcp + 4);
	facts->tcp_acknowledgement = bytes_read_u32(tcp + 8);
	facts->payload_bytes = (uint16_t)(ip->length - header_bytes);
	return PACKET_OK;
}

static enum packet_outcome udp_parse(const struct ip_payload *ip,
				     struct packet_facts *facts)
{
	uint16_t udp_bytes;

	if (ip->length < UDP_HEADER_BYTES)
		return PACKET_TRUNCATED;
	udp_bytes = bytes_read_u16(ip->data + 4);
	if (udp_bytes < UDP_HEADER_BYTES)
		return PACKET_BAD_HEADER;
	if (udp_bytes > ip->length)
		return PACKET_TRUNCATED;
	facts->payload_bytes = udp_bytes - UDP_HEADER_BYTES;
	return PACKET_OK;
}

static bool icmp_type_is_error(const struct ip_payload *ip)
{
	uint8_t type = ip->data[0];

	if (ip->protocol == IP_ICMPV6)
		return type >= ICMPV6_UNREACHABLE &&
		       type <= ICMPV6_PARAMETER_PROBLEM;
	return type == ICMP_UNREACHABLE || type == ICMP_TIME_EXCEEDED ||
	       type == ICMP_PARAMETER_PROBLEM;
}

/*
 * The embedded packet travelled from the service to the caller, so its source
 * is the service. An error about a packet that its receiver did not send is
 * rejected: it would reach a service that it is not addressed to.
 */
static enum packet_outcome icmp_parse(const struct ip_payload *ip,
				      struct packet_facts *facts)
{
	struct ip_payload embedded;
	enum packet_outcome outcome;

	if (ip->length < ICMP_HEADER_BYTES)
		return PACKET_TRUNCATED;
	if (!icmp_type_is_error(ip))
		return PACKET_UNSUPPORTED;
	outcome = ip_embedded_parse(ip->data + ICMP_HEADER_BYTES,
				    ip->length - ICMP_HEADER_BYTES, &embedded);
	if (outcome != PACKET_OK)
		return outcome;
	if (embedded.version != ip->version ||
	    !ip_address_equal(&embedded.source, &ip->destination))
		return PACKET_BAD_HEADER;
	if (embedded.protocol != PACKET_PROTOCOL_TCP &&
	    embedded.protocol != PACKET_PROTOCOL_UDP)
		return PACKET_UNSUPPORTED;
	if (embedded.length < ICMP_EMBEDDED_BYTES)
		return PACKET_TRUNCATED;
	if (ip_address_is_martian(&embedded.destination))
		return PACKET_MARTIAN;
	facts->is_icmp_error = true;
	facts->key.protocol = embedded.protocol;
	facts->key.caller = embedded.destination;
	facts->key.service = embedded.source;
	facts->key.caller_port = bytes_read_u16(embedded.data + 2);
	facts->key.service_port = bytes_read_u16(embedded.data);
	return PACKET_OK;
}

enum packet_outcome transport_parse(const struct ip_payload *ip,
				    struct packet_facts *facts)
{
	enum packet_outcome outcome;

	facts->ip_version = ip->version;
	facts->is_icmp_error = false;
	facts->tcp_flags = 0;
	facts->tcp_sequence = 0;
	facts->tcp_acknowledgement = 0;
	facts->payload_bytes = 0;
	switch (ip->protocol) {
	case PACKET_PROTOCOL_TCP:
		outcome = tcp_parse(ip, facts);
		break;
	case PACKET_PROTOCOL_UDP:
		outcome = udp_parse(ip, facts);
		break;
	case IP_ICMP:
	case IP_ICMPV6:
		if ((ip->protocol == IP_ICMPV6) != (ip->version == 6))
			return PACKET_UNSUPPORTED;
		return icmp_parse(ip, facts);
	default:
		return PACKET_UNSUPPORTED;
	}
	if (outcome != PACKET_OK)
		return outcome;
	facts->key.protocol = ip->protocol;
	facts->key.caller = ip->source;
	facts->key.service = ip->destination;
	facts->key.caller_port = bytes_read_u16(ip->data);
	facts->key.service_port = bytes_read_u16(ip->data + 2);
	return PACKET_OK;
}
