#include "parsleyladder/command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sorted by name for bsearch(). */
static const struct command commands[] = {
	{ "balancer", "run a balancer", command_balancer },
	{ "check-config", "check a configuration, and say what a change does",
	  command_check_config },
	{ "check-settings", "check the settings of a process",
	  command_check_settings },
	{ "dump", "print the state of a live process", command_dump },
	{ "explain", "say where a packet of a flow would go, and why",
	  command_explain },
	{ "keygen", "print a new key pair for peers", command_keygen },
	{ "print-settings", "print the settings of a process with defaults",
	  command_print_settings },
	{ "version", "print the version", command_version },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static int command_compare(const void *key, const void *element)
{
	const struct command *command = element;

	return strcmp(key, command->name);
}

const struct command *command_find(const char *name)
{
	return bsearch(name, commands, COMMAND_COUNT, sizeof(commands[0]),
		       command_compare);
}

void command_list(void)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		printf("  %-14s %s\n", commands[i].name, commands[i].summary);
}
