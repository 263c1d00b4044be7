#ifndef PARSLEYLADDER_STANDINS_COMMAND_H
#define PARSLEYLADDER_STANDINS_COMMAND_H

/**
 * Subcommands of parsleyladder-standin. Each prints one line
 * "ready NAME=PORT..." to the standard output once its sockets are open, and
 * runs until SIGTERM.
 */

#include "common/command.h"

int standin_command_link(int argc, char **argv);
int standin_command_platform(int argc, char **argv);
int standin_command_world(int argc, char **argv);

/** Runs the default GLib main loop until SIGTERM or SIGINT. */
void standin_loop_run(void);

#endif
