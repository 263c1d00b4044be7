/*
 * Figures of the decision core: imbalance, exceptions, passes, record bytes,
 * memory and time of a decision, for the product and both baselines. Prints
 * lines "figure NAME VALUE UNIT".
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "fixture.h"

#define HOSTS 14
#define FLOWS 28000
#define TURNOVERS 4
#define MEMBERS 8
/* New flows/s a balancer: one for record traffic, one for imbalance. */
#define HIGH_RATE 2000
#define LOW_RATE 100
#define DECISIONS 4000000

struct bench_flow {
	uint32_t number;
	uint32_t host_id;
	bool is_broken;
};

struct bench {
	struct cluster cluster;
	struct fixture fixture;
	struct fixture_service *service;
	struct bench_flow *flows; /* FLOWS slots */
	uint32_t next_number;
	uint32_t rate; /* new flows/s a balancer */
	uint64_t syns;
	uint64_t placed;
	uint64_t packets;
	uint64_t broken;
	uint64_t dropped;
};

static void figure(const char *prefix, const char *name, double value,
		   const char *unit)
{
	printf("figure %s%s %.5g %s\n", prefix, name, value, unit);
	fflush(stdout);
}

static void on_action(void *context, uint32_t slot,
		      const struct packet_facts *facts, int member,
		      const struct core_action *action)
{
	struct bench *bench = context;
	struct bench_flow *flow = &bench->flows[slot];

	bench->packets++;
	if (action->kind != CORE_FORWARD) {
		bench->dropped++;
		return;
	}
	if (facts->tcp_flags & TCP_FLAG_SYN) {
		bench->syns++;
		bench->placed += action->reason == CORE_REASON_OWNER_PLACED;
		flow->host_id = action->host->id;
		return;
	}
	if (!(facts->tcp_flags & TCP_FLAG_FIN) && !flow->is_broken &&
	    flow->host_id != 0 && flow->host_id != action->host->id) {
		flow->is_broken = true;
		bench->broken++;
	}
}

static void packet_send(struct bench *bench, uint32_t slot, uint8_t flags)
{
	struct packet_facts facts = fixture_packet(
		bench->service, bench->flows[slot].number, flags);

	cluster_packet(&bench->cluster,
		       (int)random_below(&bench->cluster.random, MEMBERS), slot,
		       &facts, 0);
}

static void flow_replace(struct bench *bench, uint32_t slot)
{
	struct bench_flow *flow = &bench->flows[slot];

	if (flow->number != 0) {
		packet_send(bench, slot, TCP_FLAG_FIN | TCP_FLAG_ACK);
		cluster_run(&bench->cluster, 0);
	}
	*flow = (struct bench_flow){ .number = ++bench->next_number };
	packet_send(bench, slot, TCP_FLAG_SYN);
}

/* Replaces @count flows, in random order once all slots are used. */
static void flows_turn(struct bench *bench, uint32_t count, bool is_filling)
{
	/* Steps of 10 ms for the high rate, longer ones for the low rate. */
	const uint32_t step = HIGH_RATE * MEMBERS / 100;
	const int64_t step_ns =
		NS_PER_S * step / ((int64_t)bench->rate * MEMBERS);

	for (uint32_t i = 0; i < count; i++) {
		uint32_t slot =
			is_filling
				? i
				: random_below(&bench->cluster.random, FLOWS);

		flow_replace(bench, slot);
		if (i % step == 0)
			cluster_run(&bench->cluster, step_ns);
	}
	cluster_run(&bench->cluster, NS_PER_S / 10);
}

static double imbalance(const struct bench *bench)
{
	GHashTable *counts = g_hash_table_new(g_direct_hash, g_direct_equal);
	uint32_t highest = 0;
	uint32_t total = 0;
	double result;

	for (uint32_t i = 0; i < FLOWS; i++) {
		gpointer key = GUINT_TO_POINTER(bench->flows[i].host_id);
		uint32_t count;

		if (bench->flows[i].host_id == 0)
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key)) + 1;
		g_hash_table_insert(counts, key, GUINT_TO_POINTER(count));
		highest = MAX(highest, count);
		total++;
	}
	result = total ? (double)highest * bench->service->host_count / total
		       : 0;
	g_hash_table_destroy(counts);
	return result;
}

static void publish(struct bench *bench)
{
	struct configuration *configuration = fixture_build(&bench->fixture);

	for (int i = 0; i < MEMBERS; i++)
		cluster_configure(&bench->cluster, i, configuration,
				  (i + 1) * 50 * NS_PER_MS);
}

/* One packet of each flow, to find those that no longer reach their host. */
static void flows_probe(struct bench *bench)
{
	for (uint32_t i = 0; i < FLOWS; i++) {
		packet_send(bench, i, TCP_FLAG_ACK);
		if (i % 100 == 0)
			cluster_run(&bench->cluster, NS_PER_MS);
	}
	cluster_run(&bench->cluster, NS_PER_S / 10);
}

static uint64_t bytes_sent(const struct bench *bench,
			   enum message_priority priority)
{
	uint64_t bytes = 0;

	for (int i = 0; i < MEMBERS; i++)
		bytes += bench->cluster.members[i].sent_bytes[priority];
	return bytes;
}

static void bench_start(struct bench *bench, enum spread_policy spread,
			enum core_placement_mode mode)
{
	const struct cluster_options options = {
		.member_count = MEMBERS,
		.zone_count = 3,
		.seed = 1,
		.rules = CORE_RULES_ALL,
		.delay_max_ns = 5 * NS_PER_MS,
		.exceptions_max = 1000000,
		.placement_mode = mode,
		.on_action = on_action,
		.context = bench,
	};

	memset(bench, 0, sizeof(*bench));
	bench->flows = g_new0(struct bench_flow, FLOWS);
	bench->service =
		fixture_add_service(&bench->fixture, "examen", spread, HOSTS);
	cluster_init(&bench->cluster, &options);
	for (int i = 0; i < MEMBERS; i++)
		cluster_start(&bench->cluster, i);
	publish(bench);
	cluster_run(&bench->cluster, 10 * NS_PER_S);
}

static void bench_end(struct bench *bench)
{
	cluster_clear(&bench->cluster);
	g_free(bench->flows);
}

/* Drains two hosts, adds two, and removes the drained ones when empty. */
static void hosts_replace(struct bench *bench)
{
	fixture_host(bench->service, 2)->state = HOST_DRAINING;
	fixture_host(bench->service, 7)->state = HOST_DRAINING;
	bench->service->hosts[bench->service->host_count++] =
		(struct fixture_host){ .number = HOSTS };
	bench->service->hosts[bench->service->host_count++] =
		(struct fixture_host){ .number = HOSTS + 1 };
	publish(bench);
	cluster_run(&bench->cluster, 2 * NS_PER_S);
}

static void workload_print(struct bench *bench, const char *prefix,
			   uint64_t record_bytes, int64_t elapsed_ns)
{
	figure(prefix, "exceptions_share",
	       (double)bench->placed / (double)bench->syns, "1");
	figure(prefix, "passed_on_share",
	       (double)bench->cluster.passes / (double)bench->packets, "1");
	figure(prefix, "record_bytes_per_s",
	       (double)record_bytes / MEMBERS / ((double)elapsed_ns / NS_PER_S),
	       "B/s");
}

static void workload_run(const char *prefix, enum spread_policy spread,
			 enum core_placement_mode mode, uint32_t rate)
{
	struct bench *bench = g_new0(struct bench, 1);
	uint64_t bytes;
	uint64_t broken;
	int64_t began_ns;

	bench_start(bench, spread, mode);
	bench->rate = rate;
	bytes = bytes_sent(bench, MESSAGE_PRIORITY_RECORDS);
	began_ns = bench->cluster.clock.now_ns;
	flows_turn(bench, FLOWS, true);
	flows_turn(bench, TURNOVERS * FLOWS, false);
	figure(prefix, "imbalance", imbalance(bench), "1");
	workload_print(bench, prefix,
		       bytes_sent(bench, MESSAGE_PRIORITY_RECORDS) - bytes,
		       bench->cluster.clock.now_ns - began_ns);
	flows_probe(bench);
	broken = bench->broken;
	hosts_replace(bench);
	flows_probe(bench);
	figure(prefix, "broken_flows_hosts_changed",
	       (double)(bench->broken - broken), "flows");
	bytes = bytes_sent(bench, MESSAGE_PRIORITY_RECORDS);
	began_ns = bench->cluster.clock.now_ns;
	flows_turn(bench, TURNOVERS * FLOWS, false);
	figure(prefix, "record_bytes_per_s_hosts_replaced",
	       (double)(bytes_sent(bench, MESSAGE_PRIORITY_RECORDS) - bytes) /
		       MEMBERS /
		       ((double)(bench->cluster.clock.now_ns - began_ns) /
			NS_PER_S),
	       "B/s");
	fixture_remove_host(bench->service, 2);
	fixture_remove_host(bench->service, 7);
	/* The bench model keeps the few flows left on the drained hosts. */
	figure(prefix, "imbalance_hosts_replaced", imbalance(bench), "1");
	figure(prefix, "dropped_share",
	       (double)bench->dropped / (double)bench->packets, "1");
	bench_end(bench);
	g_free(bench);
}

static void memory_print(void)
{
	struct flow_table *flows = flow_table_create(1000000);
	uint32_t count = 300000;

	for (uint32_t i = 0; i < count; i++)
		flow_table_add(flows, i * UINT64_C(0x9e3779b97f4a7c15), 1);
	figure("", "flow_bytes", (double)flow_table_bytes(flows) / count, "B");
	flow_table_destroy(flows);
}

static void decision_time_print(const char *prefix,
				enum core_placement_mode mode)
{
	struct bench *bench = g_new0(struct bench, 1);
	struct packet_facts *facts = g_new(struct packet_facts, 4096);
	struct core *core;
	struct core_action action;
	int64_t began_ns;
	uint64_t forwarded = 0;

	bench_start(bench, SPREAD_FEWEST_MOVES, mode);
	for (uint32_t i = 0; i < 4096; i++)
		facts[i] =
			fixture_packet(bench->service, i * 7919, TCP_FLAG_ACK);
	core = bench->cluster.members[0].core;
	/* The real clock is read for each packet, as in the product. */
	core->options.clock = clock_system();
	core_tick(core);
	core_tick(core);
	began_ns = clock_now_ns(clock_system());
	core->ticked_ns = began_ns + NS_PER_S * 3600;
	core->suspect_until_ns = 0;
	for (size_t i = 0; i < core->view->member_count; i++)
		core->view->members[i].lease_until_ns = INT64_MAX;
	for (uint32_t i = 0; i < DECISIONS; i++) {
		core_handle_packet(core, &facts[i % 4096], 0, 0, &action);
		forwarded += action.kind == CORE_FORWARD;
	}
	figure(prefix, "decision_ns",
	       (double)(clock_now_ns(clock_system()) - began_ns) / DECISIONS,
	       "ns");
	figure(prefix, "decision_forwarded_share",
	       (double)forwarded / DECISIONS, "1");
	bench_end(bench);
	g_free(facts);
	g_free(bench);
}

int main(void)
{
	workload_run("even_", SPREAD_EVEN_LOAD, CORE_PLACEMENT_EXCEPTIONS,
		     LOW_RATE);
	workload_run("even_high_rate_", SPREAD_EVEN_LOAD,
		     CORE_PLACEMENT_EXCEPTIONS, HIGH_RATE);
	workload_run("fewest_", SPREAD_FEWEST_MOVES, CORE_PLACEMENT_EXCEPTIONS,
		     LOW_RATE);
	workload_run("fewest_high_rate_", SPREAD_FEWEST_MOVES,
		     CORE_PLACEMENT_EXCEPTIONS, HIGH_RATE);
	workload_run("table_only_", SPREAD_FEWEST_MOVES,
		     CORE_PLACEMENT_TABLE_ONLY, HIGH_RATE);
	workload_run("owner_only_", SPREAD_EVEN_LOAD, CORE_PLACEMENT_OWNER_ONLY,
		     HIGH_RATE);
	memory_print();
	decision_time_print("", CORE_PLACEMENT_EXCEPTIONS);
	decision_time_print("table_only_", CORE_PLACEMENT_TABLE_ONLY);
	decision_time_print("owner_only_", CORE_PLACEMENT_OWNER_ONLY);
	return EXIT_SUCCESS;
}
