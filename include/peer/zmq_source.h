#ifndef PARSLEYLADDER_PEER_ZMQ_SOURCE_H
#define PARSLEYLADDER_PEER_ZMQ_SOURCE_H

/** Event source of the GLib main loop for the input of a ZeroMQ socket. */

#include <glib.h>

/**
 * Calls @function while @socket has input. Returns a source that the caller
 * releases with zmq_source_destroy() before it closes the socket.
 */
GSource *zmq_source_create(void *socket, GSourceFunc function,
			   gpointer context);
void zmq_source_destroy(GSource *source);

#endif
