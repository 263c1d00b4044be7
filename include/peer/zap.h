#ifndef PARSLEYLADDER_PEER_ZAP_H
#define PARSLEYLADDER_PEER_ZAP_H

/**
 * Authentication handler of ZeroMQ (RFC 27/ZAP), in the GLib main loop. It
 * accepts CURVE clients by the key ring and gives a connection the number of
 * its key as the property "User-Id".
 */

#include <stdint.h>

#include "common/error.h"
#include "peer/key_ring.h"

struct zap;

/**
 * Create it before the first socket is bound in @zmq_context, otherwise
 * connections pass unchecked. Returns NULL and fills @error (ERROR_INTERNAL).
 */
struct zap *zap_create(void *zmq_context, const struct key_ring *ring,
		       struct error *error);
void zap_destroy(struct zap *zap);
/** Connections refused because their key is not accepted. */
uint64_t zap_refused(const struct zap *zap);

#endif
