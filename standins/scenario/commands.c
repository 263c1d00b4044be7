#include "standins/scenario/commands.h"

#include <stdlib.h>
#include <string.h>

/* Sorted by name for bsearch(). */
static const struct scenario_command commands[] = {
	{ "balancers", 2, "balancers COUNT", command_balancers },
	{ "budget", 2, "budget BYTES_PER_S", command_budget },
	{ "churn", 4,
	  "churn FLOWS_PER_S service NAME [requests N] [rate R] "
	  "[protocol tcp|udp] [ends fin|reset]",
	  command_churn },
	{ "close", 3, "close service NAME [host HOST] [reopen yes|no]",
	  command_close },
	{ "cut", 3, "cut ZONE ZONE", command_cut },
	{ "delay", 4, "delay ZONE ZONE MS [jitter MS]", command_delay },
	{ "deployment", 2, "deployment DIRECTORY", command_deployment },
	{ "end", 2, "end deployment", command_end },
	{ "expect", 4, "expect NAME OPERATOR VALUE [within SECONDS]",
	  command_expect },
	{ "figure", 3, "figure NAME UNIT", command_figure },
	{ "freeze", 3, "freeze balancer N", command_freeze },
	{ "heal", 3, "heal ZONE ZONE", command_heal },
	{ "host", 4, "host down|up SERVICE HOST", command_host },
	{ "kill", 3, "kill balancer N", command_kill },
	{ "links", 2, "links on|off", command_links },
	{ "lose", 4, "lose ZONE ZONE PERCENT", command_lose },
	{ "mark", 1, "mark", command_mark },
	{ "open", 4,
	  "open FLOWS service NAME [rate R] [over SECONDS] [payload BYTES] "
	  "[protocol tcp|udp]",
	  command_open },
	{ "platform", 2, "platform up|down|hold|stale [REVISION]",
	  command_platform },
	{ "print", 2, "print TEXT", command_print },
	{ "publish", 2,
	  "publish all | drain|serve|remove SERVICE HOST | "
	  "add SERVICE HOST ZONE | file PART PATH | text PART TEXT",
	  command_publish },
	{ "seed", 2, "seed NUMBER", command_seed },
	{ "send", 4, "send REQUESTS service NAME", command_send },
	{ "start", 2, "start balancers | balancer N [within SECONDS]",
	  command_start },
	{ "stop", 3, "stop balancer N | opening SERVICE", command_stop },
	{ "wait", 2, "wait SECONDS", command_wait },
	{ "wake", 3, "wake balancer N", command_wake },
};

static int command_compare(const void *key, const void *element)
{
	return strcmp(key, ((const struct scenario_command *)element)->name);
}

bool command_run(struct runner *runner, const struct scenario_line *line,
		 struct error *error)
{
	const struct scenario_command *command =
		bsearch(line->words[0], commands, G_N_ELEMENTS(commands),
			sizeof(commands[0]), command_compare);

	if (!command)
		return error_set(error, ERROR_USAGE, "no command '%s'",
				 line->words[0]);
	if (line->word_count < command->words_min)
		return error_set(error, ERROR_USAGE, "usage: %s",
				 command->usage);
	return command->run(runner, line, error);
}
