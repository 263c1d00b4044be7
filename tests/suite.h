#ifndef PARSLEYLADDER_TESTS_SUITE_H
#define PARSLEYLADDER_TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

/** Runs @suite, frees it, and returns the exit status of the test program. */
static inline int suite_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
