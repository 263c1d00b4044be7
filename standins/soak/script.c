#include <stdio.h>
#include <stdlib.h>

#include "standins/soak/soak.h"

/* One line of a scenario. */
struct step {
	double at_s; /* since the start of the script */
	char fault[32];
};

static void script_fail(const char *path, uint32_t line)
{
	fprintf(stderr, "%s:%u: expected SECONDS FAULT, ordered by SECONDS\n",
		path, line);
	exit(EXIT_FAILURE);
}

static struct step *step_read(const char *path, uint32_t line_number,
			      const char *line, double previous_s)
{
	struct step *step = g_new0(struct step, 1);

	if (sscanf(line, "%lf %31s", &step->at_s, step->fault) != 2 ||
	    step->at_s < previous_s)
		script_fail(path, line_number);
	return step;
}

GPtrArray *soak_script_load(const char *path)
{
	GPtrArray *script = g_ptr_array_new_with_free_func(g_free);
	double previous_s = 0;
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		script_fail(path, 0);
	lines = g_strsplit(text, "\n", -1);
	for (uint32_t i = 0; lines[i]; i++) {
		struct step *step;

		g_strstrip(lines[i]);
		if (*lines[i] == '\0' || *lines[i] == '#')
			continue;
		step = step_read(path, i + 1, lines[i], previous_s);
		previous_s = step->at_s;
		g_ptr_array_add(script, step);
	}
	g_strfreev(lines);
	g_free(text);
	return script;
}

void soak_script_run(struct soak *soak, const GPtrArray *script)
{
	int64_t start_ns = soak_now(soak);

	for (guint i = 0; i < script->len; i++) {
		const struct step *step = g_ptr_array_index(script, i);
		double elapsed_s =
			(double)(soak_now(soak) - start_ns) / NS_PER_S;

		process_sleep(MAX(step->at_s - elapsed_s, 0));
		if (soak_fault_begin(soak, step->fault))
			continue;
		fprintf(stderr, "unknown fault '%s'\n", step->fault);
		exit(EXIT_FAILURE);
	}
}
