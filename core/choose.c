#include "core/core_state.h"

/* Open flows over the mean that are always allowed, for small numbers. */
#define LOAD_SLACK 1

struct load_sum {
	int64_t flows;
	int64_t weight;
};

/*
 * The other owners decide on the same figures and place about as many flows
 * here as this one; their reports of these flows are still to come.
 */
static int64_t host_load(const struct core *core,
			 const struct host_entry *state)
{
	int64_t others = core->active_count > 1 ? core->active_count - 1 : 0;

	return MAX(state->total + others * state->placed, 0);
}

static struct load_sum loads_sum(const struct core *core,
				 const struct service_state *service)
{
	struct load_sum sum = { 0 };

	for (size_t i = 0; i < service->host_count; i++) {
		uint32_t weight = host_weight(core, service, service->hosts[i]);

		if (weight == 0)
			continue;
		sum.flows += host_load(core, service->hosts[i]);
		sum.weight += weight;
	}
	return sum;
}

static bool is_below_margin(const struct core *core,
			    const struct service_state *service,
			    const struct host_entry *state)
{
	struct load_sum sum = loads_sum(core, service);
	int64_t permille =
		1000 + service->service->profile->even_load_margin_permille;
	int64_t weight = host_weight(core, service, state);

	/* load <= flows / all weights * weight * (1 + margin) */
	return (host_load(core, state) - LOAD_SLACK) * 1000 * sum.weight <=
	       sum.flows * weight * permille;
}

static struct host_entry *least_loaded(const struct core *core,
				       const struct service_state *service)
{
	struct host_entry *best = NULL;
	int64_t best_weight = 0;

	for (size_t i = 0; i < service->host_count; i++) {
		struct host_entry *state = service->hosts[i];
		int64_t weight = host_weight(core, service, state);

		if (weight == 0)
			continue;
		if (!best || host_load(core, state) * best_weight <
				     host_load(core, best) * weight) {
			best = state;
			best_weight = weight;
		}
	}
	return best;
}

static int64_t host_deficit(const struct core *core,
			    const struct service_state *service,
			    const struct host_entry *state,
			    const struct load_sum *sum)
{
	int64_t weight = host_weight(core, service, state);

	if (weight == 0 || sum->weight == 0)
		return 0;
	return MAX(sum->flows * weight / sum->weight - host_load(core, state),
		   0);
}

/*
 * Draws among the hosts below their share, by how far they are below. All
 * owners decide on the same figures, which are up to a second old; the least
 * loaded host alone would get all flows of that second.
 */
static struct host_entry *deficit_draw(const struct core *core,
				       const struct service_state *service,
				       uint64_t flow_hash)
{
	struct load_sum sum = loads_sum(core, service);
	int64_t total = 0;
	int64_t drawn;

	for (size_t i = 0; i < service->host_count; i++)
		total += host_deficit(core, service, service->hosts[i], &sum);
	if (total <= 0)
		return least_loaded(core, service);
	drawn = (int64_t)((flow_hash >> 24) % (uint64_t)total);
	for (size_t i = 0; i < service->host_count; i++) {
		drawn -= host_deficit(core, service, service->hosts[i], &sum);
		if (drawn < 0)
			return service->hosts[i];
	}
	return least_loaded(core, service);
}

struct host_entry *host_choose(const struct core *core,
			       const struct service_state *service,
			       const struct bucket *bucket, uint64_t flow_hash)
{
	struct host_entry *target = bucket->target;

	if (service->service->profile->spread == SPREAD_EVEN_LOAD &&
	    !(host_accepts(target) && is_below_margin(core, service, target)))
		return deficit_draw(core, service, flow_hash);
	return host_accepts(target) ? target : least_loaded(core, service);
}
