/*
 * Guards against a fleet that is updated one balancer after the other and reads
 * the store, delays starts or misses drains because some balancers are of the
 * previous version, which has no messages about drained zones.
 */

#include <check.h>

#include "network.h"
#include "suite.h"

#define NODES 30
#define ZONES 3
#define HOSTS 40
#define ROUTES 100
/* Target: a drain is in force within this time. */
#define FORCE_MS 2000
/* A store reader that fails is found and replaced within this time. */
#define TAKEOVER_MS 2500

static struct network network;

static void setup(void)
{
	network_open_filled(&network, NODES, ZONES, HOSTS, ROUTES);
}

static void teardown(void)
{
	network_close(&network);
}

static void drained_check(const char *zone, bool is_active)
{
	uint32_t running = 0;

	for (uint32_t i = 0; i < network.node_count; i++)
		running += !network.nodes[i].is_down;
	ck_assert_uint_eq(network_drained_count(&network, zone, is_active),
			  running);
}

static uint32_t drain_messages_count(void)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < network.node_count; i++)
		count += network.nodes[i].drain_messages;
	return count;
}

static uint32_t store_calls_count(void)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < network.node_count; i++)
		count += network.nodes[i].store_calls;
	return count;
}

/*
 * A fleet is updated one balancer after the other: none reads the store because
 * of the other version, and starts are not delayed by more than 0.5 s. The
 * leader is the store reader of the zone.
 */
START_TEST(previous_version_causes_no_store_reads) {
	bool is_leader_previous = _i > 0;
	uint32_t calls;
	uint32_t messages;

	for (uint32_t i = 0; i < NODES; i++)
		network.nodes[i].is_previous_version =
			network.nodes[i].is_store_reader == is_leader_previous;
	for (uint32_t i = 0; i < NODES; i++)
		network_restart(&network, i);
	network_run(&network, 5000);
	ck_assert_uint_eq(network_reader_count(&network), ZONES);
	calls = store_calls_count();
	messages = drain_messages_count();
	network_run(&network, 10000);
	ck_assert_uint_eq(network_reader_count(&network), ZONES);
	/* One each 200 ms in a zone. */
	ck_assert_uint_le(store_calls_count() - calls, ZONES * 50 + ZONES);
	/* A member that never replies gets a message each 5 s. */
	ck_assert_uint_le(drain_messages_count() - messages, NODES * 3);
}
END_TEST

static void state_receive(struct node *node, bool is_complete)
{
	struct sharing_message message = {
		.kind = SHARING_ZONE_DRAINS,
		.zone = zone_hash(node->zone),
		.is_complete = is_complete,
		.has_era = true,
		.position = network.store_position,
	};
	GByteArray *bytes = sharing_message_encode(&message);

	sharing_handle_datagram(node->sharing, network.nodes[0].address,
				bytes->data, bytes->len);
	g_byte_array_unref(bytes);
}

START_TEST(start_beside_the_previous_version_is_short) {
	struct node *node = &network.nodes[27];
	int64_t start_ns;

	for (uint32_t i = 0; i < NODES; i++)
		network.nodes[i].is_previous_version = i != 27;
	for (uint32_t i = 0; i < NODES; i++)
		network_restart(&network, i);
	network_run(&network, 5000);
	network_restart(&network, 27);
	node->store_calls = 0;
	node->synced_ns = 0;
	start_ns = network.clock.now_ns;
	network_run(&network, 3000);
	ck_assert_int_ne(node->synced_ns, 0);
	ck_assert_int_ge(node->synced_ns - start_ns, 500 * NS_PER_MS);
	ck_assert_int_le(node->synced_ns - start_ns, 900 * NS_PER_MS);
	ck_assert_uint_eq(node->store_calls, 0);
	ck_assert(!node->replica_status.has_zone_drains);
	/* What a member knows that has no listing either is not complete. */
	state_receive(node, false);
	ck_assert(!node->replica_status.has_zone_drains);
	state_receive(node, true);
	ck_assert(node->replica_status.has_zone_drains);
}
END_TEST

/*
 * Followers of a leader of the previous version miss a drain. The one that
 * becomes store reader must not continue past it.
 */
START_TEST(new_reader_without_drains_lists) {
	struct node *leader = network_find_reader(&network, 0);

	leader->is_previous_version = true;
	network_restart(&network, network_node_index(&network, leader));
	for (uint32_t i = 0; i < NODES; i += ZONES) {
		if (!network.nodes[i].is_previous_version)
			network_restart(&network, i);
	}
	network_run(&network, 5000);
	network_drain_zone(&network, "b", true);
	network_run(&network, FORCE_MS);
	ck_assert(leader->is_store_reader);
	leader->is_down = true;
	network_run(&network, TAKEOVER_MS + FORCE_MS);
	drained_check("b", true);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("drains, versions");
	TCase *cases = tcase_create("versions");

	tcase_set_timeout(cases, 30);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_loop_test(cases, previous_version_causes_no_store_reads, 0,
			    2);
	tcase_add_test(cases, start_beside_the_previous_version_is_short);
	tcase_add_test(cases, new_reader_without_drains_lists);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
