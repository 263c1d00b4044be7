/*
 * Guards against held packets that are lost, so that their callers wait up to
 * 1.6 s for the next retransmission though the balancer is synced by then; and
 * against packets that are forwarded after their callers have given up, or that
 * use up the memory.
 */

#include <check.h>
#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "parsleyladder/held_packets.h"
#include "suite.h"

#define PACKETS_MAX 4
#define HEADROOM_BYTES 8
#define START_NS (10 * NS_PER_S)

static struct held_packets *held;
static GString *released;

static void held_open(void)
{
	const struct held_packets_options options = {
		.packets_max = PACKETS_MAX,
		.headroom_bytes = HEADROOM_BYTES,
	};

	held = held_packets_create(&options);
	released = g_string_new(NULL);
}

static void held_close(void)
{
	held_packets_destroy(held);
	g_string_free(released, TRUE);
}

/* Packets are texts; the headroom is overwritten as by the forwarder. */
static bool text_release(void *context, uint8_t *data, size_t length)
{
	const char *undecided = context;

	if (undecided && length == strlen(undecided) &&
	    memcmp(data, undecided, length) == 0)
		return false;
	memset(data - HEADROOM_BYTES, 0xff, HEADROOM_BYTES);
	g_string_append_len(released, (const char *)data, (gssize)length);
	return true;
}

static const char *release(uint32_t after_ms)
{
	g_string_truncate(released, 0);
	held_packets_release(held, START_NS + after_ms * NS_PER_MS,
			     text_release, NULL);
	ck_assert_uint_eq(held_packets_count(held), 0);
	return released->str;
}

static void add(uint16_t port, bool is_opening, const char *text,
		uint32_t after_ms)
{
	const struct flow_key key = { .caller_port = port };

	held_packets_add(held, &key, is_opening, (const uint8_t *)text,
			 strlen(text), START_NS + after_ms * NS_PER_MS);
}

static const struct {
	bool is_opening;
	uint32_t held_ms;
	const char *released;
} age_cases[] = {
	{ true, 0, "x" },    { true, 700, "x" },   { true, 701, "" },
	{ false, 701, "x" }, { false, 1600, "x" }, { false, 1601, "" },
};

START_TEST(too_old_packets_are_dropped) {
	add(1, age_cases[_i].is_opening, "x", 0);
	ck_assert_str_eq(release(age_cases[_i].held_ms),
			 age_cases[_i].released);
}
END_TEST

START_TEST(newest_packet_of_each_flow_is_kept) {
	add(1, true, "a", 0);
	add(2, false, "b", 100);
	add(1, true, "c", 200);
	ck_assert_uint_eq(held_packets_count(held), 2);
	ck_assert_str_eq(release(300), "bc");
	ck_assert_str_eq(release(300), "");
}
END_TEST

START_TEST(packet_count_is_limited) {
	for (uint16_t port = 1; port <= PACKETS_MAX + 2; port++)
		add(port, false, (char[]){ (char)('a' + port), '\0' }, port);
	ck_assert_uint_eq(held_packets_count(held), PACKETS_MAX);
	ck_assert_str_eq(release(10), "defg");
}
END_TEST

START_TEST(undecided_packets_stay) {
	add(1, false, "a", 0);
	add(2, true, "b", 0);
	add(3, false, "c", 0);
	ck_assert_uint_eq(
		held_packets_release(held, START_NS, text_release, "b"), 2);
	ck_assert_str_eq(released->str, "ac");
	ck_assert_uint_eq(held_packets_count(held), 1);
	/* Its age counts from when it was first held. */
	ck_assert_str_eq(release(701), "");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("held packets");
	TCase *cases = tcase_create("held packets");

	tcase_add_checked_fixture(cases, held_open, held_close);
	tcase_add_loop_test(cases, too_old_packets_are_dropped, 0,
			    G_N_ELEMENTS(age_cases));
	tcase_add_test(cases, newest_packet_of_each_flow_is_kept);
	tcase_add_test(cases, packet_count_is_limited);
	tcase_add_test(cases, undecided_packets_stay);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
