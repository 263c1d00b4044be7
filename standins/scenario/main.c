#include <argp.h>
#include <gio/gio.h>
#include <stdio.h>

#include "standins/scenario/runner.h"

struct arguments {
	struct runner_options options;
	const char *path;
	bool keeps_scratch;
};

static const struct argp_option options[] = {
	{ "balancer", 'b', "PATH", 0, "executable of the balancer", 0 },
	{ "standin", 's', "PATH", 0, "executable of the stand-ins", 0 },
	{ "keep", 'k', NULL, 0, "keep settings files and logs", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'b':
		arguments->options.balancer_path = argument;
		return 0;
	case 's':
		arguments->options.standin_path = argument;
		return 0;
	case 'k':
		arguments->keeps_scratch = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->path)
			argp_usage(state);
		arguments->path = argument;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.args_doc = "FILE",
	.doc = "Runs a scenario over real processes on loopback.",
};

static void scratch_remove(const char *path)
{
	g_autoptr(GDir) files = g_dir_open(path, 0, NULL);
	const char *name;

	while (files && (name = g_dir_read_name(files)) != NULL) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		remove(file);
	}
	remove(path);
}

static bool scenario_run(const struct arguments *arguments,
			 const struct scenario_text *text)
{
	struct runner *runner = runner_create(&arguments->options, text);
	bool is_passed = runner_run(runner);

	runner_destroy(runner);
	printf("scenario %s %s\n", text->path, is_passed ? "passed" : "failed");
	if (is_passed && !arguments->keeps_scratch)
		scratch_remove(arguments->options.scratch);
	else
		printf("logs are in %s\n", arguments->options.scratch);
	return is_passed;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {
		.options = { .balancer_path =
				     "build/parsleyladder/parsleyladder",
			     .standin_path =
				     "build/standins/parsleyladder-standin" },
	};
	g_autofree char *scratch = NULL;
	struct error error = { 0 };
	struct scenario_text *text;
	bool is_passed;

	argp_parse(&parser, argc, argv, 0, NULL, &arguments);
	text = scenario_text_load(arguments.path, &error);
	if (!text) {
		fprintf(stderr, "%s: %s\n", arguments.path, error.detail);
		return error_answer(error.kind)->exit_code;
	}
	scratch = g_dir_make_tmp("parsleyladder-scenario-XXXXXX", NULL);
	arguments.options.scratch = scratch;
	is_passed = scenario_run(&arguments, text);
	scenario_text_destroy(text);
	return is_passed ? 0 : 1;
}
