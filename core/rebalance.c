#include <math.h>

#include "core/core_state.h"

/*
 * With long-lived flows few new ones fall into the buckets of a new host, so
 * that it would take hours to fill. While a host is this far below its share,
 * an even-load service opens all its buckets.
 */
#define BEGIN_SHORTFALL 0.10
#define END_SHORTFALL 0.02
/* Standard deviations that chance explains, for a count of random flows. */
#define BEGIN_DEVIATIONS 4.0
#define END_DEVIATIONS 1.0
#define REVIEW_INTERVAL_NS (2 * NS_PER_S)

struct shortfall {
	bool is_large; /* a host lacks more than part and chance allow */
	double flows; /* lacking at all hosts below their share */
};

static struct shortfall shortfall_find(const struct core *core,
				       const struct service_state *service,
				       double part, double deviations)
{
	struct shortfall shortfall = { 0 };
	double flows = 0;
	double weights = 0;

	for (size_t i = 0; i < service->host_count; i++) {
		uint32_t weight = host_weight(core, service, service->hosts[i]);

		if (weight == 0)
			continue;
		flows += (double)MAX(service->hosts[i]->total, 0);
		weights += weight;
	}
	for (size_t i = 0; i < service->host_count && weights > 0; i++) {
		const struct host_entry *state = service->hosts[i];
		double weight = host_weight(core, service, state);
		double share = flows * weight / weights;
		double lacking = share - (double)MAX(state->total, 0);

		shortfall.flows += MAX(lacking, 0);
		shortfall.is_large |= lacking > part * share &&
				      lacking > deviations * sqrt(share);
	}
	return shortfall;
}

bool rebalance_review(struct core *core, struct service_state *service)
{
	bool was_rebalancing = service->is_rebalancing;
	struct shortfall shortfall;
	double arrivals;

	if (service->service->profile->spread != SPREAD_EVEN_LOAD ||
	    core->now_ns < service->review_at_ns)
		return false;
	service->review_at_ns = core->now_ns + REVIEW_INTERVAL_NS;
	/* Callers reach all active members alike. */
	arrivals = (double)service->new_flows * core->active_count;
	service->new_flows = 0;
	shortfall = was_rebalancing
			    ? shortfall_find(core, service, END_SHORTFALL,
					     END_DEVIATIONS)
			    : shortfall_find(core, service, BEGIN_SHORTFALL,
					     BEGIN_DEVIATIONS);
	/*
	 * With more arrivals than flows are lacking, the host fills in a moment
	 * anyway, and load figures a second old would make it overshoot.
	 */
	service->is_rebalancing = shortfall.is_large &&
				  arrivals <= shortfall.flows;
	/* Try soon to close what was opened. */
	if (was_rebalancing && !service->is_rebalancing)
		service->closing_interval_ns = 0;
	return !was_rebalancing && service->is_rebalancing;
}
