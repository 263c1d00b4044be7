#include <argp.h>
#include <errno.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <zmq.h>

#include "common/error.h"
#include "parsleyladder/command.h"
#include "peer/transport.h"

static const struct argp argp = {
	.doc = "Prints a new CURVE key pair for the connections between "
	       "balancers, as JSON with the members public_key and secret_key.",
};

static char *key_pair_print(const char *public_key, const char *secret_key)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "public_key");
	json_builder_add_string_value(builder, public_key);
	json_builder_set_member_name(builder, "secret_key");
	json_builder_add_string_value(builder, secret_key);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

int command_keygen(int argc, char **argv)
{
	char public_key[CURVE_KEY_TEXT_BYTES];
	char secret_key[CURVE_KEY_TEXT_BYTES];
	char *text;

	argp_err_exit_status = error_answer(ERROR_USAGE)->exit_code;
	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return error_answer(ERROR_USAGE)->exit_code;
	if (zmq_curve_keypair(public_key, secret_key) != 0) {
		fprintf(stderr, "parsleyladder: keygen: %s\n",
			zmq_strerror(errno));
		return error_answer(ERROR_INTERNAL)->exit_code;
	}
	text = key_pair_print(public_key, secret_key);
	puts(text);
	g_free(text);
	return 0;
}
