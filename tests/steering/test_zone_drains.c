/*
 * Guards against balancers that end up with different drained zones because
 * they learned of requests and withdrawals in another order, more than once or
 * not at all.
 */

#include <check.h>
#include <string.h>

#include "position.h"
#include "steering/zone_drains.h"
#include "suite.h"

#define NOW_NS 1000
#define CHANGES 4

static uint32_t change_count;

static void change_count_up(void *context, const struct zone_drain *drain)
{
	(void)context;
	(void)drain;
	change_count++;
}

static struct zone_drains *drains_create(void)
{
	const struct zone_drains_options options = {
		.on_changed = change_count_up,
	};

	change_count = 0;
	return zone_drains_create(&options);
}

static void state_check(const struct zone_drains *drains, const char *zone,
			uint64_t revision, bool is_active)
{
	const struct zone_drain *entries;
	size_t count;

	ck_assert(zone_drains_is_active(drains, zone) == is_active);
	entries = zone_drains_entries(drains, &count);
	for (size_t i = 0; i < count; i++) {
		if (strcmp(entries[i].zone, zone) == 0)
			ck_assert_uint_eq(entries[i].position.revision,
					  revision);
	}
}

/* Request, withdrawal, request, withdrawal. */
static void change_apply(struct zone_drains *drains, uint32_t number)
{
	ck_assert(zone_drains_set(drains, "a", position_at(10 + number),
				  number % 2 == 0, NOW_NS));
}

/*
 * Each test applies some of the changes, in each order, and one of them twice:
 * the last revision decides.
 */
START_TEST(changes_apply_in_any_order_and_with_any_loss) {
	uint32_t applied = (uint32_t)_i + 1;

	for (uint32_t order = 0; order < 256; order++) {
		struct zone_drains *drains = drains_create();
		uint32_t done = 0;
		uint32_t last = 0;

		for (uint32_t i = 0; i < CHANGES; i++) {
			uint32_t number = order >> 2 * i & 3;

			if (!(applied & 1u << number))
				continue;
			change_apply(drains, number);
			done |= 1u << number;
		}
		for (uint32_t number = 0; number < CHANGES; number++)
			last = done & 1u << number ? number : last;
		if (done != 0)
			state_check(drains, "a", 10 + last, last % 2 == 0);
		zone_drains_destroy(drains);
	}
}
END_TEST

START_TEST(changes_are_reported_once) {
	struct zone_drains *drains = drains_create();

	zone_drains_set(drains, "a", position_at(10), true, NOW_NS);
	zone_drains_set(drains, "a", position_at(10), true, NOW_NS);
	zone_drains_set(drains, "a", position_at(11), true, NOW_NS);
	zone_drains_set(drains, "b", position_at(11), false, NOW_NS);
	ck_assert_uint_eq(change_count, 1);
	zone_drains_set(drains, "a", position_at(12), false, NOW_NS);
	zone_drains_set(drains, "a", position_at(9), true, NOW_NS);
	ck_assert_uint_eq(change_count, 2);
	ck_assert_uint_eq(zone_drains_active_count(drains), 0);
	zone_drains_destroy(drains);
}
END_TEST

/* What a listing as of revision 20 does to what is known of a zone. */
static const struct {
	uint64_t revision; /* known before, 0 for nothing */
	uint64_t revision_after;
	uint64_t listed_revision;
	enum { ABSENT, PRESENT, UNUSABLE } listed; /* at revision 15 */
	bool is_active;
	bool is_active_after;
} listings[] = {
	{ 0, 0, 20, ABSENT, false, false },
	{ 0, 15, 20, PRESENT, false, true },
	{ 0, 0, 0, UNUSABLE, false, false },
	{ 12, 20, 20, ABSENT, true, false },
	{ 20, 20, 20, ABSENT, true, false },
	{ 21, 21, 20, ABSENT, true, true },
	{ 12, 15, 20, PRESENT, true, true },
	{ 12, 15, 20, PRESENT, false, true },
	{ 12, 12, 0, UNUSABLE, true, true },
	{ 12, 12, 20, ABSENT, false, false },
	{ 21, 21, 20, PRESENT, false, false },
};

/* Guards against a zone that stays drained because its withdrawal was missed. */
START_TEST(listing_withdraws_what_it_does_not_contain) {
	struct zone_drains *drains = drains_create();

	if (listings[_i].revision != 0)
		zone_drains_set(drains, "a", position_at(listings[_i].revision),
				listings[_i].is_active, NOW_NS);
	zone_drains_listing_begin(drains, position_at(20));
	if (listings[_i].listed == PRESENT)
		zone_drains_set(drains, "a", position_at(15), true, NOW_NS);
	if (listings[_i].listed == UNUSABLE)
		zone_drains_ignore(drains, "a");
	zone_drains_listing_end(drains, NOW_NS);
	state_check(drains, "a", listings[_i].revision_after,
		    listings[_i].is_active_after);
	ck_assert_uint_eq(zone_drains_listed_position(drains).revision,
			  listings[_i].listed_revision);
	zone_drains_destroy(drains);
}
END_TEST

/* A listing that is given up withdraws nothing. */
START_TEST(interrupted_listing_withdraws_nothing) {
	struct zone_drains *drains = drains_create();

	zone_drains_set(drains, "a", position_at(10), true, NOW_NS);
	zone_drains_listing_begin(drains, position_at(20));
	ck_assert(zone_drains_is_active(drains, "a"));
	zone_drains_listing_begin(drains, position_at(30));
	zone_drains_set(drains, "a", position_at(10), true, NOW_NS);
	zone_drains_listing_end(drains, NOW_NS);
	ck_assert(zone_drains_is_active(drains, "a"));
	ck_assert_uint_eq(change_count, 1);
	zone_drains_destroy(drains);
}
END_TEST

/* States of a balancer: what it knows of zone "a", and its newest listing. */
static const struct state {
	uint64_t revision; /* 0 for no entry */
	bool is_active;
	uint64_t listed_revision;
} states[] = {
	{ 0, false, 0 },  { 0, false, 10 },  { 0, false, 30 },
	{ 10, true, 0 },  { 10, false, 0 },  { 20, true, 0 },
	{ 20, false, 0 }, { 10, true, 10 },  { 10, false, 10 },
	{ 20, true, 10 }, { 20, false, 10 }, { 30, false, 30 },
	{ 35, true, 30 }, { 35, false, 30 },
};

static struct zone_drains *state_create(const struct state *state)
{
	struct zone_drains *drains = drains_create();
	struct zone_drain entry = { .zone = "a",
				    .position = position_at(state->revision),
				    .is_active = state->is_active };
	struct zone_drains_state merged = { 0 };

	merged.entries = &entry;
	merged.count = state->revision != 0;
	merged.listed_position = position_at(state->listed_revision);
	zone_drains_merge(drains, &merged, NOW_NS);
	return drains;
}

static void state_merge(struct zone_drains *drains,
			const struct zone_drains *other)
{
	struct zone_drains_state state = {
		.era = zone_drains_era(other),
		.listed_position = zone_drains_listed_position(other),
	};

	state.entries = zone_drains_entries(other, &state.count);
	zone_drains_merge(drains, &state, NOW_NS);
}

/* The state that has the last word on the zone; an empty one says nothing. */
static const struct state *state_newer(const struct state *a,
				       const struct state *b)
{
	uint64_t a_revision = a->revision ? a->revision : a->listed_revision;
	uint64_t b_revision = b->revision ? b->revision : b->listed_revision;

	if (a_revision != b_revision)
		return a_revision > b_revision ? a : b;
	return a->is_active ? b : a;
}

/*
 * Guards against balancers that never agree: both get the state of the other,
 * twice.
 */
START_TEST(each_pair_of_states_converges) {
	size_t count = G_N_ELEMENTS(states);
	const struct state *first = &states[(size_t)_i / count];
	const struct state *second = &states[(size_t)_i % count];
	struct zone_drains *drains = state_create(first);
	struct zone_drains *other = state_create(second);
	bool is_active = state_newer(first, second)->is_active;
	const struct zone_drain *entries;
	size_t own_count;
	size_t other_count;

	for (int i = 0; i < 2; i++) {
		state_merge(drains, other);
		state_merge(other, drains);
	}
	ck_assert(zone_drains_is_active(drains, "a") == is_active);
	ck_assert(zone_drains_is_active(other, "a") == is_active);
	ck_assert_uint_eq(zone_drains_listed_position(drains).revision,
			  zone_drains_listed_position(other).revision);
	entries = zone_drains_entries(drains, &own_count);
	if (own_count > 0)
		state_check(other, "a", entries[0].position.revision,
			    is_active);
	zone_drains_entries(other, &other_count);
	ck_assert_uint_eq(own_count, other_count);
	zone_drains_destroy(drains);
	zone_drains_destroy(other);
}
END_TEST

static void zone_print(uint32_t number, size_t length, char *zone)
{
	memset(zone, 'z', length);
	zone[length] = '\0';
	zone[0] = (char)('0' + number / 10);
	zone[1] = (char)('0' + number % 10);
}

/* Guards against state that grows with what others send, or fits no datagram. */
START_TEST(number_of_zones_is_limited) {
	static const struct {
		size_t length;
		uint32_t zones;
	} cases[] = { { 2, ZONE_DRAINS_MAX },
		      { 10, ZONE_DRAINS_MAX },
		      { NAME_BYTES_MAX,
			ZONE_DRAINS_NAMES_BYTES_MAX / NAME_BYTES_MAX } };
	struct zone_drains *drains = drains_create();
	char zone[NAME_BYTES_MAX + 1];
	uint32_t accepted = 0;
	size_t count;

	for (uint32_t i = 0; i < ZONE_DRAINS_MAX + 8; i++) {
		zone_print(i, cases[_i].length, zone);
		accepted += zone_drains_set(drains, zone, position_at(10 + i),
					    true, NOW_NS);
	}
	ck_assert_uint_eq(accepted, cases[_i].zones);
	zone_drains_entries(drains, &count);
	ck_assert_uint_eq(count, cases[_i].zones);
	/* Withdrawn requests make room once a listing implies them. */
	zone_drains_listing_begin(drains, position_at(200));
	zone_drains_listing_end(drains, NOW_NS);
	zone_print(99, cases[_i].length, zone);
	ck_assert(
		zone_drains_set(drains, zone, position_at(300), true, NOW_NS));
	ck_assert_uint_eq(zone_drains_active_count(drains), 1);
	zone_drains_destroy(drains);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("zone drains");
	TCase *cases = tcase_create("state");
	int pairs = (int)(G_N_ELEMENTS(states) * G_N_ELEMENTS(states));

	tcase_add_loop_test(cases, changes_apply_in_any_order_and_with_any_loss,
			    0, (1 << CHANGES) - 1);
	tcase_add_test(cases, changes_are_reported_once);
	tcase_add_loop_test(cases, listing_withdraws_what_it_does_not_contain,
			    0, G_N_ELEMENTS(listings));
	tcase_add_test(cases, interrupted_listing_withdraws_nothing);
	tcase_add_loop_test(cases, each_pair_of_states_converges, 0, pairs);
	tcase_add_loop_test(cases, number_of_zones_is_limited, 0, 3);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
