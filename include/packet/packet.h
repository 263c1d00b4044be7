#ifndef PARSLEYLADDER_PACKET_PACKET_H
#define PARSLEYLADDER_PACKET_PACKET_H

/**
 * Bounds-checked view of an IP packet: the facts that a forwarding decision
 * needs. Sources: RFC 791, RFC 8200, RFC 9293, RFC 768, RFC 792, RFC 4443.
 */

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

/** Named outcome of parsing, one counter each. */
enum packet_outcome {
	PACKET_OK,
	PACKET_TRUNCATED, /* shorter than its headers or lengths claim */
	PACKET_BAD_HEADER, /* a header field has an impossible value */
	PACKET_FRAGMENT, /* IP fragment; ports are not known */
	PACKET_MARTIAN, /* source address that cannot be a caller: loopback,
			   unspecified, link-local, multicast, reserved,
			   IPv4-mapped, or the destination itself */
	PACKET_UNSUPPORTED, /* protocol or extension that is not balanced */
	PACKET_TTL_EXPIRED, /* time to live or hop limit is 0 */
	PACKET_OUTCOMES,
};

/** Caller's side of a flow: the direction in which balancers see packets. */
struct flow_key {
	struct ip_address caller;
	struct ip_address service;
	uint16_t caller_port; /* host byte order */
	uint16_t service_port; /* host byte order */
	uint8_t protocol; /* enum packet_protocol */
};

struct packet_facts {
	struct flow_key key;
	uint8_t ip_version; /* 4 or 6 */
	uint8_t tcp_flags; /* those of enum tcp_flag; 0 for UDP */
	bool is_icmp_error; /* key is that of the embedded packet */
	uint16_t payload_bytes; /* transport payload; 0 for an ICMP error */
	uint32_t tcp_sequence;
	uint32_t tcp_acknowledgement;
};

/** Name of an outcome as printed in counters. */
const char *packet_outcome_name(enum packet_outcome outcome);

/**
 * Parses the @length bytes of the IP packet at @data. @facts is valid only if
 * PACKET_OK is returned. An ICMP error is given the key of the flow that its
 * embedded packet belongs to, seen from the caller, so that it reaches the
 * backend server of that flow. Checksums are not verified: the backend server
 * does that, and the UDP checksum of the outer packet covers the way here.
 */
enum packet_outcome packet_parse(const uint8_t *data, size_t length,
				 struct packet_facts *facts);

/** Parses the text form of an IPv4 or IPv6 address. */
bool ip_address_parse(const char *text, struct ip_address *address);
/** Writes the text form into @text of IP_ADDRESS_TEXT_BYTES; returns @text. */
const char *ip_address_print(const struct ip_address *address, char *text);
bool ip_address_is_v4(const struct ip_address *address);
/** The IPv4 address as a number in host byte order; is_v4 must hold. */
uint32_t ip_address_v4(const struct ip_address *address);
void ip_address_from_v4(uint32_t number, struct ip_address *address);
bool ip_address_equal(const struct ip_address *a, const struct ip_address *b);

/** Hash of a flow, the same on each instance that uses the same @seed. */
uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed);

/**
 * Largest refusal packet, in bytes: the minimum IPv6 MTU, which RFC 4443
 * section 2.4 (c) requires an ICMPv6 error to fill if the packet is longer.
 */
#define PACKET_REFUSAL_BYTES 1280

/**
 * Builds the refusal towards the caller for the packet at @data: a TCP RST
 * (RFC 9293, 3.10.7.1), or an ICMP "administratively prohibited" for UDP.
 * @data, @length and @facts are those of a packet_parse() that returned
 * PACKET_OK. Returns the length in bytes, 0 if the packet must not be answered
 * (a RST, an ICMP error, or a multicast destination).
 */
size_t packet_build_refusal(const uint8_t *data, size_t length,
			    const struct packet_facts *facts,
			    uint8_t refusal[PACKET_REFUSAL_BYTES]);

#endif
