#ifndef PARSLEYLADDER_PARSLEYLADDER_COMMAND_H
#define PARSLEYLADDER_PARSLEYLADDER_COMMAND_H

/**
 * Commands of the binary, one file each under parsleyladder/commands.
 */

#include "common/command.h"

int command_balancer(int argc, char **argv);
int command_check_configuration(int argc, char **argv);
int command_check_settings(int argc, char **argv);
int command_dump(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_print_settings(int argc, char **argv);
int command_version(int argc, char **argv);

#endif
