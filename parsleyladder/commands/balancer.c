#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "parsleyladder/balancer.h"
#include "parsleyladder/command.h"
#include "parsleyladder/settings_argument.h"

int command_balancer(int argc, char **argv)
{
	char name[] = "parsleyladder balancer";
	struct settings *settings;
	struct balancer *balancer;
	struct error error = { 0 };
	int status;

	if (argc > 1 && strcmp(argv[1], "--print-settings") == 0)
		return command_print_settings(argc - 1, argv + 1);
	settings = settings_argument_load(
		argc, argv, name,
		"Runs a balancer with the settings in the JSON file FILE. With "
		"--print-settings first, it prints them and ends.",
		&status);
	if (!settings)
		return status;
	log_open(settings->log_level, settings->instance_id);
	balancer = balancer_create(settings, clock_system(), &error);
	if (balancer) {
		balancer_run(balancer);
		balancer_destroy(balancer);
	} else {
		fprintf(stderr, "parsleyladder balancer: %s: %s\n",
			error_answer(error.kind)->name, error.detail);
	}
	log_close();
	settings_destroy(settings);
	return error_answer(error.kind)->exit_code;
}
