/*
 * Guards against removed hosts that an older listing restores, hosts that a
 * foreign or late entry removes, and a zone that passes its flows to other
 * zones while it still has the capacity for them.
 */

#include <check.h>

#include "fixture.h"
#include "position.h"
#include "suite.h"

static struct fixture fixture;

static void table_open(void)
{
	fixture_open(&fixture, "a");
	fixture_route(&fixture, 1, true);
}

static void table_close(void)
{
	fixture_close(&fixture);
}

static void listing_put(struct host_listing *listing,
			const struct host_announcement *host)
{
	host_listing_put(listing, steering_hosts(fixture.steering), host,
			 fixture.clock.now_ns);
}

static void listing_finish(struct host_listing *listing)
{
	host_listing_finish(listing, steering_hosts(fixture.steering),
			    fixture.clock.now_ns);
	host_listing_destroy(listing);
}

START_TEST(listing_removes_hosts_it_does_not_contain) {
	struct host_table *table = steering_hosts(fixture.steering);
	struct host_announcement kept = fixture_announcement(&fixture, 1, "a");
	struct host_announcement lost = fixture_announcement(&fixture, 2, "a");
	struct host_announcement late;
	struct host_listing *listing;

	fixture_put(&fixture, &kept);
	fixture_put(&fixture, &lost);
	listing = host_listing_create(position_at(fixture.revision));
	late = fixture_announcement(&fixture, 3, "a");
	late.position.revision += 10;
	listing_put(listing, &kept);
	fixture_put(&fixture, &late);
	listing_finish(listing);
	ck_assert(!fixture_host(&fixture, 1)->is_removed);
	ck_assert(fixture_host(&fixture, 2)->is_removed);
	ck_assert(!fixture_host(&fixture, 3)->is_removed);
	ck_assert_uint_eq(host_table_count(table), 2);
}
END_TEST

/*
 * One listing comes from the store, the other one from a member. When each
 * restarted the other one, 300 balancers with 3,000 hosts were not ready for
 * 30 s after all of them had been killed.
 */
START_TEST(overlapping_listings_are_both_applied) {
	struct host_table *table = steering_hosts(fixture.steering);
	struct host_announcement hosts[5];
	struct host_listing *first;
	struct host_listing *second;

	for (uint32_t i = 0; i < 5; i++) {
		hosts[i] = fixture_announcement(&fixture, 1 + i, "a");
		fixture_put(&fixture, &hosts[i]);
	}
	first = host_listing_create(position_at(fixture.revision));
	listing_put(first, &hosts[0]);
	listing_put(first, &hosts[1]);
	second = host_listing_create(position_at(fixture.revision));
	listing_put(second, &hosts[0]);
	listing_put(first, &hosts[2]);
	listing_put(first, &hosts[3]);
	listing_finish(first);
	/* The first one did not contain host 5. */
	ck_assert_uint_eq(host_table_count(table), 4);
	for (uint32_t i = 1; i < 3; i++)
		listing_put(second, &hosts[i]);
	listing_finish(second);
	/* The second one did not contain host 4, though the first one did. */
	ck_assert_uint_eq(host_table_count(table), 3);
	ck_assert(fixture_host(&fixture, 4)->is_removed);
}
END_TEST

START_TEST(hosts_are_iterated_in_order) {
	struct host_table *table = steering_hosts(fixture.steering);
	const struct known_host *host;

	for (uint32_t number = 5; number > 0; number--)
		fixture_publish(&fixture, number, "a");
	fixture_withdraw(&fixture, 3);
	host = host_table_next(table, "");
	ck_assert_str_eq(host->published.id, "i-01");
	host = host_table_next(table, "i-02");
	ck_assert_str_eq(host->published.id, "i-04");
	ck_assert_ptr_null(host_table_next(table, "i-05"));
	ck_assert(store_position_is_equal(
		host_table_newest_position(table),
		fixture_host(&fixture, 3)->removed_position));
}
END_TEST

START_TEST(older_revisions_are_ignored) {
	struct host_table *table = steering_hosts(fixture.steering);
	struct host_announcement older = fixture_announcement(&fixture, 1, "a");
	struct host_announcement newer = fixture_announcement(&fixture, 1, "a");

	newer.is_draining = true;
	fixture_put(&fixture, &newer);
	fixture_put(&fixture, &older);
	ck_assert(fixture_host(&fixture, 1)->published.is_draining);
	host_table_remove(table, "i-01", older.position, fixture.clock.now_ns);
	ck_assert(!fixture_host(&fixture, 1)->is_removed);
	host_table_remove(table, "i-01",
			  position_at(newer.position.revision + 1),
			  fixture.clock.now_ns);
	fixture_put(&fixture, &newer);
	ck_assert(fixture_host(&fixture, 1)->is_removed);
}
END_TEST

/*
 * A balancer that starts lists from the store and from a member. A page of the
 * member that arrives after the store's newer listing must not restore a host
 * that has ended since (explorer, seed 199).
 */
START_TEST(older_listing_restores_no_removed_host) {
	struct host_table *table = steering_hosts(fixture.steering);
	struct host_announcement ended = fixture_announcement(&fixture, 1, "a");
	struct host_announcement kept = fixture_announcement(&fixture, 2, "a");
	struct host_listing *older =
		host_listing_create(position_at(fixture.revision));
	struct host_listing *newer =
		host_listing_create(position_at(fixture.revision + 5));

	listing_put(newer, &kept);
	listing_finish(newer);
	listing_put(older, &ended);
	listing_put(older, &kept);
	listing_finish(older);
	ck_assert_ptr_null(fixture_host(&fixture, 1));
	fixture_put(&fixture, &ended);
	ck_assert_ptr_null(fixture_host(&fixture, 1));
	ck_assert_uint_eq(host_table_count(table), 1);
	/*
	 * Restored from a member that still knows it: it gets packets of open
	 * flows, but no new flows.
	 */
	host_table_restore(table, &ended, STORE_POSITION_NONE,
			   fixture.clock.now_ns);
	ck_assert(fixture_host(&fixture, 1)->is_removed);
	ck_assert_uint_eq(host_table_count(table), 1);
	/* A newer listing may contain a host that an earlier one missed. */
	ended.position.revision += 20;
	fixture_put(&fixture, &ended);
	ck_assert(!fixture_host(&fixture, 1)->is_removed);
}
END_TEST

/*
 * Guards against a removal that is forgotten because its host is not known yet:
 * the announcement comes late, from a member.
 */
START_TEST(removal_of_an_unknown_host_is_kept) {
	struct host_table *table = steering_hosts(fixture.steering);
	struct host_announcement host = fixture_announcement(&fixture, 1, "a");
	int64_t now_ns = fixture.clock.now_ns;

	host_table_remove(table, "i-01",
			  position_at(host.position.revision + 10), now_ns);
	fixture_put(&fixture, &host);
	ck_assert_ptr_null(fixture_host(&fixture, 1));
	/* Its token is to be looked up, as other members may know the host. */
	packet_data(&fixture, 1, host_token("i-01"), 500, 1000);
	ck_assert_uint_eq(fixture.lookup_count, 1);
	host_table_restore(table, &host, STORE_POSITION_NONE, now_ns);
	ck_assert(fixture_host(&fixture, 1)->is_removed);
	ck_assert_uint_eq(fixture_host(&fixture, 1)->removed_position.revision,
			  host.position.revision + 10);
	ck_assert_uint_eq(host_table_count(table), 0);
	/* The id is published again. */
	host.position.revision += 20;
	fixture_put(&fixture, &host);
	ck_assert_uint_eq(host_table_count(table), 1);
}
END_TEST

/* Guards against a table that grows with each removal of an unknown host. */
START_TEST(removals_of_unknown_hosts_expire) {
	struct host_table *table = steering_hosts(fixture.steering);
	int64_t now_ns = fixture.clock.now_ns;

	host_table_remove(table, "i-01", position_at(500), now_ns);
	host_table_expire(table, now_ns - 1);
	ck_assert_uint_eq(g_hash_table_size(host_table_unknown_removals(table)),
			  1);
	host_table_expire(table, now_ns);
	ck_assert_uint_eq(g_hash_table_size(host_table_unknown_removals(table)),
			  0);
	/* Who is behind it has to list. */
	ck_assert_uint_eq(host_table_oldest_position(table).revision, 500);
}
END_TEST

/*
 * Guards against resets of the open flows of a live host because another
 * program wrote an entry under its id.
 */
START_TEST(entry_of_another_program_resets_no_flow) {
	struct host_announcement own;
	struct host_announcement foreign;
	struct known_host *host;

	fixture_publish(&fixture, 1, "a");
	host = flow_open(&fixture, 1);
	own = host->published;
	foreign = own;
	foreign.started_ms += 1000;
	foreign.port++;
	foreign.position.revision += 10;
	g_strlcpy(foreign.service, "elsewhere", sizeof(foreign.service));
	fixture_put(&fixture, &foreign);
	ck_assert_str_eq(host->published.service, own.service);
	ck_assert_uint_eq(host->published.port, own.port);
	own.position.revision += 20;
	fixture_put(&fixture, &own);
	ck_assert_uint_eq(fixture.reset_count, 0);
	ck_assert_uint_eq(host->open_flows, 1);
	/* The other way round, the entry with a route is taken. */
	foreign = fixture_announcement(&fixture, 2, "a");
	g_strlcpy(foreign.service, "elsewhere", sizeof(foreign.service));
	fixture_put(&fixture, &foreign);
	fixture_publish(&fixture, 2, "a");
	ck_assert_str_eq(fixture_host(&fixture, 2)->published.service,
			 own.service);
}
END_TEST

/*
 * Guards against balancers that send the packets of an open flow to another
 * host with the same token, as they learned of the hosts in another order.
 */
START_TEST(token_belongs_to_the_oldest_host) {
	static const char *const ids[] = { "i-eda6c3ff20", "i-208c8c7356" };
	struct host_table *table = steering_hosts(fixture.steering);
	uint32_t token = host_token(ids[0]);
	int64_t start_ns = fixture.clock.now_ns;

	ck_assert_uint_eq(token, host_token(ids[1]));
	for (uint32_t i = 0; i < 2; i++) {
		uint32_t age = (i + (uint32_t)_i) % 2;
		struct host_announcement host =
			fixture_announcement(&fixture, 1, "a");

		g_strlcpy(host.id, ids[age], sizeof(host.id));
		host.started_ms = 1000 + age;
		fixture_put(&fixture, &host);
	}
	ck_assert_str_eq(host_table_find_token(table, token)->published.id,
			 ids[0]);
	for (uint32_t i = 0; i < 2; i++)
		ck_assert(host_table_find(table, ids[i])->has_token_conflict);
	host_table_remove(table, ids[0], position_at(fixture.revision + 10),
			  start_ns);
	host_table_expire(table, start_ns);
	ck_assert_str_eq(host_table_find_token(table, token)->published.id,
			 ids[1]);
	ck_assert(!host_table_find(table, ids[1])->has_token_conflict);
}
END_TEST

START_TEST(removed_host_without_flows_is_freed) {
	struct host_table *table = steering_hosts(fixture.steering);

	fixture_publish(&fixture, 1, "a");
	fixture_withdraw(&fixture, 1);
	host_table_expire(table, fixture.clock.now_ns - 1);
	ck_assert_ptr_nonnull(fixture_host(&fixture, 1));
	host_table_expire(table, fixture.clock.now_ns);
	ck_assert_ptr_null(fixture_host(&fixture, 1));
	ck_assert_ptr_null(host_table_find_token(table, host_token("i-01")));
}
END_TEST

/* Share of new flows that leave zone "a", per mille. */
static uint32_t remote_share(uint32_t drained)
{
	uint32_t remote = 0;

	for (uint32_t number = 1; number <= 8; number++) {
		struct host_announcement host = fixture_announcement(
			&fixture, number, number <= 4 ? "a" : "b");

		host.is_draining = number <= drained;
		fixture_put(&fixture, &host);
	}
	for (uint16_t port = 1; port <= 1000; port++)
		remote += strcmp(packet_syn(&fixture, port, 0)
					 .host->published.zone,
				 "b") == 0;
	return remote;
}

START_TEST(failover_share_follows_lost_capacity) {
	static const struct {
		uint32_t drained; /* of four hosts in the zone */
		uint32_t remote_min; /* per mille */
		uint32_t remote_max;
	} cases[] = {
		{ 0, 0, 0 },
		{ 1, 0, 0 },
		{ 2, 200, 400 },
		{ 4, 1000, 1000 },
	};
	uint32_t remote = remote_share(cases[_i].drained);

	ck_assert_uint_ge(remote, cases[_i].remote_min);
	ck_assert_uint_le(remote, cases[_i].remote_max);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host table");
	TCase *cases = tcase_create("hosts");

	tcase_add_checked_fixture(cases, table_open, table_close);
	tcase_add_test(cases, listing_removes_hosts_it_does_not_contain);
	tcase_add_test(cases, overlapping_listings_are_both_applied);
	tcase_add_test(cases, hosts_are_iterated_in_order);
	tcase_add_test(cases, older_revisions_are_ignored);
	tcase_add_test(cases, older_listing_restores_no_removed_host);
	tcase_add_test(cases, removal_of_an_unknown_host_is_kept);
	tcase_add_test(cases, removals_of_unknown_hosts_expire);
	tcase_add_test(cases, entry_of_another_program_resets_no_flow);
	tcase_add_loop_test(cases, token_belongs_to_the_oldest_host, 0, 2);
	tcase_add_test(cases, removed_host_without_flows_is_freed);
	tcase_add_loop_test(cases, failover_share_follows_lost_capacity, 0, 4);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
