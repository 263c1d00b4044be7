#ifndef PARSLEYLADDER_PARSLEYLADDER_FORWARDER_H
#define PARSLEYLADDER_PARSLEYLADDER_FORWARDER_H

/**
 * Data path of a balancer: receives packets from the fabric and from other
 * balancers, asks the core, and carries out its action.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "configuration/settings.h"
#include "core/core.h"

struct forwarder;

struct forwarder_options {
	const struct settings *settings;
	struct core *core;
	/**
	 * Called before the first packet of each batch, so that a process that
	 * was paused notices it before it acts on packets. Returns false if the
	 * batch has to be dropped.
	 */
	bool (*on_batch_begin)(void *context);
	void *context;
};

/** Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_IO). */
struct forwarder *forwarder_create(const struct forwarder_options *options,
				   struct error *error);
void forwarder_destroy(struct forwarder *forwarder);
/** Packets received from the fabric so far. */
uint64_t forwarder_fabric_packets(const struct forwarder *forwarder);
void forwarder_print_json(const struct forwarder *forwarder,
			  JsonBuilder *builder);

#endif
