/*
 * Guards against a bucket that allows more than its rate and burst, loses
 * fractions of tokens, or overflows after a long idle time.
 */

#include <check.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/token_bucket.h"
#include "suite.h"

static const struct {
	uint32_t rate_per_s;
	uint32_t burst;
	int64_t step_ns;
} rates[] = {
	{ 1, 10, 300 * NS_PER_MS },
	{ 4096, 65536, 7 * NS_PER_MS },
	{ 4096, 65536, 13 },
	{ 1000000007, 4000000000, 999 },
	{ UINT32_MAX, UINT32_MAX, 1234 },
	{ 3, 2, NS_PER_S / 7 },
};

START_TEST(rate_is_kept_in_small_steps) {
	struct token_bucket bucket;
	int64_t now_ns = 5;
	int64_t taken = 0;
	int64_t allowed;

	token_bucket_init(&bucket, rates[_i].rate_per_s, rates[_i].burst,
			  now_ns);
	ck_assert(token_bucket_take(&bucket, now_ns, rates[_i].burst));
	ck_assert(!token_bucket_take(&bucket, now_ns, 1));
	for (int step = 0; step < 100000; step++) {
		int64_t available;

		now_ns += rates[_i].step_ns;
		available = token_bucket_available(&bucket, now_ns);
		ck_assert(token_bucket_take(&bucket, now_ns,
					    (uint32_t)available));
		taken += available;
	}
	allowed = (int64_t)((__int128)rates[_i].rate_per_s * 100000 *
			    rates[_i].step_ns / NS_PER_S);
	ck_assert_int_le(taken, allowed);
	ck_assert_int_ge(taken, allowed - 1 - allowed / 1000);
}
END_TEST

START_TEST(long_idle_time_refills_one_burst) {
	struct token_bucket bucket;

	token_bucket_init(&bucket, rates[_i].rate_per_s, rates[_i].burst, 0);
	token_bucket_overdraw(&bucket, 0, rates[_i].burst);
	ck_assert_int_eq(token_bucket_available(&bucket, INT64_C(1) << 62),
			 rates[_i].burst);
}
END_TEST

START_TEST(debt_is_bounded_and_refilled) {
	struct token_bucket bucket;

	token_bucket_init(&bucket, 100, 50, 0);
	for (int i = 0; i < 1000; i++)
		token_bucket_overdraw(&bucket, 0, 40);
	ck_assert_int_eq(token_bucket_available(&bucket, 0), -50);
	ck_assert(!token_bucket_take(&bucket, NS_PER_S / 2, 1));
	ck_assert(token_bucket_take(&bucket, NS_PER_S, 50));
}
END_TEST

START_TEST(backward_clock_adds_no_tokens) {
	struct token_bucket bucket;

	token_bucket_init(&bucket, 100, 50, NS_PER_S);
	ck_assert(token_bucket_take(&bucket, NS_PER_S, 50));
	ck_assert_int_eq(token_bucket_available(&bucket, 0), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("token bucket");
	TCase *tests = tcase_create("rate");

	tcase_add_loop_test(tests, rate_is_kept_in_small_steps, 0,
			    sizeof(rates) / sizeof(rates[0]));
	tcase_add_loop_test(tests, long_idle_time_refills_one_burst, 0,
			    sizeof(rates) / sizeof(rates[0]));
	tcase_add_test(tests, debt_is_bounded_and_refilled);
	tcase_add_test(tests, backward_clock_adds_no_tokens);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
