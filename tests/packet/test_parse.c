/*
 * Guards against a malformed packet that is forwarded, a valid one that is
 * dropped, reads past the end, and a wrong flow key.
 */

#include <stdlib.h>
#include <string.h>

#include "samples.h"

/* @patches is a list of "offset=value", the value in hexadecimal. */
static const struct {
	enum sample sample;
	enum packet_outcome outcome;
	const char *patches;
	const char *name;
} cases[] = {
	{ SAMPLE_TCP4, PACKET_BAD_HEADER, "0=55", "version 5" },
	{ SAMPLE_TCP4, PACKET_BAD_HEADER, "0=44", "header of 16 bytes" },
	{ SAMPLE_UDP4, PACKET_TRUNCATED, "0=4f", "header past the end" },
	{ SAMPLE_TCP4, PACKET_BAD_HEADER, "3=13", "total length below header" },
	{ SAMPLE_TCP4, PACKET_TRUNCATED, "3=30", "total length past the end" },
	{ SAMPLE_TCP4, PACKET_FRAGMENT, "6=20", "more fragments" },
	{ SAMPLE_TCP4, PACKET_FRAGMENT, "7=01", "fragment offset" },
	{ SAMPLE_TCP4, PACKET_TTL_EXPIRED, "8=00", "ttl 0" },
	{ SAMPLE_TCP4, PACKET_OK, "8=01", "ttl 1" },
	{ SAMPLE_TCP4, PACKET_UNSUPPORTED, "9=2f", "protocol GRE" },
	{ SAMPLE_TCP4, PACKET_UNSUPPORTED, "9=3a", "ICMPv6 in IPv4" },
	{ SAMPLE_TCP4, PACKET_MARTIAN, "12=00", "source 0.x" },
	{ SAMPLE_TCP4, PACKET_MARTIAN, "12=7f", "source loopback" },
	{ SAMPLE_TCP4, PACKET_MARTIAN, "12=e0", "source multicast" },
	{ SAMPLE_TCP4, PACKET_MARTIAN, "12=ff", "source broadcast" },
	{ SAMPLE_TCP4, PACKET_MARTIAN, "12=a9 13=fe", "source link-local" },
	{ SAMPLE_TCP4, PACKET_MARTIAN, "16=c6 17=33 18=64 19=07",
	  "source is destination" },
	{ SAMPLE_TCP4, PACKET_BAD_HEADER, "32=40", "TCP header of 16 bytes" },
	{ SAMPLE_TCP4, PACKET_TRUNCATED, "32=f0", "TCP header past the end" },
	{ SAMPLE_TCP4, PACKET_BAD_HEADER, "33=03", "SYN and FIN" },
	{ SAMPLE_TCP4, PACKET_BAD_HEADER, "33=06", "SYN and RST" },
	{ SAMPLE_UDP4, PACKET_BAD_HEADER, "24=00 25=07", "UDP length 7" },
	{ SAMPLE_UDP4, PACKET_TRUNCATED, "25=10", "UDP length past the end" },
	{ SAMPLE_TCP6, PACKET_TRUNCATED, "5=1c",
	  "payload length past the end" },
	{ SAMPLE_TCP6, PACKET_TTL_EXPIRED, "7=00", "hop limit 0" },
	{ SAMPLE_TCP6, PACKET_UNSUPPORTED, "6=01", "ICMP in IPv6" },
	{ SAMPLE_TCP6, PACKET_UNSUPPORTED, "6=3b", "no next header" },
	{ SAMPLE_TCP6, PACKET_MARTIAN, "8=ff", "source ff02::" },
	{ SAMPLE_TCP6, PACKET_MARTIAN, "8=fe 9=80", "source fe80::" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_UNSUPPORTED, "48=33",
	  "authentication header" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_BAD_HEADER, "40=00",
	  "second hop-by-hop header" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_TRUNCATED, "41=14",
	  "extension past the end" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_UNSUPPORTED, "40=2b 51=01",
	  "routing with segments left" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_OK, "40=2b 51=00",
	  "routing with no segments left" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_FRAGMENT, "59=08",
	  "fragment with offset" },
	{ SAMPLE_TCP6_EXTENSIONS, PACKET_FRAGMENT, "59=01", "first fragment" },
	{ SAMPLE_ICMP4_ERROR, PACKET_UNSUPPORTED, "20=08", "echo request" },
	{ SAMPLE_ICMP4_ERROR, PACKET_UNSUPPORTED, "20=05", "redirect" },
	{ SAMPLE_ICMP4_ERROR, PACKET_OK, "20=0b", "time exceeded" },
	{ SAMPLE_ICMP4_ERROR, PACKET_BAD_HEADER, "43=06",
	  "error about another sender" },
	{ SAMPLE_ICMP4_ERROR, PACKET_UNSUPPORTED, "37=01", "error about ICMP" },
	{ SAMPLE_ICMP4_ERROR, PACKET_MARTIAN, "44=7f",
	  "error about a loopback caller" },
	{ SAMPLE_ICMP4_ERROR, PACKET_FRAGMENT, "35=01",
	  "error about a later fragment" },
	{ SAMPLE_ICMP4_ERROR, PACKET_OK, "34=20",
	  "error about a first fragment" },
	{ SAMPLE_ICMP4_ERROR, PACKET_OK, "36=00",
	  "error with an expired embedded ttl" },
	{ SAMPLE_ICMP6_ERROR, PACKET_BAD_HEADER, "48=45 54=00 55=00",
	  "IPv4 embedded in ICMPv6" },
	{ SAMPLE_ICMP6_ERROR, PACKET_UNSUPPORTED, "40=80", "echo request 6" },
};

static void patches_apply(const char *patches, uint8_t *packet)
{
	while (*patches != '\0') {
		char *end;
		unsigned long at = strtoul(patches, &end, 10);

		packet[at] = (uint8_t)strtoul(end + 1, &end, 16);
		patches = *end == ' ' ? end + 1 : end;
	}
}

START_TEST(outcome_of_changed_packet) {
	uint8_t packet[SAMPLE_BYTES];
	size_t length = sample_build(cases[_i].sample, packet);
	struct packet_facts facts;
	enum packet_outcome outcome;

	patches_apply(cases[_i].patches, packet);
	outcome = packet_parse(packet, length, &facts);
	ck_assert_msg(outcome == cases[_i].outcome, "%s: %s", cases[_i].name,
		      packet_outcome_name(outcome));
}
END_TEST

START_TEST(facts_of_sample) {
	struct flow_key key = sample_key(_i);
	bool is_error = _i == SAMPLE_ICMP4_ERROR || _i == SAMPLE_ICMP6_ERROR;
	bool is_tcp = key.protocol == PACKET_PROTOCOL_TCP && !is_error;
	uint8_t packet[SAMPLE_BYTES];
	size_t length = sample_build(_i, packet);
	struct packet_facts facts;

	/* Bytes after the IP payload do not belong to the packet. */
	memset(packet + length, 0xee, 4);
	ck_assert_int_eq(packet_parse(packet, length + 4, &facts), PACKET_OK);
	ck_assert_int_eq(facts.ip_version, packet[0] >> 4);
	ck_assert(ip_address_equal(&facts.key.caller, &key.caller));
	ck_assert(ip_address_equal(&facts.key.service, &key.service));
	ck_assert_uint_eq(facts.key.caller_port, key.caller_port);
	ck_assert_uint_eq(facts.key.service_port, key.service_port);
	ck_assert_uint_eq(facts.key.protocol, key.protocol);
	ck_assert_int_eq(facts.is_icmp_error, is_error);
	ck_assert_uint_eq(facts.payload_bytes, is_error ? 0 : 7);
	ck_assert_uint_eq(facts.tcp_flags, is_tcp ? TCP_FLAG_ACK : 0);
	ck_assert_uint_eq(facts.tcp_sequence, is_tcp ? 0x11223344 : 0);
	ck_assert_uint_eq(facts.tcp_acknowledgement, is_tcp ? 0x55667788 : 0);
}
END_TEST

/* The copy ends where its allocation does, so that ASan sees each overread. */
START_TEST(every_shorter_length_is_truncated) {
	uint8_t packet[SAMPLE_BYTES];
	size_t length = sample_build(_i, packet);

	for (size_t i = 0; i < length; i++) {
		struct packet_facts facts;
		uint8_t *cut = malloc(i > 0 ? i : 1);

		memcpy(cut, packet, i);
		ck_assert_int_eq(packet_parse(cut, i, &facts),
				 PACKET_TRUNCATED);
		free(cut);
	}
}
END_TEST

/* An IPv6 packet must not share the key of an IPv4 flow. */
START_TEST(mapped_address_is_rejected) {
	static const struct {
		size_t at;
		enum packet_outcome outcome;
	} rows[] = { { 8, PACKET_MARTIAN }, { 24, PACKET_BAD_HEADER } };
	struct flow_key v4_key = sample_key(SAMPLE_TCP4);
	uint8_t packet[SAMPLE_BYTES];
	size_t length = sample_build(SAMPLE_TCP6, packet);
	struct packet_facts facts;

	memcpy(packet + rows[_i].at, v4_key.caller.bytes, 16);
	ck_assert_int_eq(packet_parse(packet, length, &facts),
			 rows[_i].outcome);
}
END_TEST

/* 60 headers of 8 bytes would otherwise all be walked for each packet. */
START_TEST(extension_chain_is_bounded) {
	uint8_t packet[40 + 60 * 8 + 20] = { 0 };
	struct flow_key key = sample_key(SAMPLE_TCP6);
	struct packet_facts facts;

	packet_build_ip_header(&key.caller, &key.service, 60, 64,
			       sizeof(packet) - 40, packet);
	for (size_t at = 40; at < sizeof(packet) - 20; at += 8)
		packet[at] = at + 28 < sizeof(packet) ? 60 : 6;
	packet[sizeof(packet) - 8] = 0x50;
	ck_assert_int_eq(packet_parse(packet, sizeof(packet), &facts),
			 PACKET_UNSUPPORTED);
}
END_TEST

START_TEST(every_outcome_has_a_name) {
	ck_assert_str_ne(packet_outcome_name(_i), "unknown");
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("parse");

	tcase_add_loop_test(tests, outcome_of_changed_packet, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_loop_test(tests, facts_of_sample, 0, SAMPLES);
	tcase_add_loop_test(tests, every_shorter_length_is_truncated, 0,
			    SAMPLES);
	tcase_add_loop_test(tests, mapped_address_is_rejected, 0, 2);
	tcase_add_test(tests, extension_chain_is_bounded);
	tcase_add_loop_test(tests, every_outcome_has_a_name, 0,
			    PACKET_OUTCOMES);
	return sample_run("parse", tests);
}
