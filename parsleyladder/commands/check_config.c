#include <argp.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/error.h"
#include "configuration/configuration.h"
#include "configuration/diff.h"
#include "parsleyladder/command.h"

struct check_arguments {
	GPtrArray *old; /* paths */
	GPtrArray *new; /* paths */
	GPtrArray *current; /* which of both the next path belongs to */
};

static const struct argp_option options[] = {
	{ "old", 'o', NULL, 0, "The files that follow are the old revision",
	  0 },
	{ "new", 'n', NULL, 0, "The files that follow are the new revision",
	  0 },
	{ 0 },
};

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	struct check_arguments *arguments = state->input;

	switch (key) {
	case 'o':
		arguments->current = arguments->old;
		return 0;
	case 'n':
		arguments->current = arguments->new;
		return 0;
	case ARGP_KEY_ARG:
		g_ptr_array_add(arguments->current, g_strdup(argument));
		return 0;
	case ARGP_KEY_END:
		if (arguments->new->len == 0)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = option_parse,
	.args_doc = "FILE...\nOLD-DIRECTORY NEW-DIRECTORY\n"
		    "--old FILE... --new FILE...",
	.doc = "Checks the parts of a configuration, and says what a change "
	       "from an old one to a new one would do. A directory stands for "
	       "the files *.json in it.",
};

static bool is_directory(const char *path)
{
	return g_file_test(path, G_FILE_TEST_IS_DIR);
}

static gint compare_paths(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static bool add_directory(GPtrArray *files, const char *path,
			  struct error *error)
{
	GError *reason = NULL;
	GDir *directory = g_dir_open(path, 0, &reason);
	const char *name;

	if (!directory) {
		error_set(error, ERROR_CONFIGURATION, "%s", reason->message);
		g_error_free(reason);
		return false;
	}
	while ((name = g_dir_read_name(directory))) {
		if (g_str_has_suffix(name, ".json"))
			g_ptr_array_add(files,
					g_build_filename(path, name, NULL));
	}
	g_dir_close(directory);
	g_ptr_array_sort(files, compare_paths);
	return true;
}

static struct configuration *load(const GPtrArray *paths, uint64_t revision,
				  struct error *error)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
	struct configuration *configuration = NULL;
	bool is_listed = true;

	for (guint i = 0; i < paths->len && is_listed; i++) {
		const char *path = g_ptr_array_index(paths, i);

		if (is_directory(path))
			is_listed = add_directory(files, path, error);
		else
			g_ptr_array_add(files, g_strdup(path));
	}
	if (is_listed)
		configuration =
			configuration_load_files((char *const *)files->pdata,
						 files->len, revision, error);
	g_ptr_array_unref(files);
	return configuration;
}

static void print_summary(const struct configuration *configuration)
{
	size_t host_count = 0;

	for (size_t i = 0; i < configuration->service_count; i++)
		host_count += configuration->services[i].host_count;
	printf("valid: %zu profiles, %zu services, %zu hosts, digest "
	       "%016" PRIx64 "\n",
	       configuration->profile_count, configuration->service_count,
	       host_count, configuration->digest);
}

static bool print_diff(const struct configuration *old,
		       const struct configuration *new, struct error *error)
{
	struct configuration_diff *diff = configuration_diff_create(old, new);
	char *text = configuration_diff_print(diff);
	bool is_allowed = configuration_diff_check(diff, error);

	fputs(text, stdout);
	g_free(text);
	configuration_diff_destroy(diff);
	return is_allowed;
}

static bool check(const struct check_arguments *arguments, struct error *error)
{
	struct configuration *old = NULL;
	struct configuration *new = load(arguments->new, 2, error);
	bool is_valid = new != NULL;

	if (is_valid && arguments->old->len > 0) {
		old = load(arguments->old, 1, error);
		is_valid = old != NULL;
	}
	if (is_valid)
		print_summary(new);
	if (is_valid && old)
		is_valid = print_diff(old, new, error);
	configuration_unref(old);
	configuration_unref(new);
	return is_valid;
}

/** Two directories and nothing else mean the old and the new revision. */
static void take_directories(struct check_arguments *arguments)
{
	GPtrArray *new = arguments->new;

	if (arguments->old->len > 0 || new->len != 2 ||
	    !is_directory(g_ptr_array_index(new, 0)) ||
	    !is_directory(g_ptr_array_index(new, 1)))
		return;
	g_ptr_array_add(arguments->old, g_ptr_array_steal_index(new, 0));
}

int command_check_config(int argc, char **argv)
{
	struct check_arguments arguments = {
		.old = g_ptr_array_new_with_free_func(g_free),
		.new = g_ptr_array_new_with_free_func(g_free),
	};
	struct error error = { 0 };
	int exit_code = 0;

	argp_err_exit_status = error_answer(ERROR_USAGE)->exit_code;
	argv[0] = (char[]){ "parsleyladder check-config" };
	arguments.current = arguments.new;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
	take_directories(&arguments);
	if (!check(&arguments, &error)) {
		fprintf(stderr, "parsleyladder: %s\n", error.detail);
		exit_code = error_answer(error.kind)->exit_code;
	}
	g_ptr_array_unref(arguments.old);
	g_ptr_array_unref(arguments.new);
	return exit_code;
}
