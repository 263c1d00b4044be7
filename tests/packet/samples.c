#include "samples.h"

#include <stdlib.h>
#include <string.h>

static const struct {
	bool is_v6;
	bool is_udp;
} kinds[SAMPLES] = {
	[SAMPLE_UDP4] = { .is_udp = true },
	[SAMPLE_TCP6] = { .is_v6 = true },
	[SAMPLE_UDP6] = { .is_v6 = true, .is_udp = true },
	[SAMPLE_TCP6_EXTENSIONS] = { .is_v6 = true },
	[SAMPLE_ICMP4_ERROR] = { .is_udp = true },
	[SAMPLE_ICMP6_ERROR] = { .is_v6 = true },
};

struct flow_key sample_key(enum sample sample)
{
	struct flow_key key = {
		.caller_port = 40000,
		.service_port = 443,
		.protocol = kinds[sample].is_udp ? PACKET_PROTOCOL_UDP
						 : PACKET_PROTOCOL_TCP,
	};

	ip_address_parse(kinds[sample].is_v6 ? "2001:db8::c" : "198.51.100.7",
			 &key.caller);
	ip_address_parse(kinds[sample].is_v6 ? "2001:db8:1::5" : "203.0.113.5",
			 &key.service);
	return key;
}

static size_t plain_build(const struct flow_key *key, bool is_response,
			  uint8_t *packet, size_t capacity)
{
	struct packet_fields fields = {
		.source = is_response ? key->service : key->caller,
		.destination = is_response ? key->caller : key->service,
		.source_port = is_response ? key->service_port
					   : key->caller_port,
		.destination_port = is_response ? key->caller_port
						: key->service_port,
		.protocol = key->protocol,
		.tcp_flags = TCP_FLAG_ACK,
		.tcp_sequence = 0x11223344,
		.tcp_acknowledgement = 0x55667788,
		.tcp_window = 1000,
		.payload = (const uint8_t *)"reading",
		.payload_bytes = 7,
	};

	return packet_build(&fields, packet, capacity);
}

/* Inserts @bytes after the IP header and raises the length fields. */
static size_t header_insert(uint8_t *packet, size_t length,
			    const uint8_t *bytes, size_t count)
{
	bool is_v4 = packet[0] >> 4 == 4;
	size_t at = is_v4 ? 20 : 40;

	memmove(packet + at + count, packet + at, length - at);
	memcpy(packet + at, bytes, count);
	if (is_v4)
		packet[0] += count / 4;
	packet[is_v4 ? 3 : 5] += count;
	return length + count;
}

/* Wraps the start of a response in an ICMP error from a router. */
static size_t icmp_build(const struct flow_key *key, uint8_t *packet)
{
	bool is_v4 = ip_address_is_v4(&key->caller);
	size_t header_bytes = is_v4 ? 20 : 40;
	uint8_t *icmp = packet + header_bytes;
	struct ip_address router;

	ip_address_parse(is_v4 ? "192.0.2.1" : "2001:db8:ffff::1", &router);
	packet_build_ip_header(&router, &key->service, is_v4 ? 1 : 58, 64,
			       8 + header_bytes + 8, packet);
	memset(icmp, 0, 8);
	icmp[0] = is_v4 ? 3 : 2;
	icmp[1] = is_v4 ? 4 : 0;
	plain_build(key, true, icmp + 8, SAMPLE_BYTES - header_bytes - 8);
	return 2 * header_bytes + 16;
}

size_t sample_build(enum sample sample, uint8_t packet[SAMPLE_BYTES])
{
	/* Record route with padding. */
	static const uint8_t options[8] = { 7, 7, 4 };
	/* Hop-by-hop, destination options, atomic fragment header. */
	static const uint8_t extensions[24] = { 60, 0, 1, 4, 0, 0, 0, 0,
						44, 0, 1, 4, 0, 0, 0, 0,
						6,  0, 0, 0, 0, 0, 0, 9 };
	struct flow_key key = sample_key(sample);
	size_t length;

	if (sample == SAMPLE_ICMP4_ERROR || sample == SAMPLE_ICMP6_ERROR)
		return icmp_build(&key, packet);
	length = plain_build(&key, false, packet, SAMPLE_BYTES);
	if (sample == SAMPLE_TCP4_OPTIONS)
		return header_insert(packet, length, options, sizeof(options));
	if (sample != SAMPLE_TCP6_EXTENSIONS)
		return length;
	packet[6] = 0;
	return header_insert(packet, length, extensions, sizeof(extensions));
}

static uint32_t words_add(uint32_t sum, const uint8_t *bytes, size_t length)
{
	for (size_t i = 0; i < length; i++)
		sum += i % 2 == 0 ? bytes[i] * 256u : bytes[i];
	return sum;
}

/* RFC 1071: the sum over everything, checksum included, is all ones. */
uint16_t sample_checksum(const uint8_t *packet, size_t length)
{
	bool is_v4 = packet[0] >> 4 == 4;
	size_t header_bytes = is_v4 ? 20 : 40;
	uint8_t protocol = packet[is_v4 ? 9 : 6];
	uint32_t sum = 0;

	if (protocol != 1) {
		sum = protocol + (uint32_t)(length - header_bytes);
		sum = words_add(sum, packet + (is_v4 ? 12 : 8), is_v4 ? 8 : 32);
	}
	sum = words_add(sum, packet + header_bytes, length - header_bytes);
	sum = sum % 0xffff;
	return sum == 0 ? 0 : (uint16_t)(0xffff - sum);
}

int sample_run(const char *name, TCase *tests)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
