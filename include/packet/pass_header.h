#ifndef PARSLEYLADDER_PACKET_PASS_HEADER_H
#define PARSLEYLADDER_PACKET_PASS_HEADER_H

/**
 * Header of a packet that one balancer passes on to another.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PASS_HEADER_BYTES 16

/** A packet passed on this many times is dropped; views must have diverged. */
#define PASS_HOPS_MAX 4

struct pass_header {
	uint8_t hops; /* times passed on so far, at least 1 */
	uint64_t sender_id; /* member that received it from the fabric */
};

void pass_header_write(const struct pass_header *header,
		       uint8_t bytes[PASS_HEADER_BYTES]);
/** Returns false if the bytes are not a pass header of this version. */
bool pass_header_read(const uint8_t *bytes, size_t length,
		      struct pass_header *header);

#endif
