/*
 * Guards against metrics that are exported but never recorded, and against
 * delays from the publication of routes to their use that are reported too low.
 */

#include <check.h>
#include <glib.h>
#include <string.h>

#include "balancer_fixture.h"
#include "position.h"
#include "suite.h"

#define DEADLINE_US (5 * G_USEC_PER_SEC)

static struct balancer_fixture fixture;

static void balancer_open(void)
{
	balancer_fixture_open(&fixture);
}

static void balancer_close(void)
{
	balancer_fixture_close(&fixture);
}

static int64_t counter_find(const char *name)
{
	return balancer_fixture_counter(&fixture, name);
}

START_TEST(decision_time_is_recorded) {
	int64_t deadline_us = g_get_monotonic_time() + DEADLINE_US;

	balancer_fixture_send_packet();
	while (counter_find("decision_ns_count") == 0 &&
	       g_get_monotonic_time() < deadline_us)
		g_main_context_iteration(NULL, FALSE);
	ck_assert_int_eq(counter_find("decision_ns_count"), 1);
	ck_assert_int_ge(counter_find("decision_ns_sum"), CLOCK_STEP_NS);
	ck_assert_int_eq(counter_find("decisions_not_ready"), 1);
}
END_TEST

static void routes_apply(uint64_t version)
{
	struct routing *routing = routing_create(version, 1000, NULL, 0);

	balancer_routing_apply(fixture.balancer, routing);
	routing_unref(routing);
}

START_TEST(routes_delay_starts_at_last_confirmation) {
	/* The age of the first routes is unknown. */
	routes_apply(1);
	ck_assert_int_eq(counter_find("routes_delay_ms_count"), 0);
	fixture.balancer->replica_status.confirmed_ns = fixture.now_ns;
	fixture.now_ns += 700 * NS_PER_MS;
	routes_apply(2);
	ck_assert_int_eq(counter_find("routes_delay_ms_count"), 1);
	ck_assert_int_eq(counter_find("routes_delay_ms_sum"), 700);
	/* An older version is ignored. */
	routes_apply(1);
	ck_assert_int_eq(counter_find("routes_delay_ms_count"), 1);
}
END_TEST

/*
 * Guards against log lines that keep callers waiting: without a rate limit,
 * each of 300 balancers that receive 3,000 hosts at once writes 600 KB of them.
 */
START_TEST(host_log_lines_are_rate_limited) {
	static const uint32_t hosts = 3000;
	struct host_table *table = steering_hosts(fixture.balancer->steering);

	for (uint32_t i = 0; i < hosts; i++) {
		struct host_announcement host = { .position =
							  position_at(1 + i) };

		g_snprintf(host.id, sizeof(host.id), "i-%u", i);
		g_strlcpy(host.service, "examen", sizeof(host.service));
		host_table_put(table, &host, fixture.now_ns);
	}
	ck_assert_uint_eq(host_table_count(table), hosts);
	ck_assert_int_ge(counter_find("total_log_left_out_lines"), 2400);
	/* Later changes of a few hosts are all logged. */
	fixture.now_ns += 10 * NS_PER_S;
	for (uint32_t i = 0; i < 20; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%u", i);
		host_table_remove(table, id, position_at(hosts + 1),
				  fixture.now_ns);
	}
	ck_assert_int_le(counter_find("total_log_left_out_lines"), 2500);
}
END_TEST

static void zone_host_publish(const char *id, const char *zone)
{
	struct host_announcement host = { .slots = 2,
					  .position = position_at(1) };

	g_strlcpy(host.id, id, sizeof(host.id));
	g_strlcpy(host.service, "examen", sizeof(host.service));
	g_strlcpy(host.zone, zone, sizeof(host.zone));
	host_table_put(steering_hosts(fixture.balancer->steering), &host,
		       fixture.now_ns);
}

static char *zone_loads_text(void)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	zone_loads_print(fixture.balancer, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* Guards against an operator who cannot see why flows leave the zone. */
START_TEST(zone_loads_are_printed) {
	struct steering *steering = fixture.balancer->steering;
	struct zone_load_entry entry = {
		.zone = zone_load_hash("a"),
		.service = zone_load_hash("examen"),
		.busy_parts = 20 * ZONE_LOAD_SLOT_PARTS,
		.time_ms = 100,
	};
	char *text;

	zone_host_publish("i-1", "a");
	zone_host_publish("i-2", "b");
	steering_tick(steering);
	text = zone_loads_text();
	ck_assert_str_eq(text, "{\"zone_loads\":[]}");
	g_free(text);
	zone_loads_set_follower(steering_zone_loads(steering), 1, &entry, 1,
				fixture.now_ns);
	zone_loads_sum(steering_zone_loads(steering), 0x0a000001,
		       fixture.now_ns);
	steering_tick(steering);
	text = zone_loads_text();
	ck_assert_ptr_nonnull(strstr(text, "\"service\":\"examen\""));
	ck_assert_ptr_nonnull(strstr(text, "\"reason\":\"no_reports\""));
	ck_assert_ptr_nonnull(strstr(text, "\"busy_slots\":20"));
	ck_assert_ptr_nonnull(strstr(text, "\"leader\":\"10.0.0.1\""));
	g_free(text);
	ck_assert_int_eq(counter_find("balancer_spillover_permille"), 0);
	ck_assert_int_eq(counter_find("zone_flows_left_full"), 0);
}
END_TEST

/*
 * Guards against speeds that are applied although the settings do not ask for
 * them, or without a trace, and against a line for each host of a large site.
 */
START_TEST(speed_changes_are_counted_and_limited) {
	static const uint32_t hosts = 1000;
	struct steering *steering = fixture.balancer->steering;
	struct host_table *table = steering_hosts(steering);

	ck_assert(host_speeds_is_enabled(steering_host_speeds(steering)));
	for (uint32_t i = 0; i < hosts; i++) {
		struct host_announcement host = { .position =
							  position_at(1 + i) };

		g_snprintf(host.id, sizeof(host.id), "i-%u", i);
		g_strlcpy(host.service, "examen", sizeof(host.service));
		host_table_put(table, &host, fixture.now_ns);
		host_speeds_receive(steering_host_speeds(steering),
				    host_table_find(table, host.id), 600,
				    fixture.now_ns);
	}
	fixture.balancer->totals[TOTAL_LOG_SUPPRESSED_LINES] = 0;
	steering_tick(steering);
	ck_assert_int_eq(counter_find("host_speeds_received"), hosts);
	ck_assert_int_eq(counter_find("host_speeds_lowered"), hosts);
	ck_assert_int_ge(counter_find("total_log_left_out_lines"), 400);
	steering_set_host_speed_weights(steering, false);
	ck_assert(!host_speed_is_unequal(host_table_find(table, "i-1")));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("balancer");
	TCase *cases = tcase_create("metrics");

	tcase_add_checked_fixture(cases, balancer_open, balancer_close);
	tcase_add_test(cases, decision_time_is_recorded);
	tcase_add_test(cases, routes_delay_starts_at_last_confirmation);
	tcase_add_test(cases, host_log_lines_are_rate_limited);
	tcase_add_test(cases, zone_loads_are_printed);
	tcase_add_test(cases, speed_changes_are_counted_and_limited);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
