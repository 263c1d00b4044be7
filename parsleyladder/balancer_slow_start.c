#include "balancer_private.h"

void balancer_slow_start_set(struct balancer *balancer,
			     const struct settings *settings)
{
	const struct slow_start_settings slow_start = {
		.is_enabled = settings->slow_start_limits,
		.overage_permille = settings->slow_start_overage_permille,
		.slack_permille = settings->slow_start_slack_permille,
		.zones = (const char *const *)settings->availability_zones,
	};

	steering_set_slow_start(balancer->steering, &slow_start);
}

bool balancer_rank_find(void *context, const char *host_id, uint32_t *members,
			uint32_t *rank)
{
	const struct balancer *balancer = context;

	return balancer->sharing &&
	       sharing_find_rank(balancer->sharing, host_id, members, rank);
}
