#ifndef PARSLEYLADDER_EDGE_CONNECT_PROBE_H
#define PARSLEYLADDER_EDGE_CONNECT_PROBE_H

/**
 * Checks whether a TCP endpoint accepts connections, by opening a connection
 * and closing it at once. Unlike a request, this does not occupy a slot of the
 * host; a slot is one request that a host processes at a time.
 */

#include <stdint.h>

#include "packet/packet.h"

enum probe_outcome {
	PROBE_ACCEPTED,
	PROBE_REFUSED, /* responded, but nothing listens */
	PROBE_RESET, /* accepted and then reset: the port is open */
	PROBE_TIMEOUT, /* no response, or another error such as unreachable */
	PROBE_FAILED, /* local error of this instance */
	PROBE_OUTCOMES,
};

struct connect_probe;

struct connect_probe_options {
	struct ip_address address;
	uint16_t port; /* host byte order */
	uint32_t timeout_ms;
	/** Called once, from the main loop; the probe has been freed. */
	void (*on_outcome)(void *context, enum probe_outcome outcome);
	void *context;
};

/** Starts a probe; NULL on a local error of this instance. */
struct connect_probe *
connect_probe_start(const struct connect_probe_options *options);
/** Frees a probe without calling on_outcome. Accepts NULL. */
void connect_probe_cancel(struct connect_probe *probe);
const char *probe_outcome_name(enum probe_outcome outcome);

#endif
