/*
 * Guards against attributes of the configuration that are lost, or that spoil
 * the routes because one of them is missing or invalid.
 */

#include <check.h>
#include <string.h>

#include "platform/items.h"
#include "position.h"
#include "suite.h"

static void configuration_parse(const char *route, const char *services,
				struct store_item *item)
{
	char *value = g_strdup_printf(
		"{\"version\":3,\"routes\":[{\"host\":\"198.51.100.1\","
		"\"prefix\":\"/443/\",\"service\":\"s\"%s}]%s}",
		route, services);

	store_item_parse("op/config", value, strlen(value), position_at(9),
			 item);
	ck_assert_int_eq(item->kind, STORE_ITEM_ROUTING);
	ck_assert_uint_eq(item->routing->rule_count, 1);
	ck_assert(!item->routing->is_partial);
	g_free(value);
}

START_TEST(attributes_are_read) {
	static const struct {
		const char *route;
		uint8_t priority;
		uint32_t time_limit_ms;
		uint32_t target_latency_ms;
		bool is_idempotent;
	} cases[] = {
		{ "", 0, 0, 0, false },
		{ ",\"routeType\":\"safe\",\"timeoutMs\":1200,"
		  "\"targetLatencyMs\":150,\"priority\":2",
		  2, 1200, 150, true },
		{ ",\"routeType\":\"download\",\"priority\":255", 255, 0, 0,
		  true },
		{ ",\"routeType\":\"unsafe\"", 0, 0, 0, false },
		{ ",\"routeType\":\"upload\"", 0, 0, 0, false },
		{ ",\"routeType\":\"other\",\"timeoutMs\":-1,"
		  "\"targetLatencyMs\":\"150\",\"priority\":256",
		  0, 0, 0, false },
		{ ",\"routeType\":7,\"timeoutMs\":1.5,"
		  "\"targetLatencyMs\":99999999999999999999,\"priority\":null",
		  0, 0, 0, false },
		{ ",\"routeType\":{},\"timeoutMs\":[],\"priority\":3", 3, 0, 0,
		  false },
	};
	const struct route_rule *rule;
	struct store_item item;

	configuration_parse(cases[_i].route, "", &item);
	rule = &item.routing->rules[0];
	ck_assert_uint_eq(rule->priority, cases[_i].priority);
	ck_assert_uint_eq(rule->time_limit_ms, cases[_i].time_limit_ms);
	ck_assert_uint_eq(rule->target_latency_ms, cases[_i].target_latency_ms);
	ck_assert(rule->is_idempotent == cases[_i].is_idempotent);
	store_item_clear(&item);
}
END_TEST

START_TEST(service_limits_are_read) {
	static const struct {
		const char *services;
		uint32_t flows_per_1000_s; /* of service s; 0 for no limit */
		uint32_t slow_start_s;
	} cases[] = {
		{ "", 0, 0 },
		{ ",\"services\":7", 0, 0 },
		{ ",\"services\":[]", 0, 0 },
		{ ",\"services\":[{\"name\":\"s\",\"coldStartS\":8,"
		  "\"coldPerS\":4}]",
		  4000, 8 },
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":2.5}]", 2500,
		  0 },
		/* Has no exact binary form. */
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":1.001}]", 1001,
		  0 },
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":0.0001}]", 1,
		  0 },
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":0}]", 0, 0 },
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":-4}]", 0, 0 },
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":1e300}]", 0, 0 },
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":\"4\"}]", 0, 0 },
		/* An invalid element spoils no other one. */
		{ ",\"services\":[7,{},{\"name\":\"\",\"coldPerS\":1},"
		  "{\"name\":\"r\",\"coldPerS\":1},"
		  "{\"name\":\"s\",\"coldStartS\":\"x\",\"coldPerS\":3},"
		  "{\"name\":\"t\",\"coldPerS\":9}]",
		  3000, 0 },
		/* The first one of a service applies. */
		{ ",\"services\":[{\"name\":\"s\",\"coldPerS\":3},"
		  "{\"name\":\"s\",\"coldPerS\":9}]",
		  3000, 0 },
		{ ",\"services\":[{\"name\":\"s\"},"
		  "{\"name\":\"s\",\"coldPerS\":9}]",
		  0, 0 },
	};
	const struct service_limit *limit;
	struct store_item item;

	configuration_parse("", cases[_i].services, &item);
	limit = routing_find_limit(item.routing, "s");
	ck_assert((limit != NULL) == (cases[_i].flows_per_1000_s > 0));
	if (limit) {
		ck_assert_uint_eq(limit->flows_per_1000_s,
				  cases[_i].flows_per_1000_s);
		ck_assert_uint_eq(limit->slow_start_s, cases[_i].slow_start_s);
	}
	store_item_clear(&item);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("attributes");
	TCase *cases = tcase_create("attributes");

	tcase_add_loop_test(cases, attributes_are_read, 0, 8);
	tcase_add_loop_test(cases, service_limits_are_read, 0, 14);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
