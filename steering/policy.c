#include "steering/policy.h"

#include <glib.h>

#include "common/token_bucket.h"

struct flow_limit {
	bool is_set;
	struct token_bucket bucket;
};

struct service_policy {
	struct flow_limit limit;
	struct flow_limit *team; /* NULL for none */
	bool is_any_zone;
};

struct policy_table {
	GHashTable *services; /* name to struct service_policy */
	GHashTable *teams; /* name to struct flow_limit */
};

struct policy_table *policy_table_create(void)
{
	struct policy_table *table = g_new0(struct policy_table, 1);

	table->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void policy_table_destroy(struct policy_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->services);
	g_hash_table_destroy(table->teams);
	g_free(table);
}

static void limit_init(struct flow_limit *limit, uint32_t flows_per_s,
		       int64_t now_ns)
{
	limit->is_set = flows_per_s > 0;
	token_bucket_init(&limit->bucket, flows_per_s, flows_per_s, now_ns);
}

static bool limit_is_reached(struct flow_limit *limit, int64_t now_ns)
{
	return limit && limit->is_set &&
	       token_bucket_available(&limit->bucket, now_ns) < 1;
}

static void limit_take(struct flow_limit *limit, int64_t now_ns)
{
	if (limit && limit->is_set)
		token_bucket_take(&limit->bucket, now_ns, 1);
}

void policy_table_add_team(struct policy_table *table, const char *team,
			   uint32_t new_flows_per_s, int64_t now_ns)
{
	struct flow_limit *limit = g_new0(struct flow_limit, 1);

	limit_init(limit, new_flows_per_s, now_ns);
	g_hash_table_insert(table->teams, g_strdup(team), limit);
}

void policy_table_add_service(struct policy_table *table,
			      const struct service_policy_options *options,
			      int64_t now_ns)
{
	struct service_policy *policy = g_new0(struct service_policy, 1);

	policy->is_any_zone = options->is_any_zone;
	policy->team = g_hash_table_lookup(table->teams, options->team);
	limit_init(&policy->limit, options->new_flows_per_s, now_ns);
	g_hash_table_insert(table->services, g_strdup(options->service),
			    policy);
}

struct service_policy *policy_table_find(struct policy_table *table,
					 const char *service)
{
	return table ? g_hash_table_lookup(table->services, service) : NULL;
}

/* A flow that one limit refuses does not count against the other one. */
enum policy_verdict policy_admit(struct service_policy *policy, int64_t now_ns)
{
	if (!policy)
		return POLICY_ADMIT;
	if (limit_is_reached(&policy->limit, now_ns))
		return POLICY_SERVICE_LIMIT;
	if (limit_is_reached(policy->team, now_ns))
		return POLICY_TEAM_LIMIT;
	limit_take(&policy->limit, now_ns);
	limit_take(policy->team, now_ns);
	return POLICY_ADMIT;
}

bool policy_is_any_zone(const struct service_policy *policy)
{
	return policy && policy->is_any_zone;
}
