#include "parsleyladder/forwarder.h"

#include <glib.h>
#include <string.h>

#include "common/endpoint.h"
#include "edge/edge.h"
#include "platform/datagram.h"

/* Absorbs about 50 ms of packets while the loop does something else. */
#define RECEIVE_BUFFER_BYTES (512 * 1024)

enum forwarder_fault {
	FAULT_MALFORMED,
	FAULT_STALE_AFTER_PAUSE,
	FAULT_UNREACHABLE,
	FORWARDER_FAULTS,
};

static const char *const fault_names[FORWARDER_FAULTS] = {
	[FAULT_MALFORMED] = "malformed",
	[FAULT_STALE_AFTER_PAUSE] = "stale_after_pause",
	[FAULT_UNREACHABLE] = "unreachable",
};

struct forwarder {
	struct forwarder_options options;
	struct edge *edge;
	uint16_t caller_port; /* where callers get packets */
	bool is_in_batch;
	bool is_batch_dropped;
	uint64_t faults[FORWARDER_FAULTS];
	uint64_t verdicts[STEERING_VERDICTS];
	struct histogram decision_ns;
};

static const char *const verdict_names[STEERING_VERDICTS] = {
	[STEERING_FORWARD] = "forward",
	[STEERING_RESET] = "reset",
	[STEERING_DROP] = "drop",
};

static void packet_forward(struct forwarder *forwarder, uint8_t *data,
			   size_t length, const struct known_host *host)
{
	struct sockaddr_storage destination;
	uint8_t *start = data - DATAGRAM_TARGET_BYTES;
	socklen_t bytes = edge_destination(forwarder->edge,
					   &host->published.address,
					   host->published.port, &destination);

	if (bytes == 0) {
		forwarder->faults[FAULT_UNREACHABLE]++;
		return;
	}
	datagram_set_token(data, host->token);
	datagram_set_target(start, host->published.number);
	edge_send(forwarder->edge, (struct sockaddr *)&destination, bytes,
		  start, length + DATAGRAM_TARGET_BYTES);
}

void forwarder_reset(struct forwarder *forwarder, const struct flow_key *key,
		     uint32_t sequence)
{
	uint8_t packet[DATAGRAM_HEADER_BYTES];
	struct sockaddr_storage destination;
	socklen_t bytes = edge_destination(forwarder->edge, &key->caller,
					   forwarder->caller_port,
					   &destination);

	if (bytes == 0) {
		forwarder->faults[FAULT_UNREACHABLE]++;
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

static bool batch_check(struct forwarder *forwarder)
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

static void datagram_handle(void *context, uint8_t *data, size_t length,
			    const struct sockaddr_storage *source)
{
	struct forwarder *forwarder = context;
	struct steering_decision decision;
	struct token_packet packet;

	(void)source;
	if (!batch_check(forwarder)) {
		forwarder->faults[FAULT_STALE_AFTER_PAUSE]++;
		return;
	}
	if (!datagram_read(data, length, &packet)) {
		forwarder->faults[FAULT_MALFORMED]++;
		return;
	}
	packet_decide(forwarder, &packet, &decision);
	if (decision.verdict == STEERING_FORWARD)
		packet_forward(forwarder, data, length, decision.host);
	else if (decision.verdict == STEERING_RESET)
		forwarder_reset(forwarder, &packet.facts.key,
				packet.facts.tcp_acknowledgement);
	if (decision.is_opening || decision.verdict != STEERING_FORWARD)
		forwarder->options.on_decision(forwarder->options.context,
					       &packet, &decision);
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
	struct endpoint endpoint;
	struct edge_options edge_options = {
		.receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
		.on_datagram = datagram_handle,
		.on_batch_end = batch_end,
		.context = forwarder,
	};

	forwarder->options = *options;
	endpoint_parse(options->settings->packet_endpoint, &endpoint);
	forwarder->caller_port = endpoint.port;
	edge_options.address = endpoint.address;
	edge_options.port = endpoint.port;
	forwarder->edge = edge_create(&edge_options, error);
	if (forwarder->edge)
		return forwarder;
	g_free(forwarder);
	return NULL;
}

void forwarder_destroy(struct forwarder *forwarder)
{
	if (!forwarder)
		return;
	edge_destroy(forwarder->edge);
	g_free(forwarder);
}

uint64_t forwarder_packets(const struct forwarder *forwarder)
{
	return edge_counters(forwarder->edge)->received;
}

void forwarder_count(const struct forwarder *forwarder,
		     struct counter_registry *counters)
{
	counter_registry_add(counters, "data", edge_counter_names,
			     (const uint64_t *)edge_counters(forwarder->edge),
			     EDGE_COUNTERS);
	counter_registry_add(counters, "faults", fault_names, forwarder->faults,
			     FORWARDER_FAULTS);
	counter_registry_add(counters, "verdicts", verdict_names,
			     forwarder->verdicts, STEERING_VERDICTS);
	counter_registry_add_histogram(counters, "decision_ns",
				       &forwarder->decision_ns);
}
