#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "standins/command.h"
#include "standins/control.h"
#include "standins/world/world.h"

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
	.doc = "Plays the fabric, the callers and the backend servers.",
};

int standin_command_world(int argc, char **argv)
{
	struct control_handler handler = { .handle = world_control };
	struct error error = { 0 };
	struct control *control;
	struct world *world;
	uint64_t seed = 1;

	argp_parse(&parser, argc, argv, 0, NULL, &seed);
	world = world_create(seed, &error);
	if (!world)
		goto failed;
	handler.context = world;
	control = control_create(&handler, &error);
	if (!control) {
		world_destroy(world);
		goto failed;
	}
	printf("ready control=%u fabric=%u\n", control_port(control),
	       fabric_port(world->fabric));
	fflush(stdout);
	standin_loop_run();
	control_destroy(control);
	world_destroy(world);
	return 0;

failed:
	fprintf(stderr, "parsleyladder-standin: %s\n", error.detail);
	return error_answer(error.kind)->exit_code;
}
