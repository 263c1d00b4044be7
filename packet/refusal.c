#include <string.h>

#include "packet/build.h"
#include "packet/bytes.h"
#include "packet/checksum.h"
#include "packet/headers.h"
#include "packet/packet.h"
#include "packet/transport.h"

/* RFC 1812, 4.3.2.3: an ICMP error is at most 576 bytes long. */
#define ICMP_ERROR_BYTES 576

static size_t tcp_refusal(const struct packet_facts *facts, uint8_t *refusal)
{
	struct packet_fields reset = {
		.source = facts->key.service,
		.destination = facts->key.caller,
		.source_port = facts->key.service_port,
		.destination_port = facts->key.caller_port,
		.protocol = PACKET_PROTOCOL_TCP,
		.tcp_flags = TCP_FLAG_RST,
	};

	if (facts->tcp_flags & TCP_FLAG_RST)
		return 0;
	if (facts->tcp_flags & TCP_FLAG_ACK) {
		reset.tcp_sequence = facts->tcp_acknowledgement;
	} else {
		reset.tcp_flags |= TCP_FLAG_ACK;
		/* SYN and FIN each take one sequence number. */
		reset.tcp_acknowledgement =
			facts->tcp_sequence + facts->payload_bytes +
			!!(facts->tcp_flags & TCP_FLAG_SYN) +
			!!(facts->tcp_flags & TCP_FLAG_FIN);
	}
	return packet_build(&reset, refusal, PACKET_REFUSAL_BYTES);
}

/* Length of the packet without bytes that follow its IP payload. */
static size_t ip_packet_bytes(const uint8_t *data,
			      const struct packet_facts *facts)
{
	if (facts->ip_version == 4)
		return bytes_read_u16(data + 2);
	return IPV6_HEADER_BYTES + (size_t)bytes_read_u16(data + 4);
}

/* Includes as much of the packet as the limit allows (RFC 4443, 2.4 (c)). */
static size_t icmp_refusal(const uint8_t *data,
			   const struct packet_facts *facts, uint8_t *refusal)
{
	bool is_v4 = facts->ip_version == 4;
	size_t header_bytes = is_v4 ? IPV4_HEADER_BYTES : IPV6_HEADER_BYTES;
	size_t limit = is_v4 ? ICMP_ERROR_BYTES : PACKET_REFUSAL_BYTES;
	size_t icmp_bytes = ICMP_HEADER_BYTES + ip_packet_bytes(data, facts);
	uint8_t *icmp = refusal + header_bytes;
	uint8_t protocol = is_v4 ? IP_ICMP : IP_ICMPV6;
	uint16_t checksum;

	if (icmp_bytes > limit - header_bytes)
		icmp_bytes = limit - header_bytes;
	memset(icmp, 0, ICMP_HEADER_BYTES);
	icmp[0] = is_v4 ? (int)ICMP_UNREACHABLE : (int)ICMPV6_UNREACHABLE;
	icmp[1] = is_v4 ? ICMP_CODE_PROHIBITED : ICMPV6_CODE_PROHIBITED;
	memcpy(icmp + ICMP_HEADER_BYTES, data, icmp_bytes - ICMP_HEADER_BYTES);
	checksum = is_v4 ? checksum_bytes(icmp, icmp_bytes)
			 : checksum_transport(&facts->key.service,
					      &facts->key.caller, protocol,
					      icmp, icmp_bytes);
	bytes_write_u16(icmp + 2, checksum);
	packet_build_ip_header(&facts->key.service, &facts->key.caller,
			       protocol, IP_DEFAULT_TTL, icmp_bytes, refusal);
	return header_bytes + icmp_bytes;
}

size_t packet_build_refusal(const uint8_t *data, size_t length,
			    const struct packet_facts *facts,
			    uint8_t refusal[PACKET_REFUSAL_BYTES])
{
	/* RFC 1122, 3.2.2 and RFC 4443, 2.4 (e). */
	if (facts->is_icmp_error ||
	    ip_address_is_multicast(&facts->key.service))
		return 0;
	if (facts->key.protocol == PACKET_PROTOCOL_TCP)
		return tcp_refusal(facts, refusal);
	return icmp_refusal(data, facts, refusal);
}
