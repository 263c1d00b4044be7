#ifndef PARSLEYLADDER_PACKET_CHECKSUM_H
#define PARSLEYLADDER_PACKET_CHECKSUM_H

/**
 * Internet checksum (RFC 1071).
 */

#include <stddef.h>
#include <stdint.h>

struct ip_address;

/** Checksum of @length bytes, in host byte order. */
uint16_t checksum_bytes(const uint8_t *data, size_t length);
/**
 * Checksum of a transport segment with the pseudo header of RFC 9293 or
 * RFC 8200 section 8.1; the checksum field in @segment must be 0.
 */
uint16_t checksum_transport(const struct ip_address *source,
			    const struct ip_address *destination,
			    uint8_t protocol, const uint8_t *segment,
			    size_t length);

#endif
