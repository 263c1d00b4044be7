/*
 * Guards against scenario lines that are read otherwise than written, which
 * would make a check pass without checking.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "standins/scenario/language.h"
#include "suite.h"

START_TEST(comments_and_blank_lines_are_skipped) {
	struct error error = { 0 };
	struct scenario_text *text = scenario_text_parse(
		"x", "# head\n\n  \nwait 1 # tail\nprint 'two words'\n",
		&error);

	ck_assert_ptr_nonnull(text);
	ck_assert_uint_eq(text->line_count, 2);
	ck_assert_uint_eq(text->lines[0].number, 4);
	ck_assert_int_eq(text->lines[0].word_count, 2);
	ck_assert_str_eq(text->lines[1].words[1], "two words");
	scenario_text_destroy(text);
}
END_TEST

START_TEST(unbalanced_quote_names_its_line) {
	struct error error = { 0 };

	ck_assert_ptr_null(
		scenario_text_parse("x", "wait 1\nprint 'open\n", &error));
	ck_assert_int_eq(error.kind, ERROR_USAGE);
	ck_assert_int_eq(strncmp(error.detail, "line 2:", 7), 0);
}
END_TEST

START_TEST(options_are_pairs) {
	struct scenario_text *text = scenario_text_parse(
		"x", "open 5 service rate rate 2.5 over soon", NULL);
	const struct scenario_line *line = &text->lines[0];
	struct error error = { 0 };
	double value;

	ck_assert_str_eq(scenario_line_option(line, 2, "service", ""), "rate");
	ck_assert(scenario_line_number(line, 2, "rate", 1, &value, &error));
	ck_assert_double_eq(value, 2.5);
	ck_assert(scenario_line_number(line, 2, "none", 7, &value, &error));
	ck_assert_double_eq(value, 7);
	ck_assert(!scenario_line_number(line, 2, "over", 1, &value, &error));
	scenario_text_destroy(text);
}
END_TEST

static const struct {
	double seen;
	const char *operator_word;
	double expected;
	bool is_met;
} comparisons[] = {
	{ 1, "==", 1, true },  { 1, "==", 2, false }, { 1, "!=", 2, true },
	{ 1, "!=", 1, false }, { 1, "<", 2, true },   { 2, "<", 2, false },
	{ 2, "<=", 2, true },  { 3, "<=", 2, false }, { 3, ">", 2, true },
	{ 2, ">", 2, false },  { 2, ">=", 2, true },  { 1, ">=", 2, false },
};

START_TEST(comparison) {
	bool is_met = !comparisons[_i].is_met;

	ck_assert(scenario_compare(comparisons[_i].seen,
				   comparisons[_i].operator_word,
				   comparisons[_i].expected, &is_met, NULL));
	ck_assert_int_eq(is_met, comparisons[_i].is_met);
}
END_TEST

START_TEST(unknown_operator_is_an_error) {
	struct error error = { 0 };
	bool is_met;

	ck_assert(!scenario_compare(1, "=", 1, &is_met, &error));
	ck_assert_int_eq(error.kind, ERROR_USAGE);
}
END_TEST

START_TEST(number_must_be_the_whole_word) {
	struct error error = { 0 };
	double value;

	ck_assert(scenario_number_parse("1e3", &value, &error));
	ck_assert_double_eq(value, 1000);
	ck_assert(!scenario_number_parse("3s", &value, &error));
	ck_assert(!scenario_number_parse("", &value, &error));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("scenario language");
	TCase *tests = tcase_create("lines");

	tcase_add_test(tests, comments_and_blank_lines_are_skipped);
	tcase_add_test(tests, unbalanced_quote_names_its_line);
	tcase_add_test(tests, options_are_pairs);
	tcase_add_loop_test(tests, comparison, 0,
			    sizeof(comparisons) / sizeof(comparisons[0]));
	tcase_add_test(tests, unknown_operator_is_an_error);
	tcase_add_test(tests, number_must_be_the_whole_word);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
