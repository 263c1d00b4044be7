#ifndef PARSLEYLADDER_STANDINS_WORLD_CALLER_FLOW_H
#define PARSLEYLADDER_STANDINS_WORLD_CALLER_FLOW_H

/**
 * Caller's end of one flow. It does no I/O: packets leave through a callback,
 * and the time is passed in.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "standins/world/segment.h"

/** Requests that a flow may have unanswered at a time. */
#define FLOW_WINDOW 4

/** A request or SYN unanswered for this long has failed. */
#define FLOW_PATIENCE_NS (10 * NS_PER_S)

enum flow_state {
	FLOW_CONNECTING,
	FLOW_OPEN,
	FLOW_CLOSING,
	FLOW_ENDED,
};

enum flow_end {
	FLOW_END_NORMAL,
	FLOW_END_UNCONFIRMED, /* no answer to the FIN in time */
	FLOW_END_REFUSED, /* by a balancer, before it was established */
	FLOW_END_NOT_OPENED, /* no SYN-ACK in time */
	FLOW_END_RESET,
	FLOW_END_UNANSWERED, /* a request without complete answer in time */
};

/** How a flow behaves once it is open. */
struct flow_shape {
	double requests_per_s;
	uint32_t request_count; /* then the flow ends; 0 = no end */
	uint16_t payload_bytes;
	bool ends_with_reset;
};

struct flow_request {
	uint32_t number;
	uint32_t answer_bits;
	int64_t asked_ns; /* first sent, moved on while the path is down */
	int64_t retry_ns;
	int64_t retry_wait_ns;
};

struct caller_flow;

struct flow_output {
	void (*send)(void *context, const struct caller_flow *flow,
		     const struct segment *segment, bool is_retry);
	void *context;
};

struct caller_flow {
	uint64_t id; /* FLOW_ID() */
	uint32_t service;
	struct catalogue_address address;
	GQuark zone; /* of the caller; matters while zones are cut */
	struct flow_shape shape;
	const struct flow_output *output;

	enum flow_state state;
	enum flow_end end; /* valid once ended */
	bool wants_close;
	bool reopens; /* a new flow of the same shape follows */
	int64_t opened_ns; /* when established */
	int64_t asked_ns; /* first SYN or FIN */
	int64_t retry_ns;
	int64_t retry_wait_ns;
	int64_t next_request_ns;
	uint32_t requests_due; /* by caller_flow_send(), besides the rate */
	uint32_t next_number;
	uint32_t answers_received;
	uint32_t answers_wrong;
	uint32_t request_count;
	struct flow_request requests[FLOW_WINDOW];
};

/** Sends the SYN, or opens a UDP flow. The fields above state are set. */
void caller_flow_start(struct caller_flow *flow, int64_t now_ns);
/** Sends what is due. Waiting times stand still while @is_path_up is false. */
void caller_flow_tick(struct caller_flow *flow, int64_t now_ns,
		      bool is_path_up);
void caller_flow_receive(struct caller_flow *flow, const struct reply *reply,
			 int64_t now_ns);
/** Requests with a part of their answers, at the end of a flow. */
uint32_t caller_flow_incomplete(const struct caller_flow *flow);
/** Age of the flow at its oldest unanswered request, or at @now_ns. */
int64_t caller_flow_age_ns(const struct caller_flow *flow, int64_t now_ns);

#endif
