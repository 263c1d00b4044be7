/* Guards against commands that are not found or end with a wrong exit code. */

#include <check.h>

#include "common/command.h"
#include "suite.h"

static int alpha_run(int argc, char **argv)
{
	(void)argv;
	return 10 + argc;
}

static int beta_run(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return 20;
}

static const struct command commands[] = {
	{ "alpha", "first", alpha_run },
	{ "beta", "second", beta_run },
};

static const struct command_set set = {
	.program = "program",
	.version = "1.2",
	.commands = commands,
	.count = 2,
};

static const struct run_case {
	const char *arguments[4];
	int argc;
	int status;
} cases[] = {
	{ { "program" }, 1, 64 },
	{ { "program", "--help" }, 2, 0 },
	{ { "program", "--version" }, 2, 0 },
	{ { "program", "alpha" }, 2, 11 },
	{ { "program", "alpha", "argument" }, 3, 12 },
	{ { "program", "beta" }, 2, 20 },
	{ { "program", "gamma" }, 2, 64 },
	{ { "program", "" }, 2, 64 },
};

START_TEST(exit_code_comes_from_command) {
	const struct run_case *row = &cases[_i];

	ck_assert_int_eq(
		command_set_run(&set, row->argc, (char **)row->arguments),
		row->status);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("command");
	TCase *tests = tcase_create("run");

	tcase_add_loop_test(tests, exit_code_comes_from_command, 0,
			    sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
