#include <stdio.h>
#include <string.h>

#include "common/error.h"
#include "standins/command.h"

static void usage_print(void)
{
	puts("Usage: parsleyladder-standin COMMAND [OPTION...]\n\nCommands:");
	standin_command_list();
	puts("\n`parsleyladder-standin COMMAND --help` describes a command.");
}

int main(int argc, char **argv)
{
	const struct standin_command *command;

	if (argc < 2) {
		usage_print();
		return error_answer(ERROR_USAGE)->exit_code;
	}
	if (strcmp(argv[1], "--help") == 0) {
		usage_print();
		return 0;
	}
	command = standin_command_find(argv[1]);
	if (!command) {
		fprintf(stderr, "parsleyladder-standin: no command '%s'\n",
			argv[1]);
		return error_answer(ERROR_USAGE)->exit_code;
	}
	return command->run(argc - 1, argv + 1);
}
