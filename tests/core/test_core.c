/*
 * Single rules of the core: guards against decisions that a random run meets
 * too rarely. Rules with a switch are also shown to fail without it.
 */

#include <check.h>
#include <stdlib.h>

#include "cluster.h"
#include "fixture.h"
#include "suite.h"

#define FLOWS 400

static struct cluster cluster;
static struct fixture fixture;
static struct fixture_service *service;
static GPtrArray *revisions;
static uint32_t outcomes[CORE_ACTIONS];
static uint32_t reasons[CORE_REASONS];
static const char *forbidden_host; /* SYNs forwarded to it are counted */
static uint32_t forbidden;

static void on_action(void *context, uint32_t flow,
		      const struct packet_facts *facts, int member,
		      const struct core_action *action)
{
	outcomes[action->kind]++;
	reasons[action->reason]++;
	/* Member 0 has every revision; others may not have learned it. */
	if (action->kind == CORE_FORWARD && forbidden_host && member == 0 &&
	    (facts->tcp_flags & TCP_FLAG_SYN) &&
	    g_strcmp0(action->host->name, forbidden_host) == 0)
		forbidden++;
}

static void counts_reset(void)
{
	memset(outcomes, 0, sizeof(outcomes));
	memset(reasons, 0, sizeof(reasons));
	forbidden = 0;
}

static struct configuration *revision_next(void)
{
	struct configuration *configuration = fixture_build(&fixture);

	g_ptr_array_add(revisions, configuration);
	return configuration;
}

static void publish(int member_count)
{
	struct configuration *configuration = revision_next();

	for (int i = 0; i < member_count; i++)
		cluster_configure(&cluster, i, configuration, 0);
}

static void start(int member_count, enum spread_policy spread,
		  unsigned int rules, uint32_t exceptions_max)
{
	const struct cluster_options options = {
		.member_count = member_count,
		.zone_count = 3,
		.seed = 1,
		.rules = rules,
		.delay_max_ns = 5 * NS_PER_MS,
		.exceptions_max = exceptions_max,
		.on_action = on_action,
	};

	fixture = (struct fixture){ 0 };
	revisions = g_ptr_array_new();
	service = fixture_add_service(&fixture, "examen", spread, 4);
	cluster_init(&cluster, &options);
	for (int i = 0; i < member_count; i++)
		cluster_start(&cluster, i);
	publish(member_count);
	forbidden_host = NULL;
}

static void finish(void)
{
	cluster_clear(&cluster);
	for (guint i = 0; i < revisions->len; i++)
		fixture_destroy_revision(revisions->pdata[i]);
	g_ptr_array_free(revisions, TRUE);
}

static void packets_send(int member, uint32_t first, uint32_t count,
			 uint8_t flags)
{
	for (uint32_t i = first; i < first + count; i++) {
		struct packet_facts facts = fixture_packet(service, i, flags);

		cluster_packet(&cluster, member, i, &facts, 0);
	}
	cluster_run(&cluster, 100 * NS_PER_MS);
}

START_TEST(lone_member_serves_after_the_cold_start) {
	start(1, SPREAD_EVEN_LOAD, CORE_RULES_ALL, 1000);
	cluster_run(&cluster, 2 * NS_PER_S);
	ck_assert(!core_is_synchronized(cluster.members[0].core));
	cluster_run(&cluster, NS_PER_S);
	ck_assert(core_is_synchronized(cluster.members[0].core));
	counts_reset();
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	ck_assert_uint_eq(outcomes[CORE_FORWARD], FLOWS);
	finish();
}
END_TEST

START_TEST(joining_all_at_once_ends_in_bounded_time) {
	start(6, SPREAD_EVEN_LOAD, CORE_RULES_ALL, 1000);
	ck_assert(cluster_settle(&cluster, 6 * NS_PER_S));
	finish();
}
END_TEST

START_TEST(lapsed_lease_stops_the_owner) {
	unsigned int rules = _i ? CORE_RULES_ALL
				: CORE_RULES_ALL & ~CORE_RULE_LEASE;
	struct core *core;

	start(2, SPREAD_EVEN_LOAD, rules, 1000);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	core = cluster.members[0].core;
	for (size_t i = 0; i < core->view->member_count; i++)
		core->view->members[i].lease_until_ns = cluster.clock.now_ns;
	counts_reset();
	for (uint32_t i = 1; i <= FLOWS; i++) {
		struct packet_facts facts =
			fixture_packet(service, i, TCP_FLAG_SYN);
		struct core_action action;

		core_handle_packet(core, &facts, 0, 0, &action);
		reasons[action.reason]++;
	}
	if (_i) {
		ck_assert_uint_gt(reasons[CORE_REASON_NO_OWNER], 0);
		ck_assert_uint_eq(reasons[CORE_REASON_OWNER_BASE], 0);
	} else {
		ck_assert_uint_gt(reasons[CORE_REASON_OWNER_BASE], 0);
	}
	finish();
}
END_TEST

/* The other member never gets the revision, so the map stays uncommitted. */
START_TEST(drain_is_cut_off_without_a_commit) {
	unsigned int rules = _i ? CORE_RULES_ALL
				: CORE_RULES_ALL & ~CORE_RULE_DRAIN_CUT_OFF;

	start(2, SPREAD_FEWEST_MOVES, rules, 1000);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	fixture_host(service, 1)->state = HOST_DRAINING;
	forbidden_host = "h1";
	publish(1);
	counts_reset();
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	ck_assert_uint_gt(forbidden, 0);
	cluster_run(&cluster, 3 * NS_PER_S);
	counts_reset();
	packets_send(0, FLOWS, FLOWS, TCP_FLAG_SYN);
	if (_i)
		ck_assert_uint_eq(forbidden, 0);
	else
		ck_assert_uint_gt(forbidden, 0);
	finish();
}
END_TEST

/* A second service takes over the address while one member lags. */
START_TEST(moved_address_is_quarantined) {
	unsigned int rules = _i ? CORE_RULES_ALL
				: CORE_RULES_ALL & ~CORE_RULE_QUARANTINE;
	struct fixture_service *other;

	start(2, SPREAD_FEWEST_MOVES, rules, 1000);
	other = fixture_add_service(&fixture, "archive", SPREAD_FEWEST_MOVES,
				    2);
	publish(2);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	other->address = service->address;
	service->address = 99;
	publish(1);
	cluster_run(&cluster, 2 * NS_PER_S);
	counts_reset();
	service = other;
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	if (!_i) {
		ck_assert_uint_gt(outcomes[CORE_FORWARD], 0);
		finish();
		return;
	}
	ck_assert_uint_eq(reasons[CORE_REASON_ADDRESS_QUARANTINED], FLOWS);
	cluster_configure(&cluster, 1, revisions->pdata[revisions->len - 1], 0);
	cluster_run(&cluster, 5 * NS_PER_S);
	counts_reset();
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	ck_assert_uint_eq(outcomes[CORE_FORWARD], FLOWS);
	finish();
}
END_TEST

START_TEST(full_table_places_on_base_or_refuses) {
	start(1, SPREAD_FEWEST_MOVES, CORE_RULES_ALL, 10);
	cluster_run(&cluster, 5 * NS_PER_S);
	fixture_host(service, 1)->state = HOST_DRAINING;
	forbidden_host = "h1";
	publish(1);
	cluster_run(&cluster, 5 * NS_PER_S);
	counts_reset();
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	ck_assert_uint_eq(reasons[CORE_REASON_OWNER_PLACED], 10);
	ck_assert_uint_gt(reasons[CORE_REASON_TABLE_FULL], 0);
	ck_assert_uint_eq(outcomes[CORE_FORWARD] + outcomes[CORE_REFUSE],
			  FLOWS);
	ck_assert_uint_eq(forbidden, 0);
	finish();
}
END_TEST

START_TEST(no_accepting_host_refuses) {
	start(1, SPREAD_FEWEST_MOVES, CORE_RULES_ALL, 1000);
	cluster_run(&cluster, 5 * NS_PER_S);
	for (int i = 0; i < service->host_count; i++)
		service->hosts[i].state = HOST_DRAINING;
	publish(1);
	cluster_run(&cluster, 5 * NS_PER_S);
	counts_reset();
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	ck_assert_uint_eq(reasons[CORE_REASON_NO_HOST], FLOWS);
	ck_assert_uint_eq(outcomes[CORE_REFUSE], FLOWS);
	packets_send(0, 1, FLOWS, TCP_FLAG_ACK);
	ck_assert_uint_eq(outcomes[CORE_FORWARD], FLOWS);
	finish();
}
END_TEST

START_TEST(limit_is_shared_by_active_members) {
	start(2, SPREAD_FEWEST_MOVES, CORE_RULES_ALL, 1000);
	service->profile.new_flows_per_second = 100;
	publish(2);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	counts_reset();
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	ck_assert_uint_eq(outcomes[CORE_FORWARD], 50);
	ck_assert_uint_eq(reasons[CORE_REASON_SERVICE_LIMIT], FLOWS - 50);
	ck_assert_uint_eq(outcomes[CORE_REFUSE], FLOWS - 50);
	finish();
}
END_TEST

static int64_t host_flows(const char *name)
{
	const struct core *core = cluster.members[0].core;
	const struct service_state *state =
		service_state_find(core, core->configuration->services[0].id);

	for (size_t i = 0; i < state->host_count; i++) {
		if (g_strcmp0(state->hosts[i]->host->name, name) == 0)
			return state->hosts[i]->total;
	}
	return 0;
}

static const struct rebalance_case {
	enum spread_policy spread;
	bool fills; /* whether new flows go to a host far below its share */
} rebalance_cases[] = {
	{ SPREAD_EVEN_LOAD, true },
	{ SPREAD_FEWEST_MOVES, false },
};

/* Without the opening, a new host gets the new flows of its own buckets. */
START_TEST(new_host_is_filled_if_load_is_to_be_even) {
	const struct rebalance_case *row = &rebalance_cases[_i];

	start(3, row->spread, CORE_RULES_ALL, 10000);
	service->profile.even_load_margin_permille = 10;
	publish(3);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	for (uint32_t i = 0; i < 30; i++)
		packets_send(i % 3, 1 + i * 100, 100, TCP_FLAG_SYN);
	service->hosts[service->host_count++].number = 9;
	publish(3);
	cluster_run(&cluster, 10 * NS_PER_S);
	packets_send(0, 4000, 200, TCP_FLAG_SYN);
	cluster_run(&cluster, 3 * NS_PER_S);
	if (row->fills)
		ck_assert_int_ge(host_flows("h9"), 150);
	else
		ck_assert_int_le(host_flows("h9"), 80);
	finish();
}
END_TEST

START_TEST(dead_members_load_is_dropped) {
	const struct core *core;
	int64_t total = 0;

	start(3, SPREAD_FEWEST_MOVES, CORE_RULES_ALL, 1000);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	packets_send(0, 1, FLOWS, TCP_FLAG_SYN);
	packets_send(1, FLOWS + 1, FLOWS, TCP_FLAG_SYN);
	cluster_run(&cluster, 5 * NS_PER_S);
	core = cluster.members[2].core;
	for (size_t i = 0; i < 4; i++)
		total += service_state_find(core,
					    core->configuration->services[0].id)
				 ->hosts[i]
				 ->total;
	ck_assert_int_ge(total, 2 * FLOWS - 30);
	cluster_kill(&cluster, 0);
	cluster_run(&cluster, 5 * NS_PER_S);
	total = 0;
	for (size_t i = 0; i < 4; i++)
		total += service_state_find(core,
					    core->configuration->services[0].id)
				 ->hosts[i]
				 ->total;
	ck_assert_int_le(total, FLOWS);
	finish();
}
END_TEST

START_TEST(known_udp_flow_stays_and_unknown_one_leaves_a_drained_host) {
	start(1, SPREAD_FEWEST_MOVES, CORE_RULES_ALL, 1000);
	service->protocol = PACKET_PROTOCOL_UDP;
	publish(1);
	cluster_run(&cluster, 5 * NS_PER_S);
	fixture_host(service, 1)->state = HOST_DRAINING;
	publish(1);
	cluster_run(&cluster, 5 * NS_PER_S);
	counts_reset();
	packets_send(0, 1, FLOWS, 0);
	ck_assert_uint_gt(reasons[CORE_REASON_OWNER_PLACED], 0);
	ck_assert_uint_eq(outcomes[CORE_FORWARD], FLOWS);
	packets_send(0, 1, FLOWS, 0);
	ck_assert_uint_eq(reasons[CORE_REASON_RECORD],
			  reasons[CORE_REASON_OWNER_PLACED]);
	finish();
}
END_TEST

START_TEST(odd_input_is_counted_and_changes_nothing) {
	const struct core_message unknown = { .kind = CORE_MESSAGE_KINDS };
	struct packet_facts facts;
	struct core_action action;
	struct core_action explained;
	JsonBuilder *builder = json_builder_new();
	struct core *core;

	start(2, SPREAD_EVEN_LOAD, CORE_RULES_ALL, 1000);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	core = cluster.members[0].core;
	core_handle_message(core, 12345, &unknown);
	ck_assert_uint_eq(core->counters.messages_unknown, 1);
	ck_assert(!core_apply_configuration(core, revisions->pdata[0]));
	facts = fixture_packet(service, 1, TCP_FLAG_ACK);
	facts.key.service_port++;
	core_handle_packet(core, &facts, 0, 0, &action);
	ck_assert_int_eq(action.reason, CORE_REASON_NO_SERVICE);
	for (uint32_t i = 0; i < FLOWS; i++) {
		facts = fixture_packet(service, i, TCP_FLAG_ACK);
		core_explain(core, &facts.key, &explained);
		core_handle_packet(core, &facts, 0, 0, &action);
		ck_assert_int_eq(action.kind, explained.kind);
		ck_assert_int_eq(action.reason, explained.reason);
		core_handle_packet(core, &facts, 4, 1, &action);
		ck_assert_int_ne(action.kind, CORE_PASS_ON);
	}
	json_builder_begin_object(builder);
	core_print_json(core, builder);
	json_builder_end_object(builder);
	g_object_unref(builder);
	finish();
}
END_TEST

START_TEST(leaving_member_hands_over) {
	start(3, SPREAD_EVEN_LOAD, CORE_RULES_ALL, 1000);
	ck_assert(cluster_settle(&cluster, 10 * NS_PER_S));
	ck_assert(!core_has_left(cluster.members[1].core));
	cluster_leave(&cluster, 1);
	cluster_run(&cluster, 3 * NS_PER_S);
	ck_assert(core_has_left(cluster.members[1].core));
	finish();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("core");
	TCase *tests = tcase_create("rules");

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, lone_member_serves_after_the_cold_start);
	tcase_add_test(tests, joining_all_at_once_ends_in_bounded_time);
	tcase_add_loop_test(tests, lapsed_lease_stops_the_owner, 0, 2);
	tcase_add_loop_test(tests, drain_is_cut_off_without_a_commit, 0, 2);
	tcase_add_loop_test(tests, moved_address_is_quarantined, 0, 2);
	tcase_add_test(tests, full_table_places_on_base_or_refuses);
	tcase_add_test(tests, no_accepting_host_refuses);
	tcase_add_test(tests, limit_is_shared_by_active_members);
	tcase_add_loop_test(tests, new_host_is_filled_if_load_is_to_be_even, 0,
			    2);
	tcase_add_test(tests, dead_members_load_is_dropped);
	tcase_add_test(
		tests,
		known_udp_flow_stays_and_unknown_one_leaves_a_drained_host);
	tcase_add_test(tests, odd_input_is_counted_and_changes_nothing);
	tcase_add_test(tests, leaving_member_hands_over);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
