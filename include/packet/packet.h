#ifndef PARSLEYLADDER_PACKET_PACKET_H
#define PARSLEYLADDER_PACKET_PACKET_H

/**
 * Addresses, flows, and the packet fields that a forwarding decision needs.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** IPv6 address, or an IPv4 address in the IPv4-mapped form ::ffff:a.b.c.d. */
struct ip_address {
	uint8_t bytes[16];
};

/** Longest text form of an address, in bytes with the terminating NUL. */
#define IP_ADDRESS_TEXT_BYTES 46

enum packet_protocol {
	PACKET_PROTOCOL_TCP = 6,
	PACKET_PROTOCOL_UDP = 17,
};

enum tcp_flag {
	TCP_FLAG_FIN = 0x01,
	TCP_FLAG_SYN = 0x02,
	TCP_FLAG_RST = 0x04,
	TCP_FLAG_ACK = 0x10,
};

/** Flow in the direction from caller to service, the one that balancers see. */
struct flow_key {
	struct ip_address caller;
	struct ip_address service;
	uint16_t caller_port; /* host byte order */
	uint16_t service_port; /* host byte order */
	uint8_t protocol; /* enum packet_protocol */
};

/** Fields of a caller's packet that a forwarding decision needs. */
struct packet_fields {
	struct flow_key key;
	uint8_t tcp_flags; /* those of enum tcp_flag */
	uint16_t payload_bytes;
	uint32_t tcp_sequence;
	uint32_t tcp_acknowledgement;
};

/** Parses the text form of an IPv4 or IPv6 address. */
bool ip_address_parse(const char *text, struct ip_address *address);
/** Writes the text form into @text of IP_ADDRESS_TEXT_BYTES; returns @text. */
const char *ip_address_print(const struct ip_address *address, char *text);
bool ip_address_is_v4(const struct ip_address *address);
/** The IPv4 address as a number in host byte order; @address must be IPv4. */
uint32_t ip_address_v4(const struct ip_address *address);
void ip_address_from_v4(uint32_t number, struct ip_address *address);
bool ip_address_equal(const struct ip_address *a, const struct ip_address *b);
bool flow_key_equal(const struct flow_key *a, const struct flow_key *b);

/** Of struct flow_key, for GHashTable. */
guint flow_key_table_hash(gconstpointer key);
gboolean flow_key_table_equal(gconstpointer left, gconstpointer right);

/** Hash of a flow, the same on each instance that uses the same @seed. */
uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed);

#endif
