/*
 * Guards against damaged items, or items of other programs, that add or
 * remove a host or apply routes, and against accepting malformed responses.
 */

#include <check.h>
#include <string.h>

#include "platform/store_response.h"
#include "position.h"
#include "suite.h"

#define HOST(fields)                                                           \
	"{\"service\":\"s\",\"address\":\"10.9.0.9:80\",\"zone\":\"a\","       \
	"\"version\":\"v1\",\"slots\":3,\"coldRemainingMs\":0,\"sequence\":4," \
	"\"born\":1700000000000" fields "}"

START_TEST(values_are_validated) {
	static const struct {
		const char *key;
		const char *value;
		enum store_item_kind kind;
	} cases[] = {
		{ "servers/i-7f", HOST(",\"state\":\"ready\""),
		  STORE_ITEM_HOST },
		{ "servers/i-7f", HOST(",\"state\":\"draining\",\"x\":[]"),
		  STORE_ITEM_HOST },
		/* Unknown fields may hold any number and any escape. */
		{ "servers/i-7f",
		  HOST(",\"state\":\"ready\",\"load\":0.30000000000000004"),
		  STORE_ITEM_HOST },
		{ "servers/i-7f",
		  HOST(",\"state\":\"ready\",\"x\":\"a\\u0000[b\""),
		  STORE_ITEM_HOST },
		{ "servers/i-7f", HOST(",\"state\":\"sleeping\""),
		  STORE_ITEM_IGNORED },
		{ "servers/i-7f", HOST(",\"state\":7"), STORE_ITEM_IGNORED },
		{ "servers/i-7f", HOST(""), STORE_ITEM_IGNORED },
		{ "servers/xyz", HOST(",\"state\":\"ready\""),
		  STORE_ITEM_IGNORED },
		{ "servers/i-7f", "{", STORE_ITEM_IGNORED },
		{ "servers/i-7f", "[]", STORE_ITEM_IGNORED },
		{ "servers/i-7f", "\xff\xfe", STORE_ITEM_IGNORED },
		{ "servers/i-7f",
		  "{\"service\":\"s\",\"address\":\"10.9.0.9\",\"zone\":\"a\","
		  "\"version\":\"v1\",\"sequence\":1,"
		  "\"slots\":3,\"coldRemainingMs\":0,\"born\":1,"
		  "\"state\":\"ready\"}",
		  STORE_ITEM_IGNORED },
		{ "other/i-7f", HOST(",\"state\":\"ready\""),
		  STORE_ITEM_IGNORED },
		{ "op/config",
		  "{\"version\":3,\"routes\":[{\"host\":\"198.51.100.1\","
		  "\"prefix\":\"/443/\",\"service\":\"s\"}]}",
		  STORE_ITEM_ROUTING },
		{ "op/config",
		  "{\"version\":3,\"routes\":[{\"host\":\"198.51.100.1\","
		  "\"prefix\":\"443\",\"service\":\"s\"}]}",
		  STORE_ITEM_IGNORED },
		{ "op/config", "{\"routes\":[]}", STORE_ITEM_IGNORED },
		{ "op/evacuate/a", "{}", STORE_ITEM_ZONE_DRAIN },
		{ "op/evacuate/a", "{\"since\":[1]}", STORE_ITEM_ZONE_DRAIN },
		{ "op/evacuate/a", "[]", STORE_ITEM_IGNORED },
		{ "op/evacuate/a", "", STORE_ITEM_IGNORED },
		{ "op/evacuate/", "{}", STORE_ITEM_IGNORED },
		{ "op/evacuate", "{}", STORE_ITEM_IGNORED },
	};
	struct store_item item;

	store_item_parse(cases[_i].key, cases[_i].value,
			 strlen(cases[_i].value), position_at(9), &item);
	ck_assert_int_eq(item.kind, cases[_i].kind);
	store_item_clear(&item);
}
END_TEST

/*
 * Guards against a crash of every balancer by one deeply nested item, as
 * json-glib recurses per level.
 */
START_TEST(deeply_nested_values_are_rejected) {
	static const char *const keys[] = { "servers/i-7f", "op/config",
					    "op/evacuate/a" };
	GString *value = g_string_new("{\"a\":");
	GString *body = g_string_new("{\"items\":");
	struct error error = { 0 };
	struct store_item item;
	GBytes *bytes;

	for (uint32_t i = 0; i < 200000; i++) {
		g_string_append_c(value, '[');
		g_string_append_c(body, '[');
	}
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		store_item_parse(keys[i], value->str, value->len,
				 position_at(9), &item);
		ck_assert_int_eq(item.kind, STORE_ITEM_IGNORED);
		ck_assert_ptr_nonnull(item.problem);
		store_item_clear(&item);
	}
	bytes = g_string_free_to_bytes(body);
	ck_assert_ptr_null(store_response_parse(bytes, 0, &error));
	ck_assert_int_eq(error.kind, ERROR_PLATFORM);
	g_bytes_unref(bytes);
	g_string_free(value, TRUE);
}
END_TEST

#define NUMBERED(address, slots, cold, born)                              \
	"{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"a\","  \
	"\"version\":\"v1\",\"sequence\":1,"                              \
	"\"slots\":" slots ",\"coldRemainingMs\":" cold ",\"born\":" born \
	",\"state\":\"ready\"}"

#define FIRST_FIELDS                                                     \
	"{\"service\":\"s\",\"address\":\"10.9.0.9:80\",\"zone\":\"a\"," \
	"\"slots\":3,\"coldRemainingMs\":0,\"state\":\"ready\","

/*
 * Guards against the use of an entry that no host wrote: hosts write all fields,
 * also those that the balancer does not use.
 */
START_TEST(entry_without_a_field_names_no_host) {
	static const struct {
		const char *fields;
		enum store_item_kind kind;
	} cases[] = {
		{ "\"version\":\"v1\",\"sequence\":4,\"born\":1",
		  STORE_ITEM_HOST },
		{ "\"version\":\"\",\"sequence\":0,\"born\":0",
		  STORE_ITEM_HOST },
		{ "\"\\u0062orn\":1,\"version\":\"v1\",\"sequence\":4",
		  STORE_ITEM_HOST },
		{ "\"sequence\":4,\"born\":1", STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"born\":1", STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4", STORE_ITEM_IGNORED },
		{ "\"version\":1,\"sequence\":4,\"born\":1",
		  STORE_ITEM_IGNORED },
		{ "\"version\":null,\"sequence\":4,\"born\":1",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":\"4\",\"born\":1",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":-4,\"born\":1",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4.5,\"born\":1",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4,\"born\":true",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4,\"born\":1,"
		  "\"state\":\"sleeping\"",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4,\"born\":1,"
		  "\"service\":\"a\\u0000\"",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4,\"born\":1,",
		  STORE_ITEM_IGNORED },
		{ "\"version\":\"v1\",\"sequence\":4 \"born\":1",
		  STORE_ITEM_IGNORED },
	};
	char *value = g_strconcat(FIRST_FIELDS, cases[_i].fields, "}", NULL);
	struct store_item item;

	store_item_parse("servers/i-7f", value, strlen(value), position_at(9),
			 &item);
	ck_assert_int_eq(item.kind, cases[_i].kind);
	/* The host that had this id before stays as it was. */
	ck_assert_str_eq(item.host.id, "i-7f");
	store_item_clear(&item);
	g_free(value);
}
END_TEST

/*
 * Guards against a balancer that ends, stops following the store, or uses a
 * host because of one entry with a number or a port out of range.
 */
START_TEST(numbers_out_of_range_spoil_no_other_entry) {
	static const char *const values[] = {
		NUMBERED("10.9.0.9:65536", "3", "0", "1"),
		NUMBERED("10.9.0.9:0", "3", "0", "1"),
		NUMBERED("10.9.0.9:-1", "3", "0", "1"),
		NUMBERED("10.9.0.9:99999999999999999999", "3", "0", "1"),
		NUMBERED("10.9.0.9:", "3", "0", "1"),
		NUMBERED("10.9.0.999:80", "3", "0", "1"),
		NUMBERED("10.9.0.9:80", "65536", "0", "1"),
		NUMBERED("10.9.0.9:80", "-3", "0", "1"),
		NUMBERED("10.9.0.9:80", "3.5", "0", "1"),
		NUMBERED("10.9.0.9:80", "1e400", "0", "1"),
		/* 3 above a multiple of 2^64. */
		NUMBERED("10.9.0.9:80", "18446744073709551619", "0", "1"),
		NUMBERED("10.9.0.9:80", "3", "99999999999999999999", "1"),
		NUMBERED("10.9.0.9:80", "3", "0", "9223372036854775808"),
		NUMBERED("10.9.0.9:80", "3", "0", "18446744073709551617"),
		NUMBERED("10.9.0.9:80", "3", "0", "1e999999999"),
	};
	static const char valid[] = HOST(",\"state\":\"ready\"");
	struct error error = { 0 };
	struct store_response *response;
	char *odd_text =
		g_base64_encode((const guchar *)values[_i], strlen(values[_i]));
	char *valid_text =
		g_base64_encode((const guchar *)valid, strlen(valid));
	char *text = g_strdup_printf(
		"{\"items\":[{\"key\":\"servers/i-1\",\"value\":\"%s\","
		"\"revision\":4},{\"key\":\"servers/i-2\",\"value\":\"%s\","
		"\"revision\":5}],\"currentRev\":5}",
		odd_text, valid_text);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	response = store_response_parse(body, 0, &error);
	ck_assert_ptr_nonnull(response);
	ck_assert_uint_eq(response->items->len, 2);
	ck_assert_int_eq(
		g_array_index(response->items, struct store_item, 0).kind,
		STORE_ITEM_IGNORED);
	ck_assert_int_eq(
		g_array_index(response->items, struct store_item, 1).kind,
		STORE_ITEM_HOST);
	store_response_free(response);
	g_bytes_unref(body);
	g_free(odd_text);
	g_free(valid_text);
}
END_TEST

START_TEST(fields_of_a_host_are_read) {
	static const char value[] = HOST(",\"state\":\"draining\"");
	struct store_item item;

	store_item_parse("servers/i-7f3a91c2", value, strlen(value),
			 position_at(9), &item);
	ck_assert_str_eq(item.host.id, "i-7f3a91c2");
	ck_assert_uint_eq(item.host.target_id, 0x7f3a91c2);
	ck_assert_uint_eq(item.host.port, 80);
	ck_assert_uint_eq(item.host.slots, 3);
	ck_assert_uint_eq(item.host.position.revision, 9);
	ck_assert(item.host.is_draining);
	store_item_clear(&item);
}
END_TEST

START_TEST(split_routes_follow_their_weights) {
	static const char value[] =
		"{\"version\":3,\"routes\":[{\"host\":\"198.51.100.1\","
		"\"prefix\":\"/8443/\",\"split\":[{\"service\":\"s\","
		"\"weight\":90},{\"service\":\"t\",\"weight\":10}]}],"
		"\"limits\":{\"idleTimeoutMs\":7000}}";
	struct ip_address address;
	const struct route_rule *rule;
	struct store_item item;
	uint32_t second_service_count = 0;

	store_item_parse("op/config", value, strlen(value), position_at(9),
			 &item);
	ck_assert_int_eq(item.kind, STORE_ITEM_ROUTING);
	ck_assert_uint_eq(item.routing->version, 3);
	ck_assert_uint_eq(item.routing->idle_timeout_ms, 7000);
	ip_address_parse("198.51.100.1", &address);
	rule = routing_find(item.routing, &address, 8443);
	ck_assert_ptr_nonnull(rule);
	ck_assert_ptr_null(routing_find(item.routing, &address, 443));
	for (uint64_t hash = 0; hash < 1000; hash++)
		second_service_count += *route_rule_service(rule, hash) == 't';
	ck_assert_uint_eq(second_service_count, 100);
	store_item_clear(&item);
}
END_TEST

#define ZONE_NAME_MAX \
	"zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz"

/*
 * Guards against a drain or a withdrawal of another zone than the one that the
 * operator named, and against an invalid request that is not reported.
 */
START_TEST(zone_of_a_drain_is_read) {
	static const struct {
		const char *item;
		const char *zone;
		enum store_item_kind kind;
		bool has_problem;
	} cases[] = {
		{ "\"op/evacuate/eu-1\",\"value\":\"e30=\"", "eu-1",
		  STORE_ITEM_ZONE_DRAIN, false },
		{ "\"op/evacuate/eu-1\",\"deleted\":true", "eu-1",
		  STORE_ITEM_ZONE_DRAIN_REMOVED, false },
		/* The name is used as it is. */
		{ "\"op/evacuate/a%2Fb/c\",\"value\":\"e30=\"", "a%2Fb/c",
		  STORE_ITEM_ZONE_DRAIN, false },
		{ "\"op/evacuate/" ZONE_NAME_MAX "\",\"value\":\"e30=\"",
		  ZONE_NAME_MAX, STORE_ITEM_ZONE_DRAIN, false },
		{ "\"op/evacuate/" ZONE_NAME_MAX "z\",\"value\":\"e30=\"", "",
		  STORE_ITEM_IGNORED, true },
		{ "\"op/evacuate/" ZONE_NAME_MAX "z\",\"deleted\":true", "",
		  STORE_ITEM_IGNORED, false },
		{ "\"op/evacuate/\",\"deleted\":true", "", STORE_ITEM_IGNORED,
		  false },
		{ "\"op/evacuate/eu-1\",\"value\":\"W10=\"", "eu-1",
		  STORE_ITEM_IGNORED, true },
		{ "\"op/evacuation/eu-1\",\"value\":\"e30=\"", "",
		  STORE_ITEM_IGNORED, false },
	};
	char *text = g_strdup_printf(
		"{\"events\":[{\"key\":%s,\"revision\":4}],\"currentRev\":5}",
		cases[_i].item);
	GBytes *body = g_bytes_new_take(text, strlen(text));
	struct error error = { 0 };
	struct store_response *response = store_response_parse(body, 0, &error);
	const struct store_item *item;

	ck_assert_ptr_nonnull(response);
	item = &g_array_index(response->items, struct store_item, 0);
	ck_assert_int_eq(item->kind, cases[_i].kind);
	ck_assert_uint_eq(item->position.revision, 4);
	ck_assert_str_eq(item->zone, cases[_i].zone);
	ck_assert((item->problem != NULL) == cases[_i].has_problem);
	store_response_free(response);
	g_bytes_unref(body);
}
END_TEST

/*
 * Guards against one entry of another program that hides all others, because its
 * key is no text (review case 13).
 */
START_TEST(key_that_is_no_text_spoils_no_other_entry) {
	static const struct {
		const char *key;
		const char *bytes; /* as the next page is asked for */
		size_t length;
	} cases[] = {
		{ "servers/i-7\\u0000x", "servers/i-7\0x", 13 },
		{ "servers/i-7\\u0000", "servers/i-7\0", 12 },
		{ "\\u0000", "\0", 1 },
		{ "op/evacuate/a\\u0000", "op/evacuate/a\0", 14 },
		{ "op/config\\u0000", "op/config\0", 10 },
		{ "servers/\\ud800", "servers/\xed\xa0\x80", 11 },
		{ "servers/\\udc00x", "servers/\xed\xb0\x80x", 12 },
		{ "servers/\\ud800\\u0041",
		  "servers/\xed\xa0\x80"
		  "A",
		  12 },
		{ "servers/\xff", "servers/\xff", 9 },
		{ "servers/", "servers/", 8 },
	};
	static const char valid[] = HOST(",\"state\":\"ready\"");
	char *value = g_base64_encode((const guchar *)valid, strlen(valid));
	bool is_deleted = _i >= 10;
	const char *key = cases[_i % 10].key;
	char *other = is_deleted ? g_strdup("\"deleted\":true")
				 : g_strdup_printf("\"value\":\"%s\"", value);
	char *text = g_strdup_printf(
		"{\"events\":[{\"key\":\"servers/i-1\",\"value\":\"%s\","
		"\"revision\":4},{\"key\":\"%s\",%s,\"revision\":5},"
		"{\"key\":\"servers/i-2\",\"value\":\"%s\",\"revision\":6},"
		"{\"key\":\"%s\",%s,\"revision\":7}],\"currentRev\":7}",
		value, key, other, value, key, other);
	GBytes *body = g_bytes_new_take(text, strlen(text));
	struct error error = { 0 };
	struct store_response *response = store_response_parse(body, 0, &error);

	ck_assert_ptr_nonnull(response);
	ck_assert_uint_eq(response->items->len, 4);
	for (guint i = 0; i < 4; i++) {
		const struct store_item *item =
			&g_array_index(response->items, struct store_item, i);

		ck_assert_int_eq(item->kind, i % 2 == 0 ? STORE_ITEM_HOST
							: STORE_ITEM_IGNORED);
		ck_assert_uint_eq(item->position.revision, 4 + i);
		if (i % 2 == 1)
			ck_assert_uint_eq(strlen(item->host.id), 0);
	}
	ck_assert_uint_eq(g_bytes_get_size(response->last_key),
			  cases[_i % 10].length);
	ck_assert_mem_eq(g_bytes_get_data(response->last_key, NULL),
			 cases[_i % 10].bytes, cases[_i % 10].length);
	store_response_free(response);
	g_bytes_unref(body);
	g_free(other);
	g_free(value);
}
END_TEST

START_TEST(responses_are_validated) {
	static const struct {
		const char *body;
		bool is_valid;
		uint32_t items;
	} cases[] = {
		{ "{\"items\":[],\"hasMore\":false,\"currentRev\":5}", true,
		  0 },
		{ "{\"events\":[{\"key\":\"servers/i-1\",\"revision\":4,"
		  "\"deleted\":true}],\"currentRev\":5}",
		  true, 1 },
		{ "{\"events\":[{\"key\":\"k\",\"value\":\"!!\","
		  "\"revision\":4}],\"currentRev\":5}",
		  true, 1 },
		{ "{\"events\":[{\"key\":\"k\"}],\"currentRev\":5}", false, 0 },
		{ "{\"items\":[]}", false, 0 },
		{ "{\"items\":7,\"currentRev\":5}", false, 0 },
		{ "not found", false, 0 },
		{ "", false, 0 },
	};
	GBytes *body =
		g_bytes_new_static(cases[_i].body, strlen(cases[_i].body));
	struct error error = { 0 };
	struct store_response *response = store_response_parse(body, 0, &error);

	ck_assert((response != NULL) == cases[_i].is_valid);
	if (response)
		ck_assert_uint_eq(response->items->len, cases[_i].items);
	else
		ck_assert_int_eq(error.kind, ERROR_PLATFORM);
	store_response_free(response);
	g_bytes_unref(body);
}
END_TEST

/* Guards against a response without a body that is read all the same. */
START_TEST(empty_response_is_rejected) {
	GBytes *body = g_bytes_new(NULL, 0);
	struct error error = { 0 };

	ck_assert_ptr_null(store_response_parse(body, 0, &error));
	ck_assert_int_eq(error.kind, ERROR_PLATFORM);
	g_bytes_unref(body);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store items");
	TCase *cases = tcase_create("items");

	tcase_add_loop_test(cases, values_are_validated, 0, 22);
	tcase_add_test(cases, deeply_nested_values_are_rejected);
	tcase_add_loop_test(cases, numbers_out_of_range_spoil_no_other_entry, 0,
			    15);
	tcase_add_loop_test(cases, entry_without_a_field_names_no_host, 0, 16);
	tcase_add_test(cases, fields_of_a_host_are_read);
	tcase_add_test(cases, split_routes_follow_their_weights);
	tcase_add_loop_test(cases, zone_of_a_drain_is_read, 0, 9);
	tcase_add_loop_test(cases, key_that_is_no_text_spoils_no_other_entry, 0,
			    20);
	tcase_add_loop_test(cases, responses_are_validated, 0, 8);
	tcase_add_test(cases, empty_response_is_rejected);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
