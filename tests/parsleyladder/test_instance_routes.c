/*
 * Guards against check-configuration comparing with other routes or open flows
 * than those in force at a balancer, and against exit codes of an instance that
 * is unreachable, has no routes, or answers something else.
 */

#include <check.h>
#include <gio/gio.h>
#include <string.h>

#include "balancer_fixture.h"
#include "parsleyladder/instance_routes.h"
#include "platform/items.h"
#include "position.h"
#include "suite.h"

#define CONFIGURATIONS SOURCE_ROOT "/tests/parsleyladder/check-configuration/"
#define OPEN_FLOWS 5001

static struct balancer_fixture fixture;

static void balancer_open(void)
{
	balancer_fixture_open(&fixture);
}

static void balancer_close(void)
{
	balancer_fixture_close(&fixture);
}

static void on_output(GObject *source, GAsyncResult *result, gpointer context)
{
	(void)source;
	*(GAsyncResult **)context = g_object_ref(result);
}

/* Checks @file against the instance; returns the exit code. */
static int command_run(const char *file, const char *address, char **output)
{
	char *path = g_strconcat(CONFIGURATIONS, file, NULL);
	GAsyncResult *result = NULL;
	GSubprocess *process =
		g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					 G_SUBPROCESS_FLAGS_STDERR_MERGE,
				 NULL, PROGRAM, "check-configuration",
				 "--against-instance", address, path, NULL);
	int exit_code;

	ck_assert_ptr_nonnull(process);
	g_subprocess_communicate_utf8_async(process, NULL, NULL, on_output,
					    &result);
	while (!result)
		g_main_context_iteration(NULL, TRUE);
	ck_assert(g_subprocess_communicate_utf8_finish(process, result, output,
						       NULL, NULL));
	exit_code = g_subprocess_get_exit_status(process);
	g_object_unref(result);
	g_object_unref(process);
	g_free(path);
	return exit_code;
}

static int instance_check(const char *file, char **output)
{
	char address[64];

	g_snprintf(address, sizeof(address), "%s:%d",
		   inet_ntoa(balancer_fixture_address()), ADMIN_PORT);
	return command_run(file, address, output);
}

static void configuration_apply(const char *file, bool is_partial)
{
	char *path = g_strconcat(CONFIGURATIONS, file, NULL);
	struct store_item item;
	size_t length;
	char *text;

	ck_assert(g_file_get_contents(path, &text, &length, NULL));
	store_item_parse("op/config", text, length, position_at(1), &item);
	ck_assert_int_eq(item.kind, STORE_ITEM_ROUTING);
	if (is_partial)
		routing_inherit_attributes(item.routing, NULL);
	ck_assert(
		steering_set_routing(fixture.balancer->steering, item.routing));
	store_item_clear(&item);
	g_free(text);
	g_free(path);
}

/* A host of the service with open flows. */
static void host_add(const char *id, const char *service, uint32_t open_flows)
{
	struct host_table *hosts = steering_hosts(fixture.balancer->steering);
	struct host_announcement announcement = { .port = 80,
						  .slots = 1,
						  .position = position_at(1) };

	g_strlcpy(announcement.id, id, sizeof(announcement.id));
	g_strlcpy(announcement.service, service, sizeof(announcement.service));
	g_strlcpy(announcement.zone, "a", sizeof(announcement.zone));
	ck_assert(ip_address_parse("10.9.0.9", &announcement.address));
	host_table_put(hosts, &announcement, fixture.now_ns);
	host_table_find(hosts, id)->open_flows = open_flows;
}

static void assert_contains(const char *output, const char *text)
{
	ck_assert_msg(strstr(output, text) != NULL, "%s\n%s", text, output);
}

START_TEST(same_configuration_does_not_differ) {
	char *output;

	configuration_apply("in-force.json", false);
	ck_assert_int_eq(instance_check("clean.json", &output), 0);
	ck_assert_str_eq(output, "errors: 0, warnings: 0, notes: 0\n");
	g_free(output);
	ck_assert_int_eq(instance_check("in-force.json", &output), 0);
	assert_contains(output, "version 7 is in force already");
	g_free(output);
}
END_TEST

START_TEST(differences_have_open_flows) {
	char *output;

	configuration_apply("in-force.json", false);
	host_add("i-1", "archive", 30);
	host_add("i-2", "archive", 12);
	host_add("i-3", "examen", OPEN_FLOWS);
	ck_assert_int_eq(instance_check("differences.json", &output), 1);
	assert_contains(output, "changes, priority from 1 to 2");
	assert_contains(output, "route 198.51.100.2:443 to archive is removed; "
				"42 open flows of service \"archive\"");
	assert_contains(output, "42 open flows of service \"archive\" at this "
				"balancer end [flows_end]");
	assert_contains(output, "$.services[0].maxConns: 5000 is below the "
				"5001 open flows of service \"examen\"");
	assert_contains(output, "$.services[0]: definition of service "
				"\"examen\" changes");
	assert_contains(output, "from 15000 ms to 10000 ms");
	g_free(output);
}
END_TEST

/* The attributes of partial routes are not those of their version. */
START_TEST(partial_routes_have_no_attributes) {
	char *output;

	configuration_apply("in-force.json", true);
	ck_assert_int_eq(instance_check("clean.json", &output), 0);
	ck_assert_str_eq(output, "errors: 0, warnings: 0, notes: 0\n");
	g_free(output);
}
END_TEST

START_TEST(instance_without_routes_is_an_error) {
	char *output;

	ck_assert_int_eq(instance_check("clean.json", &output), 66);
	assert_contains(output, "not_found: the balancer has no routes yet");
	g_free(output);
}
END_TEST

START_TEST(unreachable_instance_is_an_error) {
	char *output;

	/* Nothing listens there. */
	ck_assert_int_eq(command_run("clean.json", "127.0.0.1:1", &output), 68);
	assert_contains(output, "unreachable: 127.0.0.1:1");
	g_free(output);
	ck_assert_int_eq(command_run("clean.json", "no:address", &output), 64);
	g_free(output);
}
END_TEST

START_TEST(malformed_routes_are_rejected) {
	static const struct {
		const char *text;
		enum error_kind kind;
	} cases[] = {
		{ "[]", ERROR_PEER },
		{ "{}", ERROR_PEER },
		{ "{\"is_known\":true}", ERROR_PEER },
		{ "{\"is_known\":true,\"services\":[]}", ERROR_PEER },
		{ "{\"is_known\":true,\"services\":[7]}", ERROR_PEER },
		{ "{\"is_known\":true,\"services\":[],\"version\":1,"
		  "\"is_partial\":false,\"idle_timeout_ms\":1,\"routes\":[{}],"
		  "\"slow_start_limits\":[]}",
		  ERROR_PEER },
		{ "{\"is_known\":true,\"services\":[],\"version\":1,"
		  "\"is_partial\":false,\"idle_timeout_ms\":1,\"routes\":[],"
		  "\"slow_start_limits\":[null]}",
		  ERROR_PEER },
		{ "{\"is_known\":false,\"services\":[]}", ERROR_NOT_FOUND },
		{ "{\"is_known\":true,\"services\":[],\"version\":1,"
		  "\"is_partial\":false,\"idle_timeout_ms\":1,\"routes\":[],"
		  "\"slow_start_limits\":[]}",
		  ERROR_NONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		JsonNode *root = json_from_string(cases[i].text, NULL);
		struct error error = { 0 };
		struct instance_routes routes;

		ck_assert_int_eq(instance_routes_read(root, &routes, &error),
				 cases[i].kind == ERROR_NONE);
		ck_assert_int_eq(error.kind, cases[i].kind);
		instance_routes_clear(&routes);
		json_node_unref(root);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("instance routes");
	TCase *tests = tcase_create("command");

	tcase_add_checked_fixture(tests, balancer_open, balancer_close);
	tcase_add_test(tests, same_configuration_does_not_differ);
	tcase_add_test(tests, differences_have_open_flows);
	tcase_add_test(tests, partial_routes_have_no_attributes);
	tcase_add_test(tests, instance_without_routes_is_an_error);
	tcase_add_test(tests, unreachable_instance_is_an_error);
	tcase_add_test(tests, malformed_routes_are_rejected);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
