/*
 * Guards against a client that misses changes between pages or after the store
 * discarded its history or answers too much at once, waits forever for a
 * response, gives up one that makes progress, or sends requests to an
 * unavailable store without a delay.
 */

#include <check.h>

#include "position.h"
#include "store_fixture.h"
#include "suite.h"

START_TEST(all_pages_are_listed) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	ck_assert_uint_eq(g_hash_table_size(fixture.reported_ids), 25);
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

/* A client stopped at the first page restarts the listing from there. */
START_TEST(first_page_reports_whether_more_follow) {
	fixture.page_size = _i == 0 ? 25 : 10;
	fixture.stops_at_first_page = true;
	store_set_following(fixture.store, true);
	loop_run(200);
	ck_assert_uint_eq(fixture.first_pages, 1);
	ck_assert(fixture.has_more == (_i == 1));
	ck_assert_uint_eq(fixture.calls, 1);
	ck_assert_uint_eq(fixture.listing_ends, 0);
	fixture.stops_at_first_page = false;
	store_set_following(fixture.store, true);
	listings_wait(1);
	ck_assert_uint_eq(g_hash_table_size(fixture.reported_ids), 25);
	ck_assert_uint_eq(fixture.listings, 2);
}
END_TEST

START_TEST(watch_reports_change) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	fixture.pending_changes = 1;
	loop_run(500);
	ck_assert(g_hash_table_contains(fixture.reported_ids, "i-ee"));
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

START_TEST(client_recovers_from_store_faults) {
	static const struct {
		enum behaviour behaviour;
		uint32_t count;
		uint32_t listings_min; /* after the fault */
		uint32_t outages;
		uint32_t misses;
		uint32_t wait_ms;
	} cases[] = {
		{ RESPOND_HISTORY_GONE, 1, 2, 0, 1, 1500 },
		{ RESPOND_UNAVAILABLE, 3, 1, 1, 0, 1500 },
		{ NO_RESPONSE, 1, 1, 1, 0, 1500 + RESPONSE_TIMEOUT_MS },
		{ RESPOND_MALFORMED, 2, 1, 1, 0, 1500 },
		/* The same watch would get the same answer. */
		{ RESPOND_TOO_MUCH, 1, 2, 0, 1, 1500 },
		{ RESPOND_TOO_MUCH, 3, 4, 0, 3, 3000 },
		{ RESPOND_SLOWLY, 1, 1, 0, 0,
		  500 + (SLOW_PARTS + 1) * SLOW_PAUSE_MS },
		{ RESPOND_IN_PART, 1, 1, 1, 0,
		  1500 + RESPONSE_TIMEOUT_MS + SLOW_PAUSE_MS },
	};

	store_set_following(fixture.store, true);
	listings_wait(1);
	fixture.behaviour = cases[_i].behaviour;
	fixture.behaviour_count = cases[_i].count;
	loop_run(cases[_i].wait_ms);
	fixture.pending_changes = 1;
	loop_run(600);
	ck_assert(g_hash_table_contains(fixture.reported_ids, "i-ee"));
	ck_assert_uint_ge(fixture.listings, cases[_i].listings_min);
	ck_assert_uint_eq(fixture.outages, cases[_i].outages);
	ck_assert_uint_eq(fixture.misses, cases[_i].misses);
}
END_TEST

START_TEST(unavailable_store_gets_few_requests) {
	fixture.behaviour = RESPOND_UNAVAILABLE;
	fixture.behaviour_count = 1000;
	store_set_following(fixture.store, true);
	loop_run(1500);
	ck_assert_uint_ge(fixture.calls, 2);
	ck_assert_uint_le(fixture.calls, 12);
	ck_assert_uint_eq(fixture.outages, 1);
}
END_TEST

START_TEST(stopped_client_sends_no_requests) {
	uint32_t calls;

	store_set_following(fixture.store, true);
	listings_wait(1);
	store_set_following(fixture.store, false);
	loop_run(100);
	calls = fixture.calls;
	loop_run(300);
	ck_assert_uint_eq(fixture.calls, calls);
}
END_TEST

START_TEST(finished_listing_is_not_repeated) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	loop_run(200);
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

START_TEST(known_revision_avoids_the_listing) {
	store_set_position(fixture.store, position_at(100));
	store_set_following(fixture.store, true);
	loop_run(200);
	ck_assert_uint_ge(fixture.calls, 1);
	ck_assert_uint_eq(fixture.listings, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store");
	TCase *cases = tcase_create("store");

	tcase_set_timeout(cases, 20);
	tcase_add_checked_fixture(cases, store_open, store_close);
	tcase_add_test(cases, all_pages_are_listed);
	tcase_add_loop_test(cases, first_page_reports_whether_more_follow, 0,
			    2);
	tcase_add_test(cases, watch_reports_change);
	tcase_add_loop_test(cases, client_recovers_from_store_faults, 0, 8);
	tcase_add_test(cases, unavailable_store_gets_few_requests);
	tcase_add_test(cases, stopped_client_sends_no_requests);
	tcase_add_test(cases, finished_listing_is_not_repeated);
	tcase_add_test(cases, known_revision_avoids_the_listing);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
