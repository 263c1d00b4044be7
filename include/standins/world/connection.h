#ifndef PARSLEYLADDER_STANDINS_WORLD_CONNECTION_H
#define PARSLEYLADDER_STANDINS_WORLD_CONNECTION_H

/**
 * Connections of one backend server, as a kernel keeps them. It does no I/O:
 * a packet's facts go in and the reply to send comes out.
 */

#include <stdbool.h>
#include <stdint.h>

enum connection_reply {
	CONNECTION_REPLY_NONE,
	CONNECTION_REPLY_SYN_ACK,
	CONNECTION_REPLY_ANSWERS, /* to the request of the packet */
	CONNECTION_REPLY_FIN_ACK,
	CONNECTION_REPLY_RESET, /* the connection is not known here */
};

struct connection_packet {
	uint64_t flow_id;
	uint8_t protocol; /* enum packet_protocol */
	uint8_t tcp_flags; /* enum tcp_flag */
	uint32_t request_number; /* from 1; 0 = no request */
	bool is_last; /* UDP has no FIN; its last request ends the flow */
};

struct connection_result {
	enum connection_reply reply;
	bool is_new; /* the packet opened a connection */
	bool is_first_run; /* the request was not run before */
};

struct connection_table;

struct connection_table *connection_table_create(void);
void connection_table_destroy(struct connection_table *table);
/** Handles one packet that arrived at @now_ns. */
struct connection_result
connection_receive(struct connection_table *table,
		   const struct connection_packet *packet, int64_t now_ns);
/** Connections that are open, closing ones not counted. */
uint32_t connection_open_count(const struct connection_table *table);
/** Forgets connections that were closed some time before @now_ns. */
void connection_expire(struct connection_table *table, int64_t now_ns);

#endif
