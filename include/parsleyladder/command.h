#ifndef PARSLEYLADDER_PARSLEYLADDER_COMMAND_H
#define PARSLEYLADDER_PARSLEYLADDER_COMMAND_H

/**
 * Commands of the binary. Each one parses its own arguments with argp and
 * returns an exit code (see error_answer()).
 */

struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** Returns NULL if there is no command @name. */
const struct command *command_find(const char *name);
/** Prints name and summary of every command to the standard output. */
void command_list(void);

int command_balancer(int argc, char **argv);
int command_check_config(int argc, char **argv);
int command_check_settings(int argc, char **argv);
int command_dump(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_keygen(int argc, char **argv);
int command_print_settings(int argc, char **argv);
int command_version(int argc, char **argv);

#endif
