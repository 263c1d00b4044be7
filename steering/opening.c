#include "steering_state.h"

static const enum steering_reason limit_reasons[] = {
	[POLICY_SERVICE_LIMIT] = STEERING_SERVICE_LIMIT,
	[POLICY_TEAM_LIMIT] = STEERING_TEAM_LIMIT,
};

/*
 * True if the flow is above a limit. A copy of an opening packet is not
 * refused: another balancer may have forwarded the first one.
 */
static bool is_limited(const struct token_packet *packet,
		       struct service_policy *policy, int64_t now_ns,
		       struct steering_decision *decision)
{
	enum policy_verdict verdict;

	if (packet->copy > 0)
		return false;
	verdict = policy_admit(policy, now_ns);
	if (verdict == POLICY_ADMIT)
		return false;
	steering_decide(decision, STEERING_RESET, limit_reasons[verdict], NULL);
	return true;
}

/*
 * A zone below this level has room for the flows of the others, which spillover
 * sends there. It fills other zones to a level of 0.95 at most.
 */
#define ROOM_LEVEL_MAX 0.9

/*
 * Sets the load of the service over all zones; false if it is not known. A queue
 * in one zone does not count while another zone has room.
 */
static bool admission_load_find(const struct steering *steering,
				const char *service, int64_t now_ns,
				struct admission_load *load)
{
	struct service_load_sum sum;

	if (!zone_loads_service_sum(steering->zone_loads, service, now_ns,
				    &sum))
		return false;
	*load = (struct admission_load){
		.busy_slots = sum.busy_slots,
		.usable_slots = sum.usable_slots,
		.mean_time_ns = (int64_t)(sum.time_ms * NS_PER_MS),
		.unloaded_time_ns = (int64_t)(sum.unloaded_ms * NS_PER_MS),
		.age_ns = sum.age_ms * NS_PER_MS,
	};
	if (sum.lowest_level < ROOM_LEVEL_MAX)
		load->busy_slots = MIN(load->busy_slots, load->usable_slots);
	return true;
}

/* Like is_limited(): a copy of an opening packet is not refused. */
static bool has_no_room(struct steering *steering,
			const struct token_packet *packet,
			const struct route_rule *rule, const char *service,
			int64_t now_ns, struct steering_decision *decision)
{
	struct admission_load load;
	bool has_load;

	if (packet->copy > 0 || !service)
		return false;
	has_load = admission_load_find(steering, service, now_ns, &load);
	if (admission_admit(steering->admission, service, rule->priority,
			    has_load ? &load : NULL, now_ns,
			    steering->random) != ADMISSION_NO_ROOM)
		return false;
	steering_decide(decision, STEERING_RESET, STEERING_NO_ROOM, NULL);
	return true;
}

static struct placement_pool *pool_find(struct steering *steering,
					const char *service, const char *zone,
					int64_t now_ns)
{
	struct placement_pool *pool =
		g_hash_table_lookup(steering->pools, service);
	/* Both counters only grow, so the sum changes with either. */
	uint64_t generation = host_table_generation(steering->hosts) +
			      steering->silence_changes;

	if (!pool) {
		pool = placement_pool_create();
		g_hash_table_insert(steering->pools, g_strdup(service), pool);
	}
	placement_pool_refresh(pool,
			       host_table_service(steering->hosts, service),
			       zone, generation, now_ns);
	return pool;
}

/* A service that was never published has no hosts, and needs no pool. */
static void host_choose(struct steering *steering, const char *service,
			const struct service_policy *policy,
			struct known_host *excluded, int64_t now_ns,
			struct choice *choice)
{
	bool is_any_zone = policy_is_any_zone(policy) ||
			   now_ns < steering->any_zone_until_ns;
	const char *zone = is_any_zone ? NULL : steering->options.zone;
	struct choice_request request = {
		.zone = zone,
		.excluded = excluded,
		.slow_start = slow_start_limits_find(steering),
		.now_ns = now_ns,
		.random = steering->random,
	};

	if (!service || !host_table_service(steering->hosts, service)) {
		choice->host = NULL;
		choice->reason = CHOICE_NONE;
		choice->is_limited = false;
		return;
	}
	request.pool = pool_find(steering, service, zone, now_ns);
	if (zone)
		request.spillover = service_spillover_find(steering, service);
	placement_choose(&request, choice);
	if (choice->reason == CHOICE_TRIAL && choice->host->is_failing)
		response_sizes_count_trial(steering->response_sizes);
	if (zone)
		zone_flow_count(steering, request.spillover, choice->reason);
}

/*
 * Only hosts above their slow-start limit are left. A copy of an opening packet
 * is dropped: another balancer may have forwarded the first one, and the caller
 * sends it again.
 */
static void limited_flow_reject(struct steering *steering, bool is_copy,
				struct steering_decision *decision)
{
	steering->slow_start_counts[is_copy ? SLOW_START_FLOW_DROPPED
					    : SLOW_START_FLOW_REFUSED]++;
	steering_decide(decision, is_copy ? STEERING_DROP : STEERING_RESET,
			STEERING_SLOW_START_LIMIT, NULL);
}

static void flow_place(struct steering *steering,
		       const struct token_packet *packet,
		       const struct route_rule *rule, struct cached_flow *flow,
		       struct known_host *excluded, int64_t now_ns,
		       struct steering_decision *decision)
{
	const struct flow_key *key = &packet->fields.key;
	const char *service = route_rule_service(rule, flow_key_hash(key, 0));
	struct service_policy *policy =
		service ? policy_table_find(steering->policies, service) : NULL;
	struct choice choice;

	/* A flow that is refused for want of room counts against no limit. */
	if (!flow &&
	    (has_no_room(steering, packet, rule, service, now_ns, decision) ||
	     is_limited(packet, policy, now_ns, decision)))
		return;
	host_choose(steering, service, policy, excluded, now_ns, &choice);
	decision->choice = choice.reason;
	if (!choice.host && choice.is_limited) {
		limited_flow_reject(steering, flow || packet->copy > 0,
				    decision);
		return;
	}
	steering->slow_start_counts[SLOW_START_FLOW_MOVED] += choice.is_limited;
	if (!choice.host) {
		steering_decide(decision, STEERING_RESET, STEERING_NO_HOST,
				NULL);
		if (flow)
			flow_cache_remove(steering->flows, flow);
		return;
	}
	steering_decide(decision, STEERING_FORWARD,
			excluded ? STEERING_PLACED_ELSEWHERE : STEERING_PLACED,
			choice.host);
	if (flow)
		cached_flow_set_host(flow, choice.host);
	else
		flow = flow_cache_add(steering->flows, key, choice.host,
				      now_ns);
	flow->sequence = packet->fields.tcp_sequence;
	flow_window_restart(flow, packet->fields.tcp_sequence);
}

/* The caller retransmitted its opening packet. */
static void flow_place_again(struct steering *steering,
			     const struct token_packet *packet,
			     const struct route_rule *rule,
			     struct cached_flow *flow, int64_t now_ns,
			     struct steering_decision *decision)
{
	struct known_host *host = flow->host;
	bool has_progress = host->health.progress_ns > flow->first_packet_ns;

	flow->has_copies = true;
	monitor_ignored_opening(steering, host, now_ns);
	/*
	 * While the host responds to others, a lost packet is likelier than a
	 * host that ignores this flow.
	 */
	if (host_takes_flows(host) && has_progress && packet->copy <= 1 &&
	    slow_start_admit(steering, host, now_ns)) {
		steering_decide(decision, STEERING_FORWARD,
				STEERING_PLACED_AGAIN, host);
		return;
	}
	flow_place(steering, packet, rule, flow, host, now_ns, decision);
}

void opening_handle(struct steering *steering,
		    const struct token_packet *packet,
		    const struct route_rule *rule, struct cached_flow *flow,
		    int64_t now_ns, struct steering_decision *decision)
{
	bool is_copy = flow && flow->state == FLOW_OPENING && flow->host &&
		       flow->sequence == packet->fields.tcp_sequence;

	if (flow && !is_copy) {
		flow_cache_remove(steering->flows, flow);
		flow = NULL;
	}
	if (flow)
		flow_cache_touch(steering->flows, flow, now_ns);
	if (is_copy)
		flow_place_again(steering, packet, rule, flow, now_ns,
				 decision);
	else
		flow_place(steering, packet, rule, NULL, NULL, now_ns,
			   decision);
	if (decision->verdict == STEERING_FORWARD)
		slow_start_record(steering, decision->host, now_ns);
}
