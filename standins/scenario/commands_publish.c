#include <string.h>

#include "standins/scenario/commands.h"

static bool publish_file(struct runner *runner, const char *part,
			 const char *path, struct error *error)
{
	g_autoptr(GError) failure = NULL;
	g_autofree char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &failure))
		return error_set(error, ERROR_IO, "%s", failure->message);
	return publish_text(runner, part, text, error);
}

static bool deployment_edit(struct runner *runner,
			    const struct scenario_line *line,
			    struct error *error)
{
	struct deployment *deployment = runner->deployment;
	const char *verb = line->words[1];
	const char *service = line->words[2];
	const char *host = line->words[3];

	if (strcmp(verb, "drain") == 0)
		return deployment_set_host(deployment, service, host,
					   "draining", error);
	if (strcmp(verb, "serve") == 0)
		return deployment_set_host(deployment, service, host, "serving",
					   error);
	if (strcmp(verb, "remove") == 0)
		return deployment_remove_host(deployment, service, host, error);
	if (strcmp(verb, "add") == 0 && line->word_count == 5)
		return deployment_add_host(deployment, service, host,
					   line->words[4], error);
	return error_set(error, ERROR_USAGE, "cannot publish '%s'", verb);
}

SCENARIO_COMMAND(publish)
{
	const char *verb = line->words[1];

	if (!runner_require_world(runner, error))
		return false;
	if (strcmp(verb, "all") == 0)
		return publish_all(runner, error);
	if (line->word_count < 4)
		return error_set(error, ERROR_USAGE, "too few words");
	if (strcmp(verb, "file") == 0)
		return publish_file(runner, line->words[2], line->words[3],
				    error);
	if (strcmp(verb, "text") == 0)
		return publish_text(runner, line->words[2], line->words[3],
				    error);
	return deployment_edit(runner, line, error) &&
	       publish_all(runner, error);
}

SCENARIO_COMMAND(platform)
{
	JsonObject *request;

	if (!runner_require_world(runner, error))
		return false;
	request = json_object_new();
	json_object_set_string_member(request, "mode", line->words[1]);
	if (line->word_count > 2)
		json_object_set_int_member(
			request, "revision",
			g_ascii_strtoll(line->words[2], NULL, 10));
	return runner_tell_platform(runner, "/control/mode", request, error);
}
