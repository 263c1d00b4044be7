#include <argp.h>
#include <glib.h>

#include "parsleyladder/admin_client.h"
#include "parsleyladder/command.h"

/* Parameters of /v1/explain, in the order of their options. */
enum explain_parameter {
	EXPLAIN_PROTOCOL,
	EXPLAIN_CALLER,
	EXPLAIN_CALLER_PORT,
	EXPLAIN_ADDRESS,
	EXPLAIN_PORT,
	EXPLAIN_PARAMETERS,
};

/* Above all characters, so that argp offers no short options for these. */
#define KEY_PARAMETER 0x100

struct explain_arguments {
	const char *address;
	const char *token;
	const char *values[EXPLAIN_PARAMETERS];
};

static const char *const parameter_names[EXPLAIN_PARAMETERS] = {
	"protocol", "caller", "caller_port", "address", "port",
};

static const struct argp_option options[] = {
	{ "protocol", KEY_PARAMETER + EXPLAIN_PROTOCOL, "PROTOCOL", 0,
	  "Protocol of the flow, tcp or udp; tcp by default", 0 },
	{ "caller", KEY_PARAMETER + EXPLAIN_CALLER, "IP", 0,
	  "Address of the caller", 0 },
	{ "caller-port", KEY_PARAMETER + EXPLAIN_CALLER_PORT, "PORT", 0,
	  "Port of the caller", 0 },
	{ "address", KEY_PARAMETER + EXPLAIN_ADDRESS, "IP", 0,
	  "Address of the service", 0 },
	{ "port", KEY_PARAMETER + EXPLAIN_PORT, "PORT", 0,
	  "Port of the service", 0 },
	{ "token", 't', "TOKEN", 0, "Bearer token of the process", 0 },
	{ 0 },
};

static void arguments_check(const struct explain_arguments *arguments,
			    struct argp_state *state)
{
	if (!arguments->address)
		argp_usage(state);
	for (int i = 0; i < EXPLAIN_PARAMETERS; i++) {
		if (!arguments->values[i])
			argp_error(state, "option --%s is missing",
				   options[i].name);
	}
}

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	struct explain_arguments *arguments = state->input;

	switch (key) {
	case KEY_PARAMETER ... KEY_PARAMETER + EXPLAIN_PARAMETERS - 1:
		arguments->values[key - KEY_PARAMETER] = argument;
		return 0;
	case 't':
		arguments->token = argument;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->address)
			return ARGP_ERR_UNKNOWN;
		arguments->address = argument;
		return 0;
	case ARGP_KEY_END:
		arguments_check(arguments, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = option_parse,
	.args_doc = "ADDRESS",
	.doc = "Asks the live process whose administration address is ADDRESS "
	       "(IP:PORT) what it would do with a packet of a flow, and why.",
};

static char *path_create(const struct explain_arguments *arguments)
{
	GString *path = g_string_new("/v1/explain");

	for (int i = 0; i < EXPLAIN_PARAMETERS; i++) {
		g_string_append_printf(path, "%c%s=", i == 0 ? '?' : '&',
				       parameter_names[i]);
		g_string_append_uri_escaped(path, arguments->values[i], NULL,
					    FALSE);
	}
	return g_string_free(path, FALSE);
}

int command_explain(int argc, char **argv)
{
	struct explain_arguments arguments = {
		.values[EXPLAIN_PROTOCOL] = "tcp",
	};
	char *path;
	int exit_code;

	/* Program name in usage messages. */
	argv[0] = (char[]){ "parsleyladder explain" };
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	path = path_create(&arguments);
	exit_code =
		admin_client_print(arguments.address, path, arguments.token);
	g_free(path);
	return exit_code;
}
