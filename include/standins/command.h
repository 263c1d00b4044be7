#ifndef PARSLEYLADDER_STANDINS_COMMAND_H
#define PARSLEYLADDER_STANDINS_COMMAND_H

/**
 * Subcommands of parsleyladder-standin. Each prints one line
 * "ready NAME=PORT..." to the standard output once its sockets are open, and
 * runs until SIGTERM.
 */

#include <stdbool.h>

struct standin_command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** Returns NULL if there is no command @name. */
const struct standin_command *standin_command_find(const char *name);
void standin_command_list(void);

int standin_command_link(int argc, char **argv);
int standin_command_platform(int argc, char **argv);
int standin_command_world(int argc, char **argv);

/** Runs the default GLib main loop until SIGTERM or SIGINT. */
void standin_loop_run(void);

#endif
