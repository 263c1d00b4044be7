#include <string.h>

#include "standins/scenario/commands.h"

/* Adds the pair @option as the number @member if it is given. */
static bool number_copy(const struct scenario_line *line, int first,
			const char *option, JsonObject *request,
			const char *member, struct error *error)
{
	double value;

	if (!scenario_line_option(line, first, option, NULL))
		return true;
	if (!scenario_line_number(line, first, option, 0, &value, error))
		return false;
	json_object_set_double_member(request, member, value);
	return true;
}

static bool shape_read(const struct scenario_line *line, JsonObject *request,
		       struct error *error)
{
	const char *ends = scenario_line_option(line, 2, "ends", "fin");

	json_object_set_string_member(
		request, "service",
		scenario_line_option(line, 2, "service", ""));
	json_object_set_string_member(
		request, "protocol",
		scenario_line_option(line, 2, "protocol", "tcp"));
	json_object_set_int_member(request, "reset",
				   strcmp(ends, "reset") == 0);
	return number_copy(line, 2, "rate", request, "rate", error) &&
	       number_copy(line, 2, "requests", request, "requests", error) &&
	       number_copy(line, 2, "payload", request, "payload_bytes", error);
}

SCENARIO_COMMAND(open)
{
	JsonObject *request = runner_request("open");
	double over_s;
	double flows;

	if (!scenario_number_parse(line->words[1], &flows, error) ||
	    !scenario_line_number(line, 2, "over", 0, &over_s, error) ||
	    !shape_read(line, request, error)) {
		json_object_unref(request);
		return false;
	}
	json_object_set_double_member(request, "flows", flows);
	if (over_s > 0)
		json_object_set_double_member(request, "flows_per_s",
					      flows / over_s);
	return runner_tell_world(runner, request, error);
}

SCENARIO_COMMAND(churn)
{
	JsonObject *request = runner_request("open");
	double flows_per_s;

	/* A short flow has one request, unless the line says otherwise. */
	json_object_set_int_member(request, "requests", 1);
	json_object_set_double_member(request, "rate", 10);
	if (!scenario_number_parse(line->words[1], &flows_per_s, error) ||
	    !shape_read(line, request, error)) {
		json_object_unref(request);
		return false;
	}
	json_object_set_double_member(request, "flows_per_s", flows_per_s);
	return runner_tell_world(runner, request, error);
}

SCENARIO_COMMAND(close)
{
	const char *host = scenario_line_option(line, 1, "host", NULL);
	JsonObject *request = runner_request("close");

	json_object_set_string_member(
		request, "service",
		scenario_line_option(line, 1, "service", ""));
	if (host)
		json_object_set_string_member(request, "host", host);
	json_object_set_int_member(
		request, "reopen",
		strcmp(scenario_line_option(line, 1, "reopen", "no"), "yes") ==
			0);
	return runner_tell_world(runner, request, error);
}

SCENARIO_COMMAND(send)
{
	JsonObject *request = runner_request("send");
	double requests;

	if (!scenario_number_parse(line->words[1], &requests, error)) {
		json_object_unref(request);
		return false;
	}
	json_object_set_string_member(
		request, "service",
		scenario_line_option(line, 2, "service", ""));
	json_object_set_double_member(request, "requests", requests);
	return runner_tell_world(runner, request, error);
}
