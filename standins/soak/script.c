#include <stdio.h>
#include <stdlib.h>

#include "standins/soak/soak.h"

/* One line of a scenario. */
struct scenario_step {
	double at_s; /* since the start of the scenario */
	char fault[32];
};

static void scenario_fail(const char *path, uint32_t line)
{
	fprintf(stderr, "%s:%u: expected SECONDS FAULT, ordered by SECONDS\n",
		path, line);
	exit(EXIT_FAILURE);
}

static struct scenario_step *scenario_step_read(const char *path,
						uint32_t line_number,
						const char *line,
						double previous_s)
{
	struct scenario_step *step = g_new0(struct scenario_step, 1);

	if (sscanf(line, "%lf %31s", &step->at_s, step->fault) != 2 ||
	    step->at_s < previous_s)
		scenario_fail(path, line_number);
	return step;
}

GPtrArray *soak_scenario_load(const char *path)
{
	GPtrArray *scenario = g_ptr_array_new_with_free_func(g_free);
	double previous_s = 0;
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		scenario_fail(path, 0);
	lines = g_strsplit(text, "\n", -1);
	for (uint32_t i = 0; lines[i]; i++) {
		struct scenario_step *step;

		g_strstrip(lines[i]);
		if (*lines[i] == '\0' || *lines[i] == '#')
			continue;
		step = scenario_step_read(path, i + 1, lines[i], previous_s);
		previous_s = step->at_s;
		g_ptr_array_add(scenario, step);
	}
	g_strfreev(lines);
	g_free(text);
	return scenario;
}

void soak_scenario_run(struct soak *soak, const GPtrArray *scenario)
{
	int64_t start_ns = soak_now(soak);

	for (guint i = 0; i < scenario->len; i++) {
		const struct scenario_step *step =
			g_ptr_array_index(scenario, i);
		double elapsed_s =
			(double)(soak_now(soak) - start_ns) / NS_PER_S;

		process_sleep(MAX(step->at_s - elapsed_s, 0));
		if (soak_fault_inject(soak, step->fault))
			continue;
		fprintf(stderr, "unknown fault '%s'\n", step->fault);
		exit(EXIT_FAILURE);
	}
}
