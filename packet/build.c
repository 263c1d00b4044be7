#include "packet/build.h"

#include <string.h>

#include "packet/bytes.h"
#include "packet/checksum.h"
#include "packet/headers.h"

#define IPV4_FLAG_DO_NOT_FRAGMENT 0x4000

static size_t ipv4_header_build(const struct ip_address *source,
				const struct ip_address *destination,
				uint8_t protocol, uint8_t ttl,
				size_t payload_bytes, uint8_t *header)
{
	memset(header, 0, IPV4_HEADER_BYTES);
	header[0] = 0x45;
	bytes_write_u16(header + 2,
			(uint16_t)(IPV4_HEADER_BYTES + payload_bytes));
	bytes_write_u16(header + 6, IPV4_FLAG_DO_NOT_FRAGMENT);
	header[8] = ttl;
	header[9] = protocol;
	memcpy(header + 12, source->bytes + 12, 4);
	memcpy(header + 16, destination->bytes + 12, 4);
	bytes_write_u16(header + 10, checksum_bytes(header, IPV4_HEADER_BYTES));
	return IPV4_HEADER_BYTES;
}

static size_t ipv6_header_build(const struct ip_address *source,
				const struct ip_address *destination,
				uint8_t protocol, uint8_t ttl,
				size_t payload_bytes, uint8_t *header)
{
	memset(header, 0, 8);
	header[0] = 0x60;
	bytes_write_u16(header + 4, (uint16_t)payload_bytes);
	header[6] = protocol;
	header[7] = ttl;
	memcpy(header + 8, source->bytes, 16);
	memcpy(header + 24, destination->bytes, 16);
	return IPV6_HEADER_BYTES;
}

size_t packet_build_ip_header(const struct ip_address *source,
			      const struct ip_address *destination,
			      uint8_t protocol, uint8_t ttl,
			      size_t payload_bytes, uint8_t *header)
{
	if (ip_address_is_v4(source))
		return ipv4_header_build(source, destination, protocol, ttl,
					 payload_bytes, header);
	return ipv6_header_build(source, destination, protocol, ttl,
				 payload_bytes, header);
}

static void tcp_header_build(const struct packet_fields *fields, uint8_t *tcp)
{
	memset(tcp, 0, TCP_HEADER_BYTES);
	bytes_write_u32(tcp + 4, fields->tcp_sequence);
	bytes_write_u32(tcp + 8, fields->tcp_acknowledgement);
	tcp[12] = TCP_HEADER_BYTES / 4 << 4;
	tcp[13] = fields->tcp_flags;
	bytes_write_u16(tcp + 14, fields->tcp_window);
}

static void udp_header_build(const struct packet_fields *fields, uint8_t *udp)
{
	bytes_write_u16(udp + 4,
			(uint16_t)(UDP_HEADER_BYTES + fields->payload_bytes));
	bytes_write_u16(udp + 6, 0);
}

static void transport_checksum_write(const struct packet_fields *fields,
				     uint8_t *segment, size_t length)
{
	bool is_tcp = fields->protocol == PACKET_PROTOCOL_TCP;
	uint16_t checksum =
		checksum_transport(&fields->source, &fields->destination,
				   fields->protocol, segment, length);

	/* A UDP checksum of 0 would mean that there is none (RFC 768). */
	if (!is_tcp && checksum == 0)
		checksum = 0xffff;
	bytes_write_u16(segment + (is_tcp ? 16 : 6), checksum);
}

size_t packet_build(const struct packet_fields *fields, uint8_t *buffer,
		    size_t capacity)
{
	bool is_v4 = ip_address_is_v4(&fields->source);
	bool is_tcp = fields->protocol == PACKET_PROTOCOL_TCP;
	size_t ip_bytes = is_v4 ? IPV4_HEADER_BYTES : IPV6_HEADER_BYTES;
	size_t header_bytes = is_tcp ? TCP_HEADER_BYTES : UDP_HEADER_BYTES;
	size_t segment_bytes = header_bytes + fields->payload_bytes;
	uint8_t *segment = buffer + ip_bytes;

	if (is_v4 != ip_address_is_v4(&fields->destination) ||
	    (!is_tcp && fields->protocol != PACKET_PROTOCOL_UDP) ||
	    fields->payload_bytes > UINT16_MAX ||
	    ip_bytes + segment_bytes > UINT16_MAX ||
	    ip_bytes + segment_bytes > capacity)
		return 0;
	packet_build_ip_header(&fields->source, &fields->destination,
			       fields->protocol,
			       fields->ttl ? fields->ttl : IP_DEFAULT_TTL,
			       segment_bytes, buffer);
	if (is_tcp)
		tcp_header_build(fields, segment);
	else
		udp_header_build(fields, segment);
	bytes_write_u16(segment, fields->source_port);
	bytes_write_u16(segment + 2, fields->destination_port);
	if (fields->payload_bytes > 0)
		memcpy(segment + header_bytes, fields->payload,
		       fields->payload_bytes);
	transport_checksum_write(fields, segment, segment_bytes);
	return ip_bytes + segment_bytes;
}
