#ifndef PARSLEYLADDER_PLATFORM_DATAGRAM_H
#define PARSLEYLADDER_PLATFORM_DATAGRAM_H

/**
 * Packet format of the platform: one UDP datagram with a header of 32 bytes.
 * All fields are big-endian.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "steering/steering.h"

/** Header of a packet, in bytes. */
#define DATAGRAM_HEADER_BYTES 32
/** Identifier of the host, which precedes each packet to a host, in bytes. */
#define DATAGRAM_TARGET_BYTES 8

/**
 * Returns false if the datagram is too short, its length field is wrong, or it
 * is not a packet of a caller.
 */
bool datagram_read(const uint8_t *data, size_t length,
		   struct token_packet *packet);
/**
 * Writes a token into a packet. It identifies the host of the flow; both ends
 * return it in each packet.
 */
void datagram_set_token(uint8_t *data, uint32_t token);
/** Writes the identifier of the host that a packet is sent to. */
void datagram_set_target(uint8_t target[DATAGRAM_TARGET_BYTES],
			 uint64_t target_id);
/**
 * Writes the RST packet that ends the flow @key at the caller. @sequence must
 * be near the caller's last acknowledgement.
 */
void datagram_write_reset(const struct flow_key *key, uint32_t sequence,
			  uint8_t packet[DATAGRAM_HEADER_BYTES]);

#endif
