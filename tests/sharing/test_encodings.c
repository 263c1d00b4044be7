/*
 * Guards against a fleet of two versions that loses routes: the previous version
 * knows the plain encoding only, without attributes and service limits.
 */

#include <check.h>
#include <xxhash.h>

#include "network.h"
#include "suite.h"

#define NODES 12
#define ZONES 3
#define HOSTS 40
#define ROUTES 1400
/* The shortest deadline of the deployments for applying a configuration. */
#define APPLY_MS 3000
/* After that, a member is asked for the extended encoding again. */
#define RETRY_MS 35000
/* Of a balancer that starts while members have a listing. */
#define START_MS 1000
/* Loss of datagrams, and runs with it. */
#define LOSS_PERMILLE 300
#define LOSS_RUNS 10

static struct network network;

static void setup(void)
{
	network_open_filled(&network, NODES, ZONES, HOSTS, ROUTES);
}

static void teardown(void)
{
	network_close(&network);
}

static const struct routing *node_routing(uint32_t index)
{
	return steering_routing(network.nodes[index].steering);
}

static bool routing_is_published(const struct routing *routing)
{
	const struct routing *published = network.routing;

	if (routing->version != published->version || routing->is_partial ||
	    routing->rule_count != published->rule_count ||
	    routing->limit_count != published->limit_count)
		return false;
	for (size_t i = 0; i < routing->rule_count; i++) {
		if (!route_rule_equal(&routing->rules[i],
				      &published->rules[i]) ||
		    !route_rule_attributes_equal(&routing->rules[i],
						 &published->rules[i]))
			return false;
	}
	return memcmp(routing->limits, published->limits,
		      routing->limit_count * sizeof(*routing->limits)) == 0;
}

/* Versions of nodes are previous ones, except that of node @exempt. */
static void versions_set(bool is_previous, uint32_t exempt)
{
	for (uint32_t i = 0; i < NODES; i++)
		network.nodes[i].has_plain_routes_only = is_previous &&
							 i != exempt;
}

static void chunks_poll(uint64_t held_version, uint32_t chunks)
{
	for (uint32_t chunk = 0; chunk <= chunks; chunk++) {
		const struct sharing_message poll = {
			.kind = SHARING_POLL,
			.zone = zone_hash("a"),
			.capacity = 100,
			.position.revision = network.store_position.revision,
			.routes_version = held_version,
			.chunk = chunk,
		};

		network_send_from_outsider(&network, 0, &poll);
	}
}

static void outsider_check(guint bytes, uint64_t digest)
{
	const GByteArray *data = network.outsider_data;

	ck_assert_uint_eq(data->len, bytes);
	ck_assert_uint_eq(XXH3_64bits(data->data, data->len), digest);
}

/*
 * Guards against a change of what a follower of the previous version gets. The
 * digests are those of the datagrams that 95cf00e sent for the same polls.
 */
START_TEST(plain_encoding_is_unchanged) {
	network_close(&network);
	network_open_filled(&network, 1, 1, 3, 700);
	chunks_poll(0, 60);
	outsider_check(27529, 0x7040c1df0ed6dafe);
	network_publish_routes(&network, 2, 650);
	network_read_now(&network, 0);
	g_byte_array_set_size(network.outsider_data, 0);
	chunks_poll(1, 3);
	outsider_check(1318, 0x20c829b0679641b8);
}
END_TEST

/* Guards against attributes that get lost between balancers of one version. */
START_TEST(attributes_reach_each_balancer) {
	network_publish_routes(&network, 2, ROUTES / 2);
	network_run(&network, APPLY_MS);
	for (uint32_t i = 0; i < NODES; i++)
		ck_assert(routing_is_published(node_routing(i)));
}
END_TEST

/* Guards against attributes that stay lost after lost datagrams. */
START_TEST(lost_datagrams_lose_no_attributes) {
	g_rand_set_seed(network.random, (guint32)_i);
	network.loss_permille = LOSS_PERMILLE;
	network_publish_routes(&network, 2, ROUTES);
	network_run(&network, APPLY_MS);
	network.loss_permille = 0;
	network_run(&network, RETRY_MS);
	for (uint32_t i = 0; i < NODES; i++)
		ck_assert(routing_is_published(node_routing(i)));
}
END_TEST

/*
 * Guards against a follower that never gets routes from a leader of the previous
 * version, or loses what it knew of attributes, or stays without them after the
 * leader was replaced by a new version.
 */
START_TEST(follower_of_a_plain_leader_gets_routes) {
	struct node *reader = network_find_reader(&network, 0);
	uint32_t follower =
		(network_node_index(&network, reader) + ZONES) % NODES;
	const struct routing *routing;

	versions_set(true, follower);
	network_publish_routes(&network, 2, ROUTES / 2);
	network_run(&network, APPLY_MS);
	routing = node_routing(follower);
	ck_assert_uint_eq(routing->version, 2);
	ck_assert_uint_eq(routing->rule_count, ROUTES / 2);
	ck_assert(routing->is_partial);
	/* Those of version 1. */
	ck_assert_uint_eq(routing->rules[7].time_limit_ms, 808);
	ck_assert_uint_eq(routing->limit_count, 1);
	ck_assert(!network.nodes[follower].is_store_reader);
	versions_set(false, NODES);
	network_run(&network, RETRY_MS);
	ck_assert(routing_is_published(node_routing(follower)));
	/* Changes of full routes do not fit on partial ones. */
	ck_assert_uint_eq(
		sharing_counters(
			network.nodes[follower].sharing)[SHARING_MALFORMED],
		0);
}
END_TEST

/*
 * Guards against routes without attributes after a pause: the pushes that waited
 * are handled all at once, and are no refusals of the extended encoding.
 */
START_TEST(pushes_after_a_pause_are_no_refusals) {
	struct node *reader = network_find_reader(&network, 0);
	uint32_t follower =
		(network_node_index(&network, reader) + ZONES) % NODES;
	struct sharing_message push = {
		.kind = SHARING_UPDATE,
		.zone = zone_hash(reader->zone),
		.has_era = true,
		.position = reader->replica_status.position,
		.routes_version = 2,
	};
	GByteArray *bytes = sharing_message_encode(&push);

	network_publish_routes(&network, 2, ROUTES / 2);
	for (int i = 0; i < 8; i++)
		sharing_handle_datagram(network.nodes[follower].sharing,
					reader->address, bytes->data,
					bytes->len);
	network_run(&network, APPLY_MS);
	ck_assert(routing_is_published(node_routing(follower)));
	g_byte_array_unref(bytes);
}
END_TEST

/*
 * Guards against a balancer of a new version that starts late because all
 * members are of the previous version, and the store refuses it.
 */
START_TEST(start_among_previous_versions_takes_no_longer) {
	uint32_t started = (network_node_index(&network, network_find_reader(
								 &network, 0)) +
			    ZONES) %
			   NODES;

	versions_set(true, started);
	network.nodes[started].is_rejected = true;
	network_restart(&network, started);
	network_run(&network, START_MS);
	ck_assert(network_node_is_synced(&network.nodes[started]));
	ck_assert(node_routing(started)->is_partial);
}
END_TEST

/*
 * Guards against a fleet without attributes after an update: each balancer got
 * its routes from one of the previous version, and none lists from the store.
 */
START_TEST(store_reader_completes_partial_routes) {
	uint32_t partial = 0;

	versions_set(true, NODES);
	for (uint32_t i = 0; i < NODES; i++) {
		network.nodes[i].is_rejected = true;
		network_restart(&network, i);
		network_run(&network, START_MS);
		network.nodes[i].is_rejected = false;
		partial += node_routing(i)->is_partial;
	}
	ck_assert_uint_eq(partial, NODES);
	versions_set(false, NODES);
	network_run(&network, RETRY_MS);
	for (uint32_t i = 0; i < NODES; i++)
		ck_assert(routing_is_published(node_routing(i)));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("encodings");
	TCase *cases = tcase_create("encodings of the routes");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_test(cases, plain_encoding_is_unchanged);
	tcase_add_test(cases, attributes_reach_each_balancer);
	tcase_add_loop_test(cases, lost_datagrams_lose_no_attributes, 0,
			    LOSS_RUNS);
	tcase_add_test(cases, follower_of_a_plain_leader_gets_routes);
	tcase_add_test(cases, pushes_after_a_pause_are_no_refusals);
	tcase_add_test(cases, start_among_previous_versions_takes_no_longer);
	tcase_add_test(cases, store_reader_completes_partial_routes);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
