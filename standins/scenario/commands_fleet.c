#include <string.h>

#include "standins/scenario/commands.h"

static struct balancer *balancer_read(struct runner *runner,
				      const struct scenario_line *line,
				      struct error *error)
{
	struct balancer *balancer;
	double number;

	if (line->word_count < 3 || strcmp(line->words[1], "balancer") != 0) {
		error_set(error, ERROR_USAGE, "usage: %s balancer N",
			  line->words[0]);
		return NULL;
	}
	if (!scenario_number_parse(line->words[2], &number, error))
		return NULL;
	balancer = fleet_find(runner, (unsigned int)number);
	if (!balancer)
		error_set(error, ERROR_USAGE, "no balancer %s", line->words[2]);
	return balancer;
}

SCENARIO_COMMAND(balancers)
{
	double count;

	if (!scenario_number_parse(line->words[1], &count, error))
		return false;
	if (!runner->deployment || runner->balancers->len != 0)
		return error_set(error, ERROR_USAGE,
				 "balancers follow one deployment");
	fleet_create(runner, (unsigned int)count);
	return true;
}

SCENARIO_COMMAND(deployment)
{
	if (runner->deployment)
		return error_set(error, ERROR_USAGE,
				 "the deployment before has not ended");
	runner->deployment = deployment_load(line->words[1], error);
	return runner->deployment != NULL;
}

SCENARIO_COMMAND(end)
{
	if (strcmp(line->words[1], "deployment") != 0)
		return error_set(error, ERROR_USAGE, "usage: end deployment");
	runner_end_deployment(runner);
	return true;
}

SCENARIO_COMMAND(freeze)
{
	struct balancer *balancer = balancer_read(runner, line, error);

	return balancer && fleet_freeze(runner, balancer, error);
}

SCENARIO_COMMAND(kill)
{
	struct balancer *balancer = balancer_read(runner, line, error);

	return balancer && fleet_kill(runner, balancer, error);
}

SCENARIO_COMMAND(wake)
{
	struct balancer *balancer = balancer_read(runner, line, error);

	return balancer && fleet_wake(runner, balancer, error);
}

SCENARIO_COMMAND(start)
{
	bool is_all = strcmp(line->words[1], "balancers") == 0;
	struct balancer *balancer;
	double bound_s;

	if (!scenario_line_number(line, is_all ? 2 : 3, "within", START_BOUND_S,
				  &bound_s, error))
		return false;
	if (is_all)
		return fleet_start(runner, 1, runner->balancers->len, bound_s,
				   error);
	balancer = balancer_read(runner, line, error);
	return balancer && fleet_start(runner, balancer->number,
				       balancer->number, bound_s, error);
}

static bool opening_stop(struct runner *runner, const char *service,
			 struct error *error)
{
	JsonObject *request = runner_request("stop_opening");

	json_object_set_string_member(request, "service", service);
	return runner_tell_world(runner, request, error);
}

SCENARIO_COMMAND(stop)
{
	struct balancer *balancer;

	if (strcmp(line->words[1], "opening") == 0)
		return opening_stop(runner, line->words[2], error);
	balancer = balancer_read(runner, line, error);
	return balancer && fleet_stop(runner, balancer, error);
}

SCENARIO_COMMAND(links)
{
	if (runner->world.process)
		return error_set(error, ERROR_USAGE,
				 "links are set before the first start");
	runner->uses_links = strcmp(line->words[1], "on") == 0;
	return true;
}

SCENARIO_COMMAND(seed)
{
	runner->seed = g_ascii_strtoull(line->words[1], NULL, 10);
	return true;
}

SCENARIO_COMMAND(budget)
{
	double bytes_per_s;

	if (runner->world.process)
		return error_set(error, ERROR_USAGE,
				 "the budget is set before the first start");
	if (!scenario_number_parse(line->words[1], &bytes_per_s, error))
		return false;
	runner->control_bytes_per_s = (uint32_t)bytes_per_s;
	return true;
}
