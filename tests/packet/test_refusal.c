/*
 * Guards against refusals that a caller ignores (wrong checksum, sequence
 * number or address) and against answers to packets that must have none.
 */

#include <string.h>

#include "samples.h"

static const struct {
	uint8_t flags;
	uint8_t payload_bytes;
	uint8_t expected_flags; /* 0 if there is no answer */
	uint32_t expected_sequence;
	uint32_t expected_acknowledgement;
} resets[] = {
	/* Sequence number 0xfffffffe, acknowledgement number 5000. */
	{ TCP_FLAG_SYN, 0, TCP_FLAG_RST | TCP_FLAG_ACK, 0, 0xffffffff },
	{ TCP_FLAG_SYN, 7, TCP_FLAG_RST | TCP_FLAG_ACK, 0, 6 },
	{ TCP_FLAG_FIN, 7, TCP_FLAG_RST | TCP_FLAG_ACK, 0, 6 },
	{ 0, 7, TCP_FLAG_RST | TCP_FLAG_ACK, 0, 5 },
	{ TCP_FLAG_ACK, 7, TCP_FLAG_RST, 5000, 0 },
	{ TCP_FLAG_SYN | TCP_FLAG_ACK, 0, TCP_FLAG_RST, 5000, 0 },
	{ TCP_FLAG_FIN | TCP_FLAG_ACK, 0, TCP_FLAG_RST, 5000, 0 },
	{ TCP_FLAG_RST, 0, 0, 0, 0 },
	{ TCP_FLAG_RST | TCP_FLAG_ACK, 0, 0, 0, 0 },
};

static uint32_t word(const uint8_t *bytes)
{
	return (uint32_t)bytes[0] << 24 | bytes[1] << 16 | bytes[2] << 8 |
	       bytes[3];
}

static size_t refusal_build(const uint8_t *packet, size_t length,
			    uint8_t *refusal)
{
	struct packet_facts facts;

	ck_assert_int_eq(packet_parse(packet, length, &facts), PACKET_OK);
	return packet_build_refusal(packet, length, &facts, refusal);
}

static void reset_check(enum sample sample, int row)
{
	struct flow_key key = sample_key(sample);
	struct packet_fields fields = {
		.source = key.caller,
		.destination = key.service,
		.source_port = key.caller_port,
		.destination_port = key.service_port,
		.protocol = PACKET_PROTOCOL_TCP,
		.tcp_flags = resets[row].flags,
		.tcp_sequence = 0xfffffffe,
		.tcp_acknowledgement = 5000,
		.payload = (const uint8_t *)"reading",
		.payload_bytes = resets[row].payload_bytes,
	};
	uint8_t packet[SAMPLE_BYTES], refusal[PACKET_REFUSAL_BYTES];
	size_t length = packet_build(&fields, packet, sizeof(packet));
	size_t ip_bytes = sample == SAMPLE_TCP4 ? 20 : 40;
	const uint8_t *tcp = refusal + ip_bytes;
	struct packet_facts facts;

	length = refusal_build(packet, length, refusal);
	if (resets[row].expected_flags == 0) {
		ck_assert_uint_eq(length, 0);
		return;
	}
	ck_assert_uint_eq(length, ip_bytes + 20);
	ck_assert_uint_eq(sample_checksum(refusal, length), 0);
	ck_assert_uint_eq(tcp[13], resets[row].expected_flags);
	ck_assert_uint_eq(word(tcp + 4), resets[row].expected_sequence);
	ck_assert_uint_eq(word(tcp + 8), resets[row].expected_acknowledgement);
	/* Sent by the service to the caller. */
	ck_assert_int_eq(packet_parse(refusal, length, &facts), PACKET_OK);
	ck_assert(ip_address_equal(&facts.key.caller, &key.service));
	ck_assert(ip_address_equal(&facts.key.service, &key.caller));
	ck_assert_uint_eq(facts.key.caller_port, key.service_port);
	ck_assert_uint_eq(facts.key.service_port, key.caller_port);
}

START_TEST(tcp_reset) {
	reset_check(SAMPLE_TCP4, _i);
	reset_check(SAMPLE_TCP6, _i);
}
END_TEST

static const struct {
	enum sample sample;
	size_t payload_bytes;
	size_t refusal_bytes;
} prohibitions[] = {
	{ SAMPLE_UDP4, 0, 28 + 28 },
	{ SAMPLE_UDP4, 520, 28 + 548 },
	{ SAMPLE_UDP4, 521, 576 }, /* limit of RFC 1812, 4.3.2.3 */
	{ SAMPLE_UDP4, 1400, 576 },
	{ SAMPLE_UDP6, 0, 48 + 48 },
	{ SAMPLE_UDP6, 1184, 1280 },
	{ SAMPLE_UDP6, 1400, 1280 }, /* limit of RFC 4443, 2.4 (c) */
};

START_TEST(udp_prohibited) {
	struct flow_key key = sample_key(prohibitions[_i].sample);
	bool is_v4 = prohibitions[_i].sample == SAMPLE_UDP4;
	uint8_t packet[1500], refusal[PACKET_REFUSAL_BYTES], payload[1400];
	size_t icmp_at = is_v4 ? 20 : 40;
	struct packet_fields fields = {
		.source = key.caller,
		.destination = key.service,
		.source_port = key.caller_port,
		.destination_port = key.service_port,
		.protocol = PACKET_PROTOCOL_UDP,
		.payload = payload,
		.payload_bytes = prohibitions[_i].payload_bytes,
	};
	size_t length;

	memset(payload, 0x5a, sizeof(payload));
	length = packet_build(&fields, packet, sizeof(packet));
	/* Bytes after the packet are not quoted. */
	length = refusal_build(packet, length + 2, refusal);
	ck_assert_uint_eq(length, prohibitions[_i].refusal_bytes);
	ck_assert_uint_eq(sample_checksum(refusal, length), 0);
	ck_assert_uint_eq(refusal[icmp_at], is_v4 ? 3 : 1);
	ck_assert_uint_eq(refusal[icmp_at + 1], is_v4 ? 13 : 1);
	ck_assert_mem_eq(refusal + icmp_at + 8, packet, length - icmp_at - 8);
	ck_assert_mem_eq(refusal + (is_v4 ? 16 : 24),
			 key.caller.bytes + (is_v4 ? 12 : 0), is_v4 ? 4 : 16);
}
END_TEST

START_TEST(icmp_error_is_not_answered) {
	uint8_t packet[SAMPLE_BYTES], refusal[PACKET_REFUSAL_BYTES];
	size_t length = sample_build(_i, packet);

	ck_assert_uint_eq(refusal_build(packet, length, refusal), 0);
}
END_TEST

START_TEST(multicast_is_not_answered) {
	uint8_t packet[SAMPLE_BYTES], refusal[PACKET_REFUSAL_BYTES];
	size_t length = sample_build(_i, packet);

	packet[_i == SAMPLE_UDP4 ? 16 : 24] = _i == SAMPLE_UDP4 ? 224 : 0xff;
	ck_assert_uint_eq(refusal_build(packet, length, refusal), 0);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("refusal");

	tcase_add_loop_test(tests, tcp_reset, 0,
			    sizeof(resets) / sizeof(resets[0]));
	tcase_add_loop_test(tests, udp_prohibited, 0,
			    sizeof(prohibitions) / sizeof(prohibitions[0]));
	tcase_add_loop_test(tests, icmp_error_is_not_answered,
			    SAMPLE_ICMP4_ERROR, SAMPLE_ICMP6_ERROR + 1);
	tcase_add_loop_test(tests, multicast_is_not_answered, SAMPLE_UDP4,
			    SAMPLE_UDP4 + 1);
	tcase_add_loop_test(tests, multicast_is_not_answered, SAMPLE_UDP6,
			    SAMPLE_UDP6 + 1);
	return sample_run("refusal", tests);
}
