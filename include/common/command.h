#ifndef PARSLEYLADDER_COMMON_COMMAND_H
#define PARSLEYLADDER_COMMON_COMMAND_H

/**
 * Commands of a binary: a sorted table of names and functions. Each command
 * parses its own arguments with argp and returns an exit code (see
 * error_kind_info()).
 */

#include <stddef.h>

struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

struct command_set {
	const char *program;
	const char *version; /* printed by --version; NULL for none */
	const struct command *commands; /* sorted by name */
	size_t count;
};

/** Returns NULL if there is no command @name. */
const struct command *command_find(const struct command_set *set,
				   const char *name);
/** Runs the command named by the first argument; returns the exit code. */
int command_set_run(const struct command_set *set, int argc, char **argv);

#endif
