#ifndef PARSLEYLADDER_PARSLEYLADDER_SETTINGS_ARGUMENT_H
#define PARSLEYLADDER_PARSLEYLADDER_SETTINGS_ARGUMENT_H

/**
 * Command line of the commands whose only argument is a settings file.
 */

#include "configuration/settings.h"

/**
 * Parses the command line and loads the file that it names. Returns NULL with
 * the exit code of the command if the file is not valid; ends the process if
 * the command line is wrong.
 */
struct settings *settings_argument_load(int argc, char **argv, char *name,
					const char *summary, int *exit_code);

#endif
