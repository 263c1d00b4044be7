#include <inttypes.h>

#include "balancer_private.h"
#include "common/endpoint.h"
#include "common/json_member.h"
#include "common/log.h"
#include "parsleyladder/instance_routes.h"

static const char *const gauge_names[BALANCER_GAUGES] = {
	[GAUGE_FLOWS] = "flows",
	[GAUGE_HOSTS] = "hosts",
	[GAUGE_HOSTS_UNROUTED] = "hosts_unrouted",
	[GAUGE_READY] = "ready",
	[GAUGE_STORE_READER] = "reading",
	[GAUGE_ROUTES_VERSION] = "routes_version",
	[GAUGE_ANNOUNCED_ROUTES_VERSION] = "announced_routes_version",
	[GAUGE_ROUTES_PARTIAL] = "routes_partial",
	[GAUGE_REVISION] = "revision",
	[GAUGE_STORE_ERA] = "store_era",
	[GAUGE_UNLISTED_HOSTS] = "unlisted_hosts",
	[GAUGE_WITHHELD_HOSTS] = "withheld_hosts",
	[GAUGE_REPLICA_AGE_MS] = "knowledge_age_ms",
	[GAUGE_HANDSHAKE_US] = "handshake_us",
	[GAUGE_HANDSHAKE_LIMIT_US] = "handshake_limit_us",
	[GAUGE_HANDSHAKE_SAMPLES] = "handshake_samples",
	[GAUGE_DRAINED_ZONES] = "drained_zones",
	[GAUGE_DRAINED_ZONE_FLOWS] = "drained_zone_flows",
	[GAUGE_SPILLOVER_PERMILLE] = "spillover_permille",
	[GAUGE_UNEQUAL_HOSTS] = "unequal_hosts",
	[GAUGE_FAILING_HOSTS] = "failing_hosts",
	[GAUGE_LIMITED_HOSTS] = "slow_start_limited_hosts",
};

static const char *const total_names[BALANCER_TOTALS] = {
	[TOTAL_LOG_BYTES] = "log_bytes",
	[TOTAL_LOG_DROPPED_LINES] = "log_dropped_lines",
	[TOTAL_LOG_SUPPRESSED_LINES] = "log_left_out_lines",
	[TOTAL_STORE_CALLS] = "store_calls",
	[TOTAL_STORE_RESTORES] = "store_restores",
	[TOTAL_EVICTIONS] = "evictions",
	[TOTAL_UNKNOWN_SENDERS] = "strangers",
	[TOTAL_ADMIN_REFUSED] = "admin_refused_connections",
};

static bool host_is_failing(const struct known_host *host)
{
	return host->is_failing;
}

static uint64_t hosts_count(const struct balancer *balancer,
			    bool (*is_counted)(const struct known_host *host))
{
	GHashTableIter iterator;
	uint64_t count = 0;
	gpointer value;

	g_hash_table_iter_init(
		&iterator, host_table_all(steering_hosts(balancer->steering)));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		count += is_counted(value);
	return count;
}

static void counters_sample(struct balancer *balancer)
{
	const struct replica_status *replica_status = &balancer->replica_status;
	const struct rtt_estimate *handshake =
		steering_handshake(balancer->steering);
	uint64_t *gauges = balancer->gauges;
	uint64_t *totals = balancer->totals;

	gauges[GAUGE_FLOWS] = steering_flow_count(balancer->steering);
	gauges[GAUGE_HOSTS] =
		host_table_count(steering_hosts(balancer->steering));
	gauges[GAUGE_HOSTS_UNROUTED] =
		host_table_unrouted_count(steering_hosts(balancer->steering));
	gauges[GAUGE_READY] = balancer->is_ready;
	gauges[GAUGE_STORE_READER] = sharing_is_store_reader(balancer->sharing);
	gauges[GAUGE_ROUTES_VERSION] = balancer_routes_version(balancer);
	gauges[GAUGE_ANNOUNCED_ROUTES_VERSION] =
		sharing_announced_routes_version(balancer->sharing);
	gauges[GAUGE_ROUTES_PARTIAL] = balancer_routes_are_partial(balancer);
	gauges[GAUGE_REVISION] = replica_status->position.revision;
	gauges[GAUGE_STORE_ERA] = replica_status->position.era;
	gauges[GAUGE_UNLISTED_HOSTS] =
		host_table_unlisted_count(steering_hosts(balancer->steering));
	gauges[GAUGE_WITHHELD_HOSTS] =
		host_table_withheld_count(steering_hosts(balancer->steering));
	gauges[GAUGE_REPLICA_AGE_MS] = (uint64_t)MAX(
		balancer_age_ms(balancer, replica_status->confirmed_ns), 0);
	gauges[GAUGE_HANDSHAKE_US] =
		(uint64_t)(handshake->smoothed_ns / NS_PER_US);
	gauges[GAUGE_HANDSHAKE_LIMIT_US] =
		(uint64_t)(rtt_estimate_limit_ns(handshake) / NS_PER_US);
	gauges[GAUGE_HANDSHAKE_SAMPLES] = handshake->samples;
	balancer_drains_sample(balancer);
	gauges[GAUGE_SPILLOVER_PERMILLE] =
		steering_spillover_permille(balancer->steering);
	gauges[GAUGE_UNEQUAL_HOSTS] =
		hosts_count(balancer, host_speed_is_unequal);
	gauges[GAUGE_FAILING_HOSTS] = hosts_count(balancer, host_is_failing);
	gauges[GAUGE_LIMITED_HOSTS] =
		steering_limited_host_count(balancer->steering);
	totals[TOTAL_LOG_BYTES] = log_accepted_bytes();
	totals[TOTAL_LOG_DROPPED_LINES] = log_dropped_lines();
	totals[TOTAL_STORE_CALLS] = store_request_count(balancer->store);
	totals[TOTAL_EVICTIONS] = steering_eviction_count(balancer->steering);
	if (balancer->admin)
		totals[TOTAL_ADMIN_REFUSED] =
			admin_refused_connections(balancer->admin);
}

static void host_speed_print(const struct balancer *balancer,
			     const struct known_host *host,
			     JsonBuilder *builder)
{
	const struct host_speed *speed = host->speed;

	json_member_integer(builder, "speed_permille",
			    host_speed_permille(host));
	json_member_integer(builder, "speed_samples",
			    speed ? (int64_t)speed->totals.samples : 0);
	json_member_integer(builder, "speed_sample_age_ms",
			    speed ? balancer_age_ms(balancer, speed->sampled_ns)
				  : -1);
	json_member_integer(
		builder, "speed_received_age_ms",
		speed ? balancer_age_ms(balancer, speed->received_ns) : -1);
}

static void response_size_print(const struct balancer *balancer,
				const struct known_host *host,
				JsonBuilder *builder)
{
	const struct response_size *size = host->sizes;
	const struct response_count *last =
		size ? &size->window.spans[RESPONSE_SPANS - 1] : NULL;

	json_member_boolean(builder, "is_failing", host->is_failing);
	json_member_integer(builder, "responses", last ? last->responses : 0);
	json_member_integer(builder, "short_responses",
			    last ? last->shorts : 0);
	json_member_integer(builder, "response_age_ms",
			    size ? balancer_age_ms(balancer, size->sampled_ns)
				 : -1);
	json_member_integer(builder, "failing_age_ms",
			    size ? balancer_age_ms(balancer, size->marked_ns)
				 : -1);
	json_member_integer(builder, "failing_received_age_ms",
			    size ? balancer_age_ms(balancer, size->received_ns)
				 : -1);
}

static void host_print(const struct balancer *balancer,
		       const struct known_host *host, JsonBuilder *builder)
{
	const struct host_announcement *published = &host->published;
	char text[IP_ADDRESS_TEXT_BYTES];
	char token[9];

	json_builder_begin_object(builder);
	json_member_string(builder, "id", published->id);
	g_snprintf(token, sizeof(token), "%08x", host->token);
	json_member_string(builder, "token", token);
	json_member_string(builder, "service", published->service);
	json_member_string(builder, "availability_zone", published->zone);
	json_member_string(builder, "address",
			   ip_address_print(&published->address, text));
	json_member_integer(builder, "port", published->port);
	json_member_string(builder, "state",
			   host->is_removed	    ? "gone"
			   : published->is_draining ? "draining"
						    : "ready");
	json_member_boolean(builder, "is_zone_drained", host->is_zone_drained);
	json_member_integer(builder, "slots", published->slots);
	json_member_integer(builder, "born_ms", (int64_t)published->started_ms);
	json_member_integer(builder, "revision",
			    (int64_t)published->position.revision);
	json_member_integer(builder, "open_flows", host->open_flows);
	json_member_integer(builder, "peer_flows", host->peer_flows);
	json_member_boolean(builder, "is_silent",
			    health_is_silent(&host->health));
	json_member_boolean(
		builder, "is_down",
		health_is_down(&host->health, clock_now_ns(balancer->clock)));
	json_member_integer(builder, "misses", host->health.retransmissions);
	json_member_integer(
		builder, "progress_age_ms",
		balancer_age_ms(balancer, host->health.progress_ns));
	host_speed_print(balancer, host, builder);
	response_size_print(balancer, host, builder);
	json_builder_end_object(builder);
}

static void hosts_print(struct balancer *balancer, JsonBuilder *builder)
{
	GHashTable *hosts = host_table_all(steering_hosts(balancer->steering));
	GHashTableIter iterator;
	gpointer value;

	json_builder_set_member_name(builder, "hosts");
	json_builder_begin_array(builder);
	g_hash_table_iter_init(&iterator, hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		host_print(balancer, value, builder);
	json_builder_end_array(builder);
}

static bool service_print(void *context, const char *name, JsonBuilder *builder,
			  struct error *error)
{
	struct balancer *balancer = context;
	const GPtrArray *hosts =
		host_table_service(steering_hosts(balancer->steering), name);

	if (!hosts)
		return error_set(error, ERROR_NOT_FOUND, "no service '%.64s'",
				 name);
	json_builder_begin_object(builder);
	json_member_string(builder, "service", name);
	json_builder_set_member_name(builder, "hosts");
	json_builder_begin_array(builder);
	for (guint i = 0; i < hosts->len; i++)
		host_print(balancer, g_ptr_array_index(hosts, i), builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return true;
}

/* Source, version and age of the replicated hosts and routes. */
static void replica_status_print(const struct balancer *balancer,
				 JsonBuilder *builder)
{
	const struct replica_status *replica_status = &balancer->replica_status;
	const struct routing *routing = steering_routing(balancer->steering);

	json_builder_set_member_name(builder, "knowledge");
	json_builder_begin_object(builder);
	json_member_string(builder, "source", replica_status->source);
	json_member_boolean(builder, "is_complete",
			    replica_status->is_complete);
	json_member_integer(builder, "revision",
			    (int64_t)replica_status->position.revision);
	json_member_integer(builder, "era",
			    (int64_t)replica_status->position.era);
	json_member_integer(
		builder, "age_ms",
		balancer_age_ms(balancer, replica_status->confirmed_ns));
	json_member_integer(
		builder, "store_away_ms",
		balancer_age_ms(balancer,
				balancer->store_unreachable_since_ns));
	json_member_integer(builder, "routes_version",
			    routing ? (int64_t)routing->version : 0);
	json_member_integer(builder, "routes",
			    routing ? (int64_t)routing->rule_count : 0);
	json_builder_end_object(builder);
}

static void admission_print_service(void *context,
				    const struct admission_status *status)
{
	const struct admission_load *load = &status->load;
	JsonBuilder *builder = context;

	json_builder_begin_object(builder);
	json_member_string(builder, "service", status->service);
	json_member_boolean(builder, "is_limited", status->is_limited);
	json_member_integer(builder, "limit_per_s",
			    (int64_t)status->limit_per_s);
	json_member_integer(builder, "arrivals_per_s",
			    (int64_t)status->arrivals_per_s);
	json_member_integer(builder, "priorities", status->priorities);
	json_member_integer(builder, "lowest_priority",
			    status->lowest_priority);
	json_member_integer(builder, "lowest_share_permille",
			    (int64_t)(status->lowest_share * 1000));
	if (status->has_load) {
		json_member_integer(builder, "busy_slots",
				    (int64_t)load->busy_slots);
		json_member_integer(builder, "usable_slots",
				    (int64_t)load->usable_slots);
		json_member_integer(builder, "mean_us",
				    load->mean_time_ns / NS_PER_US);
		json_member_integer(builder, "unloaded_us",
				    load->unloaded_time_ns / NS_PER_US);
		json_member_integer(builder, "load_age_ms",
				    load->age_ns / NS_PER_MS);
	}
	json_builder_end_object(builder);
}

static void admission_print(const struct balancer *balancer,
			    JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "admission");
	json_builder_begin_array(builder);
	admission_foreach(steering_admission(balancer->steering),
			  clock_now_ns(balancer->clock),
			  admission_print_service, builder);
	json_builder_end_array(builder);
}

static void members_print(void *context, JsonBuilder *builder)
{
	const struct balancer *balancer = context;

	json_builder_begin_object(builder);
	sharing_print_json(balancer->sharing, builder);
	json_builder_end_object(builder);
}

static void routes_print(void *context, JsonBuilder *builder)
{
	const struct balancer *balancer = context;

	instance_routes_print(steering_routing(balancer->steering),
			      steering_hosts(balancer->steering), builder);
}

static void state_print(void *context, JsonBuilder *builder)
{
	struct balancer *balancer = context;

	counters_sample(balancer);
	json_builder_begin_object(builder);
	json_member_string(builder, "instance_id",
			   balancer->settings->instance_id);
	json_member_string(builder, "availability_zone",
			   balancer->settings->zone);
	json_member_boolean(builder, "is_ready", balancer->is_ready);
	json_member_boolean(builder, "is_leaving", balancer->is_stopping);
	json_member_boolean(builder, "is_isolated",
			    steering_is_isolated(balancer->steering));
	replica_status_print(balancer, builder);
	balancer_drains_print(balancer, builder);
	json_builder_set_member_name(builder, "sharing");
	members_print(balancer, builder);
	zone_loads_print(balancer, builder);
	admission_print(balancer, builder);
	hosts_print(balancer, builder);
	json_builder_set_member_name(builder, "counters");
	json_builder_begin_object(builder);
	counter_registry_print_json(balancer->counters, builder);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
}

static bool explain_print(void *context, const struct flow_key *key,
			  JsonBuilder *builder, struct error *error)
{
	struct balancer *balancer = context;
	const struct cached_flow *flow =
		steering_find_flow(balancer->steering, key);
	enum steering_reason reason = steering_explain(balancer->steering, key);

	(void)error;
	json_builder_begin_object(builder);
	json_member_string(builder, "rule", steering_reason_names[reason]);
	json_member_boolean(builder, "is_known", flow != NULL);
	if (flow) {
		json_member_integer(builder, "repeats", flow->retransmissions);
		json_member_integer(
			builder, "packet_age_ms",
			balancer_age_ms(balancer, flow->last_packet_ns));
	}
	if (flow && flow->host) {
		json_builder_set_member_name(builder, "host");
		host_print(balancer, flow->host, builder);
	}
	replica_status_print(balancer, builder);
	json_builder_end_object(builder);
	return true;
}

static void counters_print(void *context, GString *text)
{
	struct balancer *balancer = context;

	counters_sample(balancer);
	counter_registry_print_text(balancer->counters, text);
}

static void metrics_print(void *context, GString *text)
{
	struct balancer *balancer = context;

	counters_sample(balancer);
	counter_registry_print_metrics(balancer->counters, text);
}

static void counters_open(struct balancer *balancer)
{
	struct counter_registry *counters = counter_registry_create();
	const struct admission *admission =
		steering_admission(balancer->steering);

	balancer->counters = counters;
	counter_registry_add_gauges(counters, "balancer", gauge_names,
				    balancer->gauges, BALANCER_GAUGES);
	counter_registry_add(counters, "total", total_names, balancer->totals,
			     BALANCER_TOTALS);
	counter_registry_add(counters, "decisions", steering_reason_names,
			     steering_reason_counts(balancer->steering),
			     STEERING_REASONS);
	counter_registry_add(
		counters, "host_speeds", host_speed_counter_names,
		host_speeds_counters(steering_host_speeds(balancer->steering)),
		HOST_SPEED_COUNTERS);
	counter_registry_add(counters, "response_sizes",
			     response_size_counter_names,
			     response_sizes_counters(steering_response_sizes(
				     balancer->steering)),
			     RESPONSE_SIZE_COUNTERS);
	counter_registry_add(counters, "slow_start", slow_start_flow_names,
			     steering_slow_start_counts(balancer->steering),
			     SLOW_START_FLOWS);
	counter_registry_add(counters, "admission", admission_reason_names,
			     admission_reason_counts(admission),
			     ADMISSION_REASONS);
	counter_registry_add(
		counters, "admission_admitted", admission_class_names,
		admission_admitted_counts(admission), ADMISSION_CLASSES);
	counter_registry_add(
		counters, "admission_refused", admission_class_names,
		admission_refused_counts(admission), ADMISSION_CLASSES);
	counter_registry_add(counters, "sharing", sharing_counter_names,
			     sharing_counters(balancer->sharing),
			     SHARING_COUNTERS);
	counter_registry_add(counters, "zone_flows", zone_flow_names,
			     steering_zone_flow_counts(balancer->steering),
			     ZONE_FLOWS);
	forwarder_register_counters(balancer->forwarder, counters);
	for (int i = 0; i < PROBE_OUTCOMES; i++)
		balancer->probe_outcome_names[i] = probe_outcome_name(i);
	counter_registry_add(counters, "probes", balancer->probe_outcome_names,
			     balancer->probe_outcome_counts, PROBE_OUTCOMES);
	counter_registry_add_histogram(counters, "store_answer_us",
				       store_response_times(balancer->store));
	counter_registry_add_histogram(
		counters, "poll_answer_us",
		sharing_poll_response_times(balancer->sharing));
	counter_registry_add_histogram(counters, "host_age_ms",
				       &balancer->host_age_ms);
	counter_registry_add_histogram(counters, "routes_delay_ms",
				       &balancer->routes_delay_ms);
	counter_registry_add_histogram(counters, "zone_drain_delay_ms",
				       &balancer->zone_drain_delay_ms);
}

bool balancer_admin_open(struct balancer *balancer, struct error *error)
{
	struct endpoint endpoint;
	struct admin_options options = {
		.print_state = state_print,
		.token = balancer->settings->admin_token,
		.print_members = members_print,
		.print_routes = routes_print,
		.print_service = service_print,
		.print_explain = explain_print,
		.print_counters = counters_print,
		.print_metrics = metrics_print,
		.context = balancer,
	};

	counters_open(balancer);
	if (!endpoint_parse(balancer->settings->admin_endpoint, &endpoint))
		return true;
	options.address = endpoint.address;
	options.port = endpoint.port;
	balancer->admin = admin_create(&options, error);
	return balancer->admin != NULL;
}

void balancer_admin_close(struct balancer *balancer)
{
	admin_destroy(balancer->admin);
	if (balancer->counters)
		counter_registry_destroy(balancer->counters);
}
