#include "steering/steering.h"

#include <glib.h>
#include <string.h>

#include "steering_state.h"

/*
 * Minimum time to keep an idle entry; callers do not retransmit packets of
 * flows that were closed or never opened for longer.
 */
#define CACHE_RETENTION_MIN_NS (5 * NS_PER_S)
/* Unless the settings say otherwise: the response comes this much earlier. */
#define SPILLOVER_GAIN_MS 5
/* The balancers of a fleet that restarts are ready within this time. */
#define FLEET_START_NS (1 * NS_PER_S)

const char *const steering_reason_names[STEERING_REASONS] = {
	[STEERING_PLACED] = "placed",
	[STEERING_PLACED_AGAIN] = "placed_again",
	[STEERING_PLACED_ELSEWHERE] = "placed_elsewhere",
	[STEERING_TOKEN] = "token",
	[STEERING_CACHED] = "cached",
	[STEERING_NO_ROUTE] = "no_route",
	[STEERING_NO_HOST] = "no_host",
	[STEERING_SERVICE_LIMIT] = "service_limit",
	[STEERING_TEAM_LIMIT] = "team_limit",
	[STEERING_SLOW_START_LIMIT] = "slow_start_limit",
	[STEERING_NO_ROOM] = "no_room",
	[STEERING_HOST_SILENT] = "host_silent",
	[STEERING_HOST_REMOVED] = "host_gone",
	[STEERING_TOKEN_UNKNOWN] = "token_unknown",
	[STEERING_NOT_READY] = "not_ready",
	[STEERING_NO_TOKEN] = "no_token",
};

static bool can_change_service(void *context, const char *from, const char *to)
{
	const struct steering *steering = context;

	return steering->routing &&
	       (!routing_has_service(steering->routing, from) ||
		routing_has_service(steering->routing, to));
}

static bool is_service_routed(void *context, const char *service)
{
	const struct steering *steering = context;

	return !steering->routing ||
	       routing_has_service(steering->routing, service);
}

static void host_deferred(void *context, const struct known_host *host)
{
	const struct steering *steering = context;

	steering->options.on_host_deferred(steering->options.context, host);
}

static void host_changed(void *context, const struct known_host *host,
			 bool is_new)
{
	struct steering *steering = context;

	steering->options.on_host_changed(steering->options.context, host,
					  is_new);
}

/* A restarted host answers packets of its earlier flows with a reset. */
static void host_ended(void *context, struct known_host *host,
		       bool is_restarted)
{
	struct steering *steering = context;

	steering->options.on_host_ended(steering->options.context, host,
					is_restarted);
	if (is_restarted)
		host_flows_reset(steering, host, STEERING_HOST_REMOVED);
}

static bool is_zone_drained(void *context, const char *zone)
{
	const struct steering *steering = context;

	return zone_drains_is_active(steering->drains, zone);
}

static void zone_drain_changed(void *context, const struct zone_drain *drain)
{
	struct steering *steering = context;

	host_table_set_zone_drained(steering->hosts, drain->zone,
				    zone_drain_is_in_force(drain));
	steering->options.on_zone_drain_changed(steering->options.context,
						drain);
}

/* The classes of the hosts are determined again at the next placement. */
static void failing_changed(void *context, struct known_host *host)
{
	struct steering *steering = context;

	steering->silence_changes++;
	if (steering->options.on_host_failing_changed)
		steering->options.on_host_failing_changed(
			steering->options.context, host);
}

struct steering *steering_create(const struct steering_options *options)
{
	struct steering *steering = g_new0(struct steering, 1);
	const struct host_table_options host_options = {
		.can_change_service = can_change_service,
		.is_service_routed = is_service_routed,
		.is_zone_drained = is_zone_drained,
		.on_deferred = host_deferred,
		.on_changed = host_changed,
		.on_ended = host_ended,
		.context = steering,
	};
	const struct zone_drains_options drains_options = {
		.on_changed = zone_drain_changed,
		.context = steering,
	};
	const struct host_speeds_options speed_options = {
		.on_changed = options->on_host_speed_changed,
		.context = options->context,
	};
	const struct response_sizes_options size_options = {
		.on_changed = failing_changed,
		.context = steering,
	};
	const struct admission_options admission_options = {
		.on_changed = options->on_admission_changed,
		.context = options->context,
	};

	steering->options = *options;
	steering->drains = zone_drains_create(&drains_options);
	steering->admission = admission_create(&admission_options);
	steering->hosts = host_table_create(&host_options);
	steering->flows = flow_cache_create(options->flows_max);
	token_bucket_init(&steering->probe_limit, PROBES_PER_S, PROBES_PER_S,
			  clock_now_ns(options->clock));
	steering->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)placement_pool_destroy);
	steering->zone_loads = zone_loads_create(options->zone);
	steering->spillovers = service_spillovers_create();
	steering_set_spillover(steering, true, SPILLOVER_GAIN_MS);
	steering->random = g_rand_new_with_seed((guint32)options->random_seed);
	steering->host_speeds = host_speeds_create(&speed_options);
	steering->response_sizes = response_sizes_create(&size_options);
	slow_start_open(steering);
	return steering;
}

void steering_destroy(struct steering *steering)
{
	if (!steering)
		return;
	flow_cache_destroy(steering->flows);
	host_speeds_destroy(steering->host_speeds);
	response_sizes_destroy(steering->response_sizes);
	g_hash_table_destroy(steering->pools);
	g_hash_table_destroy(steering->spillovers);
	zone_loads_destroy(steering->zone_loads);
	host_table_destroy(steering->hosts);
	zone_drains_destroy(steering->drains);
	routing_unref(steering->routing);
	policy_table_destroy(steering->policies);
	slow_start_limits_destroy(steering->slow_start);
	admission_destroy(steering->admission);
	g_rand_free(steering->random);
	g_free(steering);
}

void steering_handle_packet(struct steering *steering,
			    const struct token_packet *packet,
			    struct steering_decision *decision)
{
	const struct packet_fields *fields = &packet->fields;
	const struct route_rule *rule = NULL;
	int64_t now_ns = steering_now(steering);
	struct cached_flow *flow;

	monitor_overdue_handshakes(steering, now_ns);
	memset(decision, 0, sizeof(*decision));
	decision->is_opening = (fields->tcp_flags & TCP_FLAG_SYN) != 0;
	flow = flow_cache_find(steering->flows, &fields->key);
	if (steering->routing)
		rule = routing_find(steering->routing, &fields->key.service,
				    fields->key.service_port);
	if (decision->is_opening &&
	    (!steering->routing || (rule && !steering->is_synced))) {
		/*
		 * During the first listing, the hosts of its first pages would
		 * get all new flows.
		 */
		steering_decide(decision, STEERING_HOLD, STEERING_NOT_READY,
				NULL);
	} else if (steering->routing && !rule) {
		steering_decide(decision,
				fields->tcp_flags & TCP_FLAG_RST
					? STEERING_DROP
					: STEERING_RESET,
				STEERING_NO_ROUTE, NULL);
		if (flow)
			flow_cache_remove(steering->flows, flow);
	} else if (decision->is_opening) {
		opening_handle(steering, packet, rule, flow, now_ns, decision);
	} else {
		/* Needs no route: hosts are known earlier than routes. */
		open_flow_handle(steering, packet, flow, now_ns, decision);
	}
	steering->reason_counts[decision->reason]++;
}

bool steering_set_routing(struct steering *steering, struct routing *routing)
{
	if (!routing_is_newer(routing, steering->routing))
		return false;
	routing_unref(steering->routing);
	steering->routing = routing_ref(routing);
	slow_start_limits_set_routing(steering->slow_start, routing);
	host_table_update_routes(steering->hosts);
	host_table_retry_deferred(steering->hosts, steering_now(steering));
	return true;
}

void steering_set_policies(struct steering *steering,
			   struct policy_table *policies)
{
	policy_table_destroy(steering->policies);
	steering->policies = policies;
}

void steering_set_admission(struct steering *steering, bool is_enabled)
{
	admission_set_enabled(steering->admission, is_enabled);
}

const struct admission *steering_admission(const struct steering *steering)
{
	return steering->admission;
}

struct routing *steering_routing(const struct steering *steering)
{
	return steering->routing;
}

const struct rtt_estimate *steering_handshake(const struct steering *steering)
{
	return &steering->handshake;
}

const struct path_check *steering_path(const struct steering *steering)
{
	return &steering->path;
}

struct host_speeds *steering_host_speeds(struct steering *steering)
{
	return steering->host_speeds;
}

void steering_set_host_speed_weights(struct steering *steering, bool is_enabled)
{
	host_speeds_set_enabled(steering->host_speeds, is_enabled,
				host_table_all(steering->hosts));
}

struct response_sizes *steering_response_sizes(struct steering *steering)
{
	return steering->response_sizes;
}

void steering_set_failing_host_ejection(struct steering *steering,
					bool is_enabled)
{
	response_sizes_set_enabled(steering->response_sizes, is_enabled,
				   host_table_all(steering->hosts));
	steering->silence_changes++;
}

struct host_table *steering_hosts(struct steering *steering)
{
	return steering->hosts;
}

struct zone_drains *steering_zone_drains(const struct steering *steering)
{
	return steering->drains;
}

void steering_set_synced(struct steering *steering)
{
	steering->is_synced = true;
}

void steering_handle_fleet_restart(struct steering *steering)
{
	steering->any_zone_until_ns = steering_now(steering) + FLEET_START_NS;
}

void steering_set_up_to_date(struct steering *steering, bool is_up_to_date)
{
	if (is_up_to_date && !steering->is_up_to_date)
		steering->up_to_date_since_ns = steering_now(steering);
	steering->is_up_to_date = is_up_to_date;
	slow_start_limits_set_up_to_date(steering->slow_start, is_up_to_date);
}

void steering_tick(struct steering *steering)
{
	int64_t now_ns = steering_now(steering);
	int64_t idle_ns = CACHE_RETENTION_MIN_NS;

	if (steering->routing)
		idle_ns = MAX(idle_ns,
			      steering->routing->idle_timeout_ms * NS_PER_MS);
	flow_cache_expire(steering->flows, now_ns - idle_ns);
	host_table_end_waits(steering->hosts, now_ns);
	zone_drains_end_waits(steering->drains, now_ns);
	monitor_dead_hosts(steering, now_ns);
	monitor_slow_hosts(steering, now_ns);
	host_speeds_update(steering->host_speeds,
			   host_table_services(steering->hosts), now_ns);
	response_sizes_update(steering->response_sizes,
			      host_table_services(steering->hosts), now_ns);
	monitor_probes(steering, now_ns);
	zone_loads_refresh(steering->zone_loads, steering->hosts, now_ns);
	service_spillovers_tick(steering, now_ns);
	slow_start_tick(steering, now_ns);
	admission_tick(steering->admission, now_ns);
	host_table_expire(steering->hosts,
			  now_ns - steering->options.flow_age_max_s * NS_PER_S);
}

uint32_t steering_flow_count(const struct steering *steering)
{
	return flow_cache_count(steering->flows);
}

const uint64_t *steering_reason_counts(const struct steering *steering)
{
	return steering->reason_counts;
}

const struct cached_flow *steering_find_flow(struct steering *steering,
					     const struct flow_key *key)
{
	return flow_cache_find(steering->flows, key);
}

enum steering_reason steering_explain(struct steering *steering,
				      const struct flow_key *key)
{
	const struct cached_flow *flow = flow_cache_find(steering->flows, key);
	int64_t now_ns = steering_now(steering);

	if (!steering->routing)
		return STEERING_NOT_READY;
	if (!routing_find(steering->routing, &key->service, key->service_port))
		return STEERING_NO_ROUTE;
	if (!flow)
		return STEERING_PLACED;
	if (!flow->host)
		return STEERING_TOKEN_UNKNOWN;
	if (monitor_host_is_dead(flow->host, now_ns))
		return STEERING_HOST_REMOVED;
	if (health_is_down(&flow->host->health, now_ns))
		return STEERING_HOST_SILENT;
	return flow->state == FLOW_OPENING ? STEERING_PLACED_AGAIN
					   : STEERING_TOKEN;
}

uint64_t steering_eviction_count(const struct steering *steering)
{
	return flow_cache_evictions(steering->flows);
}
