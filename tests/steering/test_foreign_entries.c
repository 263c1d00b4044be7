/*
 * Guards against entries that name no host, as other programs write them, but
 * change what happens to a host: at its address, with its token, or by their
 * number.
 */

#include <check.h>

#include "fixture.h"
#include "position.h"
#include "suite.h"

/* Entries that a program writes and removes again. */
#define ENTRIES 20000

static const char *const examen[] = { "examen", NULL };
static const char *const both[] = { "examen", "archive", NULL };

static struct fixture fixture;

static void hosts_open(void)
{
	fixture_open_with_hosts(&fixture);
}

static void hosts_close(void)
{
	fixture_close(&fixture);
}

static struct host_table *table(void)
{
	return steering_hosts(fixture.steering);
}

/* An entry of service "archive" at the address of @host, and newer. */
static struct host_announcement entry_at(const struct known_host *host)
{
	struct host_announcement entry = host->published;

	g_strlcpy(entry.id, "agent-77", sizeof(entry.id));
	g_strlcpy(entry.service, "archive", sizeof(entry.service));
	entry.position = position_at(fixture.revision++);
	entry.started_ms++;
	return entry;
}

/*
 * Guards against open flows that are reset because of a foreign entry at the
 * address of their host, and against a host that ends unnoticed because the
 * entry of its successor came before the routes to it.
 */
START_TEST(entry_counts_at_an_address_while_it_is_routed) {
	struct known_host *host = flow_open(&fixture, 1);
	struct host_announcement entry = entry_at(host);

	fixture_put(&fixture, &entry);
	packet_data_retransmit(&fixture, 1, host->token, 2);
	fixture_probe(&fixture, host, PROBE_RESULT_UP);
	ck_assert_uint_eq(fixture.reset_count, 0);
	ck_assert_int_eq(host->health.down_ns, 0);
	fixture_route_to(&fixture, 2, both);
	fixture_advance(&fixture, 2000);
	packet_data_retransmit(&fixture, 1, host->token, 2);
	fixture_probe(&fixture, host, PROBE_RESULT_UP);
	ck_assert_uint_eq(fixture.reset_count, 1);
	ck_assert_uint_eq(fixture.reassignment_count, 1);
}
END_TEST

/* Guards against a host that ends unnoticed because its own route was dropped. */
START_TEST(entry_counts_no_longer_once_its_route_is_dropped) {
	struct known_host *host = flow_open(&fixture, 1);
	struct host_announcement entry = entry_at(host);

	fixture_route_to(&fixture, 2, both);
	fixture_put(&fixture, &entry);
	ck_assert_ptr_nonnull(host_table_service(table(), "archive"));
	fixture_route_to(&fixture, 3, examen);
	ck_assert_ptr_null(host_table_service(table(), "archive"));
	packet_data_retransmit(&fixture, 1, host->token, 2);
	fixture_probe(&fixture, host, PROBE_RESULT_UP);
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

/*
 * Guards against packets of open flows that go to a foreign entry, and against
 * a host without new flows, because the entry has the token of the host.
 */
START_TEST(token_belongs_to_the_routed_host) {
	static const char *const ids[] = { "i-eda6c3ff20", "i-208c8c7356" };
	struct host_announcement host = fixture_announcement(&fixture, 9, "a");
	struct host_announcement entry;
	uint32_t token = host_token(ids[0]);

	g_strlcpy(host.id, ids[0], sizeof(host.id));
	host.started_ms = 1000;
	entry = host;
	g_strlcpy(entry.id, ids[1], sizeof(entry.id));
	g_strlcpy(entry.service, "archive", sizeof(entry.service));
	/* Older, so that it would have the open flows. */
	entry.started_ms = 1;
	fixture_put(&fixture, _i == 0 ? &host : &entry);
	fixture_put(&fixture, _i == 0 ? &entry : &host);
	ck_assert_str_eq(host_table_find_token(table(), token)->published.id,
			 ids[0]);
	ck_assert(!host_table_find(table(), ids[0])->has_token_conflict);
	fixture_route_to(&fixture, 2, both);
	ck_assert_str_eq(host_table_find_token(table(), token)->published.id,
			 ids[1]);
	ck_assert(host_table_find(table(), ids[0])->has_token_conflict);
	fixture_route_to(&fixture, 3, examen);
	ck_assert_str_eq(host_table_find_token(table(), token)->published.id,
			 ids[0]);
	ck_assert(!host_table_find(table(), ids[0])->has_token_conflict);
	host_table_remove(table(), ids[1], position_at(fixture.revision + 10),
			  fixture.clock.now_ns);
	steering_tick(fixture.steering);
	ck_assert_str_eq(host_table_find_token(table(), token)->published.id,
			 ids[0]);
}
END_TEST

/*
 * Guards against probes of addresses that no host has: also as the control that
 * shows whether the path to the hosts is open.
 */
START_TEST(entry_is_not_probed) {
	struct known_host *host = flow_open(&fixture, 1);
	struct host_announcement entry = entry_at(host);
	const struct known_host *foreign;

	entry.port++;
	fixture_withdraw(&fixture, host->published.target_id == 1 ? 2 : 1);
	fixture_withdraw(&fixture, 3);
	fixture_put(&fixture, &entry);
	foreign = host_table_find(table(), entry.id);
	packet_data_retransmit(&fixture, 1, host->token, 2);
	steering_tick(fixture.steering);
	ck_assert(host->health.is_probing);
	fixture_advance(&fixture, 900);
	steering_probe_end(fixture.steering, host->published.id,
			   PROBE_RESULT_TIMEOUT);
	steering_tick(fixture.steering);
	ck_assert(!foreign->health.is_probing);
}
END_TEST

/* Guards against slow-start limits that are divided by zones without hosts. */
START_TEST(entry_adds_no_zone) {
	struct service_limit *limit = g_new0(struct service_limit, 1);
	struct route_rule *rule = g_new0(struct route_rule, 1);
	struct host_announcement entry = entry_at(fixture_host(&fixture, 1));
	struct host_announcement cold = fixture_announcement(&fixture, 9, "a");
	struct routing *routing;

	ip_address_parse(SERVICE_ADDRESS, &rule->address);
	rule->port = SERVICE_PORT;
	rule->target_count = 1;
	rule->targets[0].weight = 1;
	g_strlcpy(rule->targets[0].service, "examen", NAME_BYTES_MAX);
	g_strlcpy(limit->service, "examen", NAME_BYTES_MAX);
	limit->flows_per_1000_s = 2000;
	routing = routing_create(2, 15000, rule, 1);
	routing_set_limits(routing, limit, 1);
	steering_set_routing(fixture.steering, routing);
	routing_unref(routing);
	fixture.members = 1;
	steering_set_up_to_date(fixture.steering, true);
	g_strlcpy(entry.zone, "no-zone", sizeof(entry.zone));
	fixture_put(&fixture, &entry);
	steering_tick(fixture.steering);
	cold.slow_start_ms = 20000;
	fixture_put(&fixture, &cold);
	for (uint16_t port = 1; port <= 20; port++)
		packet_syn(&fixture, port, 0);
	ck_assert_uint_eq(fixture.limited.place.zones, 2);
}
END_TEST

/*
 * Guards against memory and time that grow with the entries that a program has
 * written and removed, and against members that never learn of the removals.
 */
START_TEST(removed_entries_take_little_memory) {
	struct store_position oldest = host_table_oldest_position(table());
	struct host_announcement entry = entry_at(fixture_host(&fixture, 1));

	for (uint32_t i = 0; i < ENTRIES; i++) {
		g_snprintf(entry.id, sizeof(entry.id), "agent-%08x", i + 1);
		g_snprintf(entry.service, sizeof(entry.service), "job-%u", i);
		entry.position = position_at(fixture.revision++);
		fixture_put(&fixture, &entry);
		host_table_remove(table(), entry.id,
				  position_at(fixture.revision++),
				  fixture.clock.now_ns);
	}
	steering_tick(fixture.steering);
	ck_assert_uint_eq(g_hash_table_size(host_table_all(table())), 3);
	ck_assert_uint_eq(g_hash_table_size(host_table_services(table())), 1);
	ck_assert_uint_eq(
		g_hash_table_size(host_table_unknown_removals(table())),
		ENTRIES);
	ck_assert(store_position_is_equal(host_table_oldest_position(table()),
					  oldest));
}
END_TEST

/* Guards against a late announcement that restores an entry that was freed. */
START_TEST(freed_entry_stays_removed) {
	struct host_announcement entry = entry_at(fixture_host(&fixture, 1));

	fixture_put(&fixture, &entry);
	host_table_remove(table(), entry.id,
			  position_at(entry.position.revision + 5),
			  fixture.clock.now_ns);
	steering_tick(fixture.steering);
	fixture_put(&fixture, &entry);
	ck_assert_ptr_null(host_table_find(table(), entry.id));
	entry.position.revision += 6;
	fixture_put(&fixture, &entry);
	ck_assert(!host_table_find(table(), entry.id)->is_removed);
}
END_TEST

/*
 * Guards against a host that is removed by a listing while its entry is one of
 * another program.
 */
START_TEST(unreadable_entry_removes_no_host) {
	struct host_listing *listing =
		host_listing_create(position_at(fixture.revision));

	host_listing_keep(listing, "i-01");
	host_listing_keep(listing, "i-02");
	host_listing_keep(NULL, "i-03");
	host_listing_finish(listing, table(), fixture.clock.now_ns);
	host_listing_destroy(listing);
	ck_assert(!fixture_host(&fixture, 1)->is_removed);
	ck_assert(!fixture_host(&fixture, 2)->is_removed);
	ck_assert(fixture_host(&fixture, 3)->is_removed);
}
END_TEST

/* Guards against new flows that are placed at a foreign entry. */
START_TEST(entry_gets_no_flow) {
	struct host_announcement entry = entry_at(fixture_host(&fixture, 1));

	fixture_put(&fixture, &entry);
	ck_assert_uint_eq(host_table_unrouted_count(table()), 1);
	ck_assert(!host_is_routed(host_table_find(table(), entry.id)));
	ck_assert(host_is_routed(fixture_host(&fixture, 1)));
	for (uint16_t port = 1; port <= 100; port++)
		ck_assert_str_eq(
			packet_syn(&fixture, port, 0).host->published.service,
			"examen");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("foreign entries");
	TCase *cases = tcase_create("foreign entries");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_test(cases, entry_counts_at_an_address_while_it_is_routed);
	tcase_add_test(cases, entry_counts_no_longer_once_its_route_is_dropped);
	tcase_add_loop_test(cases, token_belongs_to_the_routed_host, 0, 2);
	tcase_add_test(cases, entry_is_not_probed);
	tcase_add_test(cases, entry_adds_no_zone);
	tcase_add_test(cases, removed_entries_take_little_memory);
	tcase_add_test(cases, freed_entry_stays_removed);
	tcase_add_test(cases, unreadable_entry_removes_no_host);
	tcase_add_test(cases, entry_gets_no_flow);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
