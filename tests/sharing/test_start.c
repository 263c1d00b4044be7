/*
 * Guards against starting balancers that all list from the store, that wait for
 * it although members are synced, or that add hosts which were removed.
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

static void setup(void)
{
	network_open(&network, NODES, ZONES);
	for (uint32_t i = 1; i <= HOSTS; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, ROUTES);
	network_run(&network, 5000);
}

static void teardown(void)
{
	network_close(&network);
}

START_TEST(new_process_lists_from_a_member) {
	network_restart(&network, 27);
	network.nodes[27].is_rejected = true;
	/* The first tick sends gossip; callers wait for the responses. */
	network_run(&network, 400);
	ck_assert(network.nodes[27].replica_status.is_complete);
	ck_assert_uint_eq(
		host_table_count(steering_hosts(network.nodes[27].steering)),
		HOSTS);
	ck_assert_ptr_nonnull(steering_routing(network.nodes[27].steering));
}
END_TEST

/* A removed host still serves its flows; a new process has to look it up. */
START_TEST(removed_host_is_looked_up_by_a_new_process) {
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
	/* A token that no balancer knows stays unknown. */
	sharing_lookup_token(network.nodes[27].sharing, 4711);
	network_run(&network, 20);
	ck_assert_ptr_null(host_table_find_token(table, 4711));
}
END_TEST

/*
 * One member has an older replica. A process that starts while the store is
 * unavailable must not list a host from it that was removed since.
 */
START_TEST(new_process_lists_from_the_most_recent_replica) {
	struct node *outdated = &network.nodes[3];
	struct node *new_node = &network.nodes[27];
	uint32_t token = host_token("i-0004");

	outdated->is_down = true;
	network_run(&network, 100);
	network_withdraw_host(&network, 4);
	network_run(&network, 1500);
	network.is_store_down = true;
	network_run(&network, 2000);
	outdated->is_down = false;
	network_restart(&network, 27);
	for (int i = 0; i < 300 && !steering_routing(new_node->steering); i++)
		network_run(&network, 10);
	ck_assert(new_node->replica_status.is_complete);
	ck_assert_ptr_nonnull(steering_routing(new_node->steering));
	ck_assert_ptr_null(host_table_find_token(
		steering_hosts(new_node->steering), token));
	network_run(&network, 3000);
	ck_assert_ptr_null(host_table_find_token(
		steering_hosts(new_node->steering), token));
}
END_TEST

#define NODES_MANY 300
#define HOSTS_MANY 3000
/* The store serves one balancer in this many, as it limits its reads. */
#define SERVED_EVERY 10

/*
 * All balancers lose power, and the store rejects most of them. When all others
 * listed from the reader, it sent 45 MB and was busy for half a minute.
 */
START_TEST(listings_after_a_power_loss_are_spread) {
	uint64_t bytes_max = 0;
	uint32_t ms = 0;

	network_open(&network, NODES_MANY, ZONES);
	for (uint32_t i = 1; i <= HOSTS_MANY; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, 1);
	for (uint32_t i = 0; i < NODES_MANY; i++)
		network.nodes[i].is_rejected = (i / ZONES) % SERVED_EVERY != 0;
	while (network_synced_count(&network, HOSTS_MANY) < NODES_MANY &&
	       ms < 30000) {
		network_run(&network, 100);
		ms += 100;
	}
	for (uint32_t i = 0; i < NODES_MANY; i++)
		bytes_max = MAX(bytes_max, network.nodes[i].bytes_sent);
	network_close(&network);
	printf("figure restarted_fleet_informed %u ms\n", ms);
	printf("figure restarted_fleet_busiest %" PRIu64 " bytes\n", bytes_max);
	ck_assert_uint_le(ms, 4000);
	/*
	 * A tenth of the 100 nodes of a zone serves the other 90: 9 listings of
	 * 330 KB each.
	 */
	ck_assert_uint_le(bytes_max, 8000000);
}
END_TEST

#define ZONES_MANY 5
#define HOSTS_LISTED 600
/* 500 KB over a link of 1 Gbit/s. */
#define LISTING_MS 4

static int duration_compare(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

/*
 * All balancers lose power and start within 0.1 s, the seeds at once or 0.3 s
 * later. When each listed from the store, its link was busy for 1.2 s, and half
 * of the balancers dropped packets for 0.9 s.
 */
START_TEST(few_nodes_list_from_the_store_after_a_power_loss) {
	static const uint32_t seeds_late_ms[] = { 0, 300 };
	int64_t durations_ns[NODES_MANY];
	uint32_t listings = 0;
	int64_t start_ns;

	network_open(&network, NODES_MANY, ZONES_MANY);
	for (uint32_t i = 1; i <= HOSTS_LISTED; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, ROUTES);
	network_run(&network, 10000);
	network.listing_ms = LISTING_MS;
	network_restart_all(&network, ZONES_MANY, 100, seeds_late_ms[_i]);
	start_ns = network.clock.now_ns;
	network_run(&network, 3000);
	for (uint32_t i = 0; i < NODES_MANY; i++) {
		const struct node *node = &network.nodes[i];

		ck_assert_int_ne(node->synced_ns, 0);
		durations_ns[i] = node->synced_ns - start_ns;
		listings += node->store_listings;
	}
	network_close(&network);
	qsort(durations_ns, NODES_MANY, sizeof(durations_ns[0]),
	      duration_compare);
	printf("figure restarted_fleet_median_%u %" PRId64 " ms\n",
	       seeds_late_ms[_i], durations_ns[NODES_MANY / 2] / NS_PER_MS);
	printf("figure restarted_fleet_listings_%u %u\n", seeds_late_ms[_i],
	       listings);
	ck_assert_uint_le(listings, NODES_MANY / 5);
	ck_assert_int_le(durations_ns[NODES_MANY / 2],
			 (seeds_late_ms[_i] + 350) * NS_PER_MS);
	ck_assert_int_le(durations_ns[NODES_MANY - 1], 1000 * NS_PER_MS);
}
END_TEST

#define NODES_FEW 9
#define HOSTS_FEW 18

/*
 * All balancers of a small fleet are killed and start at once. When those of
 * lower rank waited for the others, callers waited for 0.2 s, although the store
 * can serve all of them at once.
 */
START_TEST(small_fleet_does_not_wait_for_ranks) {
	int64_t slowest_ns = 0;
	int64_t start_ns;

	network_open(&network, NODES_FEW, ZONES);
	for (uint32_t i = 1; i <= HOSTS_FEW; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, 100);
	network_run(&network, 5000);
	network.listing_ms = 1;
	network_restart_all(&network, ZONES, 10, 0);
	start_ns = network.clock.now_ns;
	network_run(&network, 1000);
	for (uint32_t i = 0; i < NODES_FEW; i++) {
		ck_assert_int_ne(network.nodes[i].synced_ns, 0);
		slowest_ns =
			MAX(slowest_ns, network.nodes[i].synced_ns - start_ns);
	}
	network_close(&network);
	printf("figure restarted_small_fleet_slowest %" PRId64 " ms\n",
	       slowest_ns / NS_PER_MS);
	ck_assert_int_le(slowest_ns, 100 * NS_PER_MS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("start");
	TCase *cases = tcase_create("one balancer");
	TCase *scale = tcase_create("all balancers");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, new_process_lists_from_a_member);
	tcase_add_test(cases, removed_host_is_looked_up_by_a_new_process);
	tcase_add_test(cases, new_process_lists_from_the_most_recent_replica);
	suite_add_tcase(suite, cases);
	tcase_set_timeout(scale, 120);
	tcase_add_test(scale, listings_after_a_power_loss_are_spread);
	tcase_add_loop_test(
		scale, few_nodes_list_from_the_store_after_a_power_loss, 0, 2);
	tcase_add_test(scale, small_fleet_does_not_wait_for_ranks);
	suite_add_tcase(suite, scale);
	return suite_run(suite);
}
