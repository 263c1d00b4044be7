/*
 * Guards against fields read or written at a wrong offset, SYN-ACKs of hosts
 * taken for packets of callers, and reads beyond the end of a short datagram.
 */

#include <check.h>
#include <string.h>

#include "platform/datagram.h"
#include "suite.h"

/* 192.0.2.9:1025 to 198.51.100.3:8443, 2 bytes of data. */
static const uint8_t data_packet[] = {
	0xde, 0xad, 0xbe, 0xef, 0x00, 0x02, 0x00, 0x00, 0x01, 0x02, 0x00, 0x00,
	0x03, 0x04, 0x0a, 0x0b, 0x0c, 0x0d, 0x02, 0x00, 0xc6, 0x33, 0x64, 0x03,
	0x20, 0xfb, 0x04, 0x01, 0xc0, 0x00, 0x02, 0x09, 'h',  'i',
};

START_TEST(fields_are_read) {
	struct token_packet packet;
	char text[IP_ADDRESS_TEXT_BYTES];

	ck_assert(datagram_read(data_packet, sizeof(data_packet), &packet));
	ck_assert_str_eq(ip_address_print(&packet.fields.key.caller, text),
			 "192.0.2.9");
	ck_assert_str_eq(ip_address_print(&packet.fields.key.service, text),
			 "198.51.100.3");
	ck_assert_uint_eq(packet.fields.key.caller_port, 1025);
	ck_assert_uint_eq(packet.fields.key.service_port, 8443);
	ck_assert_uint_eq(packet.fields.tcp_sequence, 0x0102);
	ck_assert_uint_eq(packet.fields.tcp_acknowledgement, 0x0304);
	ck_assert_uint_eq(packet.fields.payload_bytes, 2);
	ck_assert_uint_eq(packet.token, 0x0a0b0c0d);
	ck_assert_uint_eq(packet.fields.tcp_flags, TCP_FLAG_ACK);
}
END_TEST

START_TEST(set_token_changes_no_other_field) {
	uint8_t packet[sizeof(data_packet)];

	memcpy(packet, data_packet, sizeof(packet));
	datagram_set_token(packet, 0x01020304);
	ck_assert_mem_eq(packet + 14, "\1\2\3\4", 4);
	memcpy(packet + 14, data_packet + 14, 4);
	ck_assert_mem_eq(packet, data_packet, sizeof(packet));
}
END_TEST

START_TEST(invalid_datagrams_are_rejected) {
	static const struct {
		size_t length;
		uint8_t flags;
		bool is_valid;
	} cases[] = {
		{ sizeof(data_packet), 0x02, true },
		{ sizeof(data_packet) - 1, 0x02, false }, /* length differs */
		{ 31, 0x02, false },
		{ 0, 0x02, false },
		{ sizeof(data_packet), 0x04, true }, /* SYN */
		{ sizeof(data_packet), 0x06, false }, /* SYN and ACK */
	};
	uint8_t packet[sizeof(data_packet)];
	struct token_packet read;

	memcpy(packet, data_packet, sizeof(packet));
	packet[18] = cases[_i].flags;
	ck_assert(datagram_read(packet, cases[_i].length, &read) ==
		  cases[_i].is_valid);
}
END_TEST

START_TEST(syn_has_copy_number) {
	uint8_t packet[sizeof(data_packet)];
	struct token_packet read;

	memcpy(packet, data_packet, sizeof(packet));
	packet[18] = 0x04;
	ck_assert(datagram_read(packet, sizeof(packet), &read));
	ck_assert_uint_eq(read.copy, 0x0304);
	ck_assert_uint_eq(read.fields.tcp_acknowledgement, 0);
}
END_TEST

START_TEST(reset_is_addressed_to_caller) {
	static const uint8_t expected[DATAGRAM_HEADER_BYTES] = {
		0,    0,    0,	  0,	0,    0,    0,	  0,
		0x03, 0x04, 0,	  0,	0,    0,    0,	  0,
		0,    0,    0x08, 0,	0xc0, 0x00, 0x02, 0x09,
		0x04, 0x01, 0x20, 0xfb, 0xc6, 0x33, 0x64, 0x03,
	};
	uint8_t reset[DATAGRAM_HEADER_BYTES];
	struct token_packet packet;

	ck_assert(datagram_read(data_packet, sizeof(data_packet), &packet));
	datagram_write_reset(&packet.fields.key,
			     packet.fields.tcp_acknowledgement, reset);
	ck_assert_mem_eq(reset, expected, sizeof(expected));
}
END_TEST

START_TEST(target_is_big_endian) {
	uint8_t target[DATAGRAM_TARGET_BYTES];

	datagram_set_target(target, 0x7f3a91c2);
	ck_assert_mem_eq(target, "\0\0\0\0\x7f\x3a\x91\xc2", 8);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("datagram");
	TCase *cases = tcase_create("packets");

	tcase_add_test(cases, fields_are_read);
	tcase_add_test(cases, set_token_changes_no_other_field);
	tcase_add_loop_test(cases, invalid_datagrams_are_rejected, 0, 6);
	tcase_add_test(cases, syn_has_copy_number);
	tcase_add_test(cases, reset_is_addressed_to_caller);
	tcase_add_test(cases, target_is_big_endian);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
