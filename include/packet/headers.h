#ifndef PARSLEYLADDER_PACKET_HEADERS_H
#define PARSLEYLADDER_PACKET_HEADERS_H

/**
 * Sizes and field values of IP headers, shared by the parser, the refusals and
 * the builder.
 */

#define IPV4_HEADER_BYTES 20
#define IPV6_HEADER_BYTES 40
#define TCP_HEADER_BYTES 20
#define UDP_HEADER_BYTES 8
#define ICMP_HEADER_BYTES 8

/* Initial time to live recommended by RFC 1700 and used for RFC 8200 too. */
#define IP_DEFAULT_TTL 64

enum ip_next_header {
	IP_HOP_BY_HOP = 0,
	IP_ICMP = 1,
	IP_ROUTING = 43,
	IP_FRAGMENT = 44,
	IP_ICMPV6 = 58,
	IP_DESTINATION_OPTIONS = 60,
};

/* RFC 792, RFC 1122 3.2.2 and RFC 1812 5.2.7.1. */
enum icmp_type {
	ICMP_UNREACHABLE = 3,
	ICMP_TIME_EXCEEDED = 11,
	ICMP_PARAMETER_PROBLEM = 12,
};

#define ICMP_CODE_PROHIBITED 13

/* RFC 4443; types below 128 are errors. */
enum icmpv6_type {
	ICMPV6_UNREACHABLE = 1,
	ICMPV6_PACKET_TOO_BIG = 2,
	ICMPV6_TIME_EXCEEDED = 3,
	ICMPV6_PARAMETER_PROBLEM = 4,
};

#define ICMPV6_CODE_PROHIBITED 1

#endif
