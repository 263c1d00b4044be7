/*
 * Guards against balancers that start and all list from the store, wait for it
 * though others know, or learn of hosts that have left.
 */

#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "network.h"
#include "suite.h"

#define NODES 30
#define ZONES 3
#define HOSTS 150
#define ROUTES 1400

static struct network network;

static void thirty_open(void)
{
	network_open(&network, NODES, ZONES);
	for (uint32_t i = 1; i <= HOSTS; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, ROUTES);
	network_run(&network, 5000);
}

static void thirty_close(void)
{
	network_close(&network);
}

START_TEST(new_process_learns_from_a_peer) {
	network_restart(&network, 27);
	network.nodes[27].is_refused = true;
	/* The first tick greets; callers wait for what the answers bring. */
	network_run(&network, 400);
	ck_assert(network.nodes[27].replica_status.is_complete);
	ck_assert_uint_eq(
		host_table_count(steering_hosts(network.nodes[27].steering)),
		HOSTS);
	ck_assert_ptr_nonnull(steering_routing(network.nodes[27].steering));
}
END_TEST

/* A host that left serves on; a balancer that starts then has to find it. */
START_TEST(ended_host_is_found_by_a_new_process) {
	uint32_t token = host_token("i-0004");
	struct host_table *table;

	network_withdraw_host(&network, 4);
	network_run(&network, 1000);
	network_restart(&network, 27);
	network_run(&network, 1500);
	table = steering_hosts(network.nodes[27].steering);
	ck_assert(network.nodes[27].replica_status.is_complete);
	ck_assert_ptr_null(host_table_find_token(table, token));
	sharing_lookup_token(network.nodes[27].sharing, token);
	network_run(&network, 20);
	ck_assert_ptr_nonnull(host_table_find_token(table, token));
	ck_assert(host_table_find_token(table, token)->is_removed);
	ck_assert_uint_eq(host_table_count(table), HOSTS - 1);
	/* A token that nobody knows stays unknown. */
	sharing_lookup_token(network.nodes[27].sharing, 4711);
	network_run(&network, 20);
	ck_assert_ptr_null(host_table_find_token(table, 4711));
}
END_TEST

/* The news of one are older; a newcomer that comes while the store is away
 * must not know a host again that has left meanwhile. */
START_TEST(newcomer_lists_from_the_newest_while_the_store_is_away) {
	struct node *cut = &network.nodes[3];
	struct node *newcomer = &network.nodes[27];
	uint32_t token = host_token("i-0004");

	cut->is_down = true;
	network_run(&network, 100);
	network_withdraw_host(&network, 4);
	network_run(&network, 1500);
	network.is_store_down = true;
	network_run(&network, 2000);
	cut->is_down = false;
	network_restart(&network, 27);
	for (int i = 0; i < 300 && !steering_routing(newcomer->steering); i++)
		network_run(&network, 10);
	ck_assert(newcomer->replica_status.is_complete);
	ck_assert_ptr_nonnull(steering_routing(newcomer->steering));
	ck_assert_ptr_null(host_table_find_token(
		steering_hosts(newcomer->steering), token));
	network_run(&network, 3000);
	ck_assert_ptr_null(host_table_find_token(
		steering_hosts(newcomer->steering), token));
}
END_TEST

#define FLEET 300
#define FLEET_HOSTS 3000
/* The store serves one balancer in so many, as it bounds its reads. */
#define SERVED_EVERY 10

/*
 * All balancers lose power, and the store turns most of them away. When all
 * listed what the reader had, it sent 45 MB and was busy for half a minute.
 */
START_TEST(listings_of_a_restarted_fleet_are_spread) {
	uint64_t bytes_max = 0;
	uint32_t ms = 0;

	network_open(&network, FLEET, ZONES);
	for (uint32_t i = 1; i <= FLEET_HOSTS; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, 1);
	for (uint32_t i = 0; i < FLEET; i++)
		network.nodes[i].is_refused = (i / ZONES) % SERVED_EVERY != 0;
	while (network_synced_count(&network, FLEET_HOSTS) < FLEET &&
	       ms < 30000) {
		network_run(&network, 100);
		ms += 100;
	}
	for (uint32_t i = 0; i < FLEET; i++)
		bytes_max = MAX(bytes_max, network.nodes[i].bytes_sent);
	network_close(&network);
	printf("figure restarted_fleet_informed %u ms\n", ms);
	printf("figure restarted_fleet_busiest %" PRIu64 " bytes\n", bytes_max);
	ck_assert_uint_le(ms, 4000);
	/* A tenth of the zone has what 90 need: 9 listings of 330 KB each. */
	ck_assert_uint_le(bytes_max, 8000000);
}
END_TEST

#define LARGE_ZONES 5
#define LARGE_HOSTS 600
/* 500 KB over a link of 1 Gbit/s. */
#define LISTING_MS 4

static int age_compare(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

/*
 * All balancers lose power and start within 0.1 s, the seeds at once or 0.3 s
 * later. When each listed from the store, its link was busy for 1.2 s, and half
 * of the fleet dropped packets for 0.9 s.
 */
START_TEST(few_of_a_restarted_fleet_list_from_the_store) {
	static const uint32_t seeds_late_ms[] = { 0, 300 };
	int64_t ages[FLEET];
	uint32_t listings = 0;
	int64_t start_ns;

	network_open(&network, FLEET, LARGE_ZONES);
	for (uint32_t i = 1; i <= LARGE_HOSTS; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, ROUTES);
	network_run(&network, 10000);
	network.listing_ms = LISTING_MS;
	network_restart_all(&network, LARGE_ZONES, 100, seeds_late_ms[_i]);
	start_ns = network.clock.now_ns;
	network_run(&network, 3000);
	for (uint32_t i = 0; i < FLEET; i++) {
		const struct node *node = &network.nodes[i];

		ck_assert_int_ne(node->synced_ns, 0);
		ages[i] = node->synced_ns - start_ns;
		listings += node->store_listings;
	}
	network_close(&network);
	qsort(ages, FLEET, sizeof(ages[0]), age_compare);
	printf("figure restarted_fleet_median_%u %" PRId64 " ms\n",
	       seeds_late_ms[_i], ages[FLEET / 2] / NS_PER_MS);
	printf("figure restarted_fleet_listings_%u %u\n", seeds_late_ms[_i],
	       listings);
	ck_assert_uint_le(listings, FLEET / 5);
	ck_assert_int_le(ages[FLEET / 2],
			 (seeds_late_ms[_i] + 350) * NS_PER_MS);
	ck_assert_int_le(ages[FLEET - 1], 1000 * NS_PER_MS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("start");
	TCase *cases = tcase_create("one balancer");
	TCase *scale = tcase_create("all balancers");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, thirty_open, thirty_close);
	tcase_add_test(cases, new_process_learns_from_a_peer);
	tcase_add_test(cases, ended_host_is_found_by_a_new_process);
	tcase_add_test(cases,
		       newcomer_lists_from_the_newest_while_the_store_is_away);
	suite_add_tcase(suite, cases);
	tcase_set_timeout(scale, 120);
	tcase_add_test(scale, listings_of_a_restarted_fleet_are_spread);
	tcase_add_loop_test(scale, few_of_a_restarted_fleet_list_from_the_store,
			    0, 2);
	suite_add_tcase(suite, scale);
	return suite_run(suite);
}
