/* Guards against built packets that a backend server would reject. */

#include <string.h>

#include "samples.h"

START_TEST(checksums_are_right) {
	uint8_t packet[SAMPLE_BYTES];
	size_t length = sample_build(_i, packet);

	ck_assert_uint_eq(sample_checksum(packet, length), 0);
	if (packet[0] >> 4 == 4) {
		uint32_t sum = 0;

		for (int i = 0; i < 20; i += 2)
			sum += packet[i] * 256u + packet[i + 1];
		ck_assert_uint_eq(sum % 0xffff, 0);
	}
}
END_TEST

/* Checksums computed apart from this code, after RFC 791 and RFC 768. */
START_TEST(known_packet) {
	static const uint8_t expected[] = {
		0x45, 0x00, 0x00, 0x1e, 0x00, 0x00, 0x40, 0x00, 0x40, 0x11,
		0x4e, 0x99, 0xc0, 0x00, 0x02, 0x01, 0xc6, 0x33, 0x64, 0x01,
		0x10, 0x00, 0x00, 0x50, 0x00, 0x0a, 0x9a, 0xea, 0x68, 0x69,
	};
	struct packet_fields fields = {
		.source_port = 0x1000,
		.destination_port = 80,
		.protocol = PACKET_PROTOCOL_UDP,
		.payload = (const uint8_t *)"hi",
		.payload_bytes = 2,
	};
	uint8_t packet[SAMPLE_BYTES];

	ip_address_parse("192.0.2.1", &fields.source);
	ip_address_parse("198.51.100.1", &fields.destination);
	ck_assert_uint_eq(packet_build(&fields, packet, sizeof(packet)),
			  sizeof(expected));
	ck_assert_mem_eq(packet, expected, sizeof(expected));
}
END_TEST

/* A checksum that comes out as 0 is sent as 0xffff (RFC 768). */
START_TEST(udp_checksum_is_never_zero) {
	struct flow_key key = sample_key(SAMPLE_UDP4);
	uint8_t packet[SAMPLE_BYTES], payload[2] = { 0, 0 };
	struct packet_fields fields = {
		.source = key.caller,
		.destination = key.service,
		.protocol = PACKET_PROTOCOL_UDP,
		.payload = payload,
		.payload_bytes = 2,
	};
	size_t length = packet_build(&fields, packet, sizeof(packet));

	/* With the former checksum as payload, the sum becomes 0xffff. */
	memcpy(payload, packet + 26, 2);
	ck_assert_uint_eq(packet_build(&fields, packet, sizeof(packet)),
			  length);
	ck_assert_uint_eq(packet[26], 0xff);
	ck_assert_uint_eq(packet[27], 0xff);
}
END_TEST

START_TEST(impossible_packet_is_refused) {
	struct flow_key v4 = sample_key(SAMPLE_UDP4);
	struct flow_key v6 = sample_key(SAMPLE_UDP6);
	static uint8_t large[65536];
	uint8_t packet[SAMPLE_BYTES];
	struct packet_fields fields = {
		.source = v4.caller,
		.destination = v4.service,
		.protocol = PACKET_PROTOCOL_UDP,
	};

	ck_assert_uint_eq(packet_build(&fields, packet, 27), 0);
	ck_assert_uint_eq(packet_build(&fields, packet, 28), 28);
	fields.protocol = 47;
	ck_assert_uint_eq(packet_build(&fields, packet, sizeof(packet)), 0);
	fields.protocol = PACKET_PROTOCOL_TCP;
	fields.destination = v6.service;
	ck_assert_uint_eq(packet_build(&fields, packet, sizeof(packet)), 0);
	fields.destination = v4.service;
	fields.payload = large;
	fields.payload_bytes = 65535 - 39;
	ck_assert_uint_eq(packet_build(&fields, large, sizeof(large)), 0);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("build");

	tcase_add_loop_test(tests, checksums_are_right, 0, SAMPLE_TCP4_OPTIONS);
	tcase_add_test(tests, known_packet);
	tcase_add_test(tests, udp_checksum_is_never_zero);
	tcase_add_test(tests, impossible_packet_is_refused);
	return sample_run("build", tests);
}
