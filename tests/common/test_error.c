/* Guards against an error kind that has no table row. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "suite.h"

START_TEST(every_kind_has_a_table_row) {
	const struct error_kind_info *info = error_kind_info(_i);

	ck_assert_ptr_nonnull(info->name);
	ck_assert_int_ge(info->http_status, 200);
	if (_i == ERROR_NONE)
		ck_assert_int_eq(info->exit_code, 0);
	else
		ck_assert_int_gt(info->exit_code, 0);
}
END_TEST

START_TEST(unknown_kind_is_internal) {
	ck_assert_str_eq(error_kind_info(ERROR_KINDS)->name, "internal");
}
END_TEST

START_TEST(set_without_error_is_allowed) {
	ck_assert(!error_set(NULL, ERROR_IO, "ignored"));
}
END_TEST

START_TEST(long_detail_is_truncated) {
	char text[2 * ERROR_DETAIL_BYTES];
	struct error error;

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	ck_assert(!error_set(&error, ERROR_IO, "%s", text));
	ck_assert_uint_eq(strlen(error.detail), ERROR_DETAIL_BYTES - 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("error");
	TCase *tests = tcase_create("kinds");

	tcase_add_loop_test(tests, every_kind_has_a_table_row, 0, ERROR_KINDS);
	tcase_add_test(tests, unknown_kind_is_internal);
	tcase_add_test(tests, set_without_error_is_allowed);
	tcase_add_test(tests, long_detail_is_truncated);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
