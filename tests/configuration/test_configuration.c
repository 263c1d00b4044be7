/*
 * Guards against invalid revisions that are accepted, errors that do not name
 * part, path, value and range, and lookups that miss or mix up services.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "configuration/configuration.h"
#include "configuration/json_text.h"
#include "suite.h"

static const char profiles[] =
	"{\"profiles\":[{\"name\":\"plain\",\"spread\":\"fewest_moves\"}]}";

static const char examen[] =
	"{\"name\":\"examen\",\"team\":\"t\",\"profile\":\"plain\","
	"\"addresses\":[{\"address\":\"192.0.2.1\",\"port\":443}],"
	"\"hosts\":[{\"name\":\"h1\",\"address\":\"10.0.0.1\",\"port\":7000,"
	"\"availability_zone\":\"a\",\"slots\":3,\"connections\":2000},"
	"{\"name\":\"h2\",\"address\":\"10.0.0.2\",\"port\":7000,"
	"\"availability_zone\":\"b\",\"slots\":4,\"connections\":2000,"
	"\"state\":\"draining\"}]}";

static const char archive[] =
	"{\"name\":\"archive\",\"team\":\"t\",\"profile\":\"plain\","
	"\"addresses\":[{\"address\":\"192.0.2.1\",\"port\":443,"
	"\"protocol\":\"udp\"},{\"address\":\"2001:db8::1\",\"port\":443}],"
	"\"hosts\":[{\"name\":\"h1\",\"address\":\"10.0.0.1\",\"port\":7000,"
	"\"availability_zone\":\"a\",\"slots\":3,\"connections\":2000}]}";

#define EXAMEN "service/examen: "

static const struct {
	const char *part;
	const char *old;
	const char *new;
	const char *detail;
} bad_cases[] = {
	{ "profiles", "\"fewest_moves\"", "\"most\"",
	  "profiles: $.profiles[0].spread: \"most\" is not known, allowed "
	  "fewest_moves, even_load" },
	{ "profiles", "\"plain\",", "\"plain\",\"drain_seconds\":0,",
	  "profiles: $.profiles[0].drain_seconds: 0 is out of range, allowed 1 "
	  "to 604800 seconds" },
	{ "profiles", "}]}",
	  "},{\"name\":\"plain\",\"spread\":\"even_load\"}]}",
	  "profiles: $.profiles[1].name: \"plain\" is used twice, allowed a "
	  "name of its own" },
	{ "profiles", "\"plain\"", "\"fancy\"",
	  "service/archive: $.profile: \"plain\" is not known, allowed fancy" },
	{ "profiles", "[{\"name\":\"plain\",\"spread\":\"fewest_moves\"}]",
	  "[]", "profiles: $.profiles: 0 elements, allowed 1 to 1024" },
	{ "service/examen", "\"examen\"", "\"exam\"",
	  EXAMEN "$.name: \"exam\" differs from the part's name, allowed "
		 "\"examen\"" },
	{ "service/examen", "\"port\":443", "\"port\":443,\"proto\":\"tcp\"",
	  EXAMEN "$.addresses[0].proto: unknown field, allowed address, port, "
		 "protocol" },
	/* A field name must not add a line to the log. */
	{ "service/examen", "\"port\":443", "\"port\":443,\"a\\nb=c\":1",
	  EXAMEN "$.addresses[0].a?b?c: unknown field, allowed address, port, "
		 "protocol" },
	{ "service/examen", "\"port\":443",
	  "\"port\":443,\"protocol\":\"sctp\"",
	  EXAMEN "$.addresses[0].protocol: \"sctp\" is not known, allowed tcp, "
		 "udp" },
	{ "service/examen", "\"port\":443", "\"port\":443,\"protocol\":\"udp\"",
	  EXAMEN "$.addresses[0]: 192.0.2.1:443 udp belongs to service "
		 "\"archive\", allowed an address of one service" },
	{ "service/examen", "\"192.0.2.1\"", "\"2001:db8::1\"",
	  EXAMEN "$.addresses[0]: [2001:db8::1]:443 tcp belongs to service "
		 "\"archive\", allowed an address of one service" },
	{ "service/examen", "192.0.2.1", "224.0.0.1",
	  EXAMEN "$.addresses[0].address: 224.0.0.1:443 tcp is not unicast, "
		 "allowed a unicast address" },
	{ "service/examen", "[{\"address\":\"192.0.2.1\",\"port\":443}]", "[]",
	  EXAMEN "$.addresses: 0 elements, allowed 1 to 1024" },
	{ "service/examen", "\"h2\"", "\"h1\"",
	  EXAMEN "$.hosts[1].name: \"h1\" is used twice, allowed a name of its "
		 "own" },
	{ "service/examen", "10.0.0.2", "10.0.0.1",
	  EXAMEN "$.hosts[1].address: 10.0.0.1:7000 is used twice, allowed one "
		 "host of a service" },
	{ "service/examen", "10.0.0.2", "::",
	  EXAMEN "$.hosts[1].address: [::]:7000 is not unicast, allowed a "
		 "unicast address" },
	{ "service/examen", "\"a\"", "\"c\"",
	  EXAMEN "$.hosts[0].availability_zone: \"c\" differs from another "
		 "service's for 10.0.0.1:7000, allowed \"a\"" },
	{ "service/examen", "\"b\"", "\"b/2\"",
	  EXAMEN "$.hosts[1].availability_zone: \"b/2\" is not valid, allowed "
		 "1 to 63 characters of A-Z a-z 0-9 . _ -, the first a letter "
		 "or digit" },
	{ "service/examen", "\"slots\":4", "\"slots\":1025",
	  EXAMEN "$.hosts[1].slots: 1025 is out of range, allowed 1 to 1024 "
		 "slots" },
	{ "service/examen", "\"draining\"", "\"gone\"",
	  EXAMEN "$.hosts[1].state: \"gone\" is not known, allowed serving, "
		 "draining" },
	/* XXH32 of examen/h51277 and examen/h158580 is a00a16f7. */
	{ "service/examen", "\"h2\"",
	  "\"h51277\",\"address\":\"10.0.0.3\",\"port\":1,"
	  "\"availability_zone\":\"b\",\"slots\":4,\"connections\":1},"
	  "{\"name\":\"h158580\"",
	  EXAMEN "$.hosts[2].name: \"h158580\" has the same id a00a16f7 as "
		 "host \"h51277\", allowed another name" },
};

static void add(GHashTable *parts, const char *name, const char *text)
{
	g_hash_table_insert(parts, g_strdup(name),
			    g_bytes_new(text, strlen(text)));
}

static GHashTable *valid_parts(void)
{
	GHashTable *parts = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);

	add(parts, "profiles", profiles);
	add(parts, "service/examen", examen);
	add(parts, "service/archive", archive);
	return parts;
}

/** Expects the parts to be refused with @detail; frees them. */
static void assert_refused(GHashTable *parts, const char *detail)
{
	struct error error = { 0 };

	ck_assert_ptr_null(configuration_create(1, parts, &error));
	ck_assert_int_eq(error.kind, ERROR_CONFIGURATION);
	ck_assert_str_eq(error.detail, detail);
	g_hash_table_unref(parts);
}

START_TEST(bad_parts_are_refused) {
	GHashTable *parts = valid_parts();
	const char *part = bad_cases[_i].part;
	size_t length;
	const char *data =
		g_bytes_get_data(g_hash_table_lookup(parts, part), &length);
	GString *text = g_string_new_len(data, (gssize)length);

	ck_assert_uint_eq(
		g_string_replace(text, bad_cases[_i].old, bad_cases[_i].new, 0),
		1);
	add(parts, part, text->str);
	assert_refused(parts, bad_cases[_i].detail);
	g_string_free(text, TRUE);
}
END_TEST

/* An empty GBytes has no data; the sanitizer reports arithmetic on it. */
START_TEST(empty_part_is_refused) {
	struct error error = { 0 };

	ck_assert_ptr_null(
		json_text_parse("part", NULL, 0, ERROR_CONFIGURATION, &error));
	ck_assert_str_eq(error.detail, "part: text is empty");
}
END_TEST

START_TEST(bad_part_sets_are_refused) {
	GHashTable *parts = valid_parts();
	char *large = g_strnfill(CONFIGURATION_PART_BYTES_MAX + 1, ' ');

	add(parts, "hosts", "{}");
	assert_refused(parts, "hosts: unknown part, allowed profiles and "
			      "service/NAME");
	parts = valid_parts();
	g_hash_table_remove(parts, "profiles");
	assert_refused(parts, "profiles: part is missing");
	parts = valid_parts();
	add(parts, "service/archive", large);
	assert_refused(parts, "service/archive: 1048577 bytes, allowed at most "
			      "1048576");
	g_free(large);
}
END_TEST

/* XXH32 of s81740 and s245405 is ec49d6ac. */
START_TEST(service_id_collision_is_refused) {
	static const char *const names[] = { "s81740", "s245405" };
	GHashTable *parts = valid_parts();
	struct error error = { 0 };

	g_hash_table_remove(parts, "service/archive");
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		GString *text = g_string_new(examen);
		char *part_name = g_strconcat("service/", names[i], NULL);

		g_string_replace(text, "examen", names[i], 0);
		g_string_replace(text, "192.0.2.1",
				 i ? "192.0.2.2" : "192.0.2.3", 0);
		add(parts, part_name, text->str);
		g_free(part_name);
		g_string_free(text, TRUE);
	}
	ck_assert_ptr_null(configuration_create(1, parts, &error));
	ck_assert_ptr_nonnull(strstr(error.detail, "has the same id ec49d6ac"));
	g_hash_table_unref(parts);
}
END_TEST

static const struct {
	const char *address;
	uint16_t port;
	uint8_t protocol;
	const char *service;
} lookups[] = {
	{ "192.0.2.1", 443, PACKET_PROTOCOL_TCP, "examen" },
	{ "192.0.2.1", 443, PACKET_PROTOCOL_UDP, "archive" },
	{ "2001:db8::1", 443, PACKET_PROTOCOL_TCP, "archive" },
	{ "2001:db8::1", 443, PACKET_PROTOCOL_UDP, NULL },
	{ "192.0.2.1", 444, PACKET_PROTOCOL_TCP, NULL },
	{ "192.0.2.2", 443, PACKET_PROTOCOL_TCP, NULL },
};

START_TEST(services_are_found_by_address) {
	GHashTable *parts = valid_parts();
	struct configuration *configuration =
		configuration_create(7, parts, NULL);
	struct flow_key key = { .service_port = lookups[_i].port,
				.protocol = lookups[_i].protocol };
	const struct service *service;

	ck_assert(ip_address_parse(lookups[_i].address, &key.service));
	service = configuration_find_service(configuration, &key);
	if (lookups[_i].service)
		ck_assert_str_eq(service->name, lookups[_i].service);
	else
		ck_assert_ptr_null(service);
	configuration_unref(configuration);
	g_hash_table_unref(parts);
}
END_TEST

START_TEST(services_and_hosts_are_found_by_id) {
	GHashTable *parts = valid_parts();
	struct configuration *configuration =
		configuration_create(7, parts, NULL);

	ck_assert_uint_eq(configuration->service_count, 2);
	for (size_t i = 0; i < configuration->service_count; i++) {
		const struct service *service = &configuration->services[i];

		ck_assert_ptr_eq(
			configuration_service_by_id(configuration, service->id),
			service);
		ck_assert_ptr_eq(configuration_service_by_name(configuration,
							       service->name),
				 service);
		for (size_t j = 0; j < service->host_count; j++)
			ck_assert_ptr_eq(service_host_by_id(
						 service, service->hosts[j].id),
					 &service->hosts[j]);
		ck_assert_ptr_null(service_host_by_id(service, 1));
	}
	ck_assert_ptr_null(configuration_service_by_id(configuration, 1));
	configuration_unref(configuration);
	g_hash_table_unref(parts);
}
END_TEST

/* Guards against a copied service that keeps an old profile, or old hosts. */
START_TEST(unchanged_parts_are_copied_from_the_previous_revision) {
	GHashTable *parts = valid_parts();
	struct configuration *first = configuration_create(1, parts, NULL);
	struct error error = { 0 };
	struct configuration *second;
	const struct service *service;

	add(parts, "profiles",
	    "{\"profiles\":[{\"name\":\"plain\",\"spread\":\"even_load\"}]}");
	add(parts, "service/archive", archive);
	second = configuration_create_after(first, 2, parts, &error);
	ck_assert_msg(second != NULL, "%s", error.detail);
	configuration_unref(first);
	service = configuration_service_by_name(second, "examen");
	ck_assert_ptr_eq(service->profile, &second->profiles[0]);
	ck_assert_int_eq(service->profile->spread, SPREAD_EVEN_LOAD);
	ck_assert_uint_eq(service->host_count, 2);
	for (size_t i = 0; i < 2; i++)
		ck_assert_ptr_eq(
			service_host_by_id(service, service->hosts[i].id),
			&service->hosts[i]);
	configuration_unref(second);
	g_hash_table_unref(parts);
}
END_TEST

/* Errors of a copied part must name the place in the part as published. */
START_TEST(bad_parts_are_refused_after_a_valid_revision) {
	GHashTable *parts = valid_parts();
	struct configuration *first = configuration_create(1, parts, NULL);
	const char *part = bad_cases[_i].part;
	size_t length;
	const char *data =
		g_bytes_get_data(g_hash_table_lookup(parts, part), &length);
	GString *text = g_string_new_len(data, (gssize)length);
	struct error error = { 0 };

	g_string_replace(text, bad_cases[_i].old, bad_cases[_i].new, 0);
	add(parts, part, text->str);
	ck_assert_ptr_null(configuration_create_after(first, 2, parts, &error));
	ck_assert_str_eq(error.detail, bad_cases[_i].detail);
	configuration_unref(first);
	g_string_free(text, TRUE);
	g_hash_table_unref(parts);
}
END_TEST

/* Guards against a digest that differs from docs/design.md, section 4. */
START_TEST(digests_cover_names_and_content) {
	GHashTable *parts = valid_parts();
	uint64_t before = configuration_index_digest(parts);
	GBytes *empty = g_bytes_new_static("", 0);

	/* Published XXH3 64-bit value of the empty input with seed 0. */
	ck_assert_uint_eq(configuration_part_digest(empty),
			  UINT64_C(0x2d06800538d394c2));
	ck_assert_uint_eq(configuration_index_digest(parts), before);
	add(parts, "service/archive", "{}");
	ck_assert_uint_ne(configuration_index_digest(parts), before);
	g_bytes_unref(empty);
	g_hash_table_unref(parts);
}
END_TEST

static char *const example_files[][3] = {
	{ SOURCE_ROOT "/examples/casablanca/profiles.json",
	  SOURCE_ROOT "/examples/casablanca/service-examen.json",
	  SOURCE_ROOT "/examples/casablanca/service-archive.json" },
	{ SOURCE_ROOT "/examples/dar-es-salaam/profiles.json",
	  SOURCE_ROOT "/examples/dar-es-salaam/service-duka.json",
	  SOURCE_ROOT "/examples/dar-es-salaam/service-orodha.json" },
};

START_TEST(examples_are_valid) {
	struct error error = { 0 };
	struct configuration *configuration =
		configuration_load_files(example_files[_i], 3, 1, &error);
	size_t hosts = 0;

	ck_assert_msg(configuration != NULL, "%s", error.detail);
	for (size_t i = 0; i < configuration->service_count; i++)
		hosts += configuration->services[i].host_count;
	ck_assert_uint_eq(hosts, 14 + 4);
	configuration_unref(configuration);
}
END_TEST

START_TEST(errors_of_files_name_the_file) {
	char *const twice[] = { example_files[0][0], example_files[0][0] };
	char *const missing[] = { example_files[1][0], example_files[0][1] };
	struct error error = { 0 };

	ck_assert_ptr_null(configuration_load_files(twice, 2, 1, &error));
	ck_assert_ptr_nonnull(strstr(error.detail, "profiles.json: part "
						   "profiles is in"));
	ck_assert_ptr_null(configuration_load_files(missing, 2, 1, &error));
	ck_assert_ptr_nonnull(strstr(error.detail, "service-examen.json: "
						   "$.profile: \"sessions\""));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("configuration");
	TCase *tests = tcase_create("revision");

	tcase_add_loop_test(tests, bad_parts_are_refused, 0,
			    G_N_ELEMENTS(bad_cases));
	tcase_add_test(tests, empty_part_is_refused);
	tcase_add_test(tests, bad_part_sets_are_refused);
	tcase_add_test(tests, service_id_collision_is_refused);
	tcase_add_loop_test(tests, services_are_found_by_address, 0,
			    G_N_ELEMENTS(lookups));
	tcase_add_test(tests, services_and_hosts_are_found_by_id);
	tcase_add_test(tests,
		       unchanged_parts_are_copied_from_the_previous_revision);
	tcase_add_loop_test(tests, bad_parts_are_refused_after_a_valid_revision,
			    0, G_N_ELEMENTS(bad_cases));
	tcase_add_test(tests, digests_cover_names_and_content);
	tcase_add_loop_test(tests, examples_are_valid, 0,
			    G_N_ELEMENTS(example_files));
	tcase_add_test(tests, errors_of_files_name_the_file);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
