#include <argp.h>

#include "parsleyladder/admin_client.h"
#include "parsleyladder/command.h"

struct dump_arguments {
	const char *address;
	const char *path;
	const char *token;
};

static const struct argp_option options[] = {
	{ "token", 't', "TOKEN", 0, "Bearer token of the process", 0 },
	{ "path", 'p', "PATH", 0, "Path to request, /v1/state by default", 0 },
	{ 0 },
};

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	struct dump_arguments *arguments = state->input;

	switch (key) {
	case 't':
		arguments->token = argument;
		return 0;
	case 'p':
		if (argument[0] != '/')
			argp_error(state, "the path must begin with '/'");
		arguments->path = argument;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->address)
			return ARGP_ERR_UNKNOWN;
		arguments->address = argument;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = option_parse,
	.args_doc = "ADDRESS",
	.doc = "Prints the state of the live process whose administration "
	       "address is ADDRESS (IP:PORT).",
};

int command_dump(int argc, char **argv)
{
	struct dump_arguments arguments = { .path = "/v1/state" };

	/* Program name in usage messages. */
	argv[0] = (char[]){ "parsleyladder dump" };
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	return admin_client_print(arguments.address, arguments.path,
				  arguments.token);
}
