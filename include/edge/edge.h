#ifndef PARSLEYLADDER_EDGE_EDGE_H
#define PARSLEYLADDER_EDGE_EDGE_H

/**
 * Batched UDP socket in the default GLib main loop.
 */

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "common/error.h"
#include "packet/packet.h"

/** Largest number of datagrams per receive or send system call. */
#define EDGE_BATCH 64
/** Longest datagram, in bytes. */
#define EDGE_DATAGRAM_BYTES 2048

struct edge;

struct edge_options {
	const char *address; /* IPv4 or IPv6 text */
	uint16_t port; /* 0 lets the kernel choose one */
	uint32_t receive_buffer_bytes; /* 0 keeps the kernel's default */
	/**
	 * Called for each datagram. @data is preceded by EDGE_HEADROOM_BYTES
	 * of writable memory and is valid until the batch has been flushed,
	 * which happens after on_batch_end.
	 */
	void (*on_datagram)(void *context, uint8_t *data, size_t length,
			    const struct sockaddr_storage *source);
	/**
	 * Called after the last datagram of a batch, before the datagrams
	 * that were queued meanwhile are sent; may be NULL.
	 */
	void (*on_batch_end)(void *context);
	void *context;
};

#define EDGE_HEADROOM_BYTES 64

/** Counters of one edge, in datagrams except for the bytes. */
struct edge_counters {
	uint64_t received;
	uint64_t received_bytes;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t send_errors; /* rejected by the kernel or too long; dropped */
	uint64_t send_blocked; /* dropped because the send buffer was full */
	/* "Connection refused" reported for an earlier datagram; ignored. */
	uint64_t connection_refused;
	uint64_t receive_errors;
	/* Dropped by the kernel because the receive buffer was full. */
	uint64_t receive_overflows;
	uint64_t truncated; /* longer than EDGE_DATAGRAM_BYTES, dropped */
};

#define EDGE_COUNTERS (sizeof(struct edge_counters) / sizeof(uint64_t))

/** Names of the members of struct edge_counters, in their order. */
extern const char *const edge_counter_names[EDGE_COUNTERS];

/**
 * Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_IO, or
 * ERROR_SETTINGS if the address is not an IP address).
 */
struct edge *edge_create(const struct edge_options *options,
			 struct error *error);
/** Not to be called from a callback of @edge. Queued datagrams are dropped. */
void edge_destroy(struct edge *edge);
/** Port that the socket is bound to, host byte order. */
uint16_t edge_port(const struct edge *edge);
/**
 * Queues one datagram of @length bytes; it is sent by the next edge_flush(),
 * at the end of the receive batch, or when EDGE_BATCH datagrams are queued.
 * @data may point into the datagram passed to on_datagram, headroom included.
 * It is not copied and must stay unchanged until the flush. To forward a
 * datagram that another edge received, flush this edge in that edge's
 * on_batch_end.
 * A datagram that the kernel does not accept at once is dropped and counted.
 */
void edge_send(struct edge *edge, const struct sockaddr *destination,
	       socklen_t destination_bytes, const uint8_t *data, size_t length);
/** Like edge_send(), but copies @data. */
void edge_send_copy(struct edge *edge, const struct sockaddr *destination,
		    socklen_t destination_bytes, const uint8_t *data,
		    size_t length);
void edge_flush(struct edge *edge);
/**
 * Fills @out with the form of an address that the socket of @edge can send to
 * (IPv4-mapped if the socket is IPv6); returns its length in bytes.
 */
socklen_t edge_destination(const struct edge *edge,
			   const struct ip_address *address, uint16_t port,
			   struct sockaddr_storage *out);
/** Address and port, host byte order, of a datagram's source. */
void edge_source(const struct sockaddr_storage *source,
		 struct ip_address *address, uint16_t *port);
const struct edge_counters *edge_counters(const struct edge *edge);

#endif
