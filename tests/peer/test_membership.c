/*
 * Guards against false failures, late detection, and a member that believes an
 * old view: after a pause, a restart or a cut in one direction.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "member_network.h"
#include "peer/membership_state.h"
#include "suite.h"

#define MEMBERS 8
#define MINUTE_MS 60000
#define HOUR_MS 3600000

static struct member_network *network_active(size_t count, uint64_t seed)
{
	struct member_network *network = member_network_create(count, seed);

	member_network_run(network, 2000);
	member_network_activate(network);
	member_network_run(network, 1000);
	return network;
}

static uint64_t failures_count(const struct member_network *network)
{
	uint64_t failures = 0;

	for (size_t i = 0; i < network->count; i++)
		failures += network->nodes[i].membership->failures;
	return failures;
}

START_TEST(members_find_each_other) {
	struct member_network *network = member_network_create(MEMBERS, 1);

	/* A process that starts must not own anything before it has heard. */
	ck_assert(membership_view(network->nodes[0].membership)->is_rejoining);
	member_network_activate(network);
	member_network_run(network, 2000);
	for (size_t i = 0; i < MEMBERS; i++) {
		const struct member_view *view =
			membership_view(network->nodes[i].membership);

		ck_assert(!view->is_rejoining);
		ck_assert_uint_eq(view->member_count, MEMBERS);
		ck_assert_int_eq(view->members[view->self].state,
				 MEMBER_JOINING);
		for (size_t j = 1; j < MEMBERS; j++)
			ck_assert_uint_lt(view->members[j - 1].id,
					  view->members[j].id);
	}
	member_network_activate(network);
	member_network_run(network, 20);
	for (size_t i = 0; i < MEMBERS * MEMBERS; i++)
		ck_assert_int_eq(
			member_network_find(network, i / MEMBERS, i % MEMBERS)
				->state,
			MEMBER_ACTIVE);
	member_network_destroy(network);
}
END_TEST

START_TEST(member_that_hears_nobody_is_alone) {
	struct member_network *network = member_network_create(3, 1);

	member_network_kill(network, 1);
	member_network_kill(network, 2);
	member_network_run(network, 2900);
	ck_assert(membership_view(network->nodes[0].membership)->is_rejoining);
	member_network_run(network, 300);
	ck_assert(!membership_view(network->nodes[0].membership)->is_rejoining);
	ck_assert(network->nodes[0].membership->is_cut_off);
	member_network_destroy(network);
}
END_TEST

static const struct {
	double loss;
	int64_t delay_ms;
	int64_t jitter_ms;
	int64_t run_ms;
	int64_t detect_max_ms;
} links[] = {
	{ 0, 5, 0, 10 * MINUTE_MS, 2700 },   { 0.02, 5, 2, HOUR_MS, 4500 },
	{ 0, 5, 400, HOUR_MS, 6000 },	     { 0.02, 300, 50, HOUR_MS, 5500 },
	{ 0.1, 5, 5, 10 * MINUTE_MS, 8200 },
};

START_TEST(link_gives_no_false_failure) {
	for (uint64_t seed = 1; seed <= 3; seed++) {
		struct member_network *network = network_active(MEMBERS, seed);

		network->loss = links[_i].loss;
		network->delay_ms = links[_i].delay_ms;
		network->jitter_ms = links[_i].jitter_ms;
		member_network_run(network, links[_i].run_ms);
		ck_assert_uint_eq(failures_count(network), 0);
		member_network_destroy(network);
	}
}
END_TEST

/* Returns how long it took until nobody has @victim in view. */
static int64_t detection_ms(struct member_network *network, size_t victim)
{
	int64_t waited_ms = 0;
	bool is_seen = true;

	while (is_seen && waited_ms < 2L * FAILURE_TIMEOUT_MAX_MS) {
		member_network_run(network, 10);
		waited_ms += 10;
		is_seen = false;
		for (size_t i = 0; i < network->count; i++)
			is_seen |= i != victim &&
				   member_network_find(network, i, victim);
	}
	return waited_ms;
}

START_TEST(dead_member_is_detected) {
	struct member_network *network = network_active(MEMBERS, 1);
	int64_t waited_ms;

	network->loss = links[_i].loss;
	network->delay_ms = links[_i].delay_ms;
	network->jitter_ms = links[_i].jitter_ms;
	member_network_run(network, 10L * MINUTE_MS);
	member_network_kill(network, 3);
	waited_ms = detection_ms(network, 3);
	printf("loss %.2f, delay %d ms, jitter %d ms: detected by all in %d ms\n",
	       links[_i].loss, (int)links[_i].delay_ms,
	       (int)links[_i].jitter_ms, (int)waited_ms);
	ck_assert_int_le(waited_ms, links[_i].detect_max_ms);
	ck_assert_int_ge(waited_ms,
			 FAILURE_TIMEOUT_MIN_MS - HEARTBEAT_INTERVAL_MS);
	member_network_destroy(network);
}
END_TEST

static const struct {
	int64_t pause_ms;
	bool is_rejoining;
} pauses[] = {
	{ 800, false },
	{ 1200, true },
	{ 5000, true },
	{ HOUR_MS, true },
};

START_TEST(woken_member_does_not_believe_its_view) {
	struct member_network *network = network_active(MEMBERS, 1);
	struct network_node *node = &network->nodes[2];
	const struct member_view *view;

	node->is_paused = true;
	member_network_run(network, pauses[_i].pause_ms);
	node->is_paused = false;
	membership_tick(node->membership);
	view = membership_view(node->membership);
	ck_assert_int_eq(view->is_rejoining, pauses[_i].is_rejoining);
	ck_assert_uint_eq(view->members[view->self].incarnation,
			  100 + pauses[_i].is_rejoining);
	ck_assert_int_eq(view->members[view->self].state,
			 pauses[_i].is_rejoining ? MEMBER_JOINING
						 : MEMBER_ACTIVE);
	for (size_t i = 0; i < MEMBERS; i++) {
		const struct member *member = &view->members[i];

		if (pauses[_i].is_rejoining && i != view->self)
			ck_assert_int_eq(member->lease_until_ns, 0);
	}
	/* The heartbeats that waited acknowledge the old incarnation only. */
	member_network_run(network, 1000);
	member_network_activate(network);
	member_network_run(network, 20);
	ck_assert(!membership_view(node->membership)->is_rejoining);
	for (size_t i = 0; i < MEMBERS; i++)
		ck_assert_int_eq(member_network_find(network, i, 2)->state,
				 MEMBER_ACTIVE);
	member_network_destroy(network);
}
END_TEST

START_TEST(old_acknowledgement_gives_no_lease) {
	struct member_network *network = network_active(2, 1);
	struct membership *membership = network->nodes[0].membership;
	const struct peer *peer = &membership->peers[0];
	struct heartbeat heartbeat = {
		.sequence = peer->link.sequence + 1,
		.acknowledged = peer->sent_sequence,
		.incarnation = 100,
		.addressee_incarnation = 100,
		.state = MEMBER_ACTIVE,
		.zone = 1,
	};

	/* A heartbeat can be read before the first tick after a pause. */
	network->clock.now_ns += 1200 * NS_PER_MS;
	membership_handle(membership, member_network_id(1), &heartbeat);
	ck_assert(membership_view(membership)->is_rejoining);
	ck_assert_int_eq(peer->lease_until_ns, 0);
	ck_assert(!peer->has_acknowledged);
	/* Nothing was sent with the new incarnation yet. */
	heartbeat.sequence++;
	heartbeat.addressee_incarnation = 101;
	membership_handle(membership, member_network_id(1), &heartbeat);
	ck_assert_int_eq(peer->lease_until_ns, 0);
	heartbeat.sequence++;
	membership_tick(membership);
	heartbeat.acknowledged = peer->sent_sequence;
	membership_handle(membership, member_network_id(1), &heartbeat);
	ck_assert_int_eq(peer->lease_until_ns,
			 network->clock.now_ns + LEASE_MS * NS_PER_MS);
	member_network_destroy(network);
}
END_TEST

START_TEST(cut_in_one_direction_ends_the_lease) {
	struct member_network *network = network_active(3, 1);
	const struct member *member;

	member_network_cut(network, 0, 1, true);
	member_network_run(network, 5000);
	ck_assert_ptr_null(member_network_find(network, 1, 0));
	/* Dropping the deaf peer would let both ends own the same shards. */
	member = member_network_find(network, 0, 1);
	ck_assert_ptr_nonnull(member);
	ck_assert_int_lt(member->lease_until_ns, network->clock.now_ns);
	member_network_cut(network, 0, 1, false);
	member_network_run(network, 1500);
	ck_assert_ptr_nonnull(member_network_find(network, 1, 0));
	ck_assert_int_gt(member_network_find(network, 0, 1)->lease_until_ns,
			 network->clock.now_ns);
	member_network_destroy(network);
}
END_TEST

static const uint32_t restarts[] = { 101, 5000, 100, 7 };

START_TEST(restarted_member_is_known_by_a_greater_incarnation) {
	struct member_network *network = network_active(3, 1);
	uint64_t version =
		membership_view(network->nodes[0].membership)->version;

	member_network_kill(network, 1);
	member_network_run(network, 300);
	/* Also with the same or a lower one, after the clock was set back. */
	member_network_start(network, 1, restarts[_i]);
	member_network_run(network, 3000);
	ck_assert_uint_gt(member_network_find(network, 0, 1)->incarnation, 100);
	ck_assert_int_eq(member_network_find(network, 0, 1)->state,
			 MEMBER_JOINING);
	ck_assert_uint_gt(
		membership_view(network->nodes[0].membership)->version,
		version);
	member_network_activate(network);
	member_network_run(network, 100);
	ck_assert_int_eq(member_network_find(network, 0, 1)->state,
			 MEMBER_ACTIVE);
	member_network_destroy(network);
}
END_TEST

START_TEST(leaving_member_is_not_a_failure) {
	struct member_network *network = network_active(3, 1);
	struct membership *other = network->nodes[0].membership;

	membership_set_listed(other, member_network_id(1), true);
	membership_leave(network->nodes[1].membership);
	member_network_run(network, 20);
	ck_assert_int_eq(member_network_find(network, 0, 1)->state,
			 MEMBER_LEAVING);
	member_network_kill(network, 1);
	member_network_run(network, 5000);
	ck_assert_ptr_null(member_network_find(network, 0, 1));
	ck_assert_uint_eq(other->failures, 0);
	ck_assert(!membership_view(other)->is_partial);
	member_network_destroy(network);
}
END_TEST

START_TEST(platform_list_is_only_a_hint) {
	struct member_network *network = network_active(3, 1);
	struct membership *membership = network->nodes[0].membership;

	/* A member that is heard stays, listed or not. */
	membership_set_listed(membership, member_network_id(1), true);
	membership_set_listed(membership, member_network_id(1), false);
	membership_set_listed(membership, member_network_id(2), true);
	member_network_run(network, 500);
	ck_assert_uint_eq(membership_view(membership)->member_count, 3);
	ck_assert(!membership_view(membership)->is_partial);
	/* One that is listed but not heard is missed, and is no member. */
	member_network_kill(network, 2);
	member_network_run(network, 5000);
	ck_assert_uint_eq(membership_view(membership)->member_count, 2);
	ck_assert(membership_view(membership)->is_partial);
	membership_set_listed(membership, member_network_id(2), false);
	membership_set_listed(membership, 77, true);
	member_network_run(network, 200);
	ck_assert_uint_eq(membership_view(membership)->member_count, 2);
	ck_assert(membership_view(membership)->is_partial);
	member_network_destroy(network);
}
END_TEST

/*
 * While a member acts on a lease, the peer that granted it must not have
 * dropped the member, whatever is lost, cut, paused or restarted.
 */
static void lease_check(const struct member_network *network, size_t from,
			size_t to)
{
	const struct network_node *peer = &network->nodes[to];
	const struct member *member;

	if (!network->nodes[from].membership || !peer->membership ||
	    membership_view(peer->membership)->is_rejoining)
		return;
	member = member_network_find(network, from, to);
	if (!member || member->lease_until_ns < network->clock.now_ns)
		return;
	ck_assert_ptr_nonnull(member_network_find(network, to, from));
}

static void disturb(struct member_network *network, uint32_t *incarnation)
{
	size_t node = (size_t)(member_network_random(network) * 4);
	size_t other = (size_t)(member_network_random(network) * 4);

	switch ((int)(member_network_random(network) * 6)) {
	case 0:
		network->nodes[node].is_paused ^= true;
		break;
	case 1:
		member_network_kill(network, node);
		break;
	case 2:
		if (!network->nodes[node].membership)
			member_network_start(network, node, ++*incarnation);
		break;
	default:
		member_network_cut(
			network, node, other,
			!network->is_cut[node * network->count + other]);
		break;
	}
}

START_TEST(lease_is_never_held_against_a_peer_that_took_over) {
	struct member_network *network = network_active(4, (uint64_t)_i);
	uint32_t incarnation = 1000;

	/* Clean links have the shortest timeouts, once they are known. */
	if (_i % 2 == 0)
		member_network_run(network, 10L * MINUTE_MS);
	network->loss = _i % 2 ? 0.05 : 0;
	network->jitter_ms = _i % 2 ? 300 : 0;
	for (int64_t ms = 0; ms < 10L * MINUTE_MS; ms += 10) {
		member_network_run(network, 10);
		if (member_network_random(network) < 0.01)
			disturb(network, &incarnation);
		for (size_t i = 0; i < 16; i++)
			lease_check(network, i / 4, i % 4);
	}
	member_network_destroy(network);
}
END_TEST

/* Guards against members of JSON objects that are left open. */
START_TEST(state_is_printed_as_json) {
	struct member_network *network = network_active(3, 1);
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	JsonObject *object;

	json_builder_begin_object(builder);
	membership_print_json(network->nodes[0].membership, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	ck_assert_ptr_nonnull(root);
	object = json_node_get_object(root);
	ck_assert_str_eq(json_object_get_string_member(object, "state"),
			 "active");
	ck_assert_uint_eq(json_array_get_length(json_object_get_array_member(
				  object, "peers")),
			  2);
	json_node_unref(root);
	g_object_unref(builder);
	member_network_destroy(network);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tests = tcase_create("manual clock");

	tcase_add_test(tests, members_find_each_other);
	tcase_add_test(tests, member_that_hears_nobody_is_alone);
	tcase_add_loop_test(tests, link_gives_no_false_failure, 0,
			    G_N_ELEMENTS(links));
	tcase_add_loop_test(tests, dead_member_is_detected, 0,
			    G_N_ELEMENTS(links));
	tcase_add_loop_test(tests, woken_member_does_not_believe_its_view, 0,
			    G_N_ELEMENTS(pauses));
	tcase_add_test(tests, old_acknowledgement_gives_no_lease);
	tcase_add_test(tests, cut_in_one_direction_ends_the_lease);
	tcase_add_loop_test(tests,
			    restarted_member_is_known_by_a_greater_incarnation,
			    0, G_N_ELEMENTS(restarts));
	tcase_add_test(tests, leaving_member_is_not_a_failure);
	tcase_add_test(tests, platform_list_is_only_a_hint);
	tcase_add_loop_test(
		tests, lease_is_never_held_against_a_peer_that_took_over, 1, 6);
	tcase_add_test(tests, state_is_printed_as_json);
	tcase_set_timeout(tests, 100);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
