#ifndef PARSLEYLADDER_STANDINS_SCENARIO_COMMANDS_H
#define PARSLEYLADDER_STANDINS_SCENARIO_COMMANDS_H

/**
 * Handlers of the commands of the scenario language; see
 * standins/scenario/commands.c for the words that each one takes.
 */

#include "standins/scenario/runner.h"

struct scenario_command {
	const char *name;
	int words_min; /* the command included */
	const char *usage;
	bool (*run)(struct runner *runner, const struct scenario_line *line,
		    struct error *error);
};

#define SCENARIO_COMMAND(name)                                \
	bool command_##name(struct runner *runner,            \
			    const struct scenario_line *line, \
			    struct error *error)

SCENARIO_COMMAND(balancers);
SCENARIO_COMMAND(budget);
SCENARIO_COMMAND(churn);
SCENARIO_COMMAND(close);
SCENARIO_COMMAND(cut);
SCENARIO_COMMAND(delay);
SCENARIO_COMMAND(deployment);
SCENARIO_COMMAND(end);
SCENARIO_COMMAND(expect);
SCENARIO_COMMAND(figure);
SCENARIO_COMMAND(freeze);
SCENARIO_COMMAND(heal);
SCENARIO_COMMAND(host);
SCENARIO_COMMAND(kill);
SCENARIO_COMMAND(links);
SCENARIO_COMMAND(lose);
SCENARIO_COMMAND(mark);
SCENARIO_COMMAND(open);
SCENARIO_COMMAND(platform);
SCENARIO_COMMAND(print);
SCENARIO_COMMAND(publish);
SCENARIO_COMMAND(seed);
SCENARIO_COMMAND(send);
SCENARIO_COMMAND(start);
SCENARIO_COMMAND(stop);
SCENARIO_COMMAND(wait);
SCENARIO_COMMAND(wake);

#endif
