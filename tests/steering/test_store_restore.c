/*
 * Guards against hosts and drained zones that are used, or given up, because the
 * store came back from a copy that is some seconds old: until what it lost has
 * been written again, the safer of both states applies.
 */

#include <check.h>
#include <string.h>

#include "fixture.h"
#include "position.h"
#include "suite.h"

#define ERA 4
/* Of the store before and after the restore. */
#define LAST_REVISION 200
#define COPY_REVISION 120
/* The host that changes, and the others, which stay as they were. */
#define HOST 1
#define HOST_ID "i-01"

static struct fixture fixture;

static void store_open(void)
{
	fixture_open(&fixture, "a");
	fixture_route(&fixture, 1, true);
}

static void store_close(void)
{
	fixture_close(&fixture);
}

static struct host_table *table(void)
{
	return steering_hosts(fixture.steering);
}

/* What an entry says. */
enum entry {
	ABSENT,
	READY,
	DRAINING,
	EARLIER, /* ready, of a process that started earlier */
	LATER, /* likewise, later */
	UNREADABLE,
};

static struct host_announcement announcement(uint32_t number, enum entry entry,
					     struct store_position position)
{
	struct host_announcement host =
		fixture_announcement(&fixture, number, "a");

	host.is_draining = entry == DRAINING;
	host.started_ms = 1000;
	if (entry == EARLIER)
		host.started_ms--;
	if (entry == LATER)
		host.started_ms++;
	host.position = position;
	return host;
}

static void host_list(struct host_listing *listing, uint32_t number,
		      enum entry entry, struct store_position position)
{
	struct host_announcement host = announcement(number, entry, position);

	if (entry == UNREADABLE)
		host_listing_keep(listing, host.id);
	else if (entry != ABSENT)
		host_listing_put(listing, table(), &host, fixture.clock.now_ns);
}

static void hosts_list(struct host_listing *listing, uint64_t era,
		       enum entry entry)
{
	host_list(listing, HOST, entry, position_in(era, COPY_REVISION - 10));
	host_list(listing, 2, READY, position_in(era, 50));
	host_list(listing, 3, READY, position_in(era, 51));
}

static void listing_apply(uint64_t era, uint64_t revision, enum entry entry)
{
	struct host_listing *listing =
		host_listing_create(position_in(era, revision));

	hosts_list(listing, era, entry);
	host_listing_finish(listing, table(), fixture.clock.now_ns);
	host_listing_destroy(listing);
}

/* The host is known as @entry at the end of the former era. */
static void host_know(enum entry entry)
{
	struct host_announcement host =
		announcement(HOST, entry, position_in(ERA, LAST_REVISION - 5));

	listing_apply(ERA, COPY_REVISION - 20, READY);
	if (entry == ABSENT)
		host_table_remove(table(), HOST_ID,
				  position_in(ERA, LAST_REVISION - 5),
				  fixture.clock.now_ns);
	else
		host_table_put(table(), &host, fixture.clock.now_ns);
}

static void time_pass(uint32_t ms)
{
	for (; ms > 0; ms -= 100) {
		fixture_advance(&fixture, 100);
		steering_tick(fixture.steering);
	}
}

/* True if one of many new flows goes to the host. */
static bool host_is_used(void)
{
	const struct known_host *host = fixture_host(&fixture, HOST);
	bool is_used = false;

	for (uint16_t port = 100; port < 180; port++) {
		const struct known_host *chosen =
			packet_syn(&fixture, port, 0).host;

		is_used |= chosen == host;
		packet_data(&fixture, port, chosen->token, port + 1u, 1);
		packet_fin(&fixture, port, chosen->token, port + 101u, 2);
	}
	return is_used;
}

static const struct {
	enum entry known;
	enum entry listed;
	bool is_used; /* until what was lost may be written again */
	bool is_used_after;
	bool is_published_after;
	bool is_probed; /* before it is used again */
} restores[] = {
	{ READY, READY, true, true, true, false },
	{ READY, DRAINING, false, false, true, false },
	/* It may have registered in the lost seconds. */
	{ READY, ABSENT, true, false, false, false },
	/* It may have drained or left in them. */
	{ DRAINING, READY, false, true, true, true },
	{ ABSENT, READY, false, true, true, true },
	{ DRAINING, DRAINING, false, false, true, false },
	{ DRAINING, ABSENT, false, false, false, false },
	{ ABSENT, ABSENT, false, false, false, false },
	{ ABSENT, DRAINING, false, false, true, false },
	/* It has restarted in them. */
	{ READY, EARLIER, true, true, true, false },
	{ DRAINING, EARLIER, false, false, true, false },
	{ READY, LATER, true, true, true, false },
	{ READY, UNREADABLE, true, true, true, false },
	{ ABSENT, UNREADABLE, false, false, false, false },
};

START_TEST(safer_state_applies_until_entries_are_written_again) {
	const struct known_host *host;

	host_know(restores[_i].known);
	listing_apply(ERA + 1, COPY_REVISION, restores[_i].listed);
	ck_assert(host_is_used() == restores[_i].is_used);
	time_pass(1900);
	ck_assert(host_is_used() == restores[_i].is_used);
	time_pass(200);
	host = fixture_host(&fixture, HOST);
	if (restores[_i].is_probed) {
		ck_assert(!host_is_used());
		ck_assert(host->health.is_probing);
		steering_probe_end(fixture.steering, HOST_ID, PROBE_RESULT_UP);
		time_pass(200);
	}
	ck_assert(host_is_used() == restores[_i].is_used_after);
	ck_assert(host->is_removed == !restores[_i].is_published_after);
	/* Each position is of the new era. */
	ck_assert_uint_eq(host->published.position.era, ERA + 1);
	ck_assert_uint_eq(host_table_newest_position(table()).era, ERA + 1);
	ck_assert_uint_eq(host_table_oldest_position(table()).revision,
			  COPY_REVISION);
}
END_TEST

/* What is written after the restore decides at once. */
START_TEST(later_change_ends_the_wait) {
	static const enum entry entries[] = { ABSENT, READY, DRAINING };
	enum entry written = entries[_i % 3];
	struct store_position position =
		position_in(ERA + 1, COPY_REVISION + 1);
	struct host_announcement host = announcement(HOST, written, position);

	host_know(restores[_i / 3].known);
	listing_apply(ERA + 1, COPY_REVISION, restores[_i / 3].listed);
	time_pass(300);
	if (written == ABSENT)
		host_table_remove(table(), HOST_ID, position,
				  fixture.clock.now_ns);
	else
		host_table_put(table(), &host, fixture.clock.now_ns);
	for (int i = 0; i < 2; i++) {
		/* The placement pool may be 100 ms old. */
		time_pass(200);
		ck_assert(host_is_used() == (written == READY));
		time_pass(3000);
	}
	ck_assert(fixture_host(&fixture, HOST)->is_removed ==
		  (written == ABSENT));
}
END_TEST

/* Guards against flows that end, or go on, by a listing that is not whole. */
START_TEST(listing_of_a_new_era_has_no_effect_until_it_is_whole) {
	struct host_listing *listing =
		host_listing_create(position_in(ERA + 1, COPY_REVISION));

	host_know(restores[_i].known);
	hosts_list(listing, ERA + 1, restores[_i].listed);
	time_pass(5000);
	ck_assert(host_is_used() == (restores[_i].known == READY));
	ck_assert(fixture_host(&fixture, HOST)->is_removed ==
		  (restores[_i].known == ABSENT));
	ck_assert_uint_eq(host_table_newest_position(table()).era, ERA);
	host_listing_destroy(listing);
}
END_TEST

/* Guards against resets of flows whose hosts the copy lacks. */
START_TEST(open_flows_survive_a_restore) {
	static const struct {
		enum entry listed;
		bool is_written; /* again, after 1.5 s */
		bool is_reset;
	} cases[] = {
		{ READY, false, false },      { ABSENT, true, false },
		{ ABSENT, false, true },      { EARLIER, false, false },
		{ EARLIER, true, false },     { DRAINING, false, false },
		{ UNREADABLE, false, false },
	};
	struct host_announcement host = announcement(
		HOST, READY, position_in(ERA + 1, COPY_REVISION + 5));
	const struct known_host *known;

	host_know(READY);
	steering_set_up_to_date(fixture.steering, true);
	known = fixture_host(&fixture, HOST);
	packet_data(&fixture, 7, known->token, 100, 1);
	packet_ack(&fixture, 7, known->token, 200, 2);
	listing_apply(ERA + 1, COPY_REVISION, cases[_i].listed);
	for (uint32_t i = 0; i < 50; i++) {
		time_pass(100);
		/* An idle flow, which shows nothing of the host. */
		packet_ack(&fixture, 7, known->token, 200, 2);
		if (i == 15 && cases[_i].is_written)
			host_table_put(table(), &host, fixture.clock.now_ns);
	}
	ck_assert((fixture.reset_count > 0) == cases[_i].is_reset);
}
END_TEST

/* Guards against a wait of an earlier restore that a later listing has ended. */
START_TEST(listed_host_is_not_removed_by_an_earlier_restore) {
	static const enum entry listed[] = { READY, EARLIER, UNREADABLE };

	host_know(READY);
	listing_apply(ERA + 1, COPY_REVISION, ABSENT);
	time_pass(1000);
	listing_apply(ERA + 2, COPY_REVISION, listed[_i]);
	time_pass(3000);
	ck_assert(!fixture_host(&fixture, HOST)->is_removed);
	ck_assert(host_is_used());
}
END_TEST

/*
 * Guards against limits of hosts that are warm: their entries in the copy may be
 * from their slow start.
 */
START_TEST(slow_start_does_not_begin_again) {
	struct host_listing *listing =
		host_listing_create(position_in(ERA + 1, COPY_REVISION));
	struct host_announcement host = announcement(
		HOST, _i == 0 ? READY : LATER, position_in(ERA + 1, 100));

	host_know(READY);
	time_pass(1000);
	host.slow_start_ms = 8000;
	host_listing_put(listing, table(), &host, fixture.clock.now_ns);
	host_listing_finish(listing, table(), fixture.clock.now_ns);
	host_listing_destroy(listing);
	/* Only a host that has started again is slow. */
	ck_assert((fixture_host(&fixture, HOST)->slow_start_until_ns >
		   fixture.clock.now_ns) == (_i == 1));
}
END_TEST

/* Guards against positions of the former era that outweigh later changes. */
START_TEST(second_restore_within_the_wait_counts_as_well) {
	host_know(DRAINING);
	listing_apply(ERA + 1, COPY_REVISION, READY);
	time_pass(1000);
	listing_apply(ERA + 2, COPY_REVISION - 5, ABSENT);
	time_pass(1500);
	ck_assert(!fixture_host(&fixture, HOST)->is_removed);
	listing_apply(ERA + 3, COPY_REVISION - 5, READY);
	time_pass(2100);
	steering_probe_end(fixture.steering, HOST_ID, PROBE_RESULT_UP);
	time_pass(200);
	ck_assert(host_is_used());
	ck_assert_uint_eq(fixture_host(&fixture, HOST)->published.position.era,
			  ERA + 3);
}
END_TEST

static struct zone_drains *drains(void)
{
	return steering_zone_drains(fixture.steering);
}

/* What is known of a zone, and what the listing of the new era says. */
static const struct {
	enum { UNLISTED, LISTED, IGNORED } listed;
	bool is_drained;
	bool is_drained_after;
	bool is_merged; /* from a member, not listed from the store */
} drain_restores[] = {
	{ LISTED, true, true, false },	{ UNLISTED, true, false, false },
	{ LISTED, false, true, false }, { UNLISTED, false, false, false },
	{ IGNORED, true, true, false }, { IGNORED, false, false, false },
	{ LISTED, true, true, true },	{ UNLISTED, true, false, true },
	{ LISTED, false, true, true },	{ UNLISTED, false, false, true },
};

static void drains_list(uint64_t era, uint64_t revision, bool is_listed)
{
	int64_t now_ns = fixture.clock.now_ns;

	zone_drains_listing_begin(drains(), position_in(era, revision));
	if (is_listed)
		zone_drains_set(drains(), "b", position_in(era, revision - 3),
				true, now_ns);
	zone_drains_listing_end(drains(), now_ns);
}

static void drains_restore(uint64_t era, uint64_t revision, int number)
{
	const struct zone_drain entry = {
		.zone = "b",
		.position = position_in(era, revision - 3),
		.is_active = true,
	};
	const struct zone_drains_state state = {
		.era = era,
		.entries = &entry,
		.count = drain_restores[number].listed == LISTED,
		.listed_position = position_in(era, revision),
	};
	int64_t now_ns = fixture.clock.now_ns;

	if (drain_restores[number].is_merged) {
		zone_drains_merge(drains(), &state, now_ns);
		return;
	}
	zone_drains_listing_begin(drains(), position_in(era, revision));
	if (drain_restores[number].listed == LISTED)
		zone_drains_set(drains(), "b", entry.position, true, now_ns);
	if (drain_restores[number].listed == IGNORED)
		zone_drains_ignore(drains(), "b");
	/* Until it is whole, nothing changes. */
	ck_assert(zone_drains_is_active(drains(), "b") ==
		  drain_restores[number].is_drained);
	zone_drains_listing_end(drains(), now_ns);
}

/* The zone was drained at first, and restored in half of the cases. */
static void drains_know(bool is_drained)
{
	drains_list(ERA, 100, true);
	if (!is_drained)
		zone_drains_set(drains(), "b", position_in(ERA, LAST_REVISION),
				false, fixture.clock.now_ns);
}

/*
 * Guards against a zone that is filled again because the copy lacks its request,
 * and against one that is never drained again, as its last change of the former
 * era has a higher revision (review case 15).
 */
START_TEST(drained_zone_stays_so_until_requests_are_written_again) {
	bool is_drained = drain_restores[_i].is_drained;
	bool is_drained_after = drain_restores[_i].is_drained_after;
	struct store_position position =
		position_in(ERA + 1, COPY_REVISION + 1);

	drains_know(is_drained);
	drains_restore(ERA + 1, COPY_REVISION, _i);
	ck_assert(zone_drains_is_active(drains(), "b") ==
		  (is_drained || is_drained_after));
	time_pass(1900);
	ck_assert(zone_drains_is_active(drains(), "b") ==
		  (is_drained || is_drained_after));
	time_pass(200);
	ck_assert(zone_drains_is_active(drains(), "b") == is_drained_after);
	for (int i = 0; i < 4; i++) {
		position.revision += 3;
		zone_drains_set(drains(), "b", position, i % 2 == 0,
				fixture.clock.now_ns);
		ck_assert(zone_drains_is_active(drains(), "b") == (i % 2 == 0));
	}
}
END_TEST

/* A request or withdrawal that is written again decides at once. */
START_TEST(later_request_ends_the_wait_of_the_zone) {
	bool is_active = _i % 2 == 0;

	drains_know(drain_restores[_i / 2].is_drained);
	drains_restore(ERA + 1, COPY_REVISION, _i / 2);
	time_pass(500);
	zone_drains_set(drains(), "b", position_in(ERA + 1, COPY_REVISION + 1),
			is_active, fixture.clock.now_ns);
	ck_assert(zone_drains_is_active(drains(), "b") == is_active);
	time_pass(3000);
	ck_assert(zone_drains_is_active(drains(), "b") == is_active);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store restore");
	TCase *cases = tcase_create("restore");
	int count = G_N_ELEMENTS(restores);

	tcase_add_checked_fixture(cases, store_open, store_close);
	tcase_add_loop_test(cases,
			    safer_state_applies_until_entries_are_written_again,
			    0, count);
	tcase_add_loop_test(cases, later_change_ends_the_wait, 0, 3 * count);
	tcase_add_loop_test(
		cases, listing_of_a_new_era_has_no_effect_until_it_is_whole, 0,
		count);
	tcase_add_loop_test(cases, open_flows_survive_a_restore, 0, 7);
	tcase_add_loop_test(
		cases, listed_host_is_not_removed_by_an_earlier_restore, 0, 3);
	tcase_add_loop_test(cases, slow_start_does_not_begin_again, 0, 2);
	tcase_add_test(cases, second_restore_within_the_wait_counts_as_well);
	count = G_N_ELEMENTS(drain_restores);
	tcase_add_loop_test(
		cases, drained_zone_stays_so_until_requests_are_written_again,
		0, count);
	tcase_add_loop_test(cases, later_request_ends_the_wait_of_the_zone, 0,
			    2 * count);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
