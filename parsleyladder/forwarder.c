#include "parsleyladder/forwarder.h"

#include <glib.h>
#include <string.h>

#include "common/endpoint.h"
#include "edge/edge.h"
#include "parsleyladder/held_packets.h"
#include "platform/datagram.h"

/* Buffers about 50 ms of packets while the main loop is busy. */
#define RECEIVE_BUFFER_BYTES (512 * 1024)

/*
 * Largest number of held packets, one per flow: enough for some thousand flows
 * in the second before the first listing.
 */
#define HELD_PACKETS_MAX 2048

/* Why a packet could not be processed. */
enum packet_error {
	PACKET_ERROR_MALFORMED,
	PACKET_ERROR_STALE_AFTER_PAUSE,
	PACKET_ERROR_UNREACHABLE,
	PACKET_ERRORS,
};

static const char *const error_names[PACKET_ERRORS] = {
	[PACKET_ERROR_MALFORMED] = "malformed",
	[PACKET_ERROR_STALE_AFTER_PAUSE] = "stale_after_pause",
	[PACKET_ERROR_UNREACHABLE] = "unreachable",
};

struct forwarder {
	struct forwarder_options options;
	struct edge *edge;
	struct held_packets *held;
	uint16_t datagram_port; /* UDP port of datagrams to callers */
	bool is_in_batch;
	bool is_batch_dropped;
	uint64_t errors[PACKET_ERRORS];
	uint64_t verdicts[STEERING_VERDICTS];
	struct histogram decision_ns;
};

static const char *const verdict_names[STEERING_VERDICTS] = {
	[STEERING_FORWARD] = "forward",
	[STEERING_RESET] = "reset",
	[STEERING_DROP] = "drop",
	[STEERING_HOLD] = "hold",
};

/* If @is_transient, the packet is freed before the edge is flushed. */
static void packet_forward(struct forwarder *forwarder, uint8_t *data,
			   size_t length, bool is_transient,
			   const struct known_host *host)
{
	void (*send)(struct edge * edge, const struct sockaddr *destination,
		     socklen_t destination_bytes, const uint8_t *data,
		     size_t length) = is_transient ? edge_send_copy : edge_send;
	struct sockaddr_storage destination;
	uint8_t *start = data - DATAGRAM_TARGET_BYTES;
	socklen_t bytes = edge_destination(forwarder->edge,
					   &host->published.address,
					   host->published.port, &destination);

	if (bytes == 0) {
		forwarder->errors[PACKET_ERROR_UNREACHABLE]++;
		return;
	}
	datagram_set_token(data, host->token);
	datagram_set_target(start, host->published.target_id);
	send(forwarder->edge, (struct sockaddr *)&destination, bytes, start,
	     length + DATAGRAM_TARGET_BYTES);
}

void forwarder_reset(struct forwarder *forwarder, const struct flow_key *key,
		     uint32_t sequence)
{
	uint8_t packet[DATAGRAM_HEADER_BYTES];
	struct sockaddr_storage destination;
	socklen_t bytes = edge_destination(forwarder->edge, &key->caller,
					   forwarder->datagram_port,
					   &destination);

	if (bytes == 0) {
		forwarder->errors[PACKET_ERROR_UNREACHABLE]++;
		return;
	}
	datagram_write_reset(key, sequence, packet);
	edge_send_copy(forwarder->edge, (struct sockaddr *)&destination, bytes,
		       packet, sizeof(packet));
}

void forwarder_flush(struct forwarder *forwarder)
{
	edge_flush(forwarder->edge);
}

static bool batch_is_accepted(struct forwarder *forwarder)
{
	if (forwarder->is_in_batch)
		return !forwarder->is_batch_dropped;
	forwarder->is_in_batch = true;
	forwarder->is_batch_dropped =
		!forwarder->options.on_batch_begin(forwarder->options.context);
	return !forwarder->is_batch_dropped;
}

static void packet_decide(struct forwarder *forwarder,
			  const struct token_packet *packet,
			  struct steering_decision *decision)
{
	const struct clock *clock = forwarder->options.clock;
	int64_t start_ns = clock_now_ns(clock);

	steering_handle_packet(forwarder->options.steering, packet, decision);
	histogram_record(&forwarder->decision_ns,
			 (uint64_t)(clock_now_ns(clock) - start_ns));
	forwarder->verdicts[decision->verdict]++;
}

/* Returns false if the packet cannot be decided yet. */
static bool packet_handle(struct forwarder *forwarder, uint8_t *data,
			  size_t length, bool is_held,
			  const struct token_packet *packet)
{
	struct steering_decision decision;

	packet_decide(forwarder, packet, &decision);
	if (decision.verdict == STEERING_HOLD && is_held)
		return false;
	if (decision.verdict == STEERING_FORWARD)
		packet_forward(forwarder, data, length, is_held, decision.host);
	else if (decision.verdict == STEERING_RESET)
		forwarder_reset(forwarder, &packet->fields.key,
				packet->fields.tcp_acknowledgement);
	else if (decision.verdict == STEERING_HOLD)
		held_packets_add(forwarder->held, &packet->fields.key,
				 decision.is_opening, data, length,
				 clock_now_ns(forwarder->options.clock));
	if (decision.is_opening || decision.verdict != STEERING_FORWARD)
		forwarder->options.on_decision(forwarder->options.context,
					       packet, &decision);
	return decision.verdict != STEERING_HOLD;
}

static void datagram_handle(void *context, uint8_t *data, size_t length,
			    const struct sockaddr_storage *source)
{
	struct forwarder *forwarder = context;
	struct token_packet packet;

	(void)source;
	if (!batch_is_accepted(forwarder)) {
		forwarder->errors[PACKET_ERROR_STALE_AFTER_PAUSE]++;
		return;
	}
	if (!datagram_read(data, length, &packet)) {
		forwarder->errors[PACKET_ERROR_MALFORMED]++;
		return;
	}
	packet_handle(forwarder, data, length, false, &packet);
}

static bool packet_release(void *context, uint8_t *data, size_t length)
{
	struct token_packet packet;

	return !datagram_read(data, length, &packet) ||
	       packet_handle(context, data, length, true, &packet);
}

uint32_t forwarder_release(struct forwarder *forwarder)
{
	uint32_t count = held_packets_release(
		forwarder->held, clock_now_ns(forwarder->options.clock),
		packet_release, forwarder);

	edge_flush(forwarder->edge);
	return count;
}

static void batch_end(void *context)
{
	struct forwarder *forwarder = context;

	forwarder->is_in_batch = false;
}

struct forwarder *forwarder_create(const struct forwarder_options *options,
				   struct error *error)
{
	struct forwarder *forwarder = g_new0(struct forwarder, 1);
	const struct held_packets_options held_options = {
		.packets_max = HELD_PACKETS_MAX,
		.headroom_bytes = DATAGRAM_TARGET_BYTES,
	};
	struct endpoint endpoint;
	struct edge_options edge_options = {
		.receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
		.on_datagram = datagram_handle,
		.on_batch_end = batch_end,
		.context = forwarder,
	};

	forwarder->options = *options;
	forwarder->held = held_packets_create(&held_options);
	endpoint_parse(options->settings->packet_endpoint, &endpoint);
	forwarder->datagram_port = endpoint.port;
	edge_options.address = endpoint.address;
	edge_options.port = endpoint.port;
	forwarder->edge = edge_create(&edge_options, error);
	if (forwarder->edge)
		return forwarder;
	held_packets_destroy(forwarder->held);
	g_free(forwarder);
	return NULL;
}

void forwarder_destroy(struct forwarder *forwarder)
{
	if (!forwarder)
		return;
	edge_destroy(forwarder->edge);
	held_packets_destroy(forwarder->held);
	g_free(forwarder);
}

uint64_t forwarder_packets(const struct forwarder *forwarder)
{
	return edge_counters(forwarder->edge)->received;
}

void forwarder_register_counters(const struct forwarder *forwarder,
				 struct counter_registry *counters)
{
	counter_registry_add(counters, "data", edge_counter_names,
			     (const uint64_t *)edge_counters(forwarder->edge),
			     EDGE_COUNTERS);
	counter_registry_add(counters, "faults", error_names, forwarder->errors,
			     PACKET_ERRORS);
	counter_registry_add(counters, "verdicts", verdict_names,
			     forwarder->verdicts, STEERING_VERDICTS);
	counter_registry_add_histogram(counters, "decision_ns",
				       &forwarder->decision_ns);
}
