#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "parsleyladder/balancer.h"
#include "parsleyladder/command.h"

/* Path of the settings file if the command line has none. */
#define SETTINGS_VARIABLE "PARSLEYLADDER_SETTINGS"

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	const char **path = state->input;

	if (key != ARGP_KEY_ARG)
		return ARGP_ERR_UNKNOWN;
	if (state->arg_num > 0)
		argp_usage(state);
	*path = argument;
	return 0;
}

int command_balancer(int argc, char **argv)
{
	const struct argp argp = {
		.parser = option_parse,
		.args_doc = "[FILE]",
		.doc = "Runs a balancer with the settings in the JSON file FILE or, without it, in the "
		       "file that " SETTINGS_VARIABLE " names.",
	};
	const char *path = getenv(SETTINGS_VARIABLE);
	struct balancer *balancer = NULL;
	struct error error = { 0 };
	char name[] = "parsleyladder balancer";

	argp_err_exit_status = error_kind_info(ERROR_USAGE)->exit_code;
	argv[0] = name;
	argp_parse(&argp, argc, argv, 0, NULL, &path);
	if (!path)
		error_set(&error, ERROR_USAGE,
			  "expected FILE or " SETTINGS_VARIABLE
			  ", got neither");
	else
		balancer = balancer_create(path, clock_system(), &error);
	if (!balancer) {
		fprintf(stderr, "parsleyladder balancer: %s: %s\n",
			error_kind_info(error.kind)->name, error.detail);
		return error_kind_info(error.kind)->exit_code;
	}
	balancer_run(balancer);
	balancer_destroy(balancer);
	return 0;
}
