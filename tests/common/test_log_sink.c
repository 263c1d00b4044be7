/*
 * Guards against a log that blocks the main loop or interleaves lines while
 * nobody reads the output.
 */

#include <check.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/log_sink.h"
#include "suite.h"

#define CAPACITY (16 * 1024)
#define LINES 20000

START_TEST(full_pipe_does_not_block) {
	static char text[4 * 1024 * 1024];
	struct log_sink *sink;
	size_t length = 0;
	ssize_t read_bytes;
	int pipe_fds[2];
	char *line;
	char *next;
	int last = -1;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	sink = log_sink_create(pipe_fds[1], CAPACITY);
	/* Blocks forever if the sink writes to a full pipe. */
	for (int i = 0; i < LINES; i++) {
		char entry[64];

		snprintf(entry, sizeof(entry), "line=%d padding=xxxxxxxxxx\n",
			 i);
		log_sink_write(sink, entry, strlen(entry));
		log_sink_flush(sink);
	}
	ck_assert_uint_gt(log_sink_dropped(sink), 0);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	for (int i = 0; i < 1000; i++) {
		while ((read_bytes = read(pipe_fds[0], text + length,
					  sizeof(text) - 1 - length)) > 0)
			length += (size_t)read_bytes;
		log_sink_flush(sink);
	}
	text[length] = '\0';
	for (line = text; *line; line = next + 1) {
		int number;

		next = strchr(line, '\n');
		ck_assert_ptr_nonnull(next);
		ck_assert_int_eq(sscanf(line, "line=%d padding=x", &number), 1);
		ck_assert_int_gt(number, last);
		last = number;
	}
	ck_assert_int_ge(last, 0);
	log_sink_destroy(sink);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}
END_TEST

START_TEST(lines_are_intact_across_buffer_end) {
	FILE *file = tmpfile();
	struct log_sink *sink = log_sink_create(fileno(file), 100);
	char text[4096];
	size_t length;

	for (int i = 0; i < 50; i++) {
		log_sink_write(sink, "abcdefghijklmnopqrstuvwxyz\n", 27);
		if (i % 3 == 2)
			log_sink_flush(sink);
	}
	log_sink_destroy(sink);
	rewind(file);
	length = fread(text, 1, sizeof(text), file);
	ck_assert_uint_eq(length, 50 * 27);
	for (size_t i = 0; i < length; i += 27)
		ck_assert_mem_eq(text + i, "abcdefghijklmnopqrstuvwxyz\n", 27);
	fclose(file);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("log sink");
	TCase *cases = tcase_create("sink");

	tcase_add_test(cases, full_pipe_does_not_block);
	tcase_add_test(cases, lines_are_intact_across_buffer_end);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
