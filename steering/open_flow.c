#include "steering_state.h"

#include <stdlib.h>

#include "packet/transport.h"

/* Sequence numbers of packets in flight of one flow differ by less. */
#define FLOW_WINDOW_BYTES (1 << 20)
/* A packet of an earlier flow of the same port is not delayed for longer. */
#define LATE_PACKET_NS (2 * NS_PER_S)

/*
 * A retransmission after a timeout follows the previous packet of the flow by
 * about the timeout; links vary the delay, hence the margin. A fast
 * retransmission follows within a round trip, and shows that the host responds.
 */
#define RETRANSMISSION_GAP_MIN_NS (TRANSPORT_RETRANSMISSION_NS * 3 / 4)

static uint32_t packet_end(const struct packet_fields *fields)
{
	return fields->tcp_sequence + fields->payload_bytes +
	       ((fields->tcp_flags & TCP_FLAG_FIN) ? 1 : 0);
}

static bool is_after(uint32_t sequence, uint32_t other)
{
	return (int32_t)(sequence - other) > 0;
}

void flow_window_restart(struct cached_flow *flow, uint32_t sequence)
{
	flow->sent_end = sequence;
	flow->window_end = sequence + TRANSPORT_WINDOW_BYTES;
}

static bool is_retransmission(const struct cached_flow *flow,
			      const struct packet_fields *fields,
			      int64_t gap_ns)
{
	return (fields->payload_bytes > 0 ||
		(fields->tcp_flags & TCP_FLAG_FIN)) &&
	       !is_after(packet_end(fields), flow->sent_end) &&
	       gap_ns >= RETRANSMISSION_GAP_MIN_NS;
}

/*
 * True if the packet could be sent only because the host has acknowledged
 * earlier ones. During an upload this is the only sign of a live host: a
 * caller's packets acknowledge nothing until the response begins.
 */
static bool is_beyond_window(struct cached_flow *flow,
			     const struct packet_fields *fields)
{
	uint32_t end = packet_end(fields);

	if (fields->payload_bytes == 0 || !is_after(end, flow->window_end))
		return false;
	flow->window_end = end;
	return true;
}

static void speed_observe(struct steering *steering,
			  const struct cached_flow *flow,
			  const struct packet_fields *fields, int64_t now_ns)
{
	const struct host_response response = {
		.kind.flow = &flow->key,
		.kind.is_closing = (fields->tcp_flags & TCP_FLAG_FIN) != 0,
		.wait_ns = now_ns - flow->pending_since_ns,
		.network_ns = steering->handshake.smoothed_ns,
	};

	host_speeds_record(steering->host_speeds, flow->host, &response,
			   now_ns);
}

/*
 * A flow that ends may have been idle since a response that only its end
 * acknowledges, so that time shows nothing.
 */
static void load_observe_response(struct steering *steering,
				  const struct cached_flow *flow,
				  const struct packet_fields *fields,
				  int64_t now_ns)
{
	if (!(fields->tcp_flags & (TCP_FLAG_FIN | TCP_FLAG_RST)))
		zone_loads_record_response(steering->zone_loads, flow->host,
					   now_ns - flow->pending_since_ns,
					   now_ns);
}

/*
 * Updates the health of the host from a packet of the caller, whose previous
 * packet arrived at @previous_packet_ns.
 */
static void flow_observe(struct steering *steering, struct cached_flow *flow,
			 const struct packet_fields *fields,
			 int64_t previous_packet_ns, int64_t now_ns)
{
	struct host_health *health = &flow->host->health;
	bool is_first = flow->state == FLOW_OPENING;
	bool is_acknowledging =
		is_after(fields->tcp_acknowledgement, flow->acknowledged);

	if (!is_first && !is_acknowledging) {
		if (is_beyond_window(flow, fields)) {
			flow->retransmissions = 0;
			monitor_progress(steering, flow->host, now_ns);
		} else if (is_retransmission(flow, fields,
					     now_ns - previous_packet_ns)) {
			flow->retransmissions++;
			monitor_retransmission(steering, flow->host, now_ns);
		}
		return;
	}
	flow->retransmissions = 0;
	flow_window_restart(flow, flow->sent_end);
	if (is_first)
		monitor_handshake(steering, flow, now_ns);
	if (!is_first && fields->payload_bytes > 0) {
		health_record_late_progress(health, previous_packet_ns, now_ns);
	} else {
		if (flow->pending_since_ns != 0) {
			path_record_response(&steering->path,
					     flow->pending_since_ns, now_ns);
			health_record_response(health,
					       now_ns - flow->pending_since_ns,
					       now_ns);
			load_observe_response(steering, flow, fields, now_ns);
			speed_observe(steering, flow, fields, now_ns);
		}
		monitor_progress(steering, flow->host, now_ns);
	}
	flow->pending_since_ns = 0;
}

/*
 * A response of one packet that is not full: longer ones begin with a full
 * packet. Its caller may use the flow no more, as after an error, so no later
 * packet would show the end.
 */
static bool is_whole_response(const struct cached_flow *flow,
			      const struct packet_fields *fields,
			      uint32_t length_bytes)
{
	return flow->has_request && fields->payload_bytes == 0 &&
	       length_bytes > 0 && length_bytes < TRANSPORT_PAYLOAD_BYTES_MAX;
}

/*
 * Measures the response that ends with this packet. Callers acknowledge every
 * second packet, so the end of most responses shows only in the next request or
 * in the end of the flow. Without any acknowledgement, the packet continues the
 * request, or the caller gave up.
 */
static void response_size_observe(struct steering *steering,
				  struct cached_flow *flow,
				  const struct packet_fields *fields,
				  int64_t now_ns)
{
	bool is_closing = (fields->tcp_flags & TCP_FLAG_FIN) != 0;
	uint32_t length_bytes =
		fields->tcp_acknowledgement - flow->request_acknowledged;

	if (fields->tcp_flags & TCP_FLAG_RST) {
		flow->has_request = false;
		return;
	}
	if (!is_closing && is_whole_response(flow, fields, length_bytes)) {
		response_sizes_record(steering->response_sizes, flow->host,
				      &flow->key, length_bytes, now_ns);
		flow->has_request = false;
		return;
	}
	if ((fields->payload_bytes == 0 && !is_closing) ||
	    !is_after(packet_end(fields), flow->sent_end))
		return;
	if (flow->has_request && length_bytes == 0 && !is_closing)
		return;
	if (flow->has_request && (int32_t)length_bytes > 0)
		response_sizes_record(steering->response_sizes, flow->host,
				      &flow->key, length_bytes, now_ns);
	/* The end of a response to a flow that is closing does not show. */
	flow->has_request = fields->payload_bytes > 0 && !is_closing;
	flow->request_acknowledged = fields->tcp_acknowledgement;
}

static void flow_advance(struct steering *steering, struct cached_flow *flow,
			 const struct packet_fields *fields)
{
	if (fields->payload_bytes > 0 && flow->pending_since_ns == 0) {
		flow->pending_since_ns = flow->last_packet_ns;
		zone_loads_record_request(steering->zone_loads, flow->host,
					  flow->last_packet_ns);
	}
	flow->acknowledged = fields->tcp_acknowledgement;
	if (is_after(packet_end(fields), flow->sent_end))
		flow->sent_end = packet_end(fields);
	if (fields->payload_bytes > 0 || (fields->tcp_flags & TCP_FLAG_FIN))
		flow->sequence = fields->tcp_sequence;
	if (fields->tcp_flags & (TCP_FLAG_FIN | TCP_FLAG_RST))
		cached_flow_set_state(steering->flows, flow, FLOW_CLOSING);
	else if (flow->state == FLOW_OPENING)
		cached_flow_set_state(steering->flows, flow, FLOW_OPEN);
}

static struct cached_flow *open_flow_get_or_add(
	struct steering *steering, const struct token_packet *packet,
	struct cached_flow *flow, struct known_host *host, int64_t now_ns)
{
	if (!flow) {
		flow = flow_cache_add(steering->flows, &packet->fields.key,
				      host, now_ns);
		/* New to this balancer, but maybe not to the host. */
		cached_flow_set_state(steering->flows, flow, FLOW_OPEN);
		flow->acknowledged = packet->fields.tcp_acknowledgement;
		flow_window_restart(flow, packet->fields.tcp_sequence);
		return flow;
	}
	cached_flow_set_host(flow, host);
	return flow;
}

/*
 * A drained host serves its flows for seconds after its removal, and a balancer
 * that started meanwhile does not know it. No response is better than a wrong
 * reset.
 */
static void unknown_host_handle(struct steering *steering,
				const struct token_packet *packet,
				struct steering_decision *decision)
{
	steering_decide(decision, STEERING_DROP, STEERING_NO_TOKEN, NULL);
	if (packet->token == 0)
		return;
	if (!steering->is_synced || !steering->routing) {
		steering_decide(decision, STEERING_HOLD, STEERING_NOT_READY,
				NULL);
		return;
	}
	decision->reason = STEERING_TOKEN_UNKNOWN;
	steering->options.lookup_token(steering->options.context,
				       packet->token);
}

/*
 * A caller may reuse its port at once. A late packet of the previous flow goes
 * to the host of that flow, but says nothing about the current flow, and does
 * not show that the previous host is still alive.
 */
static bool is_late_packet(const struct cached_flow *flow,
			   const struct known_host *host,
			   const struct packet_fields *fields, int64_t now_ns)
{
	int32_t distance = (int32_t)(fields->tcp_sequence - flow->sequence);

	return flow->host && flow->host != host &&
	       now_ns - flow->last_packet_ns < LATE_PACKET_NS &&
	       llabs((int64_t)distance) > FLOW_WINDOW_BYTES;
}

/* That a host does not respond shows nothing while no other host does. */
static bool is_path_open(struct steering *steering, int64_t now_ns)
{
	return probe_check_path(steering, now_ns - HEALTH_SILENCE_NS);
}

/* A drained host may serve its flows for seconds after its removal. */
static bool is_host_gone(struct steering *steering,
			 const struct cached_flow *flow, int64_t now_ns)
{
	const struct known_host *host = flow->host;

	if (!monitor_host_is_dead(host, now_ns))
		return false;
	if (!host->published.is_draining)
		return flow->retransmissions >= 1;
	return flow->retransmissions >= 2 && is_path_open(steering, now_ns);
}

static bool is_host_down(struct steering *steering,
			 const struct cached_flow *flow, int64_t now_ns)
{
	const struct host_health *health = &flow->host->health;
	/* If a probe was accepted since, the host may be back. */
	uint32_t retransmissions_min = health->is_refusing ? 1 : 2;

	return health_is_down(health, now_ns) &&
	       flow->retransmissions >= retransmissions_min &&
	       !steering_is_isolated(steering) &&
	       is_path_open(steering, now_ns);
}

static void open_flow_reset(struct steering *steering, struct cached_flow *flow,
			    enum steering_reason reason,
			    struct steering_decision *decision)
{
	steering_decide(decision, STEERING_RESET, reason, flow->host);
	flow_cache_remove(steering->flows, flow);
}

void open_flow_handle(struct steering *steering,
		      const struct token_packet *packet,
		      struct cached_flow *flow, int64_t now_ns,
		      struct steering_decision *decision)
{
	struct known_host *host = NULL;
	int64_t previous_packet_ns;

	if (packet->token != 0)
		host = host_table_find_token(steering->hosts, packet->token);
	else if (flow)
		host = flow->host;
	if (!host) {
		unknown_host_handle(steering, packet, decision);
		return;
	}
	if (flow && is_late_packet(flow, host, &packet->fields, now_ns)) {
		steering_decide(decision, STEERING_FORWARD, STEERING_TOKEN,
				host);
		return;
	}
	flow = open_flow_get_or_add(steering, packet, flow, host, now_ns);
	previous_packet_ns = flow->last_packet_ns;
	flow_cache_touch(steering->flows, flow, now_ns);
	flow_observe(steering, flow, &packet->fields, previous_packet_ns,
		     now_ns);
	response_size_observe(steering, flow, &packet->fields, now_ns);
	flow_advance(steering, flow, &packet->fields);
	steering_decide(decision, STEERING_FORWARD,
			packet->token != 0 ? STEERING_TOKEN : STEERING_CACHED,
			host);
	if (is_host_gone(steering, flow, now_ns))
		open_flow_reset(steering, flow, STEERING_HOST_REMOVED,
				decision);
	else if (is_host_down(steering, flow, now_ns))
		open_flow_reset(steering, flow, STEERING_HOST_SILENT, decision);
}
