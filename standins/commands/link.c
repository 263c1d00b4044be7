#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "standins/command.h"
#include "standins/control.h"
#include "standins/link/link.h"

static const struct argp_option options[] = {
	{ "seed", 's', "NUMBER", 0, "seed of the random numbers (1)", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	uint64_t *seed = state->input;

	if (key != 's')
		return ARGP_ERR_UNKNOWN;
	*seed = strtoull(argument, NULL, 10);
	return 0;
}

static const struct argp parser = {
	.options = options,
	.parser = parse_option,
	.doc = "Relays traffic between balancers with delay, loss and cuts.",
};

int standin_command_link(int argc, char **argv)
{
	struct control_handler handler = { .handle = link_control };
	struct error error = { 0 };
	struct control *control;
	struct link *link;
	uint64_t seed = 1;

	argp_parse(&parser, argc, argv, 0, NULL, &seed);
	link = link_create(seed);
	handler.context = link;
	control = control_create(&handler, &error);
	if (!control) {
		fprintf(stderr, "parsleyladder-standin: %s\n", error.detail);
		link_destroy(link);
		return error_answer(error.kind)->exit_code;
	}
	printf("ready control=%u\n", control_port(control));
	fflush(stdout);
	standin_loop_run();
	control_destroy(control);
	link_destroy(link);
	return 0;
}
