#include "parsleyladder/command.h"

static const struct command commands[] = {
	{ "balancer", "run a balancer", command_balancer },
	{ "check-configuration", "check a configuration before publication",
	  command_check_configuration },
	{ "check-settings", "check the settings of a process",
	  command_check_settings },
	{ "dump", "print the state of a live process", command_dump },
	{ "explain", "say where a packet of a flow would go, and why",
	  command_explain },
	{ "print-settings", "print the settings of a process with defaults",
	  command_print_settings },
	{ "version", "print the version", command_version },
};

int main(int argc, char **argv)
{
	const struct command_set set = {
		.program = "parsleyladder",
		.version = PARSLEYLADDER_VERSION,
		.commands = commands,
		.count = sizeof(commands) / sizeof(commands[0]),
	};

	return command_set_run(&set, argc, argv);
}
