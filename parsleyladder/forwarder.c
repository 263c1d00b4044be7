#include "parsleyladder/forwarder.h"

#include <glib.h>
#include <string.h>

#include "common/counters.h"
#include "edge/edge.h"
#include "packet/packet.h"
#include "packet/pass_header.h"

/* Absorbs about 50 ms of packets while the loop does something else. */
#define RECEIVE_BUFFER_BYTES (4 * 1024 * 1024)

enum forwarder_fault {
	FAULT_BAD_PASS_HEADER,
	FAULT_UNKNOWN_MEMBER,
	FAULT_UNREACHABLE_HOST, /* of the other address family */
	FAULT_STALE_AFTER_PAUSE,
	FAULT_REFUSAL_SUPPRESSED, /* no answer to a RST or an ICMP error */
	FORWARDER_FAULTS,
};

static const char *const fault_names[FORWARDER_FAULTS] = {
	[FAULT_BAD_PASS_HEADER] = "bad_pass_header",
	[FAULT_UNKNOWN_MEMBER] = "unknown_member",
	[FAULT_UNREACHABLE_HOST] = "unreachable_host",
	[FAULT_STALE_AFTER_PAUSE] = "stale_after_pause",
	[FAULT_REFUSAL_SUPPRESSED] = "refusal_suppressed",
};

struct pass_destination {
	uint64_t member_id;
	struct sockaddr_storage address;
	socklen_t address_bytes;
};

struct forwarder {
	struct forwarder_options options;
	uint64_t self_id;
	struct edge *data_edge;
	struct edge *pass_edge;
	GHashTable *destinations; /* member id to pass_destination */
	struct sockaddr_storage fabric;
	socklen_t fabric_bytes;
	bool is_in_batch;
	bool is_batch_dropped;
	uint64_t outcomes[PACKET_OUTCOMES];
	uint64_t faults[FORWARDER_FAULTS];
	const char *outcome_names[PACKET_OUTCOMES];
	struct counter_registry *counters;
};

static bool destination_parse(const struct edge *edge, const char *text,
			      uint16_t port, struct sockaddr_storage *storage,
			      socklen_t *length, struct error *error)
{
	struct ip_address address;

	if (!ip_address_parse(text, &address))
		return error_set(error, ERROR_SETTINGS,
				 "'%s' is not an IP address", text);
	*length = edge_destination(edge, &address, port, storage);
	if (*length == 0)
		return error_set(error, ERROR_SETTINGS,
				 "'%s' cannot be reached from data_address",
				 text);
	return true;
}

static void packet_forward(struct forwarder *forwarder, const struct host *host,
			   const uint8_t *data, size_t length)
{
	struct sockaddr_storage destination;
	socklen_t bytes;

	bytes = edge_destination(forwarder->data_edge, &host->address,
				 host->port, &destination);
	if (bytes == 0) {
		forwarder->faults[FAULT_UNREACHABLE_HOST]++;
		return;
	}
	edge_send(forwarder->data_edge, (struct sockaddr *)&destination, bytes,
		  data, length);
}

static void packet_pass_on(struct forwarder *forwarder, uint64_t member_id,
			   uint64_t sender_id, uint8_t hops, uint8_t *data,
			   size_t length)
{
	const struct pass_header header = {
		.hops = hops + 1,
		.sender_id = hops == 0 ? forwarder->self_id : sender_id,
	};
	const struct pass_destination *destination;
	uint8_t *start = data - PASS_HEADER_BYTES;

	destination = g_hash_table_lookup(forwarder->destinations, &member_id);
	if (!destination) {
		forwarder->faults[FAULT_UNKNOWN_MEMBER]++;
		return;
	}
	/* Into the headroom of the edge, or over the header it came with. */
	pass_header_write(&header, start);
	edge_send(forwarder->pass_edge,
		  (const struct sockaddr *)&destination->address,
		  destination->address_bytes, start,
		  length + PASS_HEADER_BYTES);
}

static void packet_refuse(struct forwarder *forwarder, const uint8_t *data,
			  size_t length, const struct packet_facts *facts)
{
	uint8_t refusal[PACKET_REFUSAL_BYTES];
	size_t bytes = packet_build_refusal(data, length, facts, refusal);

	if (bytes == 0) {
		forwarder->faults[FAULT_REFUSAL_SUPPRESSED]++;
		return;
	}
	edge_send_copy(forwarder->data_edge,
		       (struct sockaddr *)&forwarder->fabric,
		       forwarder->fabric_bytes, refusal, bytes);
}

static void packet_handle(struct forwarder *forwarder, uint8_t hops,
			  uint64_t sender_id, uint8_t *data, size_t length)
{
	enum packet_outcome outcome;
	struct packet_facts facts;
	struct core_action action;

	if (!forwarder->is_in_batch) {
		forwarder->is_in_batch = true;
		forwarder->is_batch_dropped =
			!forwarder->options.on_batch_begin(
				forwarder->options.context);
	}
	if (forwarder->is_batch_dropped) {
		forwarder->faults[FAULT_STALE_AFTER_PAUSE]++;
		return;
	}
	outcome = packet_parse(data, length, &facts);
	forwarder->outcomes[outcome]++;
	if (outcome != PACKET_OK)
		return;
	core_handle_packet(forwarder->options.core, &facts, hops, sender_id,
			   &action);
	switch (action.kind) {
	case CORE_FORWARD:
		packet_forward(forwarder, action.host, data, length);
		break;
	case CORE_PASS_ON:
		packet_pass_on(forwarder, action.member_id, sender_id, hops,
			       data, length);
		break;
	case CORE_REFUSE:
		packet_refuse(forwarder, data, length, &facts);
		break;
	case CORE_DROP:
	case CORE_ACTIONS:
		break;
	}
}

static void fabric_datagram(void *context, uint8_t *data, size_t length,
			    const struct sockaddr_storage *source)
{
	(void)source;
	packet_handle(context, 0, 0, data, length);
}

static void pass_datagram(void *context, uint8_t *data, size_t length,
			  const struct sockaddr_storage *source)
{
	struct forwarder *forwarder = context;
	struct pass_header header;

	(void)source;
	if (!pass_header_read(data, length, &header)) {
		forwarder->faults[FAULT_BAD_PASS_HEADER]++;
		return;
	}
	packet_handle(forwarder, header.hops, header.sender_id,
		      data + PASS_HEADER_BYTES, length - PASS_HEADER_BYTES);
}

static void batch_end(void *context)
{
	struct forwarder *forwarder = context;

	/* Queued datagrams point into the receive buffers of either edge. */
	edge_flush(forwarder->data_edge);
	edge_flush(forwarder->pass_edge);
	forwarder->is_in_batch = false;
}

static bool destinations_fill(struct forwarder *forwarder, struct error *error)
{
	const struct settings *settings = forwarder->options.settings;

	for (size_t i = 0; i < settings->peer_count; i++) {
		const struct peer_settings *peer = &settings->peers[i];
		struct pass_destination *destination;

		destination = g_new0(struct pass_destination, 1);
		destination->member_id = instance_id_hash(peer->instance_id);
		g_hash_table_replace(forwarder->destinations,
				     &destination->member_id, destination);
		if (!destination_parse(forwarder->pass_edge, peer->address,
				       peer->pass_port, &destination->address,
				       &destination->address_bytes, error))
			return false;
	}
	return true;
}

static void edge_register(struct counter_registry *counters, const char *group,
			  const struct edge *edge)
{
	counter_registry_add(counters, group, edge_counter_names,
			     (const uint64_t *)edge_counters(edge),
			     EDGE_COUNTERS);
}

static void counters_register(struct forwarder *forwarder)
{
	struct counter_registry *counters = forwarder->counters;

	for (int i = 0; i < PACKET_OUTCOMES; i++)
		forwarder->outcome_names[i] = packet_outcome_name(i);
	edge_register(counters, "data", forwarder->data_edge);
	edge_register(counters, "pass", forwarder->pass_edge);
	counter_registry_add(counters, "outcomes", forwarder->outcome_names,
			     forwarder->outcomes, PACKET_OUTCOMES);
	counter_registry_add(counters, "faults", fault_names, forwarder->faults,
			     FORWARDER_FAULTS);
}

struct forwarder *forwarder_create(const struct forwarder_options *options,
				   struct error *error)
{
	const struct settings *settings = options->settings;
	struct edge_options edge_options = {
		.address = settings->data_address,
		.port = settings->data_port,
		.receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
		.on_datagram = fabric_datagram,
		.on_batch_end = batch_end,
	};
	struct forwarder *forwarder = g_new0(struct forwarder, 1);

	forwarder->options = *options;
	forwarder->counters = counter_registry_create();
	forwarder->self_id = instance_id_hash(settings->instance_id);
	forwarder->destinations = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	edge_options.context = forwarder;
	forwarder->data_edge = edge_create(&edge_options, error);
	if (!forwarder->data_edge)
		goto fail;
	edge_options.port = settings->pass_port;
	edge_options.on_datagram = pass_datagram;
	forwarder->pass_edge = edge_create(&edge_options, error);
	if (!forwarder->pass_edge)
		goto fail;
	if (!destination_parse(forwarder->data_edge, settings->fabric_address,
			       settings->fabric_port, &forwarder->fabric,
			       &forwarder->fabric_bytes, error))
		goto fail;
	if (!destinations_fill(forwarder, error))
		goto fail;
	counters_register(forwarder);
	return forwarder;
fail:
	forwarder_destroy(forwarder);
	return NULL;
}

void forwarder_destroy(struct forwarder *forwarder)
{
	if (!forwarder)
		return;
	if (forwarder->pass_edge)
		edge_destroy(forwarder->pass_edge);
	if (forwarder->data_edge)
		edge_destroy(forwarder->data_edge);
	g_hash_table_destroy(forwarder->destinations);
	counter_registry_destroy(forwarder->counters);
	g_free(forwarder);
}

uint64_t forwarder_fabric_packets(const struct forwarder *forwarder)
{
	return edge_counters(forwarder->data_edge)->received;
}

void forwarder_print_json(const struct forwarder *forwarder,
			  JsonBuilder *builder)
{
	counter_registry_print_json(forwarder->counters, builder);
}
