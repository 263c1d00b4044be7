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
#define HOSTS 40
#define ROUTES 1400
/* The shortest deadline of the deployments for applying a configuration. */
#define APPLY_MS 3000
/* Steps at which a transfer of ROUTES / 2 routes is interrupted. */
#define STEPS 20
#define STEP_MS 3

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

int main(void)
{
	Suite *suite = suite_create("routes");
	TCase *cases = tcase_create("interrupted transfers");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_loop_test(cases, routes_survive_the_failure_of_their_reader,
			    0, STEPS);
	tcase_add_loop_test(cases,
			    restarted_reader_gets_routes_that_members_miss, 0,
			    STEPS);
	tcase_add_loop_test(cases, routes_survive_a_change_of_the_leader, 0,
			    STEPS);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
