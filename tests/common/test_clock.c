/* Guards against a wrong conversion between timespec and nanoseconds. */

#include <check.h>
#include <stdlib.h>

#include "common/clock.h"
#include "suite.h"

static const int64_t instants_ns[] = {
	0, 1, NS_PER_S - 1, NS_PER_S, 86400 * NS_PER_S + 999,
};

START_TEST(manual_clock_round_trip) {
	struct manual_clock manual;

	manual_clock_init(&manual, instants_ns[_i]);
	ck_assert_int_eq(clock_now_ns(&manual.clock), instants_ns[_i]);
}
END_TEST

START_TEST(system_clock_does_not_go_back) {
	int64_t first_ns = clock_now_ns(clock_system());

	ck_assert_int_ge(clock_now_ns(clock_system()), first_ns);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("clock");
	TCase *tests = tcase_create("conversion");

	tcase_add_loop_test(tests, manual_clock_round_trip, 0,
			    sizeof(instants_ns) / sizeof(instants_ns[0]));
	tcase_add_test(tests, system_clock_does_not_go_back);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
