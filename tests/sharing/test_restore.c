/*
 * Guards against balancers that miss changes, or keep what was lost, after the
 * store came back from a copy and gave out revisions again (review cases 11, 12
 * and 15): readers that are frozen, cut off or replaced meanwhile, several
 * restores, new processes, and members of the build before.
 */

#include <check.h>

#include "network.h"
#include "suite.h"

#define NODES 30
#define ZONES 3
#define HOSTS 40
#define ROUTES 100
/* Changes that the copy lacks. */
#define LOST_CHANGES 40
#define AWAY_MS 1000
/* Target: what is written after the restore is in force within this time. */
#define FORCE_MS 3000
/* Until what the copy lacks is dropped. */
#define REWRITE_MS 2200
#define DRAINED_HOST 7
#define LEFT_HOST 11
#define LOST_HOST 60

static struct network network;

static void setup(void)
{
	network_open_filled(&network, NODES, ZONES, HOSTS, ROUTES);
}

static void teardown(void)
{
	network_close(&network);
}

/* What is written and lost: one host leaves, another registers. */
static void changes_lose(void)
{
	network_withdraw_host(&network, LEFT_HOST);
	network_publish_host(&network, LOST_HOST, false);
	for (uint32_t i = 0; i < LOST_CHANGES; i++)
		network_publish_host(&network, 20 + i % 10, i % 2 == 0);
	network_drain_zone(&network, "c", true);
	network_drain_zone(&network, "c", false);
	network_publish_routes(&network, network.routing->version + 3, ROUTES);
	network_run(&network, FORCE_MS);
}

static void store_restore(const struct store_copy *copy, uint32_t away_ms)
{
	network.is_store_down = true;
	network_run(&network, away_ms);
	network_restore_store(&network, copy);
	network.is_store_down = false;
}

/* All running nodes know what is published, and nothing else. */
static void state_check(void)
{
	static const char *const zones[] = { "a", "b", "c" };
	uint32_t running = 0;

	for (uint32_t i = 0; i < network.node_count; i++) {
		const struct node *node = &network.nodes[i];
		struct host_table *hosts = steering_hosts(node->steering);

		if (node->is_down)
			continue;
		running++;
		ck_assert_uint_eq(node->replica_status.position.era,
				  network.store_position.era);
		ck_assert_uint_eq(host_table_count(hosts), network.hosts->len);
	}
	ck_assert_uint_eq(network_current_count(&network), running);
	for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
		bool is_drained = network_zone_is_drained(&network, zones[i]);

		ck_assert_uint_eq(
			network_drained_count(&network, zones[i], is_drained),
			running);
	}
}

static void draining_check(uint32_t number)
{
	char id[HOST_ID_BYTES_MAX + 1];

	g_snprintf(id, sizeof(id), "i-%04x", number);
	for (uint32_t i = 0; i < network.node_count; i++) {
		const struct node *node = &network.nodes[i];
		const struct known_host *host =
			host_table_find(steering_hosts(node->steering), id);

		ck_assert(node->is_down || host->published.is_draining);
	}
}

/* What is written after a restore reaches all in time. */
static void changes_check(void)
{
	uint64_t version = network.routing->version + 1;

	network_publish_host(&network, DRAINED_HOST, true);
	network_drain_zone(&network, "c", true);
	network_publish_routes(&network, version, ROUTES + 1);
	network_run(&network, FORCE_MS);
	draining_check(DRAINED_HOST);
	state_check();
}

/* What befalls the readers around the restore. */
enum trouble {
	TROUBLE_NONE,
	TROUBLE_FROZEN, /* over the restore */
	TROUBLE_KILLED, /* while the store is away */
	TROUBLE_REJECTED, /* the store turns the readers away until 1 s after */
	TROUBLE_RESTARTED, /* after the restore, before anyone has read */
	TROUBLE_LOSS, /* a tenth of all datagrams */
	TROUBLES,
};

static struct node *readers[ZONES];

static void trouble_begin(enum trouble trouble)
{
	for (uint32_t zone = 0; zone < ZONES; zone++) {
		readers[zone] = network_find_reader(&network, zone);
		if (trouble == TROUBLE_FROZEN || trouble == TROUBLE_KILLED)
			readers[zone]->is_down = true;
		if (trouble == TROUBLE_REJECTED)
			readers[zone]->is_rejected = true;
	}
	if (trouble == TROUBLE_LOSS)
		network.loss_permille = 100;
}

static void trouble_end(enum trouble trouble)
{
	if (trouble == TROUBLE_FROZEN || trouble == TROUBLE_REJECTED)
		network_run(&network, 1000);
	for (uint32_t zone = 0; zone < ZONES; zone++) {
		if (trouble == TROUBLE_RESTARTED)
			network_restart(
				&network,
				network_node_index(&network, readers[zone]));
		if (trouble == TROUBLE_FROZEN) {
			readers[zone]->is_down = false;
			sharing_handle_resume(readers[zone]->sharing);
		}
		readers[zone]->is_rejected = false;
	}
}

/*
 * Loop: the trouble, and the number of restores less one. A second one comes
 * 150 ms after the first, when some have listed and others have not.
 */
START_TEST(changes_after_a_restore_reach_all) {
	enum trouble trouble = (enum trouble)(_i % TROUBLES);
	struct store_copy *copy = network_copy_store(&network);
	int restores = 1 + _i / TROUBLES;

	network.listing_ms = 60;
	changes_lose();
	trouble_begin(trouble);
	store_restore(copy, AWAY_MS);
	for (int i = 1; i < restores; i++) {
		network_run(&network, 150);
		network_publish_host(&network, 3, i % 2 == 0);
		store_restore(copy, 150);
	}
	trouble_end(trouble);
	network_run(&network, FORCE_MS + REWRITE_MS);
	if (trouble == TROUBLE_LOSS)
		network_run(&network, FORCE_MS);
	state_check();
	for (int i = 0; i < 3; i++)
		changes_check();
	network_run(&network, 10000);
	network.loss_permille = 0;
	network_run(&network, 2000);
	ck_assert_uint_eq(network_reader_count(&network), ZONES);
	network_copy_destroy(copy);
}
END_TEST

/*
 * Guards against a reader that goes on from a revision of the former era that is
 * given out again before it asks (review case 11).
 */
START_TEST(revisions_that_are_given_out_again_are_read) {
	struct store_copy *copy = network_copy_store(&network);
	uint64_t revision;

	changes_lose();
	revision = network.store_position.revision;
	network_restore_store(&network, copy);
	network_publish_host(&network, DRAINED_HOST, true);
	while (network.store_position.revision < revision + 2)
		network_publish_host(&network, 21, false);
	network_run(&network, FORCE_MS + REWRITE_MS);
	draining_check(DRAINED_HOST);
	state_check();
	network_copy_destroy(copy);
}
END_TEST

static void zone_set(uint32_t zone, uint32_t partition, bool is_rejected)
{
	for (uint32_t i = zone; i < network.node_count; i += ZONES) {
		network.nodes[i].partition = partition;
		network.nodes[i].is_rejected = is_rejected;
	}
}

/*
 * A zone is cut off from the store, or from all else, over two restores. A
 * process of it that starts then learns from a member of the former era.
 */
START_TEST(zone_that_was_cut_off_follows_the_new_era) {
	bool is_partitioned = _i == 1;
	struct store_copy *copy = network_copy_store(&network);
	struct node *started = &network.nodes[1 + 4 * ZONES];
	uint64_t era = network.store_position.era;

	changes_lose();
	zone_set(1, is_partitioned ? 1 : 0, true);
	store_restore(copy, AWAY_MS);
	network_run(&network, FORCE_MS);
	store_restore(copy, AWAY_MS);
	network_run(&network, 1000);
	network_restart(&network, 1 + 4 * ZONES);
	network_run(&network, FORCE_MS);
	ck_assert(started->replica_status.is_complete);
	/* It learns the new era from members of other zones, if it can. */
	if (!is_partitioned)
		era = network.store_position.era;
	ck_assert_uint_eq(started->replica_status.position.era, era);
	ck_assert_uint_eq(host_table_count(steering_hosts(started->steering)),
			  HOSTS);
	zone_set(1, 0, false);
	network_run(&network, FORCE_MS + REWRITE_MS);
	state_check();
	changes_check();
	network_copy_destroy(copy);
}
END_TEST

/* Nodes of the build before, as the first, or all but two of each zone. */
static void previous_set(bool are_leaders)
{
	for (uint32_t i = 0; i < NODES; i++)
		network.nodes[i].knows_no_eras =
			are_leaders ? network.nodes[i].is_store_reader
				    : i % 2 == 0;
	for (uint32_t i = 0; i < NODES; i++)
		network_restart(&network, i);
	network_run(&network, 8000);
}

/*
 * Guards against an update of the fleet during which drains are missed: members
 * of the build before send no eras.
 */
START_TEST(fleet_of_two_builds_knows_changes) {
	previous_set(_i == 1);
	for (uint32_t i = 1; i <= 5; i++) {
		network_publish_host(&network, i, true);
		network_drain_zone(&network, "b", i % 2 == 1);
		network_run(&network, FORCE_MS);
		draining_check(i);
		ck_assert_uint_eq(
			network_drained_count(&network, "b", i % 2 == 1),
			NODES);
	}
	/* A zone may need a reader for each build. */
	ck_assert_uint_le(network_reader_count(&network), 2 * ZONES);
}
END_TEST

/* Number of nodes of this build that know all that is published. */
static uint32_t current_count(bool *has_all)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < NODES; i++) {
		const struct node *node = &network.nodes[i];

		if (node->knows_no_eras)
			continue;
		count++;
		*has_all &= !store_position_is_before(
			node->replica_status.position, network.store_position);
	}
	return count;
}

/* Guards against nodes that learn a former era again from the build before. */
START_TEST(members_of_the_build_before_hide_no_restore) {
	struct store_copy *copy;
	bool has_all = true;

	previous_set(_i == 1);
	copy = network_copy_store(&network);
	changes_lose();
	store_restore(copy, AWAY_MS);
	network_run(&network, 2 * FORCE_MS);
	network_publish_host(&network, DRAINED_HOST, true);
	network_run(&network, FORCE_MS);
	ck_assert_uint_gt(current_count(&has_all), 0);
	ck_assert(has_all);
	network_copy_destroy(copy);
}
END_TEST

/* Guards against a crowd of listings: few read the store, the others follow. */
START_TEST(few_nodes_list_from_the_store) {
	struct store_copy *copy;
	uint32_t calls = 0;

	network_close(&network);
	network_open_filled(&network, 300, 5, 300, ROUTES);
	copy = network_copy_store(&network);
	network_publish_host(&network, 301, false);
	network_run(&network, FORCE_MS);
	network.listing_ms = 100;
	store_restore(copy, AWAY_MS);
	for (uint32_t i = 0; i < network.node_count; i++)
		network.nodes[i].store_calls = 0;
	network_run(&network, FORCE_MS);
	ck_assert_uint_eq(network_current_count(&network), network.node_count);
	for (uint32_t i = 0; i < network.node_count; i++)
		calls += network.nodes[i].store_calls > 0;
	ck_assert_uint_le(calls, 15);
	network_copy_destroy(copy);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("restore");
	TCase *cases = tcase_create("restore");

	tcase_set_timeout(cases, 120);
	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_add_loop_test(cases, changes_after_a_restore_reach_all, 0,
			    3 * TROUBLES);
	tcase_add_test(cases, revisions_that_are_given_out_again_are_read);
	tcase_add_loop_test(cases, zone_that_was_cut_off_follows_the_new_era, 0,
			    2);
	tcase_add_loop_test(cases, fleet_of_two_builds_knows_changes, 0, 2);
	tcase_add_loop_test(cases, members_of_the_build_before_hide_no_restore,
			    0, 2);
	tcase_add_test(cases, few_nodes_list_from_the_store);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
