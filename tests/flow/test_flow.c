/*
 * Guards against entries lost by removal of a neighbour, growth beyond the
 * limit, and answers that outlive their time.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "flow/answer_cache.h"
#include "flow/flow_table.h"
#include "flow/recent_filter.h"
#include "suite.h"

#define ENTRIES 5000

static uint64_t hash_of(uint32_t number)
{
	/* Few distinct home slots, so that probe sequences are long. */
	return ((uint64_t)number << 32) | (number % 7);
}

START_TEST(removal_keeps_all_others) {
	struct flow_table *table = flow_table_create(ENTRIES);

	for (uint32_t i = 1; i <= ENTRIES; i++)
		ck_assert_ptr_nonnull(flow_table_add(table, hash_of(i), i));
	for (uint32_t i = 1; i <= ENTRIES; i += 3)
		flow_table_remove(table, hash_of(i));
	for (uint32_t i = 1; i <= ENTRIES; i++) {
		const struct flow_entry *entry =
			flow_table_find(table, hash_of(i));

		if (i % 3 == 1) {
			ck_assert_ptr_null(entry);
		} else {
			ck_assert_ptr_nonnull(entry);
			ck_assert_uint_eq(entry->host_id, i);
		}
	}
	flow_table_destroy(table);
}
END_TEST

START_TEST(full_table_refuses_but_keeps) {
	struct flow_table *table = flow_table_create(2);

	flow_table_add(table, 1, 11);
	flow_table_add(table, 2, 12);
	ck_assert(flow_table_is_full(table));
	ck_assert_ptr_null(flow_table_add(table, 3, 13));
	ck_assert_uint_eq(flow_table_add(table, 2, 99)->host_id, 12);
	flow_table_destroy(table);
}
END_TEST

static bool keep_even(void *context, struct flow_entry *entry)
{
	(*(uint32_t *)context)++;
	return entry->host_id % 2 == 0;
}

START_TEST(sweep_meets_every_entry) {
	struct flow_table *table = flow_table_create(ENTRIES);
	uint32_t visits = 0;
	size_t cursor = 0;

	for (uint32_t i = 1; i <= ENTRIES; i++)
		flow_table_add(table, hash_of(i), i);
	do {
		flow_table_sweep(table, &cursor, 100, keep_even, &visits);
	} while (cursor != 0);
	flow_table_visit(table, keep_even, &visits);
	ck_assert_uint_eq(flow_table_count(table), ENTRIES / 2);
	ck_assert_uint_ge(visits, ENTRIES);
	flow_table_destroy(table);
}
END_TEST

START_TEST(answers_expire) {
	struct answer_cache *cache = answer_cache_create(16);

	answer_cache_set(cache, 5, 77, 1000);
	ck_assert_uint_eq(answer_cache_get(cache, 5, 999), 77);
	ck_assert_uint_eq(answer_cache_get(cache, 5, 1000), 0);
	ck_assert_uint_eq(answer_cache_get(cache, 6, 0), 0);
	answer_cache_remove(cache, 5);
	ck_assert_uint_eq(answer_cache_get(cache, 5, 0), 0);
	answer_cache_destroy(cache);
}
END_TEST

START_TEST(filter_counts_each_hash) {
	struct recent_filter *filter = g_new0(struct recent_filter, 1);

	ck_assert(!recent_filter_has(filter, 42));
	ck_assert_uint_eq(recent_filter_add(filter, 42), 1);
	ck_assert_uint_eq(recent_filter_add(filter, 42), 2);
	ck_assert(recent_filter_has(filter, 42));
	recent_filter_remove(filter, 42);
	ck_assert(!recent_filter_has(filter, 42));
	g_free(filter);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("flow");
	TCase *tests = tcase_create("tables");

	tcase_add_test(tests, removal_keeps_all_others);
	tcase_add_test(tests, full_table_refuses_but_keeps);
	tcase_add_test(tests, sweep_meets_every_entry);
	tcase_add_test(tests, answers_expire);
	tcase_add_test(tests, filter_counts_each_hash);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
