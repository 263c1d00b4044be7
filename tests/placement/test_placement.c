/*
 * Guards against uneven or order-dependent tables, needless moves of targets,
 * replicas in the owner's zone, and load figures that outlive their member.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "placement/load_table.h"
#include "placement/maglev.h"
#include "placement/rendezvous.h"
#include "placement/target.h"
#include "suite.h"

#define SIZE 2039
#define HOSTS_MAX 16

static const struct size_case {
	size_t hosts;
	uint32_t size;
} size_cases[] = { { 0, 251 },	 { 1, 251 },	 { 2, 509 },
		   { 14, 2039 }, { 100, 16381 }, { 100000, 65521 } };

START_TEST(table_size_is_a_listed_prime) {
	ck_assert_uint_eq(maglev_table_size(size_cases[_i].hosts),
			  size_cases[_i].size);
}
END_TEST

static const struct weight_case {
	const char *name;
	size_t count;
	uint32_t weights[HOSTS_MAX];
} weight_cases[] = {
	{ "one host", 1, { 3 } },
	{ "equal", 5, { 3, 3, 3, 3, 3 } },
	{ "one drains", 5, { 3, 0, 3, 3, 3 } },
	{ "unequal", 4, { 1, 2, 3, 6 } },
	{ "nobody", 3, { 0, 0, 0 } },
};

static void hosts_fill(struct maglev_host *hosts, const struct weight_case *row)
{
	for (uint32_t i = 0; i < row->count; i++)
		hosts[i] = (struct maglev_host){ 100 + i, row->weights[i] };
}

START_TEST(shares_follow_weights) {
	const struct weight_case *row = &weight_cases[_i];
	struct maglev_host hosts[HOSTS_MAX] = { 0 };
	uint32_t table[SIZE];
	uint32_t counts[HOSTS_MAX] = { 0 };
	uint32_t sum = 0;

	hosts_fill(hosts, row);
	maglev_build(hosts, row->count, table, SIZE);
	for (size_t i = 0; i < row->count; i++)
		sum += row->weights[i];
	for (uint32_t i = 0; i < SIZE; i++) {
		if (sum == 0)
			ck_assert_uint_eq(table[i], MAGLEV_NO_HOST);
		else
			counts[table[i]]++;
	}
	for (size_t i = 0; sum > 0 && i < row->count; i++) {
		double share = (double)SIZE * row->weights[i] / sum;

		ck_assert_double_eq_tol(counts[i], share, 8);
	}
}
END_TEST

START_TEST(table_does_not_depend_on_the_order) {
	struct maglev_host forward[5];
	struct maglev_host backward[5];
	uint32_t one[SIZE];
	uint32_t two[SIZE];

	for (uint32_t i = 0; i < 5; i++) {
		forward[i] = (struct maglev_host){ 7 * i + 1, 3 };
		backward[4 - i] = forward[i];
	}
	maglev_build(forward, 5, one, SIZE);
	maglev_build(backward, 5, two, SIZE);
	for (uint32_t i = 0; i < SIZE; i++)
		ck_assert_uint_eq(forward[one[i]].id, backward[two[i]].id);
}
END_TEST

START_TEST(targets_move_only_as_needed) {
	struct maglev_host hosts[6];
	uint32_t base[SIZE];
	uint32_t target[SIZE];
	uint32_t moved = 0;

	for (uint32_t i = 0; i < 6; i++)
		hosts[i] = (struct maglev_host){ 50 + i, i < 5 ? 3 : 0 };
	for (uint32_t i = 0; i < SIZE; i++)
		base[i] = target[i] = MAGLEV_NO_HOST;
	targets_choose(hosts, 6, base, target, SIZE);
	for (uint32_t i = 0; i < SIZE; i++)
		base[i] = target[i];
	/* A sixth host takes a sixth of the buckets and nothing else moves. */
	hosts[5].weight = 3;
	targets_choose(hosts, 6, base, target, SIZE);
	for (uint32_t i = 0; i < SIZE; i++) {
		moved += base[i] != target[i];
		if (base[i] != target[i])
			ck_assert_uint_eq(target[i], 5);
	}
	ck_assert_uint_ge(moved, SIZE / 6 - 5);
	ck_assert_uint_le(moved, SIZE / 6 + 1);
	/* It leaves again: each bucket goes back to its base. */
	hosts[5].weight = 0;
	targets_choose(hosts, 6, base, target, SIZE);
	for (uint32_t i = 0; i < SIZE; i++)
		ck_assert_uint_eq(base[i], target[i]);
}
END_TEST

static struct member_view *view_make(uint32_t count, uint16_t zones)
{
	struct member_view *view =
		g_malloc0(sizeof(*view) + count * sizeof(struct member));

	view->member_count = count;
	for (uint32_t i = 0; i < count; i++)
		view->members[i] = (struct member){ .id = 10 + i,
						    .zone = i % zones,
						    .state = MEMBER_ACTIVE };
	return view;
}

static const struct zone_case {
	uint32_t members;
	uint16_t zones;
	uint32_t replicas;
} zone_cases[] = { { 1, 1, 0 }, { 2, 1, 1 }, { 4, 1, 2 },
		   { 8, 2, 2 }, { 8, 3, 2 }, { 9, 5, 2 } };

START_TEST(replicas_are_in_other_zones) {
	const struct zone_case *row = &zone_cases[_i];
	struct member_view *view = view_make(row->members, row->zones);

	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
		struct shard_members members;
		uint32_t zones = 0;

		shard_members_find(view, shard, false, &members);
		ck_assert(members.has_owner);
		ck_assert_uint_eq(members.replica_count, row->replicas);
		zones |= 1U << view->members[members.owner].zone;
		for (uint32_t i = 0; i < members.replica_count; i++) {
			ck_assert_uint_ne(members.replicas[i], members.owner);
			zones |= 1U << view->members[members.replicas[i]].zone;
		}
		ck_assert_int_eq(__builtin_popcount(zones), MIN(row->zones, 3));
	}
	g_free(view);
}
END_TEST

START_TEST(only_active_members_own) {
	struct member_view *view = view_make(3, 3);
	struct shard_members members;

	view->members[0].state = MEMBER_JOINING;
	view->members[1].state = MEMBER_LEAVING;
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
		shard_members_find(view, shard, false, &members);
		ck_assert_uint_eq(members.owner, 2);
	}
	ck_assert_uint_eq(coordinator_find(view, 1), view->members[2].id);
	view->members[2].state = MEMBER_JOINING;
	shard_members_find(view, 0, false, &members);
	ck_assert(!members.has_owner);
	ck_assert_uint_eq(coordinator_find(view, 1), 0);
	g_free(view);
}
END_TEST

static void total_adjust(void *context, uint32_t host_id, int64_t difference)
{
	int64_t *totals = context;

	totals[host_id] += difference;
}

START_TEST(load_figures_are_absolute_and_end_with_their_member) {
	struct load_table *table = load_table_create();
	int64_t totals[3] = { 0 };

	load_table_set(table, 1, 2, 10, &totals[2]);
	load_table_set(table, 1, 2, 10, &totals[2]);
	load_table_set(table, 9, 2, -3, &totals[2]);
	ck_assert_int_eq(totals[2], 7);
	load_table_drop_member(table, 1, total_adjust, totals);
	load_table_drop_member(table, 1, total_adjust, totals);
	ck_assert_int_eq(totals[2], -3);
	load_table_destroy(table);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tests = tcase_create("tables");

	tcase_add_loop_test(tests, table_size_is_a_listed_prime, 0,
			    G_N_ELEMENTS(size_cases));
	tcase_add_loop_test(tests, shares_follow_weights, 0,
			    G_N_ELEMENTS(weight_cases));
	tcase_add_test(tests, table_does_not_depend_on_the_order);
	tcase_add_test(tests, targets_move_only_as_needed);
	tcase_add_loop_test(tests, replicas_are_in_other_zones, 0,
			    G_N_ELEMENTS(zone_cases));
	tcase_add_test(tests, only_active_members_own);
	tcase_add_test(tests,
		       load_figures_are_absolute_and_end_with_their_member);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
