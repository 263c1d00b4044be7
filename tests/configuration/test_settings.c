/*
 * Guards against settings that are accepted with a wrong value, and against
 * errors that do not name the place, the value and what is allowed.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "configuration/field_reader.h"
#include "configuration/settings.h"
#include "suite.h"

#define PUBLIC "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define SECRET "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6"
#define PEER_KEY "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"

/* Every text that a case replaces occurs once. */
static const char valid[] =
	"{\"instance_id\":\"one\",\"availability_zone\":\"a\","
	"\"data_address\":\"127.0.0.1\",\"fabric_address\":\"127.0.0.2\","
	"\"data_port\":7000,\"platform_url\":\"http://127.0.0.1:8500\","
	"\"public_key\":\"" PUBLIC "\",\"secret_key\":\"" SECRET "\","
	"\"peers\":[{\"instance_id\":\"two\",\"availability_zone\":\"b\","
	"\"address\":\"::1\",\"public_key\":\"" PEER_KEY "\"}]}";

static const struct {
	const char *old;
	const char *new;
	const char *detail;
} bad_cases[] = {
	{ "\"data_port\":7000", "\"data_port\":70000",
	  "f: $.data_port: 70000 is out of range, allowed 1 to 65535" },
	{ "7000", "0",
	  "f: $.data_port: 0 is out of range, allowed 1 to 65535" },
	{ "7000", "-1",
	  "f: $.data_port: -1 is out of range, allowed 1 to 65535" },
	{ "7000", "7000.5",
	  "f: $.data_port: 7000.5 is not an integer, allowed 1 to 65535" },
	{ "7000", "\"7000\"",
	  "f: $.data_port: \"7000\" is not an integer, allowed 1 to 65535" },
	{ "7000", "null",
	  "f: $.data_port: null is not an integer, allowed 1 to 65535" },
	{ "7000", "[7000]",
	  "f: $.data_port: [7000] is not an integer, allowed 1 to 65535" },
	{ "7000", "18446744073709551617",
	  "f: line 1: number is longer than 18 characters" },
	{ "7000", "07000", "f: line 1: number starts with 0" },
	{ "7000", "0x10", "f: line 1: unexpected character" },
	{ "7000", "/*c*/1", "f: line 1: unexpected character" },
	{ "7000", "7000,\"data_port\":1", "f: line 1: field occurs twice" },
	{ "\"data_port\"", "\"dataport\"",
	  "f: $.dataport: unknown field, allowed instance_id, "
	  "availability_zone, data_address, data_port, pass_port, peer_port, "
	  "fabric_address, fabric_port, admin_address, admin_port, "
	  "admin_token, platform_url, peers, flow_hash_seed, log_level, "
	  "control_bytes_per_second, public_key, secret_key, accepted_keys, "
	  "drain_deadline_seconds, max_exceptions, configuration_files" },
	{ "\"one\"", "\"\"",
	  "f: $.instance_id: \"\" is not valid, allowed 1 to 63 characters of "
	  "A-Z a-z 0-9 . _ -, the first a letter or digit" },
	{ "\"one\"", "\"o\\u0000e\"", "f: line 1: NUL character in a string" },
	{ "\"instance_id\":\"one\",", "",
	  "f: $.instance_id: is missing, allowed 1 to 63 characters of "
	  "A-Z a-z 0-9 . _ -, the first a letter or digit" },
	{ "127.0.0.2", "127.0.0.256",
	  "f: $.fabric_address: \"127.0.0.256\" is not valid, allowed an IPv4 "
	  "or IPv6 address" },
	{ "\"http://", "\"ftp://",
	  "f: $.platform_url: \"ftp://127.0.0.1:8500\" is not valid, allowed "
	  "an http URL without query" },
	{ "\"platform_url\":\"http://127.0.0.1:8500\"",
	  "\"log_level\":\"loud\"",
	  "f: $.log_level: \"loud\" is not known, allowed error, warning, "
	  "info, debug" },
	{ "\"platform_url\":\"http://127.0.0.1:8500\"", "\"admin_token\":\"t\"",
	  "f: $.platform_url: is missing, allowed an http URL, or files in "
	  "configuration_files" },
	{ "\"data_port\":7000", "\"configuration_files\":[\"x\"]",
	  "f: $.configuration_files: is given beside platform_url, allowed one "
	  "of both" },
	{ "\"data_port\":7000", "\"configuration_files\":[\"x\",7]",
	  "f: $.configuration_files[1]: 7 is not a string, allowed 1 to 255 "
	  "printable bytes" },
	{ "\"data_port\":7000", "\"accepted_keys\":7",
	  "f: $.accepted_keys: 7 is not a list, allowed a list of 0 to 2048 "
	  "keys" },
	{ "\"data_port\":7000", "\"accepted_keys\":[\"\"]",
	  "f: $.accepted_keys[0]: \"\" is not valid, allowed 40 characters of "
	  "Z85" },
	{ "\"data_port\":7000", "\"control_bytes_per_second\":9",
	  "f: $.control_bytes_per_second: 9 is out of range, allowed 1024 to "
	  "1048576 bytes/s" },
	{ "\"data_port\":7000", "\"pass_port\":6080",
	  "f: $.pass_port: 6080 is the data_port too, allowed another one" },
	{ "\"data_port\":7000", "\"peer_port\":6083",
	  "f: $.admin_port: 6083 is the peer_port too, allowed another one" },
	{ "\"data_port\":7000", "\"admin_token\":\"a\\nb\"",
	  "f: $.admin_token: (secret) is not valid, allowed 0 to 63 printable "
	  "bytes" },
	{ "\"two\"", "\"one\"",
	  "f: $.peers[0].instance_id: \"one\" is used twice, allowed a name of "
	  "its own" },
	{ "\"address\":\"::1\"", "\"address\":\"::1\",\"x\":1",
	  "f: $.peers[0].x: unknown field, allowed instance_id, "
	  "availability_zone, address, pass_port, peer_port, public_key" },
	{ "[{\"instance_id\"", "[7,{\"instance_id\"",
	  "f: $.peers[0]: is not an object" },
	{ "\"public_key\":\"" PUBLIC "\"", "\"public_key\":\"" PEER_KEY "\"",
	  "f: $.public_key: \"" PEER_KEY "\" does not belong to secret_key, "
	  "allowed the public half of the pair" },
	{ "\"secret_key\":\"" SECRET "\"", "\"secret_key\":\"\"",
	  "f: $.secret_key: is missing, allowed 40 characters of Z85 where "
	  "there are peers" },
	{ "\"secret_key\":\"" SECRET "\"", "\"secret_key\":\"short\"",
	  "f: $.secret_key: (secret) is not valid, allowed 40 characters of "
	  "Z85" },
	{ "}]}", "}]}x", "f: line 1: text after the end of the object" },
	{ "}]}", "}]", "f: line 1: text ends within an object" },
};

static struct settings *parse(const char *text, struct error *error)
{
	return settings_parse("f", text, strlen(text), error);
}

START_TEST(bad_settings_are_refused) {
	GString *text = g_string_new(valid);
	struct error error = { 0 };

	ck_assert_uint_eq(
		g_string_replace(text, bad_cases[_i].old, bad_cases[_i].new, 0),
		1);
	ck_assert_ptr_null(parse(text->str, &error));
	ck_assert_int_eq(error.kind, ERROR_SETTINGS);
	ck_assert_str_eq(error.detail, bad_cases[_i].detail);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(defaults_are_filled_in) {
	struct error error = { 0 };
	struct settings *settings = parse(valid, &error);

	ck_assert_msg(settings != NULL, "%s", error.detail);
	ck_assert_uint_eq(settings->data_port, 7000);
	ck_assert_uint_eq(settings->pass_port, 6081);
	ck_assert_uint_eq(settings->control_bytes_per_second, 4096);
	ck_assert_uint_eq(settings->drain_deadline_s, 30);
	ck_assert_int_eq(settings->log_level, LOG_LEVEL_INFO);
	ck_assert_str_eq(settings->admin_address, "127.0.0.1");
	ck_assert_uint_eq(settings->peer_count, 1);
	ck_assert_uint_eq(settings->peers[0].peer_port, 6082);
	ck_assert_str_eq(settings->accepted_keys[0], PEER_KEY);
	ck_assert_ptr_null(settings->accepted_keys[1]);
	settings_destroy(settings);
}
END_TEST

/* Guards against a secret in output, and a field that is not printed. */
START_TEST(print_masks_secrets) {
	struct settings *settings = parse(valid, NULL);
	const struct field_table *table = settings_field_table();
	char *text = settings_print(settings);

	for (size_t i = 0; i < table->field_count; i++)
		ck_assert_msg(strstr(text, table->fields[i].name) != NULL, "%s",
			      table->fields[i].name);
	ck_assert_ptr_null(strstr(text, SECRET));
	ck_assert_ptr_nonnull(strstr(text, "***"));
	g_free(text);
	settings_destroy(settings);
}
END_TEST

START_TEST(example_is_valid) {
	struct error error = { 0 };
	struct settings *settings =
		settings_load(SOURCE_ROOT "/examples/settings.json", &error);

	ck_assert_msg(settings != NULL, "%s", error.detail);
	settings_destroy(settings);
	ck_assert_ptr_null(settings_load(SOURCE_ROOT "/no-such-file", &error));
	ck_assert_ptr_nonnull(strstr(error.detail, "no-such-file"));
}
END_TEST

/* Guards against a stack overflow: json-glib recurses for each level. */
START_TEST(deep_nesting_is_refused) {
	GString *text = g_string_new("{\"a\":");
	struct error error = { 0 };

	for (int i = 0; i < 1000000; i++)
		g_string_append_c(text, '[');
	ck_assert_ptr_null(parse(text->str, &error));
	ck_assert_str_eq(error.detail,
			 "f: line 1: nested deeper than 16 levels");
	g_string_free(text, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tests = tcase_create("fields");

	tcase_add_loop_test(tests, bad_settings_are_refused, 0,
			    G_N_ELEMENTS(bad_cases));
	tcase_add_test(tests, defaults_are_filled_in);
	tcase_add_test(tests, print_masks_secrets);
	tcase_add_test(tests, example_is_valid);
	tcase_add_test(tests, deep_nesting_is_refused);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
