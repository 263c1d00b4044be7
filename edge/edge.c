#include "edge/edge.h"

#include <errno.h>
#include <glib-unix.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include "edge/socket.h"

/*
 * Limits one wakeup to 512 datagrams, about 0.5 ms at about 1 microsecond each,
 * so that the main loop also serves timers and other sockets.
 */
#define EDGE_BATCHES_PER_WAKEUP 8

#define COUNTER_NAME(member) \
	[offsetof(struct edge_counters, member) / sizeof(uint64_t)] = #member

const char *const edge_counter_names[EDGE_COUNTERS] = {
	COUNTER_NAME(received),
	COUNTER_NAME(received_bytes),
	COUNTER_NAME(sent),
	COUNTER_NAME(sent_bytes),
	COUNTER_NAME(send_errors),
	COUNTER_NAME(send_blocked),
	COUNTER_NAME(connection_refused),
	COUNTER_NAME(receive_errors),
	COUNTER_NAME(receive_overflows),
	COUNTER_NAME(truncated),
};

struct receive_slot {
	uint8_t headroom[EDGE_HEADROOM_BYTES];
	uint8_t data[EDGE_DATAGRAM_BYTES];
};

struct edge {
	struct edge_options options;
	struct edge_counters counters;
	int fd;
	int family;
	uint16_t port;
	GSource *source;

	struct mmsghdr receive_headers[EDGE_BATCH];
	struct iovec receive_vectors[EDGE_BATCH];
	struct sockaddr_storage receive_sources[EDGE_BATCH];
	struct receive_slot receive_slots[EDGE_BATCH];

	unsigned int queued;
	struct mmsghdr send_headers[EDGE_BATCH];
	struct iovec send_vectors[EDGE_BATCH];
	struct sockaddr_storage send_destinations[EDGE_BATCH];
	uint8_t send_copies[EDGE_BATCH][EDGE_DATAGRAM_BYTES];
};

static void headers_init(struct edge *edge)
{
	for (int i = 0; i < EDGE_BATCH; i++) {
		struct msghdr *receive = &edge->receive_headers[i].msg_hdr;
		struct msghdr *send = &edge->send_headers[i].msg_hdr;

		edge->receive_vectors[i].iov_base = edge->receive_slots[i].data;
		edge->receive_vectors[i].iov_len = EDGE_DATAGRAM_BYTES;
		receive->msg_iov = &edge->receive_vectors[i];
		receive->msg_iovlen = 1;
		receive->msg_name = &edge->receive_sources[i];
		send->msg_iov = &edge->send_vectors[i];
		send->msg_iovlen = 1;
		send->msg_name = &edge->send_destinations[i];
	}
}

/* Returns the number of datagrams received, 0 if there are none. */
static int batch_receive(struct edge *edge)
{
	int count;

	for (int i = 0; i < EDGE_BATCH; i++)
		edge->receive_headers[i].msg_hdr.msg_namelen =
			sizeof(edge->receive_sources[i]);
	for (;;) {
		count = recvmmsg(edge->fd, edge->receive_headers, EDGE_BATCH,
				 MSG_DONTWAIT, NULL);
		if (count >= 0)
			return count;
		if (errno == EINTR)
			continue;
		/* Reading the error clears it; the socket remains usable. */
		if (errno != ECONNREFUSED)
			break;
		edge->counters.connection_refused++;
	}
	if (errno != EAGAIN)
		edge->counters.receive_errors++;
	return 0;
}

static void batch_deliver(struct edge *edge, int count)
{
	for (int i = 0; i < count; i++) {
		const struct mmsghdr *header = &edge->receive_headers[i];

		if (header->msg_hdr.msg_flags & MSG_TRUNC) {
			edge->counters.truncated++;
			continue;
		}
		edge->counters.received++;
		edge->counters.received_bytes += header->msg_len;
		edge->options.on_datagram(
			edge->options.context, edge->receive_slots[i].data,
			header->msg_len, &edge->receive_sources[i]);
	}
}

/* The kernel's counter wraps at 32 bits, so its increase is added. */
static void overflows_add(struct edge *edge)
{
	uint64_t *total = &edge->counters.receive_overflows;

	*total += udp_socket_overflows(edge->fd) - (uint32_t)*total;
}

static gboolean on_readable(gint fd, GIOCondition condition, gpointer data)
{
	struct edge *edge = data;

	(void)fd;
	(void)condition;
	for (int i = 0; i < EDGE_BATCHES_PER_WAKEUP; i++) {
		int count = batch_receive(edge);

		if (count == 0)
			break;
		batch_deliver(edge, count);
		if (edge->options.on_batch_end)
			edge->options.on_batch_end(edge->options.context);
		edge_flush(edge);
		if (count < EDGE_BATCH)
			break;
	}
	overflows_add(edge);
	return G_SOURCE_CONTINUE;
}

struct edge *edge_create(const struct edge_options *options,
			 struct error *error)
{
	int fd = udp_socket_open(options->address, options->port,
				 options->receive_buffer_bytes, error);
	struct sockaddr_storage name;
	struct edge *edge;

	if (fd < 0)
		return NULL;
	udp_socket_local_address(fd, &name);
	edge = g_new0(struct edge, 1);
	edge->options = *options;
	edge->options.address = NULL;
	edge->fd = fd;
	edge->family = name.ss_family;
	edge->port = socket_address_port(&name);
	headers_init(edge);
	edge->source = g_unix_fd_source_new(fd, G_IO_IN);
	g_source_set_callback(edge->source, G_SOURCE_FUNC(on_readable), edge,
			      NULL);
	g_source_attach(edge->source, NULL);
	return edge;
}

void edge_destroy(struct edge *edge)
{
	if (!edge)
		return;
	g_source_destroy(edge->source);
	g_source_unref(edge->source);
	close(edge->fd);
	g_free(edge);
}

uint16_t edge_port(const struct edge *edge)
{
	return edge->port;
}

socklen_t edge_destination(const struct edge *edge,
			   const struct ip_address *address, uint16_t port,
			   struct sockaddr_storage *out)
{
	return socket_address_fill(edge->family, address, port, out);
}

const struct edge_counters *edge_counters(const struct edge *edge)
{
	return &edge->counters;
}

/*
 * Reserves the next queue slot for @length bytes. The calling function sets its
 * data and commits it.
 */
static struct iovec *slot_reserve(struct edge *edge,
				  const struct sockaddr *destination,
				  socklen_t destination_bytes, size_t length)
{
	struct msghdr *header;
	struct iovec *vector;

	if (destination_bytes > sizeof(edge->send_destinations[0]) ||
	    length > EDGE_DATAGRAM_BYTES) {
		edge->counters.send_errors++;
		return NULL;
	}
	if (edge->queued == EDGE_BATCH)
		edge_flush(edge);
	header = &edge->send_headers[edge->queued].msg_hdr;
	memcpy(header->msg_name, destination, destination_bytes);
	header->msg_namelen = destination_bytes;
	vector = &edge->send_vectors[edge->queued];
	vector->iov_len = length;
	return vector;
}

static void slot_commit(struct edge *edge)
{
	edge->queued++;
	if (edge->queued == EDGE_BATCH)
		edge_flush(edge);
}

void edge_send(struct edge *edge, const struct sockaddr *destination,
	       socklen_t destination_bytes, const uint8_t *data, size_t length)
{
	struct iovec *vector =
		slot_reserve(edge, destination, destination_bytes, length);

	if (!vector)
		return;
	vector->iov_base = (void *)data;
	slot_commit(edge);
}

void edge_send_copy(struct edge *edge, const struct sockaddr *destination,
		    socklen_t destination_bytes, const uint8_t *data,
		    size_t length)
{
	struct iovec *vector =
		slot_reserve(edge, destination, destination_bytes, length);

	if (!vector)
		return;
	vector->iov_base = edge->send_copies[edge->queued];
	memcpy(vector->iov_base, data, length);
	slot_commit(edge);
}

/* Returns the number of datagrams to skip after a failed send. */
static unsigned int send_error_handle(struct edge *edge)
{
	switch (errno) {
	case EINTR:
		return 0;
	case ECONNREFUSED:
		/* Concerns an earlier datagram; reading the error clears it. */
		edge->counters.connection_refused++;
		return 0;
	case EAGAIN:
		edge->counters.send_blocked++;
		return 1;
	default:
		edge->counters.send_errors++;
		return 1;
	}
}

void edge_flush(struct edge *edge)
{
	unsigned int next = 0;

	while (next < edge->queued) {
		int sent = sendmmsg(edge->fd, edge->send_headers + next,
				    edge->queued - next, MSG_DONTWAIT);

		if (sent < 0) {
			next += send_error_handle(edge);
			continue;
		}
		for (int i = 0; i < sent; i++)
			edge->counters.sent_bytes +=
				edge->send_headers[next + i].msg_len;
		edge->counters.sent += sent;
		next += sent;
	}
	edge->queued = 0;
}
