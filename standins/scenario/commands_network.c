#include <string.h>

#include "standins/scenario/commands.h"

/* Zones of the deployment may be given by their last letters ("a"). */
static const char *zone_name(const struct runner *runner, const char *word)
{
	const GPtrArray *zones = runner->deployment->zones;

	for (guint i = 0; i < zones->len; i++) {
		const char *suffix = strrchr(zones->pdata[i], '-');

		if (suffix && strcmp(suffix + 1, word) == 0)
			return zones->pdata[i];
	}
	return word;
}

/* World and link know the same requests about paths between zones. */
static bool path_tell(struct runner *runner, const struct scenario_line *line,
		      const char *name, const char *const *members,
		      const double *values, struct error *error)
{
	if (!runner_require_world(runner, error))
		return false;
	for (int i = 0; i < 2; i++) {
		JsonObject *request = runner_request(name);

		json_object_set_string_member(
			request, "a", zone_name(runner, line->words[1]));
		json_object_set_string_member(
			request, "b", zone_name(runner, line->words[2]));
		for (int j = 0; members[j]; j++)
			json_object_set_double_member(request, members[j],
						      values[j]);
		if (i == 0) {
			if (!runner_tell_world(runner, request, error))
				return false;
		} else if (!runner->uses_links) {
			json_object_unref(request);
		} else if (!runner_tell_link(runner, request, error)) {
			return false;
		}
	}
	return true;
}

static bool cut_tell(struct runner *runner, const struct scenario_line *line,
		     double cut, struct error *error)
{
	const char *members[] = { "cut", NULL };

	return path_tell(runner, line, "cut", members, &cut, error);
}

SCENARIO_COMMAND(cut)
{
	return cut_tell(runner, line, 1, error);
}

SCENARIO_COMMAND(heal)
{
	return cut_tell(runner, line, 0, error);
}

SCENARIO_COMMAND(delay)
{
	const char *members[] = { "delay_ms", "jitter_ms", NULL };
	double values[2];

	return scenario_number_parse(line->words[3], &values[0], error) &&
	       scenario_line_number(line, 4, "jitter", 0, &values[1], error) &&
	       path_tell(runner, line, "delay", members, values, error);
}

SCENARIO_COMMAND(lose)
{
	const char *members[] = { "loss", NULL };
	double loss;

	if (!scenario_number_parse(line->words[3], &loss, error))
		return false;
	loss /= 100;
	return path_tell(runner, line, "lose", members, &loss, error);
}

SCENARIO_COMMAND(host)
{
	JsonObject *request = runner_request("host_down");

	json_object_set_string_member(request, "service", line->words[2]);
	json_object_set_string_member(request, "host", line->words[3]);
	json_object_set_int_member(request, "down",
				   strcmp(line->words[1], "down") == 0);
	return runner_tell_world(runner, request, error);
}
