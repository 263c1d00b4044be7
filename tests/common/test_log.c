/* Guards against log lines that are not a plain list of key=value pairs. */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "suite.h"

static char line[4096];

/* Writes one event in a log of @level and reads back what was printed. */
static void event_capture(enum log_level level, enum log_level event_level)
{
	FILE *file = tmpfile();
	int saved = dup(STDOUT_FILENO);
	size_t length;

	ck_assert_ptr_nonnull(file);
	fflush(stdout);
	dup2(fileno(file), STDOUT_FILENO);
	log_open(level, "entry-1");
	log_event(event_level, "view_changed", "members=%d", 8);
	log_close();
	fflush(stdout);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	rewind(file);
	length = fread(line, 1, sizeof(line) - 1, file);
	line[length] = '\0';
	fclose(file);
}

START_TEST(event_is_one_line_of_pairs) {
	char *end;

	event_capture(LOG_LEVEL_INFO, LOG_LEVEL_INFO);
	ck_assert_int_eq(strncmp(line, "time=", 5), 0);
	end = strstr(line, "Z level=info instance=entry-1 "
			   "event=view_changed members=8\n");
	ck_assert_ptr_nonnull(end);
	ck_assert_str_eq(strchr(line, '\n'), "\n");
}
END_TEST

START_TEST(event_below_level_is_not_logged) {
	event_capture(LOG_LEVEL_WARNING, LOG_LEVEL_INFO);
	ck_assert_str_eq(line, "");
}
END_TEST

START_TEST(level_names) {
	enum log_level level;

	ck_assert(log_level_parse("debug", &level));
	ck_assert_int_eq(level, LOG_LEVEL_DEBUG);
	ck_assert(!log_level_parse("verbose", &level));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("log");
	TCase *tests = tcase_create("events");

	tcase_add_test(tests, event_is_one_line_of_pairs);
	tcase_add_test(tests, event_below_level_is_not_logged);
	tcase_add_test(tests, level_names);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
