#include "parsleyladder/settings_check.h"

#include <inttypes.h>
#include <string.h>

#include "steering/slow_start_share.h"

static void profiles_check(const struct settings *settings,
			   const struct routing_draft *draft,
			   struct finding_list *findings)
{
	for (size_t i = 0; i < settings->service_count; i++) {
		const struct service_settings *service = &settings->services[i];
		char place[64];

		if (routing_draft_has_service(draft, service->name))
			continue;
		g_snprintf(place, sizeof(place),
			   "settings $.services[%zu].name", i);
		finding_add(findings, FINDING_UNDEFINED_SERVICE, place,
			    "profile \"%s\" is for service \"%s\", which the "
			    "configuration does not define",
			    service->profile, service->name);
	}
}

static void team_check(const struct settings *settings, size_t index,
		       struct finding_list *findings)
{
	const struct team_settings *team = &settings->teams[index];
	char place[64];

	g_snprintf(place, sizeof(place),
		   "settings $.teams[%zu].new_flows_per_second", index);
	for (size_t i = 0; i < settings->service_count; i++) {
		const struct service_settings *service = &settings->services[i];
		const struct profile_settings *profile =
			settings_find_profile(settings, service->profile);

		if (strcmp(service->team, team->name) != 0 || !profile ||
		    profile->new_flows_per_s <= team->new_flows_per_s)
			continue;
		finding_add(findings, FINDING_TEAM_LIMIT, place,
			    "%" PRIu32 " of team \"%s\" is below the %" PRIu32
			    " that profile \"%s\" allows service \"%s\"",
			    team->new_flows_per_s, team->name,
			    profile->new_flows_per_s, profile->name,
			    service->name);
	}
}

static void idle_timeout_check(const struct settings *settings,
			       const struct routing_draft *draft,
			       const struct routing_report *report)
{
	if (draft->idle_timeout_ms <= settings->flow_age_max_s * UINT64_C(1000))
		return;
	routing_report_add(report, FINDING_IDLE_TIMEOUT,
			   ROUTING_PART_IDLE_TIMEOUT, 0, 0,
			   "%" PRIu32 " ms is above flow_age_max_seconds of "
			   "the settings, %" PRIu32,
			   draft->idle_timeout_ms, settings->flow_age_max_s);
}

static void slow_start_check(const struct settings *settings,
			     const struct routing_draft *draft,
			     const struct routing_report *report)
{
	for (size_t i = 0; i < draft->service_count; i++) {
		const struct service_limit *limit = &draft->services[i].limit;
		struct slow_start_bound bound = {
			.flows_per_1000_s = limit->flows_per_1000_s,
			.overage_permille =
				settings->slow_start_overage_permille,
			.slack_permille = settings->slow_start_slack_permille,
		};

		if (limit->flows_per_1000_s == 0 ||
		    slow_start_allowed(&bound) > 0)
			continue;
		routing_report_add(report, FINDING_SLOW_START_LIMIT,
				   ROUTING_PART_SERVICE_RATE, i, 0,
				   "with slow_start_overage and "
				   "slow_start_slack_flows of the settings, "
				   "cold hosts of service \"%s\" may take at "
				   "most one flow per second, so balancers "
				   "send them none",
				   limit->service);
	}
}

void settings_check(const struct settings *settings,
		    const struct routing_draft *draft,
		    const struct routing_report *report)
{
	profiles_check(settings, draft, report->findings);
	for (size_t i = 0; i < settings->team_count; i++) {
		if (settings->teams[i].new_flows_per_s > 0)
			team_check(settings, i, report->findings);
	}
	idle_timeout_check(settings, draft, report);
	if (settings->slow_start_limits)
		slow_start_check(settings, draft, report);
}
