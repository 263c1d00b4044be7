#ifndef PARSLEYLADDER_PARSLEYLADDER_FORWARDER_H
#define PARSLEYLADDER_PARSLEYLADDER_FORWARDER_H

/**
 * Data path of a balancer: receives packets from the fabric, asks the steering
 * core for a decision, and carries it out. The fabric is the platform's
 * routers, which may send any packet to any balancer.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"
#include "configuration/settings.h"
#include "steering/steering.h"

struct forwarder;

struct forwarder_options {
	const struct settings *settings;
	const struct clock *clock;
	struct steering *steering;
	/** Returns false if this batch was queued during a process pause. */
	bool (*on_batch_begin)(void *context);
	/** Called for opening packets and for those not to be forwarded. */
	void (*on_decision)(void *context, const struct token_packet *packet,
			    const struct steering_decision *decision);
	void *context;
};

/** Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_IO). */
struct forwarder *forwarder_create(const struct forwarder_options *options,
				   struct error *error);
void forwarder_destroy(struct forwarder *forwarder);
/** Queues a reset of the flow for its caller. */
void forwarder_reset(struct forwarder *forwarder, const struct flow_key *key,
		     uint32_t sequence);
/**
 * Decides again about the held packets; those that still have to wait stay.
 * Returns how many left.
 */
uint32_t forwarder_release(struct forwarder *forwarder);
/** Sends the resets that are queued. */
void forwarder_flush(struct forwarder *forwarder);
/** Packets received so far. */
uint64_t forwarder_packets(const struct forwarder *forwarder);
/** Registers the counters of the data path. */
void forwarder_register_counters(const struct forwarder *forwarder,
				 struct counter_registry *counters);

#endif
