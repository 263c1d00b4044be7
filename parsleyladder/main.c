#include <stdio.h>
#include <string.h>

#include "common/error.h"
#include "parsleyladder/command.h"

static void usage_print(void)
{
	puts("Usage: parsleyladder COMMAND [ARGUMENT...]\n\nCommands:");
	command_list();
	puts("\n`parsleyladder COMMAND --help` describes a command.");
}

int main(int argc, char **argv)
{
	const struct command *command;

	if (argc < 2) {
		usage_print();
		return error_answer(ERROR_USAGE)->exit_code;
	}
	if (strcmp(argv[1], "--help") == 0) {
		usage_print();
		return 0;
	}
	if (strcmp(argv[1], "--version") == 0)
		return command_version(0, NULL);
	command = command_find(argv[1]);
	if (!command) {
		fprintf(stderr, "parsleyladder: no command '%s'\n", argv[1]);
		return error_answer(ERROR_USAGE)->exit_code;
	}
	return command->run(argc - 1, argv + 1);
}
