#include <argp.h>
#include <stdio.h>

#include "common/clock.h"
#include "common/log.h"
#include "configuration/settings.h"
#include "parsleyladder/balancer.h"
#include "parsleyladder/command.h"

struct balancer_arguments {
	const char *settings_path;
};

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	struct balancer_arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (state->arg_num > 0)
			argp_usage(state);
		arguments->settings_path = argument;
		return 0;
	case ARGP_KEY_END:
		if (state->arg_num < 1)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.parser = option_parse,
	.args_doc = "SETTINGS",
	.doc = "Run a balancer with the settings in the JSON file SETTINGS.",
};

static int error_report(const struct error *error)
{
	const struct error_answer *answer = error_answer(error->kind);

	fprintf(stderr, "parsleyladder balancer: %s: %s\n", answer->name,
		error->detail);
	return answer->exit_code;
}

int command_balancer(int argc, char **argv)
{
	struct balancer_arguments arguments = { 0 };
	struct settings *settings;
	struct balancer *balancer;
	struct error error;
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	settings = settings_load(arguments.settings_path, &error);
	if (!settings)
		return error_report(&error);
	log_open(settings->log_level, settings->instance_id);
	balancer = balancer_create(settings, clock_system(), &error);
	if (!balancer) {
		status = error_report(&error);
		goto out;
	}
	balancer_run(balancer);
	balancer_destroy(balancer);
	status = 0;
out:
	log_close();
	settings_destroy(settings);
	return status;
}
