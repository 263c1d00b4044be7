#ifndef PARSLEYLADDER_STANDINS_WORLD_SEGMENT_H
#define PARSLEYLADDER_STANDINS_WORLD_SEGMENT_H

/**
 * Packets that callers send and replies that they receive. Packets towards
 * services are real bytes, because balancers see them. Replies of backend
 * servers bypass balancers and stay in this process as structs.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standins/world/catalogue.h"
#include "standins/world/connection.h"

/** Longest packet that a caller sends, in bytes. */
#define SEGMENT_BYTES 1400

struct segment {
	uint64_t flow_id; /* holds the caller's address and port */
	struct catalogue_address service;
	uint8_t tcp_flags; /* enum tcp_flag, 0 for UDP */
	uint32_t request_number; /* from 1; 0 = no payload */
	bool is_last;
	uint16_t payload_bytes;
};

/** Returns the length of the inner IPv4 packet, 0 if it does not fit. */
size_t segment_build(const struct segment *segment,
		     uint8_t buffer[SEGMENT_BYTES]);
/** Reads what a host needs of a packet; false if it is not one of ours. */
bool segment_read(const uint8_t *data, size_t length,
		  struct connection_packet *packet);

enum reply_kind {
	REPLY_SYN_ACK,
	REPLY_ANSWER,
	REPLY_FIN_ACK,
	REPLY_RESET, /* by a backend server */
	REPLY_REFUSAL, /* RST or ICMP by a balancer */
};

struct reply {
	uint64_t flow_id;
	enum reply_kind kind;
	uint32_t request_number;
	uint8_t answer_index;
	uint8_t answer_count;
	uint64_t check; /* segment_answer_check() of the request */
};

/** Parts of the answer to one request: 1 to 3, the same for each sender. */
uint8_t segment_answer_count(uint64_t flow_id, uint32_t request_number);
uint64_t segment_answer_check(uint64_t flow_id, uint32_t request_number,
			      uint8_t answer_index);
/**
 * Reads a refusal that a balancer sent towards a caller. False if it is
 * neither a RST that the caller's kernel would accept (RFC 9293, 3.5.3) nor an
 * ICMP "administratively prohibited" for a packet of the caller.
 */
bool segment_read_refusal(const uint8_t *data, size_t length,
			  struct reply *reply);

#endif
