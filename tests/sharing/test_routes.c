/*
 * Guards against routes that some balancers never apply, or apply too late,
 * because a balancer failed, restarted or lost its leader while they were
 * passed on.
 */

#include <check.h>
#include <inttypes.h>

#include "network.h"
#include "suite.h"

#define NODES 30
#define ZONES 3
#define SMALL_NODES 4
#define HOSTS 40
#define ROUTES 1400
/* The shortest deadline of the deployments for applying a configuration. */
#define APPLY_MS 3000
/* Steps at which a transfer of ROUTES / 2 routes is interrupted. */
#define STEPS 20
#define STEP_MS 3
/* Steps at which the removals of many hosts are interrupted. */
#define REMOVAL_STEPS 5
#define REMOVAL_STEP_MS 12

static struct network network;

static void setup(void)
{
	network_open_filled(&network, NODES, ZONES, HOSTS, ROUTES);
}

static void teardown(void)
{
	network_close(&network);
}

/* Publishes routes that take several chunks; @reader passes them on for @ms. */
static void routes_pass_on(struct node *reader, uint32_t ms)
{
	network_publish_routes(&network, 2, ROUTES / 2);
	network_read_now(&network, network_node_index(&network, reader));
	network_run(&network, ms);
}

static void hosts_check(const struct node *exempt, uint32_t count)
{
	for (uint32_t i = 0; i < NODES; i++) {
		struct node *node = &network.nodes[i];
		uint32_t known =
			host_table_count(steering_hosts(node->steering));

		if (node == exempt)
			continue;
		ck_assert_msg(known == count,
			      "node %u of zone %s has %u of %u hosts", i,
			      node->zone, known, count);
	}
}

static void routes_check(const struct node *exempt, uint64_t version)
{
	for (uint32_t i = 0; i < NODES; i++) {
		const struct node *node = &network.nodes[i];
		uint64_t held = steering_routing(node->steering)->version;

		if (node == exempt)
			continue;
		ck_assert_msg(held == version,
			      "node %u of zone %s has version %" PRIu64, i,
			      node->zone, held);
	}
}

/*
 * Guards against a configuration that a zone never gets because its reader
 * failed while it passed the routes on.
 */
START_TEST(routes_survive_the_failure_of_their_reader) {
	struct node *reader = network_find_reader(&network, _i % ZONES);

	routes_pass_on(reader, 1 + STEP_MS * _i);
	reader->is_down = true;
	network_run(&network, APPLY_MS);
	routes_check(reader, 2);
}
END_TEST

/*
 * Guards against a restarted reader that takes over the revision of a member
 * whose routes are older, and never gets the newer ones.
 */
START_TEST(restarted_reader_gets_routes_that_members_miss) {
	struct node *reader = network_find_reader(&network, _i % ZONES);

	routes_pass_on(reader, 1 + STEP_MS * _i);
	network_restart(&network, network_node_index(&network, reader));
	network_run(&network, APPLY_MS);
	routes_check(NULL, 2);
}
END_TEST

/*
 * Guards against followers that change to a restarted first rank in the middle
 * of a transfer, whose source fails then.
 */
START_TEST(routes_survive_a_change_of_the_leader) {
	struct node *first = network_find_reader(&network, _i % ZONES);
	struct node *second;

	first->is_down = true;
	network_run(&network, APPLY_MS);
	second = network_find_reader(&network, _i % ZONES);
	routes_pass_on(second, 1 + STEP_MS * _i);
	first->is_down = false;
	network_restart(&network, network_node_index(&network, first));
	second->is_down = true;
	network_run(&network, APPLY_MS);
	routes_check(second, 2);
}
END_TEST

/* A member of the zone that follows @reader. */
static struct node *follower_find(const struct node *reader)
{
	uint32_t index = network_node_index(&network, reader);

	return &network.nodes[(index + ZONES) % NODES];
}

/*
 * Guards against a follower that goes on asking for a chunk of routes that it
 * no longer needs, and gets no changes of hosts while it counts as up to date.
 */
START_TEST(obsolete_transfer_does_not_hide_host_changes) {
	struct node *reader = network_find_reader(&network, 0);
	struct node *follower = follower_find(reader);

	routes_pass_on(reader, 1 + STEP_MS * _i);
	network_read_now(&network, network_node_index(&network, follower));
	network_run(&network, 100);
	network_publish_host(&network, 7, true);
	/* The change is not pushed. */
	network.loss_permille = 1000;
	network_read_now(&network, network_node_index(&network, reader));
	network.loss_permille = 0;
	network_run(&network, APPLY_MS);
	ck_assert(host_table_find(steering_hosts(follower->steering), "i-0007")
			  ->published.is_draining);
}
END_TEST

/*
 * Guards against chunks of two encodings in one transfer: the follower gets
 * other routes during a transfer, so that the next chunk has another base.
 */
START_TEST(transfer_restarts_when_its_base_changes) {
	struct node *reader = network_find_reader(&network, 0);
	struct node *follower = follower_find(reader);
	struct routing *routing = routing_create(2, 1000, NULL, 0);

	network_publish_routes(&network, 3, ROUTES / 2);
	network_read_now(&network, network_node_index(&network, reader));
	network_run(&network, 1 + STEP_MS * _i);
	steering_set_routing(follower->steering, routing);
	routing_unref(routing);
	/* The follower does not get the routes from the store. */
	follower->is_rejected = true;
	network_run(&network, APPLY_MS);
	routes_check(NULL, 3);
	ck_assert_uint_eq(steering_routing(follower->steering)->rule_count,
			  ROUTES / 2);
}
END_TEST

/* Guards against routes that are lost with datagrams, for good. */
START_TEST(lost_datagrams_lose_no_routes) {
	struct node *reader = network_find_reader(&network, 0);

	routes_pass_on(reader, 1 + STEP_MS * _i);
	network.loss_permille = 300;
	network_run(&network, APPLY_MS);
	network.loss_permille = 0;
	network_run(&network, APPLY_MS);
	routes_check(NULL, 2);
}
END_TEST

/*
 * Guards against routes that come too late where the store refuses most
 * balancers of a small zone, its reader among them.
 */
START_TEST(refused_balancers_of_a_small_zone_get_routes_in_time) {
	struct node *reader;

	network_close(&network);
	network_open_filled(&network, SMALL_NODES, 1, HOSTS, ROUTES);
	network_run(&network, 1 + 37 * _i);
	reader = network_find_reader(&network, 0);
	for (uint32_t i = 0; i < SMALL_NODES; i++)
		network.nodes[i].is_rejected = &network.nodes[i] == reader ||
					       i != (uint32_t)_i % SMALL_NODES;
	if (network.nodes[_i % SMALL_NODES].is_rejected)
		network.nodes[(_i + 1) % SMALL_NODES].is_rejected = false;
	network_publish_routes(&network, 2, ROUTES);
	network_run(&network, APPLY_MS);
	for (uint32_t i = 0; i < SMALL_NODES; i++)
		ck_assert_uint_eq(
			steering_routing(network.nodes[i].steering)->version,
			2);
}
END_TEST

/*
 * Guards against changes that wait for the store to accept a balancer again: the
 * only member that it accepts has restarted and lacks older removals of hosts.
 */
START_TEST(restarted_member_passes_on_what_it_knows) {
	uint32_t accepted = (uint32_t)_i % SMALL_NODES;

	network_close(&network);
	network_open_filled(&network, SMALL_NODES, 1, HOSTS, ROUTES);
	network_run(&network, 1 + 37 * _i);
	for (uint32_t i = 0; i < SMALL_NODES; i++)
		network.nodes[i].is_rejected = true;
	network_publish_host(&network, 7, true);
	network_run(&network, APPLY_MS);
	network.nodes[accepted].is_rejected = false;
	network_restart(&network, accepted);
	network_run(&network, 100);
	network_publish_routes(&network, 2, ROUTES);
	network_run(&network, APPLY_MS);
	for (uint32_t i = 0; i < SMALL_NODES; i++) {
		struct steering *steering = network.nodes[i].steering;

		ck_assert_uint_eq(steering_routing(steering)->version, 2);
		ck_assert(host_table_find(steering_hosts(steering), "i-0007")
				  ->published.is_draining);
	}
}
END_TEST

/*
 * Guards against removed hosts that a zone keeps for good because its reader
 * failed while it passed their removals on, which take several messages. A
 * listing has shown them to the reader, so they have one revision there.
 */
START_TEST(removals_survive_the_failure_of_their_reader) {
	const uint32_t left = HOSTS / 2;
	const uint32_t published = 6 * HOSTS;
	struct node *reader = network_find_reader(&network, _i % ZONES);

	for (uint32_t number = HOSTS + 1; number <= published; number++)
		network_publish_host(&network, number, false);
	network_run(&network, APPLY_MS);
	for (uint32_t number = left + 1; number <= published; number++)
		network_withdraw_host(&network, number);
	reader->store_is_synced = false;
	network_read_now(&network, network_node_index(&network, reader));
	network_run(&network, 1 + REMOVAL_STEP_MS * _i);
	reader->is_down = true;
	network_run(&network, APPLY_MS);
	hosts_check(reader, left);
}
END_TEST

static TCase *case_create(Suite *suite, const char *name)
{
	TCase *cases = tcase_create(name);

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	suite_add_tcase(suite, cases);
	return cases;
}

int main(void)
{
	Suite *suite = suite_create("routes");
	TCase *cases = case_create(suite, "interrupted transfers");
	TCase *obsolete = case_create(suite, "obsolete transfers");
	TCase *lossy = case_create(suite, "lost datagrams");

	tcase_add_loop_test(cases, routes_survive_the_failure_of_their_reader,
			    0, STEPS);
	tcase_add_loop_test(cases,
			    restarted_reader_gets_routes_that_members_miss, 0,
			    STEPS);
	tcase_add_loop_test(cases, routes_survive_a_change_of_the_leader, 0,
			    STEPS);
	tcase_add_loop_test(obsolete,
			    obsolete_transfer_does_not_hide_host_changes, 0,
			    STEPS);
	tcase_add_loop_test(obsolete, transfer_restarts_when_its_base_changes,
			    0, STEPS);
	tcase_add_loop_test(lossy, lost_datagrams_lose_no_routes, 0, STEPS);
	tcase_add_loop_test(
		lossy, refused_balancers_of_a_small_zone_get_routes_in_time, 0,
		STEPS * 2);
	tcase_add_loop_test(lossy, restarted_member_passes_on_what_it_knows, 0,
			    STEPS);
	tcase_add_loop_test(lossy, removals_survive_the_failure_of_their_reader,
			    0, REMOVAL_STEPS);
	return suite_run(suite);
}
