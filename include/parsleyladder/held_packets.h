#ifndef PARSLEYLADDER_PARSLEYLADDER_HELD_PACKETS_H
#define PARSLEYLADDER_PARSLEYLADDER_HELD_PACKETS_H

/**
 * Packets that came before this balancer knew where they go: the newest one of
 * each flow, bounded in number and age. Callers repeat packets at growing
 * intervals, so one that is forwarded as soon as it can be saves its caller up
 * to the whole interval.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "packet/packet.h"

struct held_packets;

struct held_packets_options {
	uint32_t packets_max; /* the one held for longest is dropped */
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
 * Takes out all packets, longest held first, and passes on those that are not
 * too old. @data is writable and has the headroom before it.
 */
void held_packets_release(struct held_packets *held, int64_t now_ns,
			  void (*release)(void *context, uint8_t *data,
					  size_t length),
			  void *context);
uint32_t held_packets_count(const struct held_packets *held);

#endif
