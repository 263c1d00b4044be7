/*
 * Guards against a client that takes the history of a store that came back from
 * a copy for the one that it knows.
 */

#include <check.h>

#include "position.h"
#include "store_fixture.h"
#include "suite.h"

/*
 * Guards against a reader that goes on with a watch, or a listing, after the
 * store came back from a copy: what was written under revisions that are given
 * out again would be missed (review case 11).
 */
START_TEST(new_era_is_listed) {
	static const struct {
		const char *era;
		const char *next_era;
		uint32_t calls; /* with the first one, of both listings */
		enum behaviour behaviour; /* of the response that shows it */
		uint32_t listings;
		uint32_t changes;
		uint64_t era_after;
	} cases[] = {
		/* Five calls list three pages of hosts and the configuration. */
		{ "4", "5", 5, RESPOND, 2, 1, 5 },
		{ "4", "12", 6, RESPOND, 2, 1, 12 },
		{ "4", "5", 5, RESPOND_HISTORY_GONE, 2, 1, 5 },
		{ "4", "5", 5, RESPOND_UNAVAILABLE, 2, 1, 5 },
		/* During a listing, at each page but the first. */
		{ "4", "5", 2, RESPOND, 2, 1, 5 },
		{ "4", "5", 4, RESPOND, 2, 1, 5 },
		/* The first response begins no other era. */
		{ "4", "4", 1, RESPOND, 1, 0, 4 },
		{ NULL, "4", 5, RESPOND, 2, 1, 4 },
		/* A header that is missing or invalid: the era held. */
		{ "4", NULL, 5, RESPOND, 1, 0, 4 },
		{ "4", "five", 5, RESPOND, 1, 0, 4 },
		{ "4", "-5", 5, RESPOND, 1, 0, 4 },
		{ NULL, NULL, 5, RESPOND, 1, 0, 0 },
	};

	fixture.era = cases[_i].era;
	fixture.next_era = cases[_i].next_era;
	fixture.era_calls = cases[_i].calls;
	fixture.behaviour = cases[_i].behaviour;
	fixture.behaviour_call = cases[_i].calls;
	fixture.behaviour_count = cases[_i].behaviour != RESPOND;
	store_set_following(fixture.store, true);
	listings_wait(1);
	loop_run(800);
	ck_assert_uint_eq(fixture.listings, cases[_i].listings);
	ck_assert_uint_eq(fixture.era_changes, cases[_i].changes);
	ck_assert_uint_eq(fixture.confirmed.era, cases[_i].era_after);
	ck_assert_uint_eq(fixture.reported_era, cases[_i].era_after);
	fixture.pending_changes = 1;
	loop_run(300);
	ck_assert(g_hash_table_contains(fixture.reported_ids, "i-ee"));
	ck_assert_uint_eq(fixture.confirmed.revision, fixture.revision);
}
END_TEST

START_TEST(missing_era_is_reported_once) {
	fixture.era = "4";
	store_set_following(fixture.store, true);
	listings_wait(1);
	ck_assert_uint_eq(fixture.eras_missing, 0);
	fixture.era = NULL;
	loop_run(400);
	ck_assert_uint_eq(fixture.eras_missing, 1);
	fixture.era = "4";
	loop_run(200);
	fixture.era = "four";
	loop_run(400);
	ck_assert_uint_eq(fixture.eras_missing, 2);
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

/* Guards against a response that was sent before the store was restored. */
START_TEST(late_response_of_an_earlier_era_changes_nothing) {
	store_set_position(fixture.store, position_in(5, 40));
	fixture.era = "4";
	fixture.pending_changes = 1;
	store_set_following(fixture.store, true);
	loop_run(300);
	ck_assert_uint_ge(fixture.calls, 1);
	ck_assert_uint_le(fixture.calls, 4);
	ck_assert_uint_eq(fixture.outages, 1);
	ck_assert_uint_eq(g_hash_table_size(fixture.reported_ids), 0);
	fixture.era = "5";
	fixture.pending_changes = 1;
	loop_run(1500);
	ck_assert(g_hash_table_contains(fixture.reported_ids, "i-ee"));
	ck_assert_uint_eq(fixture.recoveries, 1);
	ck_assert_uint_eq(fixture.listings, 0);
}
END_TEST

/*
 * Guards against a balancer that becomes the reader, and watches from a position
 * of another era than the store's.
 */
START_TEST(position_of_a_former_era_is_listed) {
	store_set_position(fixture.store, position_in(4, 100));
	fixture.era = "6";
	store_set_following(fixture.store, true);
	listings_wait(1);
	ck_assert_uint_eq(fixture.era_changes, 1);
	/* What a member knew before does not bring back the former era. */
	store_set_following(fixture.store, false);
	store_set_position(fixture.store, position_in(4, 200));
	store_set_following(fixture.store, true);
	loop_run(300);
	ck_assert_uint_eq(fixture.listings, 1);
	ck_assert_uint_eq(fixture.era_changes, 1);
	ck_assert_uint_eq(fixture.confirmed.era, 6);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store eras");
	TCase *cases = tcase_create("eras");

	tcase_set_timeout(cases, 20);
	tcase_add_checked_fixture(cases, store_open, store_close);
	tcase_add_loop_test(cases, new_era_is_listed, 0, 12);
	tcase_add_test(cases, missing_era_is_reported_once);
	tcase_add_test(cases, late_response_of_an_earlier_era_changes_nothing);
	tcase_add_test(cases, position_of_a_former_era_is_listed);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
