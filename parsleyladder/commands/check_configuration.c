#include <argp.h>
#include <glib.h>
#include <stdio.h>

#include "configuration/settings.h"
#include "parsleyladder/admin_client.h"
#include "parsleyladder/command.h"
#include "parsleyladder/instance_routes.h"
#include "parsleyladder/settings_check.h"
#include "platform/configuration_check.h"

/* Larger files are not read, which bounds the memory of the check. */
#define FILE_BYTES_MAX (64 * 1024 * 1024)

/* Above all characters, so that argp offers no short options for these. */
#define KEY_AGAINST 0x100
#define KEY_SETTINGS 0x101
#define KEY_JSON 0x102
#define KEY_INSTANCE 0x103

struct check_arguments {
	const char *path;
	const char *against;
	const char *instance;
	const char *token;
	const char *settings;
	bool is_json;
};

static const struct argp_option options[] = {
	{ "against", KEY_AGAINST, "FILE", 0,
	  "Compare with the configuration in force, from FILE", 0 },
	{ "against-instance", KEY_INSTANCE, "ADDRESS", 0,
	  "Compare with the routes of the balancer whose administration "
	  "address is ADDRESS (IP:PORT)",
	  0 },
	{ "token", 't', "TOKEN", 0, "Bearer token of the balancer", 0 },
	{ "settings", KEY_SETTINGS, "FILE", 0,
	  "Check against the settings of a balancer, too", 0 },
	{ "json", KEY_JSON, NULL, 0, "Print JSON", 0 },
	{ 0 },
};

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	struct check_arguments *arguments = state->input;

	switch (key) {
	case KEY_AGAINST:
		arguments->against = argument;
		return 0;
	case KEY_INSTANCE:
		arguments->instance = argument;
		return 0;
	case 't':
		arguments->token = argument;
		return 0;
	case KEY_SETTINGS:
		arguments->settings = argument;
		return 0;
	case KEY_JSON:
		arguments->is_json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->path)
			argp_usage(state);
		arguments->path = argument;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (arguments->against && arguments->instance)
			argp_error(state, "--against and --against-instance "
					  "exclude each other");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = option_parse,
	.args_doc = "FILE",
	.doc = "Checks the configuration in FILE, a JSON object as the "
	       "operator publishes it, and prints what is wrong with it.",
};

/* Returns NULL and fills @error (ERROR_IO) if the file cannot be read. */
static char *file_read(const char *path, size_t *length, struct error *error)
{
	GError *reason = NULL;
	char *data;

	if (!g_file_get_contents(path, &data, length, &reason)) {
		error_set(error, ERROR_IO, "%s", reason->message);
		g_error_free(reason);
		return NULL;
	}
	if (*length <= FILE_BYTES_MAX)
		return data;
	error_set(error, ERROR_IO, "%s: %zu bytes, allowed at most %d", path,
		  *length, FILE_BYTES_MAX);
	g_free(data);
	return NULL;
}

/* Returns NULL without an error if the text is not a JSON object. */
static struct checked_configuration *
file_check(const char *path, struct finding_list *findings, struct error *error)
{
	struct checked_configuration *checked;
	size_t length;
	char *data = file_read(path, &length, error);

	if (!data)
		return NULL;
	checked = configuration_check(data, length, findings);
	g_free(data);
	return checked;
}

static bool file_compare(const char *path, const struct routing_draft *draft,
			 const struct routing_report *report,
			 struct error *error)
{
	struct checked_configuration *current = file_check(path, NULL, error);
	bool is_usable = current && !checked_configuration_is_rejected(current);

	if (is_usable)
		routing_diff(draft, checked_configuration_draft(current), NULL,
			     report);
	else if (error->kind == ERROR_NONE)
		error_set(error, ERROR_IO,
			  "%s: not a configuration that balancers accept",
			  path);
	checked_configuration_destroy(current);
	return is_usable;
}

static bool instance_compare(const struct check_arguments *arguments,
			     const struct routing_draft *draft,
			     const struct routing_report *report,
			     struct error *error)
{
	JsonNode *root = admin_client_fetch(arguments->instance,
					    INSTANCE_ROUTES_PATH,
					    arguments->token, error);
	struct instance_routes routes;
	struct service_flows flows;
	bool is_valid;

	if (!root)
		return false;
	is_valid = instance_routes_read(root, &routes, error);
	if (is_valid) {
		instance_routes_flows(&routes, &flows);
		routing_diff(draft, &routes.draft, &flows, report);
		routing_check_connections(draft, &flows, report);
	}
	instance_routes_clear(&routes);
	json_node_unref(root);
	return is_valid;
}

/* Compares with the version in force, if one is given. */
static bool version_compare(const struct check_arguments *arguments,
			    const struct routing_draft *draft,
			    const struct routing_report *report,
			    struct error *error)
{
	if (arguments->against)
		return file_compare(arguments->against, draft, report, error);
	if (arguments->instance)
		return instance_compare(arguments, draft, report, error);
	return true;
}

static bool settings_compare(const char *path,
			     const struct routing_draft *draft,
			     const struct routing_report *report,
			     struct error *error)
{
	struct settings *settings = settings_load(path, error);

	if (!settings)
		return false;
	settings_check(settings, draft, report);
	settings_destroy(settings);
	return true;
}

static bool check_run(const struct check_arguments *arguments,
		      struct finding_list *findings, struct error *error)
{
	struct checked_configuration *checked =
		file_check(arguments->path, findings, error);
	const struct routing_draft *draft;
	struct routing_report report;
	bool is_complete = true;

	if (!checked)
		return error->kind == ERROR_NONE;
	draft = checked_configuration_draft(checked);
	checked_configuration_report(checked, findings, &report);
	if (arguments->settings)
		is_complete = settings_compare(arguments->settings, draft,
					       &report, error);
	/* Routes that were not decoded would be reported as removed. */
	if (is_complete && !checked_configuration_is_rejected(checked))
		is_complete = version_compare(arguments, draft, &report, error);
	checked_configuration_destroy(checked);
	return is_complete;
}

static void findings_print(const struct finding_list *findings, bool is_json)
{
	GString *text = g_string_new(NULL);

	if (is_json) {
		JsonBuilder *builder = json_builder_new();
		JsonNode *root;
		char *json;

		finding_list_print_json(findings, builder);
		root = json_builder_get_root(builder);
		json = json_to_string(root, TRUE);
		g_string_append_printf(text, "%s\n", json);
		g_free(json);
		json_node_unref(root);
		g_object_unref(builder);
	} else {
		finding_list_print_text(findings, text);
	}
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
}

int command_check_configuration(int argc, char **argv)
{
	struct check_arguments arguments = { 0 };
	struct finding_list *findings = finding_list_create();
	struct error error = { 0 };

	argp_err_exit_status = error_kind_info(ERROR_USAGE)->exit_code;
	/* Program name in usage messages. */
	argv[0] = (char[]){ "parsleyladder check-configuration" };
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (check_run(&arguments, findings, &error)) {
		findings_print(findings, arguments.is_json);
		error.kind = finding_list_result(findings);
	} else {
		fprintf(stderr, "parsleyladder check-configuration: %s: %s\n",
			error_kind_info(error.kind)->name, error.detail);
	}
	finding_list_destroy(findings);
	return error_kind_info(error.kind)->exit_code;
}
