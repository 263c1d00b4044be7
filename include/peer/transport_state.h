#ifndef PARSLEYLADDER_PEER_TRANSPORT_STATE_H
#define PARSLEYLADDER_PEER_TRANSPORT_STATE_H

/** State of the transport. Internal to the package. */

#include <glib.h>

#include "common/token_bucket.h"
#include "peer/key_ring.h"
#include "peer/send_queue.h"
#include "peer/transport.h"
#include "peer/zap.h"

/* ZMTP frame header, and name, nonce, authenticator and flags of CURVE. */
#define TRANSPORT_OVERHEAD_BYTES 35
#define TRANSPORT_BURST_BYTES 65536
/* Messages that wait for all peers together; heartbeats always fit. */
#define TRANSPORT_QUEUED_BYTES_MAX (16 * 1024 * 1024)

/** Sending side of one peer, and what it is sending in pieces. */
struct transport_peer {
	uint64_t id;
	char *endpoint;
	char public_key[CURVE_KEY_TEXT_BYTES];
	size_t candidate; /* number of the server key in use */
	void *socket;
	struct send_queue queue;
	struct reassembly reassembly;
	int64_t socket_ns; /* when the socket was made */
	int64_t blocked_ns; /* since when nothing can be sent; 0 = it can */
	int64_t tried_ns; /* last attempt that was refused */
};

struct transport_counters {
	uint64_t bytes_sent[MESSAGE_PRIORITIES];
	uint64_t bytes_received[MESSAGE_PRIORITIES];
	uint64_t messages_sent[MESSAGE_PRIORITIES]; /* frames */
	uint64_t messages_received[MESSAGE_PRIORITIES];
	uint64_t dropped[MESSAGE_PRIORITIES];
	uint64_t impostors; /* a key that may not speak for the sender */
	uint64_t unknown_sender;
	uint64_t malformed;
	uint64_t discarded; /* frames that waited through a pause */
};

struct transport {
	uint64_t self_id;
	char public_key[CURVE_KEY_TEXT_BYTES];
	char secret_key[CURVE_KEY_TEXT_BYTES];
	const struct clock *clock;
	void (*on_message)(void *context, uint64_t sender_id,
			   const uint8_t *data, size_t length);
	void *context;
	void *zmq_context;
	void *router;
	GSource *router_source;
	struct zap *zap;
	struct key_ring *ring;
	GHashTable *by_id; /* struct transport_peer by id */
	GPtrArray *peers; /* struct transport_peer */
	struct token_bucket bucket;
	guint first_peer; /* where the next round of sending begins */
	guint flush_source; /* timer, 0 if nothing waits */
	int64_t expire_ns;
	guint pause_source; /* timer that notes that the process runs */
	int64_t running_ns; /* last time at which it was known to run */
	int64_t discard_until_ns; /* frames received before this are dropped */
	size_t queued_bytes; /* upper bound, corrected every 250 ms */
	uint64_t routing_nonce;
	struct transport_counters counters;
};

/** Sends what the budget allows, and sets a timer for the rest. */
void transport_flush(struct transport *transport);
bool transport_peer_connect(struct transport *transport,
			    struct transport_peer *peer, struct error *error);
/**
 * After a pause of this process, drops what waits to be sent and begins to
 * drop what is received. Called before frames are sent or handled.
 */
void transport_check_pause(struct transport *transport);
/** Reads waiting frames; callback of the source of the router socket. */
gboolean transport_receive(gpointer context);
/** Routing id that tells the receiver who connects. */
#define ROUTING_ID_BYTES 17
#define ROUTING_ID_TAG 'm'

#endif
