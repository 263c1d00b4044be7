#include "standins/scenario/runner.h"

#include <inttypes.h>
#include <stdio.h>

/* How often the instance list is compared with what the platform was told. */
#define LISTING_MS 200

/* Default control budget of a balancer. */
#define CONTROL_BYTES_PER_S 4096

struct runner *runner_create(const struct runner_options *options,
			     const struct scenario_text *text)
{
	struct runner *runner = g_new0(struct runner, 1);

	runner->options = *options;
	runner->text = text;
	runner->seed = 1;
	runner->control_bytes_per_s = CONTROL_BYTES_PER_S;
	runner->balancers = g_ptr_array_new();
	runner->totals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return runner;
}

static void standin_end(struct standin *standin)
{
	if (standin->channel)
		channel_destroy(standin->channel);
	if (standin->process)
		process_destroy(standin->process);
	standin->channel = NULL;
	standin->process = NULL;
}

static void deployment_end(struct runner *runner)
{
	if (runner->listing_source != 0)
		g_source_remove(runner->listing_source);
	runner->listing_source = 0;
	fleet_figures_destroy(runner);
	fleet_destroy(runner);
	standin_end(&runner->world);
	standin_end(&runner->platform);
	standin_end(&runner->link);
	if (runner->deployment)
		deployment_destroy(runner->deployment);
	runner->deployment = NULL;
	g_clear_pointer(&runner->listed, g_free);
}

void runner_end_deployment(struct runner *runner)
{
	GHashTable *figures = NULL;

	if (runner->world.process)
		figures = figures_collect(runner, NULL);
	if (figures) {
		figures_add_totals(runner, figures);
		g_hash_table_destroy(figures);
	}
	runner->unexpected_exits += fleet_unexpected_exits(runner);
	deployment_end(runner);
}

void runner_destroy(struct runner *runner)
{
	deployment_end(runner);
	g_ptr_array_free(runner->balancers, TRUE);
	g_hash_table_destroy(runner->totals);
	g_free(runner);
}

JsonObject *runner_request(const char *name)
{
	JsonObject *request = json_object_new();

	json_object_set_string_member(request, "do", name);
	return request;
}

static bool standin_tell(struct standin *standin, JsonObject *request,
			 struct error *error)
{
	JsonObject *reply = channel_request(standin->channel, request, error);

	json_object_unref(request);
	if (!reply)
		return false;
	json_object_unref(reply);
	return true;
}

bool runner_tell_world(struct runner *runner, JsonObject *request,
		       struct error *error)
{
	return standin_tell(&runner->world, request, error);
}

bool runner_tell_link(struct runner *runner, JsonObject *request,
		      struct error *error)
{
	return standin_tell(&runner->link, request, error);
}

JsonObject *runner_ask_platform(struct runner *runner, const char *path,
				JsonObject *request, struct error *error)
{
	g_autofree char *url = g_strdup_printf(
		"http://127.0.0.1:%u%s", runner->platform_control_port, path);
	g_autofree char *body = channel_print(request);
	g_autofree char *answer = channel_http(url, NULL, body, error);

	json_object_unref(request);
	return answer ? channel_parse(answer, error) : NULL;
}

bool runner_tell_platform(struct runner *runner, const char *path,
			  JsonObject *request, struct error *error)
{
	JsonObject *reply = runner_ask_platform(runner, path, request, error);

	if (!reply)
		return false;
	json_object_unref(reply);
	return true;
}

static bool standin_start(struct runner *runner, struct standin *standin,
			  const char *command, bool takes_seed,
			  struct error *error)
{
	g_autofree char *seed =
		g_strdup_printf("--seed=%" PRIu64, runner->seed);
	g_autofree char *log = g_strdup_printf("%s/%s-%u.log",
					       runner->options.scratch, command,
					       runner->phase);
	const char *argv[] = { runner->options.standin_path, command,
			       takes_seed ? seed : NULL, NULL };

	standin->process = process_start(argv, log, true, error);
	return standin->process != NULL;
}

static bool standin_connect(struct standin *standin, struct error *error)
{
	uint16_t port = process_ready_port(standin->process, "control", error);

	if (port == 0)
		return false;
	standin->channel = channel_create(port, error);
	return standin->channel != NULL;
}

static gboolean on_listing(gpointer data)
{
	struct error error = { 0 };

	if (!fleet_publish_instances(data, &error))
		fprintf(stderr, "instance list: %s\n", error.detail);
	return G_SOURCE_CONTINUE;
}

static bool platform_start(struct runner *runner, struct error *error)
{
	if (!standin_start(runner, &runner->platform, "platform", false, error))
		return false;
	runner->platform_port =
		process_ready_port(runner->platform.process, "platform", error);
	runner->platform_control_port =
		process_ready_port(runner->platform.process, "control", error);
	return runner->platform_port != 0 && runner->platform_control_port != 0;
}

bool runner_require_world(struct runner *runner, struct error *error)
{
	if (runner->world.process)
		return true;
	if (!runner->deployment)
		return error_set(error, ERROR_USAGE, "no deployment yet");
	runner->phase++;
	if (!standin_start(runner, &runner->world, "world", true, error) ||
	    !standin_connect(&runner->world, error) ||
	    !platform_start(runner, error))
		return false;
	if (runner->uses_links &&
	    (!standin_start(runner, &runner->link, "link", true, error) ||
	     !standin_connect(&runner->link, error)))
		return false;
	runner->fabric_port =
		process_ready_port(runner->world.process, "fabric", error);
	if (runner->fabric_port == 0 || !publish_all(runner, error) ||
	    !settings_files_write(runner, error))
		return false;
	runner->listing_source = g_timeout_add(LISTING_MS, on_listing, runner);
	return true;
}

static void line_print(const struct scenario_line *line)
{
	printf("line %u:", line->number);
	for (int i = 0; i < line->word_count; i++)
		printf(" %s", line->words[i]);
	putchar('\n');
	fflush(stdout);
}

bool runner_run(struct runner *runner)
{
	struct error error = { 0 };
	const struct scenario_line *line = runner->text->lines;
	unsigned int exits;

	for (size_t i = 0; i < runner->text->line_count; i++, line++) {
		line_print(line);
		if (command_run(runner, line, &error))
			continue;
		printf("%s:%u: %s (seed %" PRIu64 ")\n", runner->text->path,
		       line->number, error.detail, runner->seed);
		return false;
	}
	exits = (unsigned int)runner->unexpected_exits +
		fleet_unexpected_exits(runner);
	if (exits == 0)
		return true;
	printf("%s: expected no balancer to end by itself, seen %u "
	       "(seed %" PRIu64 ")\n",
	       runner->text->path, exits, runner->seed);
	return false;
}
