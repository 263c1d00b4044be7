#ifndef PARSLEYLADDER_EDGE_CONNECT_PROBE_H
#define PARSLEYLADDER_EDGE_CONNECT_PROBE_H

/**
 * Finds out whether something listens at a TCP endpoint, by a connection that
 * is closed at once. It costs the host no slot, unlike a request.
 */

#include <stdint.h>

#include "packet/packet.h"

enum probe_outcome {
	PROBE_ACCEPTED,
	PROBE_REFUSED, /* answered, but nothing listens */
	PROBE_RESET, /* accepted and then reset: somebody listens */
	PROBE_TIMEOUT, /* no answer */
	PROBE_FAILED, /* this instance could not try */
	PROBE_OUTCOMES,
};

struct connect_probe;

struct connect_probe_options {
	struct ip_address address;
	uint16_t port; /* host byte order */
	uint32_t timeout_ms;
	/** Called once, from the main loop; the probe is gone then. */
	void (*on_outcome)(void *context, enum probe_outcome outcome);
	void *context;
};

/** Starts a probe; NULL if this instance cannot try. */
struct connect_probe *
connect_probe_start(const struct connect_probe_options *options);
/** Ends a probe without an outcome. Accepts NULL. */
void connect_probe_cancel(struct connect_probe *probe);
const char *probe_outcome_name(enum probe_outcome outcome);

#endif
