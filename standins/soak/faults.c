#include <signal.h>
#include <string.h>

#include "standins/soak/soak.h"

/* Longer than SOAK_DRAIN_BOUND_NS, so that late new flows are detected. */
#define DRAIN_DURATION_MS 6500

/* Longest time from a change until its reader is killed or frozen. */
#define READER_FAULT_MAX_MS 100
/* Interval of the changes while a reader stops. */
#define READER_STOP_CHANGE_MS 300
/* Longer than the time after which followers select another leader. */
#define READER_DOWN_MS 3000

static uint32_t random_below(struct soak *soak, uint32_t count)
{
	return (uint32_t)g_rand_int_range(soak->random, 0, (gint32)count);
}

static void balancer_mark_disturbed(struct soak *soak, uint32_t index)
{
	soak->balancers[index].disturbed_ns = soak_now(soak);
}

static void balancer_restart(struct soak *soak, uint32_t index)
{
	struct soak_balancer *balancer = &soak->balancers[index];

	if (process_is_running(balancer->process)) {
		/* The graceful stop has not finished yet. */
		soak_action_schedule(soak, 200, index, balancer_restart);
		return;
	}
	soak_balancer_start(balancer);
}

/* Kills the balancer, and calls @restart after @down_ms. */
static void
balancer_kill_for(struct soak *soak, uint32_t index, uint32_t down_ms,
		  void (*restart)(struct soak *soak, uint32_t index))
{
	struct soak_balancer *balancer = &soak->balancers[index];

	if (!balancer->should_run || balancer->is_frozen)
		return;
	balancer->should_run = false;
	balancer_mark_disturbed(soak, index);
	process_signal(balancer->process, SIGKILL);
	soak_action_schedule(soak, down_ms, index, restart);
}

static void balancer_kill(struct soak *soak, uint32_t index)
{
	balancer_kill_for(soak, index, 300 + random_below(soak, 1500),
			  balancer_restart);
}

static void fault_kill(struct soak *soak)
{
	uint32_t index = random_below(soak, soak->balancer_count);

	soak_fault_print(soak, "kill b%u", index);
	balancer_kill(soak, index);
}

static void fault_kill_all(struct soak *soak)
{
	soak_fault_print(soak, "kill all");
	for (uint32_t i = 0; i < soak->balancer_count; i++)
		balancer_kill(soak, i);
}

static void fault_stop(struct soak *soak)
{
	uint32_t index = random_below(soak, soak->balancer_count);
	struct soak_balancer *balancer = &soak->balancers[index];

	if (!balancer->should_run || balancer->is_frozen)
		return;
	soak_fault_print(soak, "stop b%u", index);
	balancer->should_run = false;
	balancer_mark_disturbed(soak, index);
	process_signal(balancer->process, SIGTERM);
	soak_action_schedule(soak, 1500, index, balancer_restart);
}

static void balancer_unfreeze(struct soak *soak, uint32_t index)
{
	struct soak_balancer *balancer = &soak->balancers[index];

	process_signal(balancer->process, SIGCONT);
	balancer->is_frozen = false;
	balancer_mark_disturbed(soak, index);
}

static void fault_freeze(struct soak *soak)
{
	uint32_t index = random_below(soak, soak->balancer_count);
	struct soak_balancer *balancer = &soak->balancers[index];

	if (!balancer->should_run || balancer->is_frozen)
		return;
	soak_fault_print(soak, "freeze b%u", index);
	process_signal(balancer->process, SIGSTOP);
	balancer->is_frozen = true;
	balancer_mark_disturbed(soak, index);
	soak_action_schedule(soak, 500 + random_below(soak, 3000), index,
			     balancer_unfreeze);
}

static void partition_end(struct soak *soak, uint32_t index)
{
	soak->balancers[index].is_partitioned = false;
	balancer_mark_disturbed(soak, index);
}

static void fault_partition(struct soak *soak)
{
	uint32_t index = random_below(soak, soak->balancer_count);

	soak_fault_print(soak, "cut b%u from the hosts, one way", index);
	soak->balancers[index].is_partitioned = true;
	balancer_mark_disturbed(soak, index);
	soak_action_schedule(soak, 500 + random_below(soak, 4000), index,
			     partition_end);
}

static void fault_settings(struct soak *soak)
{
	uint32_t index = random_below(soak, soak->balancer_count);
	struct soak_balancer *balancer = &soak->balancers[index];
	bool is_signalled = random_below(soak, 2) == 0;

	if (!balancer->should_run || balancer->is_frozen)
		return;
	soak_fault_print(soak, "settings of b%u, signal=%d", index,
			 is_signalled);
	soak_balancer_write_settings(balancer);
	if (is_signalled)
		process_signal(balancer->process, SIGHUP);
}

/* A store fault affects all balancers. */
static void balancers_mark_disturbed(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->balancer_count; i++)
		balancer_mark_disturbed(soak, i);
}

static void store_recover(struct soak *soak, uint32_t index)
{
	(void)index;
	soak_store_set_fault(soak->store, STORE_HEALTHY);
	soak_fault_print(soak, "store is well");
	balancers_mark_disturbed(soak);
}

static void fault_store(struct soak *soak)
{
	enum store_fault fault = 1 + random_below(soak, STORE_FAULTS - 1);

	if (soak_store_fault(soak->store) != STORE_HEALTHY)
		return;
	soak_fault_print(soak, "store fault %d", fault);
	soak_store_set_fault(soak->store, fault);
	balancers_mark_disturbed(soak);
	soak_action_schedule(soak, 500 + random_below(soak, 4000), 0,
			     store_recover);
}

static void fault_compaction(struct soak *soak)
{
	soak_fault_print(soak, "store drops its history");
	soak_store_compact(soak->store);
	balancers_mark_disturbed(soak);
}

static struct soak_host *random_host(struct soak *soak)
{
	struct soak_host *host =
		&soak->hosts[random_below(soak, soak->host_count)];

	return host->socket && !host->is_draining ? host : NULL;
}

static void host_restart(struct soak *soak, uint32_t index)
{
	struct soak_host *host = &soak->hosts[index];

	soak_host_start(host);
	host->disturbed_ns = soak_now(soak);
	soak_host_publish(host);
}

static void host_withdraw(struct soak *soak, uint32_t index)
{
	soak_host_withdraw(&soak->hosts[index]);
	soak_action_schedule(soak, 2500, index, host_restart);
}

static void fault_host_crash(struct soak *soak)
{
	struct soak_host *host = random_host(soak);

	if (!host)
		return;
	soak_fault_print(soak, "crash host %u", host->index);
	soak_host_stop(host);
	soak_action_schedule(soak, 2500, host->index, host_withdraw);
}

static void host_terminate(struct soak *soak, uint32_t index)
{
	struct soak_host *host = &soak->hosts[index];

	soak_host_stop(host);
	/* The address may be reused for the other service. */
	host->service = random_below(soak, 4) == 0 ? 1 - host->service
						   : host->service;
	soak_action_schedule(soak, 2500, index, host_restart);
}

static void host_drain_end(struct soak *soak, uint32_t index)
{
	soak_host_withdraw(&soak->hosts[index]);
	soak_action_schedule(soak, 200 + random_below(soak, 3000), index,
			     host_terminate);
}

static void fault_host_drain(struct soak *soak)
{
	struct soak_host *host = random_host(soak);

	if (!host)
		return;
	soak_fault_print(soak, "drain host %u", host->index);
	host->is_draining = true;
	host->drained_ns = soak_now(soak);
	soak_host_publish(host);
	soak_action_schedule(soak, DRAIN_DURATION_MS, host->index,
			     host_drain_end);
}

static void fault_routes(struct soak *soak)
{
	soak_fault_print(soak, "routes change");
	soak_routes_publish(soak, !soak->has_extra_route);
}

static void many_routes_change(struct soak *soak, bool has_extra_route)
{
	soak_fault_print(soak, "many routes change");
	soak->idle_routes = soak->idle_routes == SOAK_IDLE_ROUTES
				    ? SOAK_IDLE_ROUTES_MANY
				    : SOAK_IDLE_ROUTES;
	soak_routes_publish(soak, has_extra_route);
}

static void fault_routes_many(struct soak *soak)
{
	many_routes_change(soak, soak->has_extra_route);
}

/* A random balancer that reads the store; NULL if there is none. */
static struct soak_balancer *reader_choose(struct soak *soak)
{
	uint32_t first = random_below(soak, soak->balancer_count);

	for (uint32_t i = 0; i < soak->balancer_count; i++) {
		uint32_t index = (first + i) % soak->balancer_count;

		if (soak_store_is_watched(soak->store, index))
			return &soak->balancers[index];
	}
	return NULL;
}

static gboolean reader_kill(gpointer data)
{
	struct soak_balancer *reader = data;

	soak_fault_print(reader->soak, "kill reader b%u", reader->index);
	balancer_kill_for(reader->soak, reader->index, READER_DOWN_MS,
			  balancer_restart);
	return G_SOURCE_REMOVE;
}

static void reader_return(struct soak *soak, uint32_t index)
{
	balancer_restart(soak, index);
	fault_routes_many(soak);
	fault_routes(soak);
}

/* Routes change as a failed reader starts again. */
static void fault_reader_return(struct soak *soak)
{
	struct soak_balancer *reader = reader_choose(soak);

	if (!reader)
		return;
	soak_fault_print(soak, "kill reader b%u", reader->index);
	balancer_kill_for(soak, reader->index, 300 + random_below(soak, 1500),
			  reader_return);
}

/* Starts the reader again as soon as it has ended. */
static void reader_stop_continue(struct soak *soak, uint32_t index)
{
	if (!process_is_running(soak->balancers[index].process)) {
		soak_fault_print(soak, "start reader b%u", index);
		soak_balancer_start(&soak->balancers[index]);
		return;
	}
	fault_routes(soak);
	soak_action_schedule(soak, READER_STOP_CHANGE_MS, index,
			     reader_stop_continue);
}

/* Routes change until the reader, which is asked to stop, has ended. */
static void fault_reader_stop(struct soak *soak)
{
	struct soak_balancer *reader = reader_choose(soak);

	if (!reader || !reader->should_run || reader->is_frozen)
		return;
	soak_fault_print(soak, "stop reader b%u", reader->index);
	reader->should_run = false;
	balancer_mark_disturbed(soak, reader->index);
	process_signal(reader->process, SIGTERM);
	soak_action_schedule(soak, READER_STOP_CHANGE_MS, reader->index,
			     reader_stop_continue);
}

static gboolean reader_freeze(gpointer data)
{
	struct soak_balancer *reader = data;

	if (!reader->should_run || reader->is_frozen)
		return G_SOURCE_REMOVE;
	soak_fault_print(reader->soak, "freeze reader b%u", reader->index);
	process_signal(reader->process, SIGSTOP);
	reader->is_frozen = true;
	balancer_mark_disturbed(reader->soak, reader->index);
	soak_action_schedule(reader->soak, READER_DOWN_MS, reader->index,
			     balancer_unfreeze);
	return G_SOURCE_REMOVE;
}

/* Changes many routes, and strikes a reader while it passes them on. */
static void reader_strike(struct soak *soak, GSourceFunc strike)
{
	struct soak_balancer *reader = reader_choose(soak);

	if (!reader)
		return;
	many_routes_change(soak, !soak->has_extra_route);
	g_timeout_add(random_below(soak, READER_FAULT_MAX_MS), strike, reader);
}

static void fault_reader_kill(struct soak *soak)
{
	reader_strike(soak, reader_kill);
}

static void fault_reader_freeze(struct soak *soak)
{
	reader_strike(soak, reader_freeze);
}

static void fault_malformed_entry(struct soak *soak)
{
	static const char *const values[] = { "{", "[]", "{\"service\":7}",
					      "\xff\xfe" };

	soak_fault_print(soak, "foreign entry");
	soak_store_put(soak->store, "servers/i-feed",
		       values[random_below(soak, G_N_ELEMENTS(values))]);
}

static void refusal_end(struct soak *soak, uint32_t index)
{
	soak_store_set_refused(soak->store, index, false);
}

/*
 * The store refuses one balancer, possibly the store reader of its zone. The
 * guarantees hold there nevertheless, so it does not count as disturbed.
 */
static void fault_refusal(struct soak *soak)
{
	uint32_t index = (uint32_t)g_rand_int_range(
		soak->refusal_random, 0, (gint32)soak->balancer_count);

	soak_fault_print(soak, "store refuses b%u", index);
	soak_store_set_refused(soak->store, index, true);
	soak_action_schedule(soak, 3000, index, refusal_end);
}

/* Hosts that start from now on are cold at first. */
static void fault_cold_hosts(struct soak *soak)
{
	soak_fault_print(soak, "hosts start cold");
	soak->has_cold_hosts = true;
	soak_routes_publish(soak, soak->has_extra_route);
}

/*
 * Weights out of FAULT_WEIGHT_SUM. The order determines which faults a seed
 * draws. A refusal and the drain of a zone are drawn in addition to another
 * fault.
 */
static const struct {
	const char *name;
	void (*inject)(struct soak *soak);
	uint32_t weight;
} faults[] = {
	{ "kill", fault_kill, 2 },
	{ "kill-all", fault_kill_all, 1 },
	{ "stop", fault_stop, 2 },
	{ "freeze", fault_freeze, 1 },
	{ "cut", fault_partition, 1 },
	{ "settings", fault_settings, 1 },
	{ "store", fault_store, 2 },
	{ "history", fault_compaction, 1 },
	{ "host-crash", fault_host_crash, 2 },
	{ "host-drain", fault_host_drain, 2 },
	{ "routes", fault_routes, 2 },
	{ "foreign", fault_malformed_entry, 1 },
	{ "foreign-values", soak_foreign_values_put, 0 },
	{ "foreign-agents", soak_foreign_agents_put, 0 },
	{ "refusal", fault_refusal, 0 },
	{ "zone-drain", soak_zone_drain, 0 },
	{ "zone-drain-all", soak_zone_drain_all, 0 },
	{ "cold-hosts", fault_cold_hosts, 0 },
	{ "store-restored", soak_store_come_back, 0 },
	{ "routes-many", fault_routes_many, 0 },
	{ "reader-kill", fault_reader_kill, 0 },
	{ "reader-return", fault_reader_return, 0 },
	{ "reader-stop", fault_reader_stop, 0 },
	{ "reader-freeze", fault_reader_freeze, 0 },
};

#define FAULT_WEIGHT_SUM 18
#define REFUSAL_PROBABILITY 0.1
/* About one drain in 20 s. */
#define ZONE_DRAIN_PROBABILITY 0.04
#define ZONE_DRAIN_ALL_PROBABILITY 0.01

static void refusal_draw(struct soak *soak)
{
	if (g_rand_double(soak->refusal_random) >= REFUSAL_PROBABILITY)
		return;
	soak->faults++;
	fault_refusal(soak);
}

static void zone_drain_draw(struct soak *soak)
{
	double number = g_rand_double(soak->zone_random);

	if (number >= ZONE_DRAIN_PROBABILITY + ZONE_DRAIN_ALL_PROBABILITY)
		return;
	soak->faults++;
	if (number < ZONE_DRAIN_ALL_PROBABILITY)
		soak_zone_drain_all(soak);
	else
		soak_zone_drain(soak);
}

void soak_fault_inject_random(struct soak *soak)
{
	uint32_t remaining_weight = random_below(soak, FAULT_WEIGHT_SUM);
	size_t i = 0;

	while (remaining_weight >= faults[i].weight)
		remaining_weight -= faults[i++].weight;
	soak->faults++;
	faults[i].inject(soak);
	refusal_draw(soak);
	zone_drain_draw(soak);
	soak_store_come_back_draw(soak);
}

bool soak_fault_inject(struct soak *soak, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (strcmp(faults[i].name, name) != 0)
			continue;
		soak->faults++;
		faults[i].inject(soak);
		return true;
	}
	return false;
}
