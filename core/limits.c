#include "core/core_state.h"

#define MICRO 1000000
/* A full bucket holds the flows of one second. */
#define BURST_S 1

bool limiter_take(struct limiter *limiter, uint64_t per_second,
		  uint32_t sharers, int64_t now_ns)
{
	int64_t rate_micro = (int64_t)(per_second * MICRO / MAX(sharers, 1));
	int64_t burst_micro = MAX(rate_micro * BURST_S, MICRO);
	int64_t elapsed_ns = now_ns - limiter->updated_ns;

	if (limiter->updated_ns == 0 || elapsed_ns > NS_PER_S * BURST_S)
		elapsed_ns = NS_PER_S * BURST_S;
	limiter->tokens_micro += rate_micro * (elapsed_ns / NS_PER_US) / MICRO;
	limiter->tokens_micro = MIN(limiter->tokens_micro, burst_micro);
	limiter->updated_ns = now_ns;
	if (limiter->tokens_micro < MICRO)
		return false;
	limiter->tokens_micro -= MICRO;
	return true;
}

bool limits_admit(struct core *core, struct service_state *service,
		  enum core_reason *reason)
{
	uint32_t limit = service->service->profile->new_flows_per_second;
	uint32_t sharers = core->active_count;

	*reason = CORE_REASON_SERVICE_LIMIT;
	if (limit > 0 &&
	    !limiter_take(&service->limiter, limit, sharers, core->now_ns))
		return false;
	*reason = CORE_REASON_TEAM_LIMIT;
	return service->team->limit == 0 ||
	       limiter_take(&service->team->limiter, service->team->limit,
			    sharers, core->now_ns);
}
