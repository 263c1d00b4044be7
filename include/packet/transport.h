#ifndef PARSLEYLADDER_PACKET_TRANSPORT_H
#define PARSLEYLADDER_PACKET_TRANSPORT_H

/**
 * Parsing of what an IP header carries; internal to the package.
 */

#include "packet/packet.h"

/** Payload of an IP header: the addresses, and the bytes after the header. */
struct ip_payload {
	struct ip_address source;
	struct ip_address destination;
	const uint8_t *data;
	size_t length;
	uint8_t version;
	uint8_t protocol; /* TCP, UDP or one of enum ip_next_header */
};

/**
 * Reads the IP header of a packet that is embedded in an ICMP error. Only the
 * start of such a packet is present, so its length fields are not checked.
 */
enum packet_outcome ip_embedded_parse(const uint8_t *data, size_t length,
				      struct ip_payload *ip);
/** True for a source address that cannot be a caller (RFC 1812, 5.3.7). */
bool ip_address_is_martian(const struct ip_address *address);
bool ip_address_is_multicast(const struct ip_address *address);

/** Fills the flow key and the transport fields of @facts. */
enum packet_outcome transport_parse(const struct ip_payload *ip,
				    struct packet_facts *facts);

#endif
