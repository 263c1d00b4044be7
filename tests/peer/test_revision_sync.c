/*
 * Guards against members that stay behind, adopt a damaged or lower revision,
 * flood their peers with requests, or all watch the platform.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "peer/reader_election.h"
#include "peer/revision_sync.h"
#include "suite.h"

#define NODES 4
#define SERVICES 3

struct node {
	struct world *world;
	uint64_t id;
	struct revision_sync *sync;
	uint64_t revision;
	uint64_t digest;
	unsigned int adopted_count;
	unsigned int refused_count;
	unsigned int reader_changes;
};

struct delivery {
	uint64_t sender_id;
	uint64_t receiver_id;
	struct peer_message message;
};

/** Members, the messages between them, and faults. */
struct world {
	struct manual_clock clock;
	struct node nodes[NODES];
	GQueue queue;
	unsigned int sent[PEER_MESSAGE_KINDS];
	size_t index_parts; /* entries of the index sent last */
	uint64_t silent_id; /* sends no answers; 0 for none */
	uint64_t damaging_id; /* changes a byte of each part it sends */
	unsigned int damaged_indexes; /* indexes that still lack an entry */
	bool is_holding; /* keeps messages in the queue */
};

static void delivery_free(struct delivery *delivery)
{
	for (size_t i = 0; i < delivery->message.part_count; i++)
		g_free(delivery->message.parts[i].name);
	g_free(delivery->message.parts);
	g_free(delivery->message.part_name);
	g_free((void *)delivery->message.part_data);
	g_free(delivery);
}

static void on_send(void *context, uint64_t member_id,
		    const struct peer_message *message)
{
	struct node *node = context;
	struct world *world = node->world;
	struct delivery *delivery;
	struct peer_message *copy;

	world->sent[message->kind]++;
	if (message->kind == PEER_MESSAGE_REVISION_INDEX)
		world->index_parts = message->part_count;
	if (node->id == world->silent_id)
		return;
	delivery = g_new0(struct delivery, 1);
	delivery->sender_id = node->id;
	delivery->receiver_id = member_id;
	copy = &delivery->message;
	*copy = *message;
	copy->part_name = g_strdup(message->part_name);
	copy->parts =
		g_memdup2(message->parts,
			  message->part_count * sizeof(message->parts[0]));
	for (size_t i = 0; i < copy->part_count; i++)
		copy->parts[i].name = g_strdup(message->parts[i].name);
	copy->part_data = g_memdup2(message->part_data, message->part_bytes);
	if (node->id == world->damaging_id && copy->part_bytes > 0)
		((uint8_t *)copy->part_data)[0] ^= 1;
	if (copy->part_count > 0 && world->damaged_indexes > 0) {
		world->damaged_indexes--;
		g_free(copy->parts[--copy->part_count].name);
	}
	g_queue_push_tail(&world->queue, delivery);
}

static void on_configuration(void *context, struct configuration *configuration)
{
	struct node *node = context;

	ck_assert_uint_gt(configuration->revision, node->revision);
	node->revision = configuration->revision;
	node->digest = configuration->digest;
	node->adopted_count++;
	configuration_unref(configuration);
}

static void on_refused(void *context, uint64_t revision,
		       const struct error *error)
{
	struct node *node = context;

	(void)revision;
	ck_assert_int_eq(error->kind, ERROR_CONFIGURATION);
	node->refused_count++;
}

static void on_reader(void *context, bool is_reader)
{
	struct node *node = context;

	ck_assert(is_reader == revision_sync_is_reader(node->sync));
	node->reader_changes++;
}

static struct member_view *view_create(size_t count, size_t self)
{
	struct member_view *view =
		g_malloc0(sizeof(*view) + count * sizeof(view->members[0]));

	view->member_count = count;
	view->self = self;
	for (size_t i = 0; i < count; i++) {
		view->members[i].id = i + 1;
		view->members[i].state = MEMBER_ACTIVE;
	}
	return view;
}

static void set_view(struct node *node, size_t count, size_t self)
{
	struct member_view *view = view_create(count, self);

	revision_sync_set_view(node->sync, view);
	g_free(view);
}

static void world_open(struct world *world, uint64_t seed)
{
	memset(world, 0, sizeof(*world));
	manual_clock_init(&world->clock, NS_PER_S);
	g_queue_init(&world->queue);
	for (size_t i = 0; i < NODES; i++) {
		struct node *node = &world->nodes[i];
		struct revision_sync_options options = {
			.self_id = i + 1,
			.clock = &world->clock.clock,
			.random_seed = seed + i,
			.peer_count = NODES - 1,
			.send = on_send,
			.on_configuration = on_configuration,
			.on_refused = on_refused,
			.on_reader = on_reader,
			.context = node,
		};

		node->world = world;
		node->id = i + 1;
		node->sync = revision_sync_create(&options);
		set_view(node, NODES, i);
	}
}

static void world_close(struct world *world)
{
	for (size_t i = 0; i < NODES; i++)
		revision_sync_destroy(world->nodes[i].sync);
	g_queue_clear_full(&world->queue, (GDestroyNotify)delivery_free);
}

static void deliver(struct world *world)
{
	while (!world->is_holding && !g_queue_is_empty(&world->queue)) {
		struct delivery *delivery = g_queue_pop_head(&world->queue);
		struct node *node = &world->nodes[delivery->receiver_id - 1];

		revision_sync_handle_message(node->sync, delivery->sender_id,
					     &delivery->message);
		delivery_free(delivery);
	}
}

/** Runs heartbeats and ticks for @duration_ms of the manual clock. */
static void run(struct world *world, unsigned int duration_ms)
{
	for (unsigned int at_ms = 0; at_ms < duration_ms; at_ms += 100) {
		world->clock.now_ns += 100 * NS_PER_MS;
		for (size_t i = 0; i < NODES; i++) {
			struct heartbeat heartbeat = {
				.revision = world->nodes[i].revision,
				.revision_digest = world->nodes[i].digest,
			};

			for (size_t j = 0; j < NODES && at_ms % 500 == 0; j++)
				revision_sync_handle_heartbeat(
					world->nodes[j].sync, i + 1,
					&heartbeat);
			revision_sync_tick(world->nodes[i].sync);
			deliver(world);
		}
	}
}

/** Parts of a revision in which the first service depends on @slots. */
static GHashTable *parts_create(unsigned int slots)
{
	GHashTable *parts = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	static const char profiles[] =
		"{\"profiles\":[{\"name\":\"p\",\"spread\":\"even_load\"}]}";

	g_hash_table_insert(parts, g_strdup("profiles"),
			    g_bytes_new(profiles, strlen(profiles)));
	for (unsigned int i = 0; i < SERVICES; i++) {
		char *text = g_strdup_printf(
			"{\"name\":\"s%u\",\"team\":\"t\",\"profile\":\"p\","
			"\"addresses\":[{\"address\":\"192.0.2.%u\",\"port\":1}],"
			"\"hosts\":[{\"name\":\"h\",\"address\":\"10.0.0.1\","
			"\"port\":1,\"availability_zone\":\"a\",\"slots\":%u,"
			"\"connections\":1}]}",
			i, i + 1, i == 0 ? slots : 1);

		g_hash_table_insert(parts, g_strdup_printf("service/s%u", i),
				    g_bytes_new_take(text, strlen(text)));
	}
	return parts;
}

/** Puts a revision in force at one member, as its platform client would. */
static void publish(struct node *node, uint64_t revision, unsigned int slots)
{
	GHashTable *parts = parts_create(slots);
	struct configuration *configuration =
		configuration_create(revision, parts, NULL);

	ck_assert_ptr_nonnull(configuration);
	revision_sync_set_current(node->sync, configuration);
	node->revision = revision;
	node->digest = configuration->digest;
	configuration_unref(configuration);
	g_hash_table_unref(parts);
}

static void assert_all_have(const struct world *world, uint64_t revision)
{
	for (size_t i = 0; i < NODES; i++) {
		ck_assert_uint_eq(world->nodes[i].revision, revision);
		ck_assert_uint_eq(world->nodes[i].digest,
				  world->nodes[0].digest);
	}
}

START_TEST(members_catch_up_with_what_they_lack) {
	struct world world;

	world_open(&world, (uint64_t)_i);
	publish(&world.nodes[0], 5, 1);
	run(&world, 1000);
	assert_all_have(&world, 5);
	ck_assert_uint_eq(world.sent[PEER_MESSAGE_PART],
			  (NODES - 1) * (SERVICES + 1));
	publish(&world.nodes[0], 6, 2);
	run(&world, 1000);
	assert_all_have(&world, 6);
	ck_assert_uint_eq(world.index_parts, 1);
	ck_assert_uint_eq(world.sent[PEER_MESSAGE_PART],
			  (NODES - 1) * (SERVICES + 2));
	world_close(&world);
}
END_TEST

/* A restored platform may publish less; peers that are behind do not matter. */
START_TEST(lower_revision_is_never_adopted) {
	struct world world;

	world_open(&world, 1);
	for (size_t i = 0; i < NODES; i++)
		publish(&world.nodes[i], 6, 1);
	publish(&world.nodes[0], 5, 2);
	run(&world, 2000);
	for (size_t i = 1; i < NODES; i++)
		ck_assert_uint_eq(world.nodes[i].adopted_count, 0);
	world_close(&world);
}
END_TEST

static const struct {
	bool is_silent; /* else one member damages what it sends */
	bool is_damaged_index;
} faults[] = { { true, false }, { false, false }, { false, true } };

/* Runs over several seeds, since the member that is asked is drawn. */
START_TEST(faulty_member_does_not_stop_the_others) {
	struct world world;

	world_open(&world, (uint64_t)_i);
	publish(&world.nodes[0], 4, 1);
	publish(&world.nodes[1], 4, 1);
	run(&world, 1000);
	assert_all_have(&world, 4);
	if (faults[_i % 3].is_silent)
		world.silent_id = 1;
	else if (faults[_i % 3].is_damaged_index)
		world.damaged_indexes = 3;
	else
		world.damaging_id = 1;
	publish(&world.nodes[0], 5, 2);
	publish(&world.nodes[1], 5, 2);
	run(&world, 20000);
	assert_all_have(&world, 5);
	for (size_t i = 0; i < NODES; i++)
		ck_assert_uint_eq(world.nodes[i].refused_count, 0);
	world_close(&world);
}
END_TEST

/* An answer that the budget held back must not be asked for in vain. */
START_TEST(late_part_is_used) {
	struct world world;

	world_open(&world, 1);
	for (size_t i = 0; i < NODES; i++)
		publish(&world.nodes[i], 4, 1);
	publish(&world.nodes[0], 5, 2);
	world.is_holding = true;
	run(&world, 500);
	world.is_holding = false;
	deliver(&world);
	assert_all_have(&world, 5);
	world_close(&world);
}
END_TEST

START_TEST(requests_to_silent_members_are_bounded) {
	struct world world;
	unsigned int requests;

	world_open(&world, 1);
	world.silent_id = 1;
	publish(&world.nodes[0], 5, 1);
	run(&world, 3600 * 1000);
	requests = world.sent[PEER_MESSAGE_REVISION_REQUEST];
	ck_assert_uint_gt(requests, NODES - 1);
	ck_assert_uint_le(requests, 100 * (NODES - 1));
	world.silent_id = 0;
	run(&world, 600 * 1000);
	assert_all_have(&world, 5);
	world_close(&world);
}
END_TEST

/* The sender validated the revision, but a receiver may be of another release. */
START_TEST(invalid_revision_is_refused_once) {
	struct world world;
	GHashTable *parts = parts_create(1);
	struct configuration forged = { .revision = 5, .references = 1 };

	g_hash_table_insert(parts, g_strdup("service/s1"),
			    g_bytes_new("{}", 2));
	world_open(&world, 1);
	publish(&world.nodes[1], 4, 1);
	run(&world, 1000);
	forged.parts = parts;
	forged.digest = configuration_index_digest(parts);
	configuration_ref(&forged);
	revision_sync_set_current(world.nodes[0].sync, &forged);
	world.nodes[0].revision = 5;
	world.nodes[0].digest = forged.digest;
	run(&world, 60000);
	for (size_t i = 1; i < NODES; i++) {
		ck_assert_uint_eq(world.nodes[i].revision, 4);
		ck_assert_uint_eq(world.nodes[i].refused_count, 1);
	}
	publish(&world.nodes[0], 6, 1);
	run(&world, 1000);
	assert_all_have(&world, 6);
	world_close(&world);
	g_hash_table_unref(parts);
}
END_TEST

static const struct {
	size_t member_count;
	uint16_t zone_count;
	size_t leaving_count;
	size_t reader_count;
} elections[] = {
	{ 1, 1, 0, 1 }, { 2, 1, 0, 2 },	   { 3, 1, 0, 2 }, { 8, 3, 0, 6 },
	{ 8, 3, 2, 6 }, { 670, 5, 0, 10 }, { 3, 3, 0, 3 },
};

/* Guards against a platform whose calls grow with the number of members. */
START_TEST(few_members_of_each_zone_are_elected) {
	struct member_view *view = view_create(elections[_i].member_count, 0);
	size_t reader_count = 0;

	for (size_t i = 0; i < view->member_count; i++) {
		view->members[i].zone = i % elections[_i].zone_count;
		if (i < elections[_i].leaving_count)
			view->members[i].state = MEMBER_LEAVING;
	}
	for (view->self = elections[_i].leaving_count;
	     view->self < view->member_count; view->self++)
		reader_count += reader_election_is_elected(view);
	ck_assert_uint_eq(reader_count, elections[_i].reader_count);
	g_free(view);
}
END_TEST

START_TEST(start_is_delayed_and_stop_is_not) {
	struct member_view *alone = view_create(1, 0);
	struct member_view *crowd = view_create(9, 0);
	struct reader_election election = {
		.random = g_rand_new_with_seed((guint32)_i), .has_peers = true
	};

	while (reader_election_is_elected(crowd))
		crowd->self++;
	reader_election_update(&election, alone, false, NS_PER_S);
	reader_election_update(&election, alone, false, NS_PER_S * 19 / 10);
	ck_assert(!election.is_reader);
	reader_election_update(&election, alone, false, 5 * NS_PER_S);
	ck_assert(election.is_reader);
	reader_election_update(&election, crowd, false, 5 * NS_PER_S);
	ck_assert(!election.is_reader);
	reader_election_update(&election, crowd, true, 6 * NS_PER_S);
	reader_election_update(&election, crowd, true, 7 * NS_PER_S);
	ck_assert(election.is_reader);
	g_rand_free(election.random);
	g_free(alone);
	g_free(crowd);
}
END_TEST

START_TEST(single_instance_reads_at_once) {
	struct member_view *alone = view_create(1, 0);
	struct reader_election election = { 0 };

	reader_election_update(&election, alone, false, NS_PER_S);
	ck_assert(election.is_reader);
	g_free(alone);
}
END_TEST

/* With four members of one zone, two read; a stuck member reads as well. */
START_TEST(member_that_stays_behind_reads_the_platform) {
	struct world world;
	size_t reader_count = 0;

	world_open(&world, 1);
	publish(&world.nodes[0], 5, 1);
	run(&world, 5000);
	for (size_t i = 0; i < NODES; i++)
		reader_count += revision_sync_is_reader(world.nodes[i].sync);
	ck_assert_uint_eq(reader_count, READERS_PER_ZONE);
	world.silent_id = 1;
	publish(&world.nodes[0], 6, 2);
	run(&world, 15000);
	for (size_t i = 1; i < NODES; i++) {
		ck_assert(revision_sync_is_reader(world.nodes[i].sync));
		publish(&world.nodes[i], 6, 2);
	}
	run(&world, 1000);
	reader_count = 0;
	for (size_t i = 0; i < NODES; i++)
		reader_count += revision_sync_is_reader(world.nodes[i].sync);
	ck_assert_uint_eq(reader_count, READERS_PER_ZONE);
	world_close(&world);
}
END_TEST

static void add_tests(TCase *tests)
{
	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, members_catch_up_with_what_they_lack, 0, 5);
	tcase_add_test(tests, lower_revision_is_never_adopted);
	tcase_add_loop_test(tests, faulty_member_does_not_stop_the_others, 0,
			    30);
	tcase_add_test(tests, late_part_is_used);
	tcase_add_test(tests, requests_to_silent_members_are_bounded);
	tcase_add_test(tests, invalid_revision_is_refused_once);
	tcase_add_loop_test(tests, few_members_of_each_zone_are_elected, 0,
			    G_N_ELEMENTS(elections));
	tcase_add_loop_test(tests, start_is_delayed_and_stop_is_not, 0, 10);
	tcase_add_test(tests, single_instance_reads_at_once);
	tcase_add_test(tests, member_that_stays_behind_reads_the_platform);
}

int main(void)
{
	Suite *suite = suite_create("revision_sync");
	TCase *tests = tcase_create("exchange");

	add_tests(tests);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
