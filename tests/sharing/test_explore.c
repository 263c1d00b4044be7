/*
 * Random series of faults on a manual clock. Guards against updates that are
 * lost, reverted or never applied under any combination of faults: lost,
 * reordered and duplicated datagrams, partitions, restarts, pauses, and a store
 * that is unavailable, rejects balancers or comes back from a copy.
 * EXPLORE_SEEDS=FIRST-LAST sets the seeds.
 */

#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "network.h"
#include "suite.h"

#define ZONES 3
#define NODES_MIN 3
#define NODES_EXPLORED_MAX 24
#define HOSTS 40
#define ROUTES 60
#define FAULT_MS 15000
#define STEP_MS 50
/* Time to converge: two lost polls, a reader that is skipped, and a listing. */
#define SETTLE_MS 8000
/* A member that failed several times is in backoff for 12 s. */
#define ONE_READER_MS 14000
#define SEED_FIRST 1
#define SEED_LAST 40
/* Seeds of the second run, which would otherwise double the time. */
#define DROPPED_HISTORY_SEED_LAST 12
/* Seeds of the run with drained zones. */
#define ZONE_DRAINS_SEED_LAST 12
/* Seeds of the run with a store that comes back from copies. */
#define RESTORES_SEED_LAST 20
#define HOSTS_NUMBERED 512

enum action {
	ACTION_RESTART,
	ACTION_RESTART_ALL,
	ACTION_STOP,
	ACTION_CONTINUE,
	ACTION_PAUSE_END,
	ACTION_REJECT,
	ACTION_ADMIT,
	ACTION_STORE_DOWN,
	ACTION_STORE_UP,
	ACTION_PARTITION_ZONE,
	ACTION_REJOIN_ZONE,
	ACTION_PUBLISH,
	ACTION_DRAIN,
	ACTION_WITHDRAW,
	ACTION_ROUTES,
	ACTION_LOSS,
	BASIC_ACTIONS,
	/* Later actions must not change what the known seeds do. */
	ACTION_DROP_HISTORY = BASIC_ACTIONS,
	DROPPED_HISTORY_ACTIONS,
	ACTION_DRAIN_ZONE = DROPPED_HISTORY_ACTIONS,
	ACTION_RESTORE_ZONE,
	ACTION_LOSE_DRAINS, /* messages about drained zones */
	ZONE_DRAINS_ACTIONS,
	ACTION_COPY_STORE = ZONE_DRAINS_ACTIONS,
	ACTION_RESTORE_STORE,
	ACTIONS,
};

/* What a process has applied, to detect that it is reverted. */
struct applied_state {
	uint64_t version;
	struct store_position removals[HOSTS_NUMBERED]; /* none if not removed */
	struct store_position drains[ZONES];
	uint32_t starts; /* identifies the process */
};

/* Seeds that failed. */
static const uint32_t seed_regressions[] = {
	199, /* an older listing restored a removed host */
	1660, /* a removal whose host a reader never knew was not passed on */
	12684, /* as 1660 */
};

static const char *const zone_names[ZONES] = { "a", "b", "c" };

static struct network network;
static struct store_copy *store_copy; /* NULL for none */
static struct applied_state applied_states[NODES_EXPLORED_MAX];
static GRand *generator;
static uint32_t next_host;
static uint64_t next_version;

static uint32_t random_below(uint32_t limit)
{
	return (uint32_t)g_rand_int_range(generator, 0, (gint32)limit);
}

static void zone_partition(uint32_t zone, uint32_t partition)
{
	for (uint32_t i = zone; i < network.node_count; i += ZONES)
		network.nodes[i].partition = partition;
}

static void action_run(enum action action)
{
	uint32_t index = random_below(network.node_count);
	struct node *node = &network.nodes[index];

	switch (action) {
	case ACTION_RESTART:
		network_restart(&network, index);
		break;
	case ACTION_RESTART_ALL:
		for (uint32_t i = 0; i < network.node_count; i++)
			network_restart(&network, i);
		break;
	case ACTION_STOP:
		node->is_down = true;
		break;
	case ACTION_CONTINUE:
		node->is_down = false;
		break;
	case ACTION_PAUSE_END:
		if (node->is_down)
			sharing_handle_resume(node->sharing);
		node->is_down = false;
		break;
	case ACTION_REJECT:
		node->is_rejected = true;
		break;
	case ACTION_ADMIT:
		node->is_rejected = false;
		break;
	case ACTION_STORE_DOWN:
		network.is_store_down = true;
		break;
	case ACTION_STORE_UP:
		network.is_store_down = false;
		break;
	case ACTION_PARTITION_ZONE:
		zone_partition(index % ZONES, 1 + index % ZONES);
		break;
	case ACTION_REJOIN_ZONE:
		zone_partition(index % ZONES, 0);
		break;
	case ACTION_PUBLISH:
		if (next_host < HOSTS_NUMBERED)
			network_publish_host(&network, next_host++, false);
		break;
	case ACTION_DRAIN:
	case ACTION_WITHDRAW:
		if (network.hosts->len == 0)
			break;
		index = (uint32_t)((struct host_announcement *)g_ptr_array_index(
					   network.hosts,
					   random_below(network.hosts->len)))
				->target_id;
		if (action == ACTION_DRAIN)
			network_publish_host(&network, index, true);
		else
			network_withdraw_host(&network, index);
		break;
	case ACTION_ROUTES:
		network_publish_routes(&network, next_version++,
				       1 + random_below(ROUTES));
		break;
	case ACTION_LOSS:
		network.loss_permille = random_below(2) ? random_below(60) : 0;
		network.duplicate_permille = random_below(2) ? random_below(60)
							     : 0;
		break;
	case ACTION_DROP_HISTORY:
		for (uint32_t i = 0; i < network.node_count; i++)
			network.nodes[i].store_is_synced = false;
		break;
	case ACTION_DRAIN_ZONE:
	case ACTION_RESTORE_ZONE:
		network_drain_zone(&network, zone_names[random_below(ZONES)],
				   action == ACTION_DRAIN_ZONE);
		break;
	case ACTION_LOSE_DRAINS:
		network.drain_loss_permille = 200 * random_below(4);
		break;
	case ACTION_COPY_STORE:
		network_copy_destroy(store_copy);
		store_copy = network_copy_store(&network);
		break;
	case ACTION_RESTORE_STORE:
		if (store_copy)
			network_restore_store(&network, store_copy);
		break;
	case ACTIONS:
		break;
	}
}

static void host_check(uint32_t seed, struct applied_state *applied_state,
		       const struct known_host *host)
{
	uint64_t number = host->published.target_id;

	if (host->is_removed) {
		applied_state->removals[number] =
			store_position_max(applied_state->removals[number],
					   host->removed_position);
		return;
	}
	ck_assert_msg(store_position_is_before(applied_state->removals[number],
					       host->published.position),
		      "seed %u: removed host %" PRIu64 " was restored", seed,
		      number);
}

static void drains_check(uint32_t seed, struct applied_state *applied_state,
			 const struct node *node)
{
	const struct zone_drain *entries;
	size_t count;

	entries = zone_drains_entries(steering_zone_drains(node->steering),
				      &count);
	for (size_t i = 0; i < count; i++) {
		size_t zone = (size_t)(entries[i].zone[0] - 'a');

		ck_assert_msg(
			!store_position_is_before(entries[i].position,
						  applied_state->drains[zone]),
			"seed %u: drain of zone %s was reverted", seed,
			entries[i].zone);
		applied_state->drains[zone] = entries[i].position;
	}
}

static void node_check(uint32_t seed, struct applied_state *applied_state,
		       const struct node *node)
{
	const struct routing *routing = steering_routing(node->steering);
	GHashTableIter iterator;
	gpointer value;

	if (applied_state->starts != node->starts) {
		memset(applied_state, 0, sizeof(*applied_state));
		applied_state->starts = node->starts;
	}
	if (routing) {
		ck_assert_msg(routing->version >= applied_state->version,
			      "seed %u: routes version decreased", seed);
		applied_state->version = routing->version;
	}
	drains_check(seed, applied_state, node);
	g_hash_table_iter_init(&iterator,
			       host_table_all(steering_hosts(node->steering)));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		host_check(seed, applied_state, value);
}

static void steps_run(uint32_t seed, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i += STEP_MS) {
		network_run(&network, STEP_MS);
		for (uint32_t j = 0; j < network.node_count; j++)
			node_check(seed, &applied_states[j], &network.nodes[j]);
	}
}

static void faults_end(void)
{
	network.is_store_down = false;
	network.loss_permille = 0;
	network.drain_loss_permille = 0;
	network.duplicate_permille = 0;
	for (uint32_t i = 0; i < network.node_count; i++) {
		network.nodes[i].partition = 0;
		network.nodes[i].is_rejected = false;
		if (network.nodes[i].is_down)
			sharing_handle_resume(network.nodes[i].sharing);
		network.nodes[i].is_down = false;
	}
}

static bool node_is_unsynced(const struct node *node)
{
	const struct routing *routing = steering_routing(node->steering);

	return !routing || routing->version < network.routing->version ||
	       store_position_is_before(node->replica_status.position,
					network.store_position);
}

static bool node_reads(const struct node *node)
{
	return node->is_store_reader;
}

static void nodes_print(bool (*is_chosen)(const struct node *node))
{
	for (uint32_t i = 0; i < network.node_count; i++) {
		if (is_chosen(&network.nodes[i]))
			network_node_print(&network, i);
	}
	/* A failed check ends the process without writing its output. */
	fflush(stdout);
}

static bool host_is_published(const char *id)
{
	for (guint i = 0; i < network.hosts->len; i++) {
		const struct host_announcement *host =
			g_ptr_array_index(network.hosts, i);

		if (strcmp(host->id, id) == 0)
			return true;
	}
	return false;
}

/* The hosts that @node knows although they were withdrawn. */
static void withdrawn_hosts_print(const struct node *node)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator,
			       host_table_all(steering_hosts(node->steering)));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		if (!host->is_removed && !host_is_published(host->published.id))
			printf("withdrawn host %s revision=%" PRIu64 "\n",
			       host->published.id,
			       host->published.position.revision);
	}
	fflush(stdout);
}

static void convergence_check(uint32_t seed)
{
	uint32_t synced = network_current_count(&network);

	if (synced != network.node_count)
		nodes_print(node_is_unsynced);
	ck_assert_msg(synced == network.node_count,
		      "seed %u: %u of %u nodes are synced", seed, synced,
		      network.node_count);
	for (uint32_t i = 0; i < network.node_count; i++) {
		uint32_t known = host_table_count(
			steering_hosts(network.nodes[i].steering));

		if (known != network.hosts->len)
			withdrawn_hosts_print(&network.nodes[i]);
		ck_assert_msg(known == network.hosts->len,
			      "seed %u: node %u has %u of %u hosts", seed, i,
			      known, network.hosts->len);
	}
}

static void drains_convergence_check(uint32_t seed)
{
	for (size_t i = 0; i < ZONES; i++) {
		bool is_drained =
			network_zone_is_drained(&network, zone_names[i]);
		uint32_t count = network_drained_count(&network, zone_names[i],
						       is_drained);

		ck_assert_msg(count == network.node_count,
			      "seed %u: %u of %u nodes know that zone %s is %s",
			      seed, count, network.node_count, zone_names[i],
			      is_drained ? "drained" : "not drained");
	}
}

/* Draws from the first @actions. */
static void seed_explore(uint32_t seed, uint32_t actions)
{
	generator = g_rand_new_with_seed(seed);
	memset(applied_states, 0, sizeof(applied_states));
	next_host = HOSTS + 1;
	next_version = 2;
	network_open(&network,
		     NODES_MIN +
			     random_below(NODES_EXPLORED_MAX - NODES_MIN + 1),
		     ZONES);
	network.jitter_ms = random_below(3) * 4;
	network.listing_ms = random_below(2) * 20;
	for (uint32_t i = 1; i <= HOSTS; i++)
		network_publish_host(&network, i, false);
	network_publish_routes(&network, 1, ROUTES);
	for (uint32_t ms = 0; ms < FAULT_MS;) {
		uint32_t pause_ms = STEP_MS * (1 + random_below(16));

		steps_run(seed, pause_ms);
		action_run(random_below(actions));
		ms += pause_ms;
	}
	faults_end();
	steps_run(seed, SETTLE_MS);
	convergence_check(seed);
	drains_convergence_check(seed);
	steps_run(seed, ONE_READER_MS - SETTLE_MS);
	if (network_reader_count(&network) != ZONES)
		nodes_print(node_reads);
	ck_assert_msg(network_reader_count(&network) == ZONES,
		      "seed %u: %u store readers", seed,
		      network_reader_count(&network));
	network_close(&network);
	g_clear_pointer(&store_copy, network_copy_destroy);
	g_rand_free(generator);
}

static void seeds_read(uint32_t default_last, uint32_t *first, uint32_t *last)
{
	const char *text = getenv("EXPLORE_SEEDS");

	*first = SEED_FIRST;
	*last = default_last;
	if (!text)
		return;
	*first = *last = (uint32_t)strtoul(text, NULL, 10);
	if (strchr(text, '-'))
		*last = (uint32_t)strtoul(strchr(text, '-') + 1, NULL, 10);
}

START_TEST(no_update_is_lost_with_faults) {
	uint32_t first;
	uint32_t last;

	seeds_read(SEED_LAST, &first, &last);
	for (uint32_t seed = first; seed <= last; seed++)
		seed_explore(seed, BASIC_ACTIONS);
	for (size_t i = 0; i < G_N_ELEMENTS(seed_regressions); i++)
		seed_explore(seed_regressions[i], BASIC_ACTIONS);
	printf("figure explored_seeds %u seeds\n", last - first + 1);
}
END_TEST

START_TEST(no_update_is_lost_with_a_dropped_history) {
	uint32_t first;
	uint32_t last;

	seeds_read(DROPPED_HISTORY_SEED_LAST, &first, &last);
	for (uint32_t seed = first; seed <= last; seed++)
		seed_explore(seed, DROPPED_HISTORY_ACTIONS);
}
END_TEST

START_TEST(no_drain_is_lost_with_faults) {
	uint32_t first;
	uint32_t last;

	seeds_read(ZONE_DRAINS_SEED_LAST, &first, &last);
	for (uint32_t seed = first; seed <= last; seed++)
		seed_explore(seed, ZONE_DRAINS_ACTIONS);
}
END_TEST

START_TEST(no_update_is_lost_with_restores) {
	uint32_t first;
	uint32_t last;

	seeds_read(RESTORES_SEED_LAST, &first, &last);
	for (uint32_t seed = first; seed <= last; seed++)
		seed_explore(seed, ACTIONS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("explore");
	TCase *cases = tcase_create("explore");
	TCase *drains = tcase_create("zone drains");
	TCase *restores = tcase_create("restores");

	tcase_set_timeout(cases, 3600);
	tcase_add_test(cases, no_update_is_lost_with_faults);
	tcase_add_test(cases, no_update_is_lost_with_a_dropped_history);
	suite_add_tcase(suite, cases);
	tcase_set_timeout(drains, 3600);
	tcase_add_test(drains, no_drain_is_lost_with_faults);
	suite_add_tcase(suite, drains);
	tcase_set_timeout(restores, 3600);
	tcase_add_test(restores, no_update_is_lost_with_restores);
	suite_add_tcase(suite, restores);
	return suite_run(suite);
}
