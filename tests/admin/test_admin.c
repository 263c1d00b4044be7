/*
 * Guards against requests that change something or reveal data or paths without
 * authorization, wrong status codes, and commands whose exit code hides a
 * failure.
 */

#include <check.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "admin/admin.h"
#include "suite.h"

#define FLOW_PATH "/v1/explain?protocol=tcp&caller=192.0.2.1&caller_port=4000"

static const char *binary; /* parsleyladder, first argument */
static struct admin *admin;

static void state_print(void *context, JsonBuilder *builder)
{
	(void)context;
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "revision");
	json_builder_add_int_value(builder, 4);
	json_builder_end_object(builder);
}

static bool service_print(void *context, const char *name, JsonBuilder *builder,
			  struct error *error)
{
	if (strcmp(name, "examen") != 0) {
		/* Output added before the failure must not be sent. */
		json_builder_begin_object(builder);
		return error_set(error, ERROR_NOT_FOUND, "no service %s", name);
	}
	state_print(context, builder);
	return true;
}

static bool explain_print(void *context, const struct flow_key *key,
			  JsonBuilder *builder, struct error *error)
{
	char text[IP_ADDRESS_TEXT_BYTES];
	char *flow;

	(void)context;
	(void)error;
	flow = g_strdup_printf("%u %s:%u", key->protocol,
			       ip_address_print(&key->caller, text),
			       key->caller_port);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "flow");
	json_builder_add_string_value(builder, flow);
	json_builder_end_object(builder);
	g_free(flow);
	return true;
}

static void counters_print(void *context, GString *text)
{
	(void)context;
	g_string_append(text, "edge_received 12\n");
}

static void server_open(const char *token)
{
	struct admin_options options = {
		.address = "127.0.0.1",
		.token = token,
		.print_state = state_print,
		.print_service = service_print,
		.print_explain = explain_print,
		.print_counters = counters_print,
	};
	struct error error;

	admin = admin_create(&options, &error);
	ck_assert_msg(admin != NULL, "%s", error.detail);
}

static void task_record(GObject *source, GAsyncResult *result, gpointer data)
{
	GAsyncResult **out = data;

	(void)source;
	*out = g_object_ref(result);
}

static GAsyncResult *task_wait(GAsyncResult **result)
{
	while (!*result)
		g_main_context_iteration(NULL, TRUE);
	return *result;
}

/* Sends a request and returns the body; status and Allow are in @message. */
static char *request(const char *method, const char *path, const char *header,
		     SoupMessage **message)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", admin_port(admin),
				    path);
	SoupSession *session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	GAsyncResult *result = NULL;
	GError *error = NULL;
	GByteArray *array;
	GBytes *body;

	*message = soup_message_new(method, url);
	if (header)
		soup_message_headers_append(
			soup_message_get_request_headers(*message),
			"Authorization", header);
	soup_session_send_and_read_async(session, *message, 0, NULL,
					 task_record, &result);
	body = soup_session_send_and_read_finish(session, task_wait(&result),
						 &error);
	ck_assert_msg(body != NULL, "%s", error ? error->message : "");
	array = g_bytes_unref_to_array(body);
	g_byte_array_append(array, (const guint8 *)"", 1);
	g_object_unref(result);
	g_object_unref(session);
	g_free(url);
	return (char *)g_byte_array_free(array, FALSE);
}

static const struct {
	const char *method;
	const char *path;
	unsigned int status;
	const char *body; /* text that the body contains */
} requests[] = {
	{ "GET", "/v1/state", 200, "{\"revision\":4}" },
	{ "HEAD", "/v1/state", 200, "" },
	{ "GET", "/v1/services/examen", 200, "{\"revision\":4}" },
	{ "GET", "/v1/services/none", 404, "{\"error\":\"not_found\"" },
	{ "GET", "/v1/services/", 404, "not_found" },
	{ "GET", "/v1/counters", 200, "edge_received 12\n" },
	{ "GET", "/v1/members", 404, "not_found" }, /* callback is NULL */
	{ "GET", "/", 404, "not_found" },
	{ "GET", "/v1/state/", 404, "not_found" },
	{ "GET", "/v1/%ff%22", 404, "not_found" },
	{ "POST", "/v1/state", 405, "\"error\":\"usage\"" },
	{ "PUT", "/v1/none", 405, "usage" },
	{ "DELETE", "/v1/services/examen", 405, "usage" },
	{ "GET", FLOW_PATH "&address=192.0.2.9&port=443", 200,
	  "\"6 192.0.2.1:4000\"" },
	{ "GET", FLOW_PATH "&address=192.0.2.9", 400, "'port' is missing" },
	{ "GET", FLOW_PATH "&address=192.0.2.9&port=0", 400, "port '0'" },
	{ "GET", FLOW_PATH "&address=192.0.2.9&port=65536", 400, "65535" },
	{ "GET", FLOW_PATH "&address=x&port=443", 400, "an IP address" },
	{ "GET", FLOW_PATH "&address=::1&port=443", 400, "two IP versions" },
	{ "GET", FLOW_PATH "&address=192.0.2.9&port=443&x=1", 400,
	  "unknown parameter" },
	{ "GET", "/v1/explain?protocol=icmp", 400, "tcp or udp" },
	{ "GET", "/v1/explain", 400, "usage" },
};

START_TEST(request_gets_status_and_body) {
	SoupMessage *message;
	char *body;

	server_open(NULL);
	body = request(requests[_i].method, requests[_i].path, NULL, &message);
	ck_assert_msg(soup_message_get_status(message) == requests[_i].status &&
			      strstr(body, requests[_i].body),
		      "%s %s: %u %s", requests[_i].method, requests[_i].path,
		      soup_message_get_status(message), body);
	if (strcmp(requests[_i].method, "HEAD") == 0)
		ck_assert_str_eq(body, "");
	ck_assert_int_eq(soup_message_headers_get_one(
				 soup_message_get_response_headers(message),
				 "Allow") != NULL,
			 requests[_i].status == 405);
	g_free(body);
	g_object_unref(message);
	admin_destroy(admin);
}
END_TEST

static const struct {
	const char *header;
	const char *path;
	unsigned int status;
} tokens[] = {
	{ NULL, "/v1/state", 401 },
	{ NULL, "/v1/none", 401 }, /* an unknown path reveals nothing */
	{ "Bearer secret", "/v1/state", 200 },
	{ "Bearer secre", "/v1/state", 401 },
	{ "Bearer secrets", "/v1/state", 401 },
	{ "Bearer secretsecret", "/v1/state", 401 },
	{ "Bearer Secret", "/v1/state", 401 },
	{ "Bearer ", "/v1/state", 401 },
	{ "Basic secret", "/v1/state", 401 },
	{ "secret", "/v1/state", 401 },
};

START_TEST(token_is_required) {
	SoupMessage *message;
	char *body;

	server_open("secret");
	body = request("GET", tokens[_i].path, tokens[_i].header, &message);
	ck_assert_uint_eq(soup_message_get_status(message), tokens[_i].status);
	ck_assert_int_eq(strstr(body, "revision") != NULL,
			 tokens[_i].status == 200);
	g_free(body);
	g_object_unref(message);
	admin_destroy(admin);
}
END_TEST

START_TEST(listen_failure_sets_error_kind) {
	struct admin_options options = { .address = "127.0.0.1" };
	struct error error = { 0 };

	server_open(NULL);
	options.port = admin_port(admin);
	ck_assert_ptr_null(admin_create(&options, &error));
	ck_assert_int_eq(error.kind, ERROR_ADDRESS_IN_USE);
	options.address = "localhost";
	ck_assert_ptr_null(admin_create(&options, &error));
	ck_assert_int_eq(error.kind, ERROR_SETTINGS);
	options.address = "192.0.2.1";
	ck_assert_ptr_null(admin_create(&options, &error));
	ck_assert_int_eq(error.kind, ERROR_IO);
	admin_destroy(admin);
}
END_TEST

/* "@" in arguments is replaced by the address of the server. */
static const struct {
	const char *arguments;
	int exit_code;
	const char *output; /* text that the output contains */
} commands[] = {
	{ "dump @ --token secret", 0, "\"revision\" : 4" },
	{ "dump @ -t secret -p /v1/counters", 0, "edge_received 12\n" },
	{ "dump @ --token secret --path /v1/services/none", 66,
	  "not_found: status 404: no service none" },
	{ "dump @", 64, "status 401" },
	{ "dump @ --path v1/state", 64, "begin with '/'" },
	{ "dump", 64, "Usage: parsleyladder dump" },
	{ "dump @ @", 64, "Too many arguments" },
	{ "dump 127.0.0.1:1", 74, "127.0.0.1:1" }, /* nothing listens there */
	{ "dump not:an:address", 64, "not IP:PORT" },
	{ "explain @ --token secret --caller 192.0.2.1 --caller-port 4000 "
	  "--address 192.0.2.9 --port 443 --protocol udp",
	  0, "\"17 192.0.2.1:4000\"" },
	{ "explain @ --token secret --caller 192.0.2.1&x --caller-port 4000 "
	  "--address 192.0.2.9 --port 443",
	  64, "'192.0.2.1&x' is not an IP address" },
	{ "explain @ --caller 192.0.2.1", 64, "--caller-port is missing" },
	{ "explain", 64, "Usage: parsleyladder explain" },
};

static GSubprocess *command_start(const char *arguments)
{
	char *address = g_strdup_printf("127.0.0.1:%u", admin_port(admin));
	char *line = g_strdup_printf("%s %s", binary, arguments);
	char **argv = g_strsplit(line, " ", -1);
	GSubprocess *process;

	for (int i = 0; argv[i]; i++) {
		if (strcmp(argv[i], "@") != 0)
			continue;
		g_free(argv[i]);
		argv[i] = g_strdup(address);
	}
	process = g_subprocess_newv((const char *const *)argv,
				    G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					    G_SUBPROCESS_FLAGS_STDERR_MERGE,
				    NULL);
	g_strfreev(argv);
	g_free(line);
	g_free(address);
	return process;
}

START_TEST(command_sets_exit_code) {
	GAsyncResult *result = NULL;
	GSubprocess *process;
	char *output = NULL;

	server_open("secret");
	process = command_start(commands[_i].arguments);
	ck_assert_ptr_nonnull(process);
	g_subprocess_communicate_utf8_async(process, NULL, NULL, task_record,
					    &result);
	ck_assert(g_subprocess_communicate_utf8_finish(
		process, task_wait(&result), &output, NULL, NULL));
	ck_assert_msg(g_subprocess_get_exit_status(process) ==
				      commands[_i].exit_code &&
			      strstr(output, commands[_i].output),
		      "%s: %d %s", commands[_i].arguments,
		      g_subprocess_get_exit_status(process), output);
	g_free(output);
	g_object_unref(result);
	g_object_unref(process);
	admin_destroy(admin);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *suite = suite_create("admin");
	TCase *tests = tcase_create("admin");

	if (argc != 2)
		return EXIT_FAILURE;
	binary = argv[1];
	tcase_add_loop_test(tests, request_gets_status_and_body, 0,
			    G_N_ELEMENTS(requests));
	tcase_add_loop_test(tests, token_is_required, 0, G_N_ELEMENTS(tokens));
	tcase_add_test(tests, listen_failure_sets_error_kind);
	tcase_add_loop_test(tests, command_sets_exit_code, 0,
			    G_N_ELEMENTS(commands));
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
