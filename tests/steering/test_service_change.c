/*
 * Guards against hosts that are lost to their new service because their
 * announcement came before the routes to that service.
 */

#include <check.h>

#include "fixture.h"
#include "suite.h"

static struct fixture fixture;

static void hosts_open(void)
{
	fixture_open_with_hosts(&fixture);
}

static void hosts_close(void)
{
	fixture_close(&fixture);
}

static void route_to(const char *service)
{
	struct route_rule *rules = g_new0(struct route_rule, 1);
	struct routing *routing;

	ip_address_parse(SERVICE_ADDRESS, &rules[0].address);
	rules[0].port = SERVICE_PORT;
	rules[0].target_count = 1;
	rules[0].targets[0].weight = 1;
	g_strlcpy(rules[0].targets[0].service, service, NAME_BYTES_MAX);
	routing = routing_create(100, 15000, rules, 1);
	steering_set_routing(fixture.steering, routing);
	routing_unref(routing);
}

/*
 * Guards against an announcement that is ignored while no route leads to its
 * service, and is not looked at again when one does.
 */
START_TEST(announcement_before_its_routes_is_applied_with_them) {
	struct host_announcement moved = fixture_host(&fixture, 1)->published;

	moved.revision += 10;
	g_strlcpy(moved.service, "archive", sizeof(moved.service));
	fixture_put(&fixture, &moved);
	route_to("archive");
	ck_assert_str_eq(fixture_host(&fixture, 1)->published.service,
			 "archive");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("service change");
	TCase *cases = tcase_create("service change");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_test(cases,
		       announcement_before_its_routes_is_applied_with_them);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
