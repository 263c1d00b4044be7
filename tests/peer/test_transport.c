/*
 * Guards against strangers and members that speak for others, and against a
 * transport that exceeds its budget, lets low priorities pass, or grows and
 * delivers late when a peer is dead. Runs over loopback.
 */

#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "peer/send_queue.h"
#include "peer/transport.h"
#include "peer/transport_state.h"
#include "suite.h"

#define NODES 3
#define RECEIVED_MAX 4096
#define BUDGET 4096
#define UNLIMITED 100000000

struct node {
	struct transport *transport;
	char public_key[CURVE_KEY_TEXT_BYTES];
	char secret_key[CURVE_KEY_TEXT_BYTES];
	const char *accepted[NODES + 1];
	uint64_t id;
	uint16_t port;
	uint32_t budget;
	size_t received;
	uint64_t last_sender;
	size_t last_length;
	uint8_t first_bytes[RECEIVED_MAX];
	struct clock clock;
	int64_t clock_ahead_s; /* a step here looks like a pause */
};

static struct node nodes[NODES];

static void message_receive(void *context, uint64_t sender_id,
			    const uint8_t *data, size_t length)
{
	struct node *node = context;

	node->last_sender = sender_id;
	node->last_length = length;
	if (node->received < RECEIVED_MAX)
		node->first_bytes[node->received] = data[0];
	node->received++;
}

/* A loopback port that was free a moment ago. */
static uint16_t port_find(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int descriptor = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(descriptor, (struct sockaddr *)&address, size),
			 0);
	getsockname(descriptor, (struct sockaddr *)&address, &size);
	close(descriptor);
	return ntohs(address.sin_port);
}

static void nodes_prepare(void)
{
	memset(nodes, 0, sizeof(nodes));
	for (size_t i = 0; i < NODES; i++) {
		nodes[i].id = 100 + i;
		nodes[i].port = port_find();
		nodes[i].budget = BUDGET;
		zmq_curve_keypair(nodes[i].public_key, nodes[i].secret_key);
	}
	for (size_t i = 0; i < NODES; i++) {
		for (size_t j = 0; j < NODES; j++)
			nodes[i].accepted[j] = nodes[j].public_key;
	}
}

static void clock_read(void *context, struct timespec *out)
{
	const struct node *node = context;

	clock_gettime(CLOCK_BOOTTIME, out);
	out->tv_sec += node->clock_ahead_s;
}

static void node_start(struct node *node)
{
	struct transport_options options = {
		.self_id = node->id,
		.address = "127.0.0.1",
		.port = node->port,
		.public_key = node->public_key,
		.secret_key = node->secret_key,
		.accepted_keys = node->accepted,
		.budget_bytes_per_s = node->budget,
		.clock = &node->clock,
		.on_message = message_receive,
		.context = node,
	};
	struct error error = { 0 };

	node->clock.now = clock_read;
	node->clock.context = node;
	node->transport = transport_create(&options, &error);
	ck_assert_msg(node->transport, "%s", error.detail);
}

static void node_add(struct node *node, const struct node *peer,
		     const char *key)
{
	struct error error = { 0 };

	ck_assert_msg(transport_add_peer(node->transport, peer->id, "127.0.0.1",
					 peer->port, key, &error),
		      "%s", error.detail);
}

static void nodes_stop(void)
{
	for (size_t i = 0; i < NODES; i++)
		transport_destroy(nodes[i].transport);
}

static gboolean time_out(gpointer context)
{
	*(bool *)context = true;
	return G_SOURCE_REMOVE;
}

/* Runs the loop until @node received @count messages or @wait_ms passed. */
static void loop_run(const struct node *node, size_t count, guint wait_ms)
{
	bool is_over = false;
	guint timer = g_timeout_add(wait_ms, time_out, &is_over);

	while (!is_over && node->received < count)
		g_main_context_iteration(NULL, TRUE);
	if (!is_over)
		g_source_remove(timer);
}

static void node_send(struct node *node, const struct node *peer, uint8_t first,
		      size_t length, enum message_priority priority)
{
	uint8_t *data = calloc(1, length);

	data[0] = first;
	transport_send(node->transport, peer->id, data, length, priority);
	free(data);
}

static void pair_start(uint32_t budget)
{
	nodes_prepare();
	nodes[0].budget = budget;
	node_start(&nodes[0]);
	node_start(&nodes[1]);
	node_add(&nodes[0], &nodes[1], nodes[1].public_key);
	node_add(&nodes[1], &nodes[0], nodes[0].public_key);
}

/* Returns once node 0 is connected to node 1. */
static void pair_connect(void)
{
	node_send(&nodes[0], &nodes[1], 0, 1, MESSAGE_PRIORITY_HEARTBEAT);
	loop_run(&nodes[1], 1, 1000);
	ck_assert_uint_eq(nodes[1].received, 1);
	nodes[1].received = 0;
}

static const size_t lengths[] = { 1, 33, FRAGMENT_BYTES_MAX,
				  FRAGMENT_BYTES_MAX + 1, 1024 * 1024 };

START_TEST(message_of_any_length_arrives) {
	pair_start(UNLIMITED);
	pair_connect();
	node_send(&nodes[0], &nodes[1], 7, lengths[_i],
		  MESSAGE_PRIORITY_REVISION);
	/* The burst is 65,536 bytes, so a megabyte takes several refills. */
	loop_run(&nodes[1], 1, 10000);
	ck_assert_uint_eq(nodes[1].received, 1);
	ck_assert_uint_eq(nodes[1].last_sender, nodes[0].id);
	ck_assert_uint_eq(nodes[1].last_length, lengths[_i]);
	ck_assert_uint_eq(nodes[1].first_bytes[0], 7);
	nodes_stop();
}
END_TEST

/* A counter of the JSON state; ends the test if the state is malformed. */
static gint64 printed_counter(const struct node *node, const char *name)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	gint64 value;

	json_builder_begin_object(builder);
	transport_print_json(node->transport, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	ck_assert_ptr_nonnull(root);
	value = json_object_get_int_member(json_node_get_object(root), name);
	json_node_unref(root);
	g_object_unref(builder);
	return value;
}

START_TEST(stranger_is_refused_and_counted) {
	pair_start(BUDGET);
	nodes[1].accepted[0] = nodes[1].public_key;
	transport_destroy(nodes[1].transport);
	node_start(&nodes[1]);
	node_add(&nodes[1], &nodes[0], nodes[0].public_key);
	node_send(&nodes[0], &nodes[1], 1, 10, MESSAGE_PRIORITY_HEARTBEAT);
	loop_run(&nodes[1], 1, 1500);
	ck_assert_uint_eq(nodes[1].received, 0);
	ck_assert_int_gt(printed_counter(&nodes[1], "connections_refused"), 0);
	nodes_stop();
}
END_TEST

/* Node 2 has an accepted key, but calls itself node 0. */
START_TEST(member_cannot_speak_for_another) {
	pair_start(BUDGET);
	nodes[2].id = nodes[0].id;
	node_start(&nodes[2]);
	node_add(&nodes[2], &nodes[1], nodes[1].public_key);
	key_ring_register(nodes[1].transport->ring, nodes[2].public_key, 102);
	node_send(&nodes[2], &nodes[1], 1, 10, MESSAGE_PRIORITY_HEARTBEAT);
	loop_run(&nodes[1], 1, 1000);
	ck_assert_uint_eq(nodes[1].received, 0);
	ck_assert_uint_gt(nodes[1].transport->counters.impostors, 0);
	pair_connect();
	nodes_stop();
}
END_TEST

/* Sends a heartbeat every 200 ms until one arrives; false after 10 s. */
static bool is_reached(struct node *from, struct node *to)
{
	to->received = 0;
	for (size_t i = 0; i < 50 && to->received == 0; i++) {
		node_send(from, to, 0, 1, MESSAGE_PRIORITY_HEARTBEAT);
		loop_run(to, 1, 200);
	}
	return to->received > 0;
}

/*
 * The members share one pair and each may already use the next one, while the
 * settings of the other still name the old one.
 */
START_TEST(both_keys_are_accepted_in_rotation) {
	char public_keys[2][CURVE_KEY_TEXT_BYTES];
	char secret_keys[2][CURVE_KEY_TEXT_BYTES];

	nodes_prepare();
	zmq_curve_keypair(public_keys[0], secret_keys[0]);
	zmq_curve_keypair(public_keys[1], secret_keys[1]);
	for (size_t i = 0; i < 2; i++) {
		memcpy(nodes[i].public_key, public_keys[(_i >> i) & 1],
		       CURVE_KEY_TEXT_BYTES);
		memcpy(nodes[i].secret_key, secret_keys[(_i >> i) & 1],
		       CURVE_KEY_TEXT_BYTES);
		nodes[i].accepted[0] = public_keys[0];
		nodes[i].accepted[1] = public_keys[1];
		nodes[i].accepted[2] = NULL;
		node_start(&nodes[i]);
	}
	node_add(&nodes[0], &nodes[1], public_keys[0]);
	node_add(&nodes[1], &nodes[0], public_keys[0]);
	ck_assert(is_reached(&nodes[0], &nodes[1]));
	ck_assert(is_reached(&nodes[1], &nodes[0]));
	nodes_stop();
}
END_TEST

static uint64_t bytes_sent(const struct node *node)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < MESSAGE_PRIORITIES; i++)
		sum += node->transport->counters.bytes_sent[i];
	return sum;
}

static void budget_spend(struct node *node)
{
	struct token_bucket *bucket = &node->transport->bucket;
	int64_t now_ns = clock_now_ns(clock_system());

	bucket->tokens = 0;
	bucket->updated_ns = now_ns;
}

START_TEST(budget_is_held) {
	int64_t begin_ns = clock_now_ns(clock_system());
	uint64_t allowed;

	pair_start(BUDGET);
	pair_connect();
	for (size_t i = 0; i < 40; i++) {
		for (size_t j = 0; j < 20; j++)
			node_send(&nodes[0], &nodes[1], 1, 500,
				  MESSAGE_PRIORITY_RECORDS);
		loop_run(&nodes[1], SIZE_MAX, 50);
	}
	allowed = TRANSPORT_BURST_BYTES +
		  (uint64_t)((clock_now_ns(clock_system()) - begin_ns) *
			     BUDGET / NS_PER_S);
	ck_assert_uint_le(bytes_sent(&nodes[0]), allowed);
	/* The budget is also used up, but for one message and one timer. */
	ck_assert_uint_gt(bytes_sent(&nodes[0]), allowed - 1500);
	ck_assert_uint_gt(
		nodes[0].transport->counters.dropped[MESSAGE_PRIORITY_RECORDS],
		0);
	nodes_stop();
}
END_TEST

START_TEST(higher_priorities_go_first) {
	pair_start(2 * BUDGET);
	pair_connect();
	budget_spend(&nodes[0]);
	for (int i = MESSAGE_PRIORITIES - 1; i >= 0; i--)
		node_send(&nodes[0], &nodes[1], (uint8_t)i, 1000,
			  (enum message_priority)i);
	loop_run(&nodes[1], MESSAGE_PRIORITIES, 5000);
	ck_assert_uint_eq(nodes[1].received, MESSAGE_PRIORITIES);
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		ck_assert_uint_eq(nodes[1].first_bytes[i], i);
	nodes_stop();
}
END_TEST

START_TEST(record_passes_between_fragments) {
	pair_start(2 * BUDGET);
	pair_connect();
	budget_spend(&nodes[0]);
	node_send(&nodes[0], &nodes[1], 3, 100000, MESSAGE_PRIORITY_REVISION);
	loop_run(&nodes[1], 1, 1000);
	node_send(&nodes[0], &nodes[1], 1, 100, MESSAGE_PRIORITY_RECORDS);
	loop_run(&nodes[1], 1, 1000);
	ck_assert_uint_eq(nodes[1].received, 1);
	ck_assert_uint_eq(nodes[1].first_bytes[0], 1);
	nodes_stop();
}
END_TEST

START_TEST(heartbeat_is_never_starved) {
	pair_start(1);
	pair_connect();
	budget_spend(&nodes[0]);
	for (size_t i = 0; i < 20; i++)
		node_send(&nodes[0], &nodes[1], 1, 500,
			  MESSAGE_PRIORITY_RECORDS);
	node_send(&nodes[0], &nodes[1], 0, 30, MESSAGE_PRIORITY_HEARTBEAT);
	loop_run(&nodes[1], 1, 300);
	ck_assert_uint_eq(nodes[1].received, 1);
	ck_assert_uint_eq(nodes[1].first_bytes[0], 0);
	ck_assert_uint_eq(transport_budget_bytes(nodes[0].transport), 0);
	nodes_stop();
}
END_TEST

START_TEST(dead_peer_neither_grows_nor_gets_old_messages) {
	struct transport_peer *peer;

	nodes_prepare();
	nodes[0].budget = UNLIMITED;
	node_start(&nodes[0]);
	node_add(&nodes[0], &nodes[1], nodes[1].public_key);
	peer = g_ptr_array_index(nodes[0].transport->peers, 0);
	for (size_t i = 0; i < 2000; i++) {
		for (unsigned int j = 0; j < MESSAGE_PRIORITIES; j++)
			node_send(&nodes[0], &nodes[1], j, 2000, j);
	}
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		ck_assert_uint_le(peer->queue.bytes[i],
				  2 * PEER_MESSAGE_BYTES_MAX);
	loop_run(&nodes[0], 1, 3600);
	ck_assert(send_queue_is_empty(&peer->queue));
	node_start(&nodes[1]);
	node_add(&nodes[1], &nodes[0], nodes[0].public_key);
	ck_assert(is_reached(&nodes[0], &nodes[1]));
	ck_assert_uint_eq(nodes[1].received, 1);
	ck_assert_uint_eq(nodes[1].last_length, 1);
	nodes_stop();
}
END_TEST

/* What waited in the sockets of a paused process may be an hour old. */
START_TEST(messages_from_before_a_pause_are_dropped) {
	pair_start(UNLIMITED);
	pair_connect();
	/* Without room in the budget these wait in the queue of node 1. */
	budget_spend(&nodes[1]);
	nodes[1].transport->bucket.rate_per_s = 0;
	node_send(&nodes[1], &nodes[0], 1, 10, MESSAGE_PRIORITY_RECORDS);
	for (size_t i = 0; i < 20; i++)
		node_send(&nodes[0], &nodes[1], 1, 10,
			  MESSAGE_PRIORITY_RECORDS);
	nodes[1].clock_ahead_s = 3600;
	loop_run(&nodes[1], 1, 900);
	ck_assert_uint_eq(nodes[1].received, 0);
	ck_assert_uint_gt(nodes[1].transport->counters.discarded, 0);
	ck_assert_uint_eq(
		nodes[1].transport->counters.dropped[MESSAGE_PRIORITY_RECORDS],
		1);
	loop_run(&nodes[1], 1, 200);
	node_send(&nodes[0], &nodes[1], 2, 10, MESSAGE_PRIORITY_RECORDS);
	loop_run(&nodes[1], 1, 1000);
	ck_assert_uint_eq(nodes[1].received, 1);
	ck_assert_uint_eq(nodes[1].first_bytes[0], 2);
	nodes_stop();
}
END_TEST

START_TEST(restarted_peer_is_reached_again) {
	pair_start(BUDGET);
	pair_connect();
	transport_destroy(nodes[1].transport);
	node_start(&nodes[1]);
	node_add(&nodes[1], &nodes[0], nodes[0].public_key);
	ck_assert(is_reached(&nodes[0], &nodes[1]));
	ck_assert(is_reached(&nodes[1], &nodes[0]));
	nodes_stop();
}
END_TEST

START_TEST(port_in_use_and_bad_keys_are_reported) {
	struct transport_options options = {
		.address = "127.0.0.1",
		.clock = clock_system(),
	};
	struct error error = { 0 };

	pair_start(BUDGET);
	options.port = nodes[1].port;
	options.public_key = nodes[0].public_key;
	options.secret_key = nodes[0].secret_key;
	ck_assert_ptr_null(transport_create(&options, &error));
	ck_assert_int_eq(error.kind, ERROR_ADDRESS_IN_USE);
	options.public_key = "short";
	ck_assert_ptr_null(transport_create(&options, &error));
	ck_assert_int_eq(error.kind, ERROR_SETTINGS);
	ck_assert(!transport_add_peer(nodes[0].transport, 9, "127.0.0.1", 1,
				      "short", &error));
	ck_assert_int_eq(error.kind, ERROR_SETTINGS);
	nodes_stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("transport");
	TCase *tests = tcase_create("loopback");

	tcase_add_loop_test(tests, message_of_any_length_arrives, 0,
			    G_N_ELEMENTS(lengths));
	tcase_add_test(tests, stranger_is_refused_and_counted);
	tcase_add_test(tests, member_cannot_speak_for_another);
	tcase_add_loop_test(tests, both_keys_are_accepted_in_rotation, 0, 4);
	tcase_add_test(tests, budget_is_held);
	tcase_add_test(tests, higher_priorities_go_first);
	tcase_add_test(tests, record_passes_between_fragments);
	tcase_add_test(tests, heartbeat_is_never_starved);
	tcase_add_test(tests, dead_peer_neither_grows_nor_gets_old_messages);
	tcase_add_test(tests, messages_from_before_a_pause_are_dropped);
	tcase_add_test(tests, restarted_peer_is_reached_again);
	tcase_add_test(tests, port_in_use_and_bad_keys_are_reported);
	tcase_set_timeout(tests, 60);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
