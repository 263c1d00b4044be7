#include <argp.h>
#include <stdio.h>

#include "standins/command.h"
#include "standins/platform/server.h"

static const struct argp parser = {
	.doc = "Plays the platform's configuration service over HTTP.",
};

int standin_command_platform(int argc, char **argv)
{
	struct platform_server *server;
	struct error error = { 0 };

	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	server = platform_server_create(&error);
	if (!server) {
		fprintf(stderr, "parsleyladder-standin: %s\n", error.detail);
		return error_answer(error.kind)->exit_code;
	}
	printf("ready control=%u platform=%u\n",
	       platform_server_control_port(server),
	       platform_server_port(server));
	fflush(stdout);
	standin_loop_run();
	platform_server_destroy(server);
	return 0;
}
