#include <stdio.h>

#include "standins/scenario/commands.h"

#define POLL_S 0.1

SCENARIO_COMMAND(print)
{
	puts(line->words[1]);
	fflush(stdout);
	return true;
}

SCENARIO_COMMAND(wait)
{
	double seconds;

	if (!scenario_number_parse(line->words[1], &seconds, error))
		return false;
	process_sleep(seconds);
	return true;
}

/* A name that no process reports is an error, or a typing error would pass. */
static bool figure_find(GHashTable *figures, const char *name, double *value,
			struct error *error)
{
	const double *found = g_hash_table_lookup(figures, name);

	if (!found)
		return error_set(error, ERROR_NOT_FOUND, "no figure '%s'",
				 name);
	*value = *found;
	return true;
}

struct expectation {
	const char *name;
	const char *operator_word;
	const char *value; /* a number, or the name of another figure */
	double seen;
	double expected;
	bool is_met;
};

static bool expectation_check(struct runner *runner,
			      struct expectation *expectation,
			      struct error *error)
{
	GHashTable *figures = figures_collect(runner, error);
	bool is_read;

	expectation->is_met = false;
	if (!figures)
		return false;
	is_read = figure_find(figures, expectation->name, &expectation->seen,
			      error) &&
		  (scenario_number_parse(expectation->value,
					 &expectation->expected, error) ||
		   figure_find(figures, expectation->value,
			       &expectation->expected, error));
	g_hash_table_destroy(figures);
	return is_read &&
	       scenario_compare(expectation->seen, expectation->operator_word,
				expectation->expected, &expectation->is_met,
				error);
}

SCENARIO_COMMAND(expect)
{
	struct expectation expectation = {
		.name = line->words[1],
		.operator_word = line->words[2],
		.value = line->words[3],
	};
	int64_t start_us = g_get_monotonic_time();
	bool is_read;
	double bound_s;

	if (!scenario_line_number(line, 4, "within", 0, &bound_s, error))
		return false;
	for (;;) {
		is_read = expectation_check(runner, &expectation, error);
		if (is_read && expectation.is_met)
			return true;
		if ((double)(g_get_monotonic_time() - start_us) >=
		    bound_s * G_USEC_PER_SEC)
			break;
		process_sleep(POLL_S);
	}
	if (!is_read)
		return false;
	return error_set(error, ERROR_TIMEOUT,
			 "expected %s %s %s within %g s, seen %.10g",
			 line->words[1], line->words[2], line->words[3],
			 bound_s, expectation.seen);
}

SCENARIO_COMMAND(mark)
{
	(void)line;
	if (!runner->world.process)
		return error_set(error, ERROR_USAGE, "nothing runs to measure");
	return fleet_figures_mark(runner, error);
}

/* Of the deployment that runs, else the total of those that have ended. */
SCENARIO_COMMAND(figure)
{
	GHashTable *figures = runner->totals;
	double value = 0;
	bool is_read;

	if (runner->world.process) {
		figures = figures_collect(runner, error);
		if (!figures)
			return false;
	}
	is_read = figure_find(figures, line->words[1], &value, error);
	if (figures != runner->totals)
		g_hash_table_destroy(figures);
	if (!is_read)
		return false;
	printf("figure %s %.10g %s\n", line->words[1], value, line->words[2]);
	fflush(stdout);
	return true;
}
