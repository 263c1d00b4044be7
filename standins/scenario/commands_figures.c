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

/* A figure that no process reports counts as 0, like a counter not begun. */
static bool figure_read(struct runner *runner, const char *name, double *value,
			struct error *error)
{
	GHashTable *figures = figures_collect(runner, error);
	const double *found;

	if (!figures)
		return false;
	found = g_hash_table_lookup(figures, name);
	*value = found ? *found : 0;
	g_hash_table_destroy(figures);
	return true;
}

SCENARIO_COMMAND(expect)
{
	const char *name = line->words[1];
	int64_t start_us = g_get_monotonic_time();
	double expected;
	double bound_s;
	double seen;
	bool is_met;

	if (!scenario_number_parse(line->words[3], &expected, error) ||
	    !scenario_line_number(line, 4, "within", 0, &bound_s, error))
		return false;
	for (;;) {
		if (!figure_read(runner, name, &seen, error) ||
		    !scenario_compare(seen, line->words[2], expected, &is_met,
				      error))
			return false;
		if (is_met)
			return true;
		if ((double)(g_get_monotonic_time() - start_us) >=
		    bound_s * G_USEC_PER_SEC)
			break;
		process_sleep(POLL_S);
	}
	return error_set(error, ERROR_TIMEOUT,
			 "expected %s %s %s within %g s, seen %.10g", name,
			 line->words[2], line->words[3], bound_s, seen);
}

/* Of the deployment that runs, else the total of those that have ended. */
SCENARIO_COMMAND(figure)
{
	const double *total =
		g_hash_table_lookup(runner->totals, line->words[1]);
	double value = total ? *total : 0;

	if (runner->world.process &&
	    !figure_read(runner, line->words[1], &value, error))
		return false;
	printf("figure %s %.10g %s\n", line->words[1], value, line->words[2]);
	fflush(stdout);
	return true;
}
