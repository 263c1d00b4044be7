/*
 * Guards against balancers that share one outdated view of the loads and all
 * choose the same host (herd behaviour), and against a choice that leaves some
 * hosts idle, or examines each host for each flow.
 */

#include <check.h>

#include "common/clock.h"
#include "steering/choose.h"
#include "suite.h"

#define HOSTS_MAX 120
#define BALANCERS_MAX 60
#define UPDATE_INTERVAL_MS 500
#define SHORT_FLOW_MS 40
/* Slots and queue of a host. */
#define REQUESTS_MAX 10

/* Simulated zone: balancers that exchange flow counts periodically. */
struct simulation {
	uint32_t balancers;
	uint32_t hosts;
	struct known_host known[BALANCERS_MAX][HOSTS_MAX];
	GPtrArray *tables[BALANCERS_MAX];
	struct placement_pool *pools[BALANCERS_MAX];
	uint32_t flows[HOSTS_MAX]; /* of all balancers */
	uint32_t flows_max;
	uint32_t requests[HOSTS_MAX]; /* short flows, each one request */
	uint32_t requests_max;
	uint32_t placed[HOSTS_MAX];
	uint64_t generation;
	GQueue short_flows; /* struct simulated_flow, oldest first */
	GQueue long_flows;
	GRand *random;
	int64_t now_ns;
};

struct simulated_flow {
	uint32_t balancer;
	uint32_t host;
	int64_t end_ns;
};

static void simulation_open(struct simulation *sim, uint32_t balancers,
			    uint32_t hosts, uint32_t slots)
{
	memset(sim, 0, sizeof(*sim));
	sim->balancers = balancers;
	sim->hosts = hosts;
	sim->random = g_rand_new_with_seed(3);
	sim->now_ns = NS_PER_S;
	for (uint32_t i = 0; i < balancers; i++) {
		sim->tables[i] = g_ptr_array_new();
		sim->pools[i] = placement_pool_create();
		for (uint32_t j = 0; j < hosts; j++) {
			struct known_host *host = &sim->known[i][j];

			host->published.slots = slots;
			g_strlcpy(host->published.zone, "a",
				  sizeof(host->published.zone));
			g_ptr_array_add(sim->tables[i], host);
		}
	}
}

static void simulation_close(struct simulation *sim)
{
	for (uint32_t i = 0; i < sim->balancers; i++) {
		g_ptr_array_unref(sim->tables[i]);
		placement_pool_destroy(sim->pools[i]);
	}
	g_queue_clear_full(&sim->short_flows, g_free);
	g_queue_clear_full(&sim->long_flows, g_free);
	g_rand_free(sim->random);
}

static uint32_t flow_place(struct simulation *sim, uint32_t balancer)
{
	const struct choice_request request = {
		.pool = sim->pools[balancer],
		.zone = "a",
		.now_ns = sim->now_ns,
		.random = sim->random,
	};
	struct choice choice;
	uint32_t number;

	placement_pool_refresh(sim->pools[balancer], sim->tables[balancer], "a",
			       sim->generation, sim->now_ns);
	placement_choose(&request, &choice);
	ck_assert_ptr_nonnull(choice.host);
	choice.host->open_flows++;
	number = (uint32_t)(choice.host - sim->known[balancer]);
	sim->flows[number]++;
	sim->placed[number]++;
	sim->flows_max = MAX(sim->flows_max, sim->flows[number]);
	return number;
}

static void flow_start(struct simulation *sim, GQueue *flows, uint32_t flow_ms)
{
	struct simulated_flow *flow = g_new0(struct simulated_flow, 1);

	flow->balancer = (uint32_t)g_rand_int_range(sim->random, 0,
						    (gint32)sim->balancers);
	flow->host = flow_place(sim, flow->balancer);
	flow->end_ns = sim->now_ns + flow_ms * NS_PER_MS;
	g_queue_push_tail(flows, flow);
	if (flows == &sim->long_flows)
		return;
	sim->requests[flow->host]++;
	sim->requests_max = MAX(sim->requests_max, sim->requests[flow->host]);
}

static void flows_end(struct simulation *sim, GQueue *flows)
{
	struct simulated_flow *flow;

	while ((flow = g_queue_peek_head(flows)) &&
	       flow->end_ns <= sim->now_ns) {
		g_queue_pop_head(flows);
		sim->flows[flow->host]--;
		if (flows == &sim->short_flows)
			sim->requests[flow->host]--;
		sim->known[flow->balancer][flow->host].open_flows--;
		g_free(flow);
	}
}

static void peer_flows_update(struct simulation *sim)
{
	for (uint32_t i = 0; i < sim->balancers; i++)
		for (uint32_t j = 0; j < sim->hosts; j++)
			sim->known[i][j].peer_flows =
				sim->flows[j] - sim->known[i][j].open_flows;
}

struct offered_load {
	uint32_t short_per_s;
	uint32_t long_per_s;
	uint32_t long_ms;
};

static void simulation_run(struct simulation *sim, uint32_t ms,
			   const struct offered_load *load)
{
	uint32_t short_due = 0;
	uint32_t long_due = 0;

	for (uint32_t i = 0; i < ms; i++) {
		sim->now_ns += NS_PER_MS;
		flows_end(sim, &sim->short_flows);
		flows_end(sim, &sim->long_flows);
		if (i % UPDATE_INTERVAL_MS == 0)
			peer_flows_update(sim);
		long_due += load->long_per_s;
		for (; long_due >= 1000; long_due -= 1000)
			flow_start(sim, &sim->long_flows, load->long_ms);
		short_due += load->short_per_s;
		for (; short_due >= 1000; short_due -= 1000)
			flow_start(sim, &sim->short_flows, SHORT_FLOW_MS);
	}
}

/*
 * A host runs 2 requests and queues 8 more; further ones are refused. The long
 * flows are idle, and their counts differ: all balancers consider the same few
 * hosts the least loaded until the next update.
 */
static const struct {
	uint32_t balancers;
	uint32_t hosts;
	struct offered_load load;
} simulations[] = {
	{ 20, 40, { 400, 30, 10000 } }, /* 20 % of the slots in use */
	{ 20, 40, { 1000, 30, 10000 } }, /* 50 % */
	{ 60, 120, { 1200, 90, 10000 } }, /* 20 % */
	{ 2, 6, { 90, 5, 10000 } }, /* a small zone, 30 % */
};

START_TEST(outdated_loads_cause_no_overload) {
	struct simulation *sim = g_new0(struct simulation, 1);

	simulation_open(sim, simulations[_i].balancers, simulations[_i].hosts,
			2);
	simulation_run(sim, 20000, &simulations[_i].load);
	ck_assert_msg(sim->requests_max <= REQUESTS_MAX,
		      "the busiest host had %u requests at once",
		      sim->requests_max);
	simulation_close(sim);
	g_free(sim);
}
END_TEST

/* Long flows, 25 per host: the busiest host must not be far above the mean. */
START_TEST(long_flows_are_balanced) {
	const struct offered_load load = { 0, 100, 10000 };
	struct simulation *sim = g_new0(struct simulation, 1);

	simulation_open(sim, 20, 40, 3);
	simulation_run(sim, 20000, &load);
	ck_assert_msg(sim->flows_max <= 25 * 1.2,
		      "the busiest host had %u flows at once", sim->flows_max);
	simulation_close(sim);
	g_free(sim);
}
END_TEST

/* Hosts of 1 to 8 slots get flows in proportion to their slots. */
START_TEST(flows_are_proportional_to_slots) {
	const struct offered_load load = { 0, 200, 1000 };
	struct simulation *sim = g_new0(struct simulation, 1);
	double slots = 0;

	simulation_open(sim, 4, 16, 1);
	for (uint32_t i = 0; i < sim->balancers; i++)
		for (uint32_t j = 0; j < sim->hosts; j++)
			sim->known[i][j].published.slots = 1u << j % 4;
	for (uint32_t j = 0; j < sim->hosts; j++)
		slots += 1u << j % 4;
	simulation_run(sim, 60000, &load);
	for (uint32_t j = 0; j < sim->hosts; j++) {
		double fair = 12000 * (1u << j % 4) / slots;

		ck_assert_double_ge(sim->placed[j], 0.75 * fair);
		ck_assert_double_le(sim->placed[j], 1.25 * fair);
	}
	simulation_close(sim);
	g_free(sim);
}
END_TEST

/*
 * The classes of a pool may be outdated: a host that is no longer usable is not
 * chosen, and if all hosts have left their class, the next class is used.
 */
START_TEST(hosts_that_left_their_class_are_skipped) {
	struct simulation *sim = g_new0(struct simulation, 1);

	simulation_open(sim, 1, 10, 2);
	flow_place(sim, 0);
	for (uint32_t j = 0; j < 9; j++)
		sim->known[0][j].published.is_draining = true;
	for (int i = 0; i < 20; i++)
		ck_assert_uint_eq(flow_place(sim, 0), 9);
	sim->known[0][9].health.is_slow = true;
	sim->now_ns += NS_PER_S;
	ck_assert_uint_eq(flow_place(sim, 0), 9);
	simulation_close(sim);
	g_free(sim);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("choose");
	TCase *cases = tcase_create("choose");

	tcase_add_loop_test(cases, outdated_loads_cause_no_overload, 0,
			    G_N_ELEMENTS(simulations));
	tcase_add_test(cases, long_flows_are_balanced);
	tcase_add_test(cases, flows_are_proportional_to_slots);
	tcase_add_test(cases, hosts_that_left_their_class_are_skipped);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
