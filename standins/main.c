#include "standins/command.h"

static const struct command commands[] = {
	{ "link", "relay between balancers", standin_command_link },
	{ "platform", "the platform's configuration service",
	  standin_command_platform },
	{ "world", "fabric, callers and backend servers",
	  standin_command_world },
};

int main(int argc, char **argv)
{
	const struct command_set set = {
		.program = "parsleyladder-standin",
		.commands = commands,
		.count = sizeof(commands) / sizeof(commands[0]),
	};

	return command_set_run(&set, argc, argv);
}
