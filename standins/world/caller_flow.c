#include "standins/world/caller_flow.h"

#include <string.h>

#include "common/clock.h"
#include "packet/packet.h"

/* RFC 6298: 1 s before the first round trip is measured, then doubling. */
#define SYN_RETRY_NS NS_PER_S
/* Above the round trip of 30 ms plus server time; the usual minimum is 200 ms. */
#define DATA_RETRY_NS (500 * NS_PER_MS)
#define DATA_RETRY_MAX_NS (2 * NS_PER_S)

static void flow_send(struct caller_flow *flow, uint8_t flags, uint32_t number,
		      bool is_retry)
{
	struct segment segment = {
		.flow_id = flow->id,
		.service = flow->address,
		.tcp_flags = flags,
		.request_number = number,
		.is_last = number != 0 && number == flow->shape.request_count,
		.payload_bytes = flow->shape.payload_bytes,
	};

	if (flow->address.protocol == PACKET_PROTOCOL_UDP) {
		if (number == 0)
			return;
		segment.tcp_flags = 0;
	}
	flow->output->send(flow->output->context, flow, &segment, is_retry);
}

static void flow_finish(struct caller_flow *flow, enum flow_end end)
{
	flow->state = FLOW_ENDED;
	flow->end = end;
}

/* Evenly spread number in [0, 1) that depends on the flow only. */
static double flow_phase(const struct caller_flow *flow)
{
	return (double)(segment_answer_check(flow->id, 0, 0) % 1000) / 1000;
}

static void flow_establish(struct caller_flow *flow, int64_t now_ns)
{
	flow->state = FLOW_OPEN;
	flow->opened_ns = now_ns;
	flow->next_request_ns = now_ns;
	/* Sessions that open together must not all ask at the same instant. */
	if (flow->shape.request_count == 0 && flow->shape.requests_per_s > 0)
		flow->next_request_ns +=
			(int64_t)((double)NS_PER_S * flow_phase(flow) /
				  flow->shape.requests_per_s);
}

void caller_flow_start(struct caller_flow *flow, int64_t now_ns)
{
	flow->next_number = 1;
	if (flow->address.protocol == PACKET_PROTOCOL_UDP) {
		flow_establish(flow, now_ns);
		return;
	}
	flow->state = FLOW_CONNECTING;
	flow->asked_ns = now_ns;
	flow->retry_wait_ns = SYN_RETRY_NS;
	flow->retry_ns = now_ns + flow->retry_wait_ns;
	flow_send(flow, TCP_FLAG_SYN, 0, false);
}

static void request_send_new(struct caller_flow *flow, int64_t now_ns)
{
	struct flow_request *request = &flow->requests[flow->request_count++];

	*request = (struct flow_request){
		.number = flow->next_number++,
		.asked_ns = now_ns,
		.retry_wait_ns = DATA_RETRY_NS,
		.retry_ns = now_ns + DATA_RETRY_NS,
	};
	flow_send(flow, TCP_FLAG_ACK, request->number, false);
}

static bool flow_has_more(const struct caller_flow *flow)
{
	return !flow->wants_close &&
	       (flow->shape.request_count == 0 ||
		flow->next_number <= flow->shape.request_count);
}

static void requests_send_due(struct caller_flow *flow, int64_t now_ns)
{
	while (flow_has_more(flow) && flow->request_count < FLOW_WINDOW) {
		if (flow->requests_due > 0) {
			flow->requests_due--;
			request_send_new(flow, now_ns);
			continue;
		}
		if (flow->shape.requests_per_s <= 0 ||
		    flow->next_request_ns > now_ns)
			return;
		flow->next_request_ns += (int64_t)((double)NS_PER_S /
						   flow->shape.requests_per_s);
		request_send_new(flow, now_ns);
	}
	/* A full window delays requests; it does not pile them up. */
	if (flow->next_request_ns < now_ns)
		flow->next_request_ns = now_ns;
}

static void requests_repeat(struct caller_flow *flow, int64_t now_ns,
			    bool is_path_up)
{
	for (uint32_t i = 0; i < flow->request_count; i++) {
		struct flow_request *request = &flow->requests[i];

		if (!is_path_up)
			request->asked_ns = now_ns;
		if (now_ns - request->asked_ns > FLOW_PATIENCE_NS) {
			flow_finish(flow, FLOW_END_UNANSWERED);
			return;
		}
		if (now_ns < request->retry_ns)
			continue;
		request->retry_wait_ns =
			MIN(2 * request->retry_wait_ns, DATA_RETRY_MAX_NS);
		request->retry_ns = now_ns + request->retry_wait_ns;
		flow_send(flow, TCP_FLAG_ACK, request->number, true);
	}
}

static void flow_close(struct caller_flow *flow, int64_t now_ns)
{
	if (flow->address.protocol == PACKET_PROTOCOL_UDP) {
		flow_finish(flow, FLOW_END_NORMAL);
		return;
	}
	if (flow->shape.ends_with_reset) {
		flow_send(flow, TCP_FLAG_RST | TCP_FLAG_ACK, 0, false);
		flow_finish(flow, FLOW_END_NORMAL);
		return;
	}
	flow->state = FLOW_CLOSING;
	flow->asked_ns = now_ns;
	flow->retry_wait_ns = DATA_RETRY_NS;
	flow->retry_ns = now_ns + flow->retry_wait_ns;
	flow_send(flow, TCP_FLAG_FIN | TCP_FLAG_ACK, 0, false);
}

/* SYN or FIN without an answer so far. */
static void flow_repeat(struct caller_flow *flow, int64_t now_ns,
			bool is_path_up)
{
	bool is_connecting = flow->state == FLOW_CONNECTING;

	if (!is_path_up)
		flow->asked_ns = now_ns;
	if (now_ns - flow->asked_ns > FLOW_PATIENCE_NS) {
		flow_finish(flow, is_connecting ? FLOW_END_NOT_OPENED
						: FLOW_END_UNCONFIRMED);
		return;
	}
	if (now_ns < flow->retry_ns)
		return;
	flow->retry_wait_ns *= 2;
	flow->retry_ns = now_ns + flow->retry_wait_ns;
	flow_send(flow,
		  is_connecting ? TCP_FLAG_SYN : TCP_FLAG_FIN | TCP_FLAG_ACK, 0,
		  true);
}

void caller_flow_tick(struct caller_flow *flow, int64_t now_ns, bool is_path_up)
{
	switch (flow->state) {
	case FLOW_CONNECTING:
	case FLOW_CLOSING:
		flow_repeat(flow, now_ns, is_path_up);
		break;
	case FLOW_OPEN:
		requests_repeat(flow, now_ns, is_path_up);
		if (flow->state != FLOW_OPEN)
			return;
		requests_send_due(flow, now_ns);
		if (flow->request_count == 0 && !flow_has_more(flow))
			flow_close(flow, now_ns);
		break;
	case FLOW_ENDED:
		break;
	}
}

static void answer_receive(struct caller_flow *flow, const struct reply *reply)
{
	struct flow_request *request = NULL;

	for (uint32_t i = 0; i < flow->request_count; i++)
		if (flow->requests[i].number == reply->request_number)
			request = &flow->requests[i];
	if (reply->check != segment_answer_check(flow->id,
						 reply->request_number,
						 reply->answer_index)) {
		flow->answers_wrong++;
		return;
	}
	if (!request)
		return; /* a repeated answer to a completed request */
	request->answer_bits |= 1U << reply->answer_index;
	if (request->answer_bits != (1U << reply->answer_count) - 1)
		return;
	flow->answers_received++;
	*request = flow->requests[--flow->request_count];
	flow_send(flow, TCP_FLAG_ACK, 0, false);
}

static void reset_receive(struct caller_flow *flow, const struct reply *reply)
{
	bool is_refusal = reply->kind == REPLY_REFUSAL;

	if (flow->state == FLOW_CLOSING)
		flow_finish(flow, FLOW_END_NORMAL);
	else if (flow->state == FLOW_CONNECTING)
		flow_finish(flow, is_refusal ? FLOW_END_REFUSED
					     : FLOW_END_NOT_OPENED);
	else if (is_refusal && flow->address.protocol == PACKET_PROTOCOL_UDP &&
		 flow->answers_received == 0)
		flow_finish(flow, FLOW_END_REFUSED);
	else
		flow_finish(flow, FLOW_END_RESET);
}

void caller_flow_receive(struct caller_flow *flow, const struct reply *reply,
			 int64_t now_ns)
{
	switch (reply->kind) {
	case REPLY_SYN_ACK:
		if (flow->state == FLOW_CONNECTING)
			flow_establish(flow, now_ns);
		if (flow->state == FLOW_OPEN)
			flow_send(flow, TCP_FLAG_ACK, 0, false);
		break;
	case REPLY_ANSWER:
		if (flow->state == FLOW_OPEN)
			answer_receive(flow, reply);
		break;
	case REPLY_FIN_ACK:
		if (flow->state == FLOW_CLOSING)
			flow_finish(flow, FLOW_END_NORMAL);
		break;
	case REPLY_RESET:
	case REPLY_REFUSAL:
		reset_receive(flow, reply);
		break;
	}
}

uint32_t caller_flow_incomplete(const struct caller_flow *flow)
{
	uint32_t incomplete = 0;

	for (uint32_t i = 0; i < flow->request_count; i++)
		incomplete += flow->requests[i].answer_bits != 0;
	return incomplete;
}

int64_t caller_flow_age_ns(const struct caller_flow *flow, int64_t now_ns)
{
	int64_t oldest_ns = now_ns;

	for (uint32_t i = 0; i < flow->request_count; i++)
		oldest_ns = MIN(oldest_ns, flow->requests[i].asked_ns);
	return oldest_ns - flow->opened_ns;
}
