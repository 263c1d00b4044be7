#include "common/command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"

static int command_compare(const void *key, const void *element)
{
	const struct command *command = element;

	return strcmp(key, command->name);
}

const struct command *command_find(const struct command_set *set,
				   const char *name)
{
	return bsearch(name, set->commands, set->count,
		       sizeof(set->commands[0]), command_compare);
}

static void usage_print(const struct command_set *set)
{
	printf("Usage: %s COMMAND [ARGUMENT...]\n\nCommands:\n", set->program);
	for (size_t i = 0; i < set->count; i++)
		printf("  %-19s %s\n", set->commands[i].name,
		       set->commands[i].summary);
	printf("\n`%s COMMAND --help` describes a command.\n", set->program);
}

int command_set_run(const struct command_set *set, int argc, char **argv)
{
	const struct command *command;

	if (argc < 2) {
		usage_print(set);
		return error_kind_info(ERROR_USAGE)->exit_code;
	}
	if (strcmp(argv[1], "--help") == 0) {
		usage_print(set);
		return 0;
	}
	if (set->version && strcmp(argv[1], "--version") == 0) {
		printf("%s %s\n", set->program, set->version);
		return 0;
	}
	command = command_find(set, argv[1]);
	if (!command) {
		fprintf(stderr, "%s: unknown command '%s'\n", set->program,
			argv[1]);
		return error_kind_info(ERROR_USAGE)->exit_code;
	}
	return command->run(argc - 1, argv + 1);
}
