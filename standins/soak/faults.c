#include <signal.h>
#include <string.h>

#include "standins/soak/soak.h"

/* Longer than the bound on new flows, so that late ones are seen. */
#define DRAINING_MS 6500

/* Something that a fault did and that ends later. */
struct pending {
	int64_t due_ns;
	void (*end)(struct soak *soak, uint32_t index);
	uint32_t index;
};

static GArray *pending; /* struct pending */

static uint32_t draw(struct soak *soak, uint32_t count)
{
	return (uint32_t)g_rand_int_range(soak->random, 0, (gint32)count);
}

static void later(struct soak *soak, uint32_t delay_ms, uint32_t index,
		  void (*end)(struct soak *soak, uint32_t index))
{
	const struct pending entry = {
		.due_ns = soak_now(soak) + delay_ms * NS_PER_MS,
		.end = end,
		.index = index,
	};

	if (!pending)
		pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
	g_array_append_val(pending, entry);
}

void soak_faults_tick(struct soak *soak)
{
	for (guint i = 0; pending && i < pending->len;) {
		struct pending entry =
			g_array_index(pending, struct pending, i);

		if (entry.due_ns > soak_now(soak)) {
			i++;
			continue;
		}
		g_array_remove_index_fast(pending, i);
		entry.end(soak, entry.index);
	}
}

bool soak_faults_are_over(void)
{
	return !pending || pending->len == 0;
}

static void disturb(struct soak *soak, uint32_t index)
{
	soak->balancers[index].disturbed_ns = soak_now(soak);
}

static void balancer_restart(struct soak *soak, uint32_t index)
{
	struct soak_balancer *balancer = &soak->balancers[index];

	if (process_is_running(balancer->process)) {
		/* A graceful stop that is still under way. */
		later(soak, 200, index, balancer_restart);
		return;
	}
	soak_balancer_start(balancer);
}

static void balancer_kill(struct soak *soak, uint32_t index)
{
	struct soak_balancer *balancer = &soak->balancers[index];

	if (!balancer->is_expected || balancer->is_frozen)
		return;
	balancer->is_expected = false;
	disturb(soak, index);
	process_signal(balancer->process, SIGKILL);
	later(soak, 300 + draw(soak, 1500), index, balancer_restart);
}

static void fault_kill(struct soak *soak)
{
	uint32_t index = draw(soak, soak->balancer_count);

	soak_note(soak, "kill b%u", index);
	balancer_kill(soak, index);
}

static void fault_kill_all(struct soak *soak)
{
	soak_note(soak, "kill all");
	for (uint32_t i = 0; i < soak->balancer_count; i++)
		balancer_kill(soak, i);
}

static void fault_stop(struct soak *soak)
{
	uint32_t index = draw(soak, soak->balancer_count);
	struct soak_balancer *balancer = &soak->balancers[index];

	if (!balancer->is_expected || balancer->is_frozen)
		return;
	soak_note(soak, "stop b%u", index);
	balancer->is_expected = false;
	disturb(soak, index);
	process_signal(balancer->process, SIGTERM);
	later(soak, 1500, index, balancer_restart);
}

static void balancer_thaw(struct soak *soak, uint32_t index)
{
	struct soak_balancer *balancer = &soak->balancers[index];

	process_signal(balancer->process, SIGCONT);
	balancer->is_frozen = false;
	disturb(soak, index);
}

static void fault_freeze(struct soak *soak)
{
	uint32_t index = draw(soak, soak->balancer_count);
	struct soak_balancer *balancer = &soak->balancers[index];

	if (!balancer->is_expected || balancer->is_frozen)
		return;
	soak_note(soak, "freeze b%u", index);
	process_signal(balancer->process, SIGSTOP);
	balancer->is_frozen = true;
	disturb(soak, index);
	later(soak, 500 + draw(soak, 3000), index, balancer_thaw);
}

static void cut_heal(struct soak *soak, uint32_t index)
{
	soak->balancers[index].is_partitioned = false;
	disturb(soak, index);
}

static void fault_cut(struct soak *soak)
{
	uint32_t index = draw(soak, soak->balancer_count);

	soak_note(soak, "cut b%u from the hosts, one way", index);
	soak->balancers[index].is_partitioned = true;
	disturb(soak, index);
	later(soak, 500 + draw(soak, 4000), index, cut_heal);
}

static void fault_settings(struct soak *soak)
{
	uint32_t index = draw(soak, soak->balancer_count);
	struct soak_balancer *balancer = &soak->balancers[index];
	bool is_signalled = draw(soak, 2) == 0;

	if (!balancer->is_expected || balancer->is_frozen)
		return;
	soak_note(soak, "settings of b%u, signal=%d", index, is_signalled);
	soak_balancer_settings(balancer);
	if (is_signalled)
		process_signal(balancer->process, SIGHUP);
}

/* All balancers lose their view of the store with it. */
static void store_disturb(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->balancer_count; i++)
		disturb(soak, i);
}

static void store_heal(struct soak *soak, uint32_t index)
{
	(void)index;
	soak_store_set_fault(soak->store, STORE_HEALTHY);
	soak_note(soak, "store is well");
	store_disturb(soak);
}

static void fault_store(struct soak *soak)
{
	enum store_fault fault = 1 + draw(soak, STORE_FAULTS - 1);

	if (soak_store_fault(soak->store) != STORE_HEALTHY)
		return;
	soak_note(soak, "store fault %d", fault);
	soak_store_set_fault(soak->store, fault);
	store_disturb(soak);
	later(soak, 500 + draw(soak, 4000), 0, store_heal);
}

static void fault_history(struct soak *soak)
{
	soak_note(soak, "store drops its history");
	soak_store_drop_history(soak->store);
	store_disturb(soak);
}

static struct soak_host *host_draw(struct soak *soak)
{
	struct soak_host *host = &soak->hosts[draw(soak, soak->host_count)];

	return host->socket && !host->is_draining ? host : NULL;
}

static void host_return(struct soak *soak, uint32_t index)
{
	struct soak_host *host = &soak->hosts[index];

	soak_host_start(host);
	host->disturbed_ns = soak_now(soak);
	soak_host_publish(host);
}

static void host_vanish(struct soak *soak, uint32_t index)
{
	soak_host_withdraw(&soak->hosts[index]);
	later(soak, 2500, index, host_return);
}

static void fault_host_crash(struct soak *soak)
{
	struct soak_host *host = host_draw(soak);

	if (!host)
		return;
	soak_note(soak, "crash host %u", host->index);
	soak_host_stop(host);
	later(soak, 2500, host->index, host_vanish);
}

static void host_leave(struct soak *soak, uint32_t index)
{
	struct soak_host *host = &soak->hosts[index];

	soak_host_stop(host);
	/* The address may go to the other service. */
	host->service = draw(soak, 4) == 0 ? 1 - host->service : host->service;
	later(soak, 2500, index, host_return);
}

static void host_unpublish(struct soak *soak, uint32_t index)
{
	soak_host_withdraw(&soak->hosts[index]);
	later(soak, 200 + draw(soak, 3000), index, host_leave);
}

static void fault_host_drain(struct soak *soak)
{
	struct soak_host *host = host_draw(soak);

	if (!host)
		return;
	soak_note(soak, "drain host %u", host->index);
	host->is_draining = true;
	host->drained_ns = soak_now(soak);
	soak_host_publish(host);
	later(soak, DRAINING_MS, host->index, host_unpublish);
}

static void fault_routes(struct soak *soak)
{
	soak_note(soak, "routes change");
	soak_routes_publish(soak, !soak->has_extra_route);
}

static void fault_foreign(struct soak *soak)
{
	static const char *const values[] = { "{", "[]", "{\"service\":7}",
					      "\xff\xfe" };

	soak_note(soak, "foreign entry");
	soak_store_put(soak->store, "servers/i-feed",
		       values[draw(soak, G_N_ELEMENTS(values))]);
}

static void refusal_end(struct soak *soak, uint32_t index)
{
	soak_store_set_refused(soak->store, index, false);
}

/*
 * The store turns one balancer away, perhaps the reader of its zone; what is
 * promised holds there all the same, so it does not count as disturbed.
 */
static void fault_refusal(struct soak *soak)
{
	uint32_t index = (uint32_t)g_rand_int_range(
		soak->extra_random, 0, (gint32)soak->balancer_count);

	soak_note(soak, "store refuses b%u", index);
	soak_store_set_refused(soak->store, index, true);
	later(soak, 3000, index, refusal_end);
}

/* How often a fault is drawn, of eighteen; the order belongs to the seeds. */
static const struct {
	const char *name;
	void (*begin)(struct soak *soak);
	uint32_t weight;
} faults[] = {
	{ "kill", fault_kill, 2 },
	{ "kill-all", fault_kill_all, 1 },
	{ "stop", fault_stop, 2 },
	{ "freeze", fault_freeze, 1 },
	{ "cut", fault_cut, 1 },
	{ "settings", fault_settings, 1 },
	{ "store", fault_store, 2 },
	{ "history", fault_history, 1 },
	{ "host-crash", fault_host_crash, 2 },
	{ "host-drain", fault_host_drain, 2 },
	{ "routes", fault_routes, 2 },
	{ "foreign", fault_foreign, 1 },
	{ "refusal", fault_refusal, 0 },
};

#define FAULT_WEIGHTS 18
#define REFUSAL_SHARE 0.1

void soak_fault(struct soak *soak)
{
	uint32_t drawn = draw(soak, FAULT_WEIGHTS);
	size_t i = 0;

	while (drawn >= faults[i].weight)
		drawn -= faults[i++].weight;
	soak->faults++;
	faults[i].begin(soak);
	if (g_rand_double(soak->extra_random) >= REFUSAL_SHARE)
		return;
	soak->faults++;
	fault_refusal(soak);
}

bool soak_fault_begin(struct soak *soak, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (strcmp(faults[i].name, name) != 0)
			continue;
		soak->faults++;
		faults[i].begin(soak);
		return true;
	}
	return false;
}
