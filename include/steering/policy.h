#ifndef PARSLEYLADDER_STEERING_POLICY_H
#define PARSLEYLADDER_STEERING_POLICY_H

/**
 * Admission of new flows of a service: which zones they may go to, and how many
 * per second this balancer admits for the service and for the team that owns
 * it. A flow above a limit is refused at once (load shedding), so that its
 * caller does not wait for a refusal by the host.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/name.h"

struct service_policy;
struct policy_table;

struct service_policy_options {
	const char *service;
	const char *team; /* "" for none; must have been added */
	bool is_any_zone; /* hosts of other zones count as local ones */
	uint32_t new_flows_per_s; /* 0 for no limit */
};

enum policy_verdict {
	POLICY_ADMIT,
	POLICY_SERVICE_LIMIT,
	POLICY_TEAM_LIMIT,
};

struct policy_table *policy_table_create(void);
/** Accepts NULL. */
void policy_table_destroy(struct policy_table *table);
/**
 * A rate of 0 is no limit. The token bucket is initially full: it holds one
 * second's worth of flows.
 */
void policy_table_add_team(struct policy_table *table, const char *team,
			   uint32_t new_flows_per_s, int64_t now_ns);
void policy_table_add_service(struct policy_table *table,
			      const struct service_policy_options *options,
			      int64_t now_ns);
/** Returns NULL if the service has no policy, or @table is NULL. */
struct service_policy *policy_table_find(struct policy_table *table,
					 const char *service);
/** Counts one new flow if it is admitted. Admits all without a policy. */
enum policy_verdict policy_admit(struct service_policy *policy, int64_t now_ns);
bool policy_is_any_zone(const struct service_policy *policy);

#endif
