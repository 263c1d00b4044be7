#include "parsleyladder/settings_argument.h"

#include <argp.h>
#include <stdio.h>

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (*path)
			argp_usage(state);
		*path = argument;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

struct settings *settings_argument_load(int argc, char **argv, char *name,
					const char *summary, int *exit_code)
{
	struct argp argp = { .parser = option_parse,
			     .args_doc = "FILE",
			     .doc = summary };
	const char *path = NULL;
	struct error error = { 0 };
	struct settings *settings;

	argp_err_exit_status = error_kind_info(ERROR_USAGE)->exit_code;
	argv[0] = name;
	argp_parse(&argp, argc, argv, 0, NULL, &path);
	settings = settings_load(path, &error);
	if (!settings)
		fprintf(stderr, "parsleyladder: %s\n", error.detail);
	*exit_code = error_kind_info(error.kind)->exit_code;
	return settings;
}
