#ifndef PARSLEYLADDER_PARSLEYLADDER_HELD_PACKETS_H
#define PARSLEYLADDER_PARSLEYLADDER_HELD_PACKETS_H

/**
 * Packets that arrived before this balancer could choose their hosts: the
 * newest one of each flow, limited in number and age. Callers retransmit at
 * growing intervals, so forwarding a held packet as soon as possible saves its
 * caller a wait of up to a whole interval.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "packet/packet.h"

struct held_packets;

struct held_packets_options {
	uint32_t packets_max; /* beyond it, the longest held is dropped */
	/** Room before the data of a released packet, in bytes. */
	size_t headroom_bytes;
};

struct held_packets *
held_packets_create(const struct held_packets_options *options);
/** Accepts NULL. */
void held_packets_destroy(struct held_packets *held);
/** Copies the packet; it replaces an earlier one of the same flow. */
void held_packets_add(struct held_packets *held, const struct flow_key *key,
		      bool is_opening, const uint8_t *data, size_t length,
		      int64_t now_ns);
/**
 * Drops the packets that are too old and passes on the others, longest held
 * first. Those for which @release returns false stay. @data is writable and has
 * the headroom before it. Returns the number of packets that left.
 */
uint32_t held_packets_release(struct held_packets *held, int64_t now_ns,
			      bool (*release)(void *context, uint8_t *data,
					      size_t length),
			      void *context);
uint32_t held_packets_count(const struct held_packets *held);

#endif
