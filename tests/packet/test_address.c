/*
 * Guards against addresses that change when parsed and printed, and against a
 * flow hash that differs between builds or ignores a part of the key.
 */

#include <check.h>
#include <string.h>
#include <xxhash.h>

#include "packet/packet.h"
#include "suite.h"

static const struct {
	const char *text;
	const char *printed; /* NULL if the text is no address */
	bool is_v4;
} addresses[] = {
	{ "192.0.2.1", "192.0.2.1", true },
	{ "255.255.255.255", "255.255.255.255", true },
	{ "::ffff:192.0.2.1", "192.0.2.1", true },
	{ "2001:DB8:0:0::1", "2001:db8::1", false },
	{ "::", "::", false },
	{ "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff",
	  "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", false },
	{ "", NULL, false },
	{ "192.0.2", NULL, false },
	{ "192.0.2.256", NULL, false },
	{ "2001:db8::1::2", NULL, false },
	{ "localhost", NULL, false },
};

START_TEST(parse_and_print) {
	char text[IP_ADDRESS_TEXT_BYTES];
	struct ip_address address;

	if (!addresses[_i].printed) {
		ck_assert(!ip_address_parse(addresses[_i].text, &address));
		return;
	}
	ck_assert(ip_address_parse(addresses[_i].text, &address));
	ck_assert_str_eq(ip_address_print(&address, text),
			 addresses[_i].printed);
	ck_assert_int_eq(ip_address_is_v4(&address), addresses[_i].is_v4);
}
END_TEST

static struct flow_key key_create(const char *caller, const char *service,
				  uint8_t protocol)
{
	struct flow_key key = {
		.caller_port = 40000,
		.service_port = 443,
		.protocol = protocol,
	};

	ck_assert(ip_address_parse(caller, &key.caller));
	ck_assert(ip_address_parse(service, &key.service));
	return key;
}

/* The layout is part of the protocol: all instances must agree on it. */
START_TEST(hash_covers_the_documented_bytes) {
	struct flow_key keys[] = {
		key_create("192.0.2.9", "198.51.100.1", PACKET_PROTOCOL_TCP),
		key_create("192.0.2.9", "198.51.100.1", PACKET_PROTOCOL_UDP),
		key_create("2001:db8::9", "2001:db8::1", PACKET_PROTOCOL_TCP),
	};
	struct flow_key key = keys[_i];
	uint8_t bytes[40] = { 0 };

	memcpy(bytes, key.caller.bytes, 16);
	memcpy(bytes + 16, key.service.bytes, 16);
	bytes[32] = key.caller_port >> 8;
	bytes[33] = key.caller_port & 0xff;
	bytes[34] = key.service_port >> 8;
	bytes[35] = key.service_port & 0xff;
	bytes[36] = key.protocol;
	ck_assert_uint_eq(flow_key_hash(&key, 42),
			  XXH3_64bits_withSeed(bytes, sizeof(bytes), 42));
	ck_assert_uint_ne(flow_key_hash(&key, 42), flow_key_hash(&key, 43));
}
END_TEST

START_TEST(hash_depends_on_every_field) {
	struct flow_key key =
		key_create("192.0.2.9", "198.51.100.1", PACKET_PROTOCOL_TCP);
	struct flow_key changed[5] = { key, key, key, key, key };

	changed[0].caller.bytes[15] ^= 1;
	changed[1].service.bytes[15] ^= 1;
	changed[2].caller_port ^= 1;
	changed[3].service_port ^= 1;
	changed[4].protocol = PACKET_PROTOCOL_UDP;
	for (int i = 0; i < 5; i++)
		ck_assert_uint_ne(flow_key_hash(&key, 1),
				  flow_key_hash(&changed[i], 1));
}
END_TEST

/* Uninitialized padding in the key must not reach the hash. */
START_TEST(hash_ignores_padding) {
	struct flow_key key =
		key_create("192.0.2.9", "198.51.100.1", PACKET_PROTOCOL_TCP);
	struct flow_key padded;

	memset(&padded, 0xa5, sizeof(padded));
	padded.caller = key.caller;
	padded.service = key.service;
	padded.caller_port = key.caller_port;
	padded.service_port = key.service_port;
	padded.protocol = key.protocol;
	ck_assert_uint_eq(flow_key_hash(&key, 1), flow_key_hash(&padded, 1));
}
END_TEST

START_TEST(v4_number_is_in_host_order) {
	struct ip_address address;
	char text[IP_ADDRESS_TEXT_BYTES];

	ip_address_from_v4(0x0a000102, &address);
	ck_assert_str_eq(ip_address_print(&address, text), "10.0.1.2");
	ck_assert_uint_eq(ip_address_v4(&address), 0x0a000102);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("address");
	TCase *tests = tcase_create("address");

	tcase_add_loop_test(tests, parse_and_print, 0,
			    sizeof(addresses) / sizeof(addresses[0]));
	tcase_add_loop_test(tests, hash_covers_the_documented_bytes, 0, 3);
	tcase_add_test(tests, hash_depends_on_every_field);
	tcase_add_test(tests, hash_ignores_padding);
	tcase_add_test(tests, v4_number_is_in_host_order);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
