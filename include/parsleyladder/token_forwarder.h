#ifndef PARSLEYLADDER_PARSLEYLADDER_TOKEN_FORWARDER_H
#define PARSLEYLADDER_PARSLEYLADDER_TOKEN_FORWARDER_H

/**
 * Data path of a balancer whose packets carry tokens: receives packets from
 * the fabric, asks the steering core, and carries out its decision.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"
#include "configuration/token_settings.h"
#include "steering/steering.h"

struct token_forwarder;

struct token_forwarder_options {
	const struct token_settings *settings;
	const struct clock *clock;
	struct steering *steering;
	/** False if the packets of this batch waited through a pause. */
	bool (*on_batch_begin)(void *context);
	/** A decision about an opening packet, or one that is no forwarding. */
	void (*on_decision)(void *context, const struct token_packet *packet,
			    const struct steering_decision *decision);
	void *context;
};

/** Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_IO). */
struct token_forwarder *
token_forwarder_create(const struct token_forwarder_options *options,
		       struct error *error);
void token_forwarder_destroy(struct token_forwarder *forwarder);
/** Tells the caller that its flow is no more. */
void token_forwarder_reset(struct token_forwarder *forwarder,
			   const struct flow_key *key, uint32_t sequence);
/** Sends the resets that are queued. */
void token_forwarder_flush(struct token_forwarder *forwarder);
/** Packets received so far. */
uint64_t token_forwarder_packets(const struct token_forwarder *forwarder);
/** Registers the counters of the data path. */
void token_forwarder_count(const struct token_forwarder *forwarder,
			   struct counter_registry *counters);

#endif
