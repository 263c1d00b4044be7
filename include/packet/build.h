#ifndef PARSLEYLADDER_PACKET_BUILD_H
#define PARSLEYLADDER_PACKET_BUILD_H

/**
 * Builds IP packets for refusals, tests, the load generator and benchmarks.
 */

#include <stddef.h>
#include <stdint.h>

#include "packet/packet.h"

struct packet_fields {
	struct ip_address source;
	struct ip_address destination;
	uint16_t source_port; /* host byte order */
	uint16_t destination_port; /* host byte order */
	uint8_t protocol; /* enum packet_protocol */
	uint8_t ttl; /* 0 takes 64 */
	uint8_t tcp_flags; /* enum tcp_flag */
	uint32_t tcp_sequence;
	uint32_t tcp_acknowledgement;
	uint16_t tcp_window;
	const uint8_t *payload; /* may be NULL if payload_bytes is 0 */
	size_t payload_bytes;
};

/**
 * Writes the packet with its checksums to @buffer. Returns its length in
 * bytes; 0 if it does not fit into @capacity or into 65,535 bytes, if the
 * addresses are of two IP versions, or if the protocol is neither TCP nor UDP.
 */
size_t packet_build(const struct packet_fields *fields, uint8_t *buffer,
		    size_t capacity);

/**
 * Writes an IP header without options for @payload_bytes that follow it; its
 * version is that of @source. Returns its length in bytes.
 */
size_t packet_build_ip_header(const struct ip_address *source,
			      const struct ip_address *destination,
			      uint8_t protocol, uint8_t ttl,
			      size_t payload_bytes, uint8_t *header);

#endif
