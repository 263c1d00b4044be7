/*
 * Guards against hosts that are lost to their new service because their
 * announcement came before the routes to that service.
 */

#include <check.h>

#include "fixture.h"
#include "position.h"
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

static void route_to(uint64_t version, const char *service)
{
	const char *const services[] = { service, NULL };

	ck_assert(fixture_route_to(&fixture, version, services));
}

/*
 * Guards against an announcement that is ignored while no route leads to its
 * service, and is not looked at again when one does.
 */
START_TEST(announcement_before_its_routes_is_applied_with_them) {
	struct host_announcement moved = fixture_host(&fixture, 1)->published;

	moved.position.revision += 10;
	g_strlcpy(moved.service, "archive", sizeof(moved.service));
	fixture_put(&fixture, &moved);
	route_to(100, "archive");
	ck_assert_str_eq(fixture_host(&fixture, 1)->published.service,
			 "archive");
}
END_TEST

/* What happens between a deferred announcement and the routes to its service. */
enum interlude {
	OWN_ANNOUNCEMENT, /* the host writes its entry again */
	LATE_REMOVAL, /* older than the deferred announcement */
	REMOVAL,
	OTHER_ROUTES,
	LATE_ANNOUNCEMENT, /* older than the deferred one */
};

/*
 * Guards against a deferred announcement that is applied although a newer
 * change has replaced it, or dropped although none has.
 */
START_TEST(deferred_announcement_holds_until_a_newer_change) {
	static const struct {
		const char *service;
		enum interlude interlude;
		bool is_removed;
	} cases[] = {
		{ "examen", OWN_ANNOUNCEMENT, false },
		{ "archive", LATE_REMOVAL, false },
		{ "examen", REMOVAL, true },
		{ "archive", OTHER_ROUTES, false },
		{ "archive", LATE_ANNOUNCEMENT, false },
	};
	struct host_table *table = steering_hosts(fixture.steering);
	struct known_host *host = fixture_host(&fixture, 1);
	struct host_announcement own = host->published;
	struct host_announcement moved = own;
	int64_t now_ns = fixture.clock.now_ns;

	moved.position.revision += 20;
	g_strlcpy(moved.service, "archive", sizeof(moved.service));
	fixture_put(&fixture, &moved);
	ck_assert_str_eq(host->published.service, "examen");
	switch (cases[_i].interlude) {
	case OWN_ANNOUNCEMENT:
		own.position.revision += 30;
		fixture_put(&fixture, &own);
		break;
	case LATE_REMOVAL:
		host_table_remove(table, own.id,
				  position_at(own.position.revision + 10),
				  now_ns);
		break;
	case REMOVAL:
		host_table_remove(table, own.id,
				  position_at(own.position.revision + 30),
				  now_ns);
		break;
	case OTHER_ROUTES:
		route_to(99, "examen");
		break;
	case LATE_ANNOUNCEMENT:
		own.position.revision += 10;
		fixture_put(&fixture, &own);
		break;
	}
	route_to(100, "archive");
	ck_assert_str_eq(host->published.service, cases[_i].service);
	ck_assert(host->is_removed == cases[_i].is_removed);
}
END_TEST

/*
 * Guards against a balancer that starts and takes a host to a service without a
 * route, because it learns of the hosts before the routes.
 */
START_TEST(services_change_only_once_routes_are_known) {
	struct known_host *host;
	struct host_announcement moved;

	fixture_close(&fixture);
	fixture_open_unsynced(&fixture, "a");
	fixture_publish(&fixture, 1, "a");
	host = fixture_host(&fixture, 1);
	moved = host->published;
	moved.position.revision += 10;
	g_strlcpy(moved.service, "archive", sizeof(moved.service));
	fixture_put(&fixture, &moved);
	route_to(100, "examen");
	ck_assert_str_eq(host->published.service, "examen");
	route_to(101, "archive");
	ck_assert_str_eq(host->published.service, "archive");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("service change");
	TCase *cases = tcase_create("service change");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_test(cases,
		       announcement_before_its_routes_is_applied_with_them);
	tcase_add_loop_test(
		cases, deferred_announcement_holds_until_a_newer_change, 0, 5);
	tcase_add_test(cases, services_change_only_once_routes_are_known);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
