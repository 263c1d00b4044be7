/*
 * Guards against balancers that share one old view of the loads and all choose
 * the same host (herd behaviour), and against a choice that leaves some hosts
 * idle, or looks at each host for each flow.
 */

#include <check.h>

#include "common/clock.h"
#include "steering/choose.h"
#include "suite.h"

#define HOSTS_MAX 120
#define CHOOSERS_MAX 60
#define UPDATE_INTERVAL_MS 500
#define SHORT_FLOW_MS 40
/* Slots and queue of a host. */
#define REQUESTS_MAX 10

/* One zone: choosers that learn each other's flows now and then. */
struct herd {
	uint32_t choosers;
	uint32_t hosts;
	struct known_host known[CHOOSERS_MAX][HOSTS_MAX];
	GPtrArray *tables[CHOOSERS_MAX];
	struct placement_pool *pools[CHOOSERS_MAX];
	uint32_t flows[HOSTS_MAX]; /* of all choosers */
	uint32_t flows_max;
	uint32_t requests[HOSTS_MAX]; /* short flows, each one request */
	uint32_t requests_max;
	uint32_t placed[HOSTS_MAX];
	uint64_t generation;
	GQueue short_flows; /* struct herd_flow, oldest first */
	GQueue long_flows;
	GRand *random;
	int64_t now_ns;
};

struct herd_flow {
	uint32_t chooser;
	uint32_t host;
	int64_t end_ns;
};

static void herd_open(struct herd *herd, uint32_t choosers, uint32_t hosts,
		      uint32_t slots)
{
	memset(herd, 0, sizeof(*herd));
	herd->choosers = choosers;
	herd->hosts = hosts;
	herd->random = g_rand_new_with_seed(3);
	herd->now_ns = NS_PER_S;
	for (uint32_t i = 0; i < choosers; i++) {
		herd->tables[i] = g_ptr_array_new();
		herd->pools[i] = placement_pool_create();
		for (uint32_t j = 0; j < hosts; j++) {
			struct known_host *host = &herd->known[i][j];

			host->published.slots = slots;
			g_strlcpy(host->published.zone, "a",
				  sizeof(host->published.zone));
			g_ptr_array_add(herd->tables[i], host);
		}
	}
}

static void herd_close(struct herd *herd)
{
	for (uint32_t i = 0; i < herd->choosers; i++) {
		g_ptr_array_unref(herd->tables[i]);
		placement_pool_destroy(herd->pools[i]);
	}
	g_queue_clear_full(&herd->short_flows, g_free);
	g_queue_clear_full(&herd->long_flows, g_free);
	g_rand_free(herd->random);
}

static uint32_t flow_place(struct herd *herd, uint32_t chooser)
{
	const struct choice_request request = {
		.pool = herd->pools[chooser],
		.zone = "a",
		.now_ns = herd->now_ns,
		.random = herd->random,
	};
	struct choice choice;
	uint32_t number;

	placement_pool_refresh(herd->pools[chooser], herd->tables[chooser], "a",
			       herd->generation, herd->now_ns);
	placement_choose(&request, &choice);
	ck_assert_ptr_nonnull(choice.host);
	choice.host->open_flows++;
	number = (uint32_t)(choice.host - herd->known[chooser]);
	herd->flows[number]++;
	herd->placed[number]++;
	herd->flows_max = MAX(herd->flows_max, herd->flows[number]);
	return number;
}

static void flow_start(struct herd *herd, GQueue *flows, uint32_t flow_ms)
{
	struct herd_flow *flow = g_new0(struct herd_flow, 1);

	flow->chooser = (uint32_t)g_rand_int_range(herd->random, 0,
						   (gint32)herd->choosers);
	flow->host = flow_place(herd, flow->chooser);
	flow->end_ns = herd->now_ns + flow_ms * NS_PER_MS;
	g_queue_push_tail(flows, flow);
	if (flows == &herd->long_flows)
		return;
	herd->requests[flow->host]++;
	herd->requests_max =
		MAX(herd->requests_max, herd->requests[flow->host]);
}

static void flows_end(struct herd *herd, GQueue *flows)
{
	struct herd_flow *flow;

	while ((flow = g_queue_peek_head(flows)) &&
	       flow->end_ns <= herd->now_ns) {
		g_queue_pop_head(flows);
		herd->flows[flow->host]--;
		if (flows == &herd->short_flows)
			herd->requests[flow->host]--;
		herd->known[flow->chooser][flow->host].open_flows--;
		g_free(flow);
	}
}

static void update_spread(struct herd *herd)
{
	for (uint32_t i = 0; i < herd->choosers; i++)
		for (uint32_t j = 0; j < herd->hosts; j++)
			herd->known[i][j].peer_flows =
				herd->flows[j] - herd->known[i][j].open_flows;
}

struct herd_load {
	uint32_t short_per_s;
	uint32_t long_per_s;
	uint32_t long_ms;
};

static void herd_run(struct herd *herd, uint32_t ms,
		     const struct herd_load *load)
{
	uint32_t short_due = 0;
	uint32_t long_due = 0;

	for (uint32_t i = 0; i < ms; i++) {
		herd->now_ns += NS_PER_MS;
		flows_end(herd, &herd->short_flows);
		flows_end(herd, &herd->long_flows);
		if (i % UPDATE_INTERVAL_MS == 0)
			update_spread(herd);
		long_due += load->long_per_s;
		for (; long_due >= 1000; long_due -= 1000)
			flow_start(herd, &herd->long_flows, load->long_ms);
		short_due += load->short_per_s;
		for (; short_due >= 1000; short_due -= 1000)
			flow_start(herd, &herd->short_flows, SHORT_FLOW_MS);
	}
}

/*
 * A host runs 2 requests and queues 8 more; what is above is refused. The long
 * flows are idle, and their counts differ: all choosers find the same few hosts
 * least loaded until the next news.
 */
static const struct {
	uint32_t choosers;
	uint32_t hosts;
	struct herd_load load;
} herds[] = {
	{ 20, 40, { 400, 30, 10000 } }, /* 20 % of the slots in use */
	{ 20, 40, { 1000, 30, 10000 } }, /* 50 % */
	{ 60, 120, { 1200, 90, 10000 } }, /* 20 % */
	{ 2, 6, { 90, 5, 10000 } }, /* a small zone, 30 % */
};

START_TEST(old_loads_cause_no_herd) {
	struct herd *herd = g_new0(struct herd, 1);

	herd_open(herd, herds[_i].choosers, herds[_i].hosts, 2);
	herd_run(herd, 20000, &herds[_i].load);
	ck_assert_msg(herd->requests_max <= REQUESTS_MAX,
		      "%u requests at one host", herd->requests_max);
	herd_close(herd);
	g_free(herd);
}
END_TEST

/* Long flows, 25 a host: the busiest host must not have far above the mean. */
START_TEST(long_flows_stay_even) {
	const struct herd_load load = { 0, 100, 10000 };
	struct herd *herd = g_new0(struct herd, 1);

	herd_open(herd, 20, 40, 3);
	herd_run(herd, 20000, &load);
	ck_assert_msg(herd->flows_max <= 25 * 1.2, "%u flows at one host",
		      herd->flows_max);
	herd_close(herd);
	g_free(herd);
}
END_TEST

/* Hosts of 1 to 8 slots get flows in proportion to their slots. */
START_TEST(flows_follow_the_slots) {
	const struct herd_load load = { 0, 200, 1000 };
	struct herd *herd = g_new0(struct herd, 1);
	double slots = 0;

	herd_open(herd, 4, 16, 1);
	for (uint32_t i = 0; i < herd->choosers; i++)
		for (uint32_t j = 0; j < herd->hosts; j++)
			herd->known[i][j].published.slots = 1u << j % 4;
	for (uint32_t j = 0; j < herd->hosts; j++)
		slots += 1u << j % 4;
	herd_run(herd, 60000, &load);
	for (uint32_t j = 0; j < herd->hosts; j++) {
		double fair = 12000 * (1u << j % 4) / slots;

		ck_assert_double_ge(herd->placed[j], 0.75 * fair);
		ck_assert_double_le(herd->placed[j], 1.25 * fair);
	}
	herd_close(herd);
	g_free(herd);
}
END_TEST

/* The sorting of a pool may be old: a host that is no longer usable is not
 * taken, and if all have left their class, the next class is. */
START_TEST(hosts_that_changed_since_are_passed_over) {
	struct herd *herd = g_new0(struct herd, 1);

	herd_open(herd, 1, 10, 2);
	flow_place(herd, 0);
	for (uint32_t j = 0; j < 9; j++)
		herd->known[0][j].published.is_draining = true;
	for (int i = 0; i < 20; i++)
		ck_assert_uint_eq(flow_place(herd, 0), 9);
	herd->known[0][9].health.is_slow = true;
	herd->now_ns += NS_PER_S;
	ck_assert_uint_eq(flow_place(herd, 0), 9);
	herd_close(herd);
	g_free(herd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("choose");
	TCase *cases = tcase_create("choose");

	tcase_add_loop_test(cases, old_loads_cause_no_herd, 0,
			    G_N_ELEMENTS(herds));
	tcase_add_test(cases, long_flows_stay_even);
	tcase_add_test(cases, flows_follow_the_slots);
	tcase_add_test(cases, hosts_that_changed_since_are_passed_over);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
