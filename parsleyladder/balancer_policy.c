#include "balancer_private.h"

static void service_add(const struct settings *settings,
			const struct service_settings *service,
			struct policy_table *table, int64_t now_ns)
{
	const struct profile_settings *profile =
		settings_find_profile(settings, service->profile);
	const struct service_policy_options options = {
		.service = service->name,
		.team = service->team,
		.is_any_zone = profile->zone_preference == ZONE_ANY,
		.new_flows_per_s = profile->new_flows_per_s,
	};

	policy_table_add_service(table, &options, now_ns);
}

void balancer_policies_set(struct balancer *balancer,
			   const struct settings *settings)
{
	struct policy_table *table = policy_table_create();
	int64_t now_ns = clock_now_ns(balancer->clock);

	for (size_t i = 0; i < settings->team_count; i++)
		policy_table_add_team(table, settings->teams[i].name,
				      settings->teams[i].new_flows_per_s,
				      now_ns);
	for (size_t i = 0; i < settings->service_count; i++)
		service_add(settings, &settings->services[i], table, now_ns);
	steering_set_policies(balancer->steering, table);
}
