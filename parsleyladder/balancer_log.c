#include <inttypes.h>
#include <math.h>

#include "balancer_private.h"
#include "common/log.h"

/* "ADDRESS:PORT>ADDRESS:PORT" */
#define FLOW_TEXT_BYTES (2 * (IP_ADDRESS_TEXT_BYTES + 6) + 2)
/* Five keys with a number of up to 20 digits each. */
#define EVIDENCE_TEXT_BYTES 160

/* All hosts of a zone may be published at once; few change after that. */
#define HOST_LINES_PER_S 50
#define HOST_LINES_BURST 500

static const char *const event_names[RATE_LIMITED_EVENTS] = {
	[EVENT_FLOW_PLACED] = "flow_placed",
	[EVENT_FLOW_REFUSED] = "flow_refused",
	[EVENT_FLOW_RESET] = "flow_reset",
	[EVENT_PACKET_DROPPED] = "packet_dropped",
	[EVENT_PACKET_HELD] = "packet_held",
	[EVENT_HOST_ADDED] = "host_added",
	[EVENT_HOST_CHANGED] = "host_changed",
	[EVENT_HOST_RESTARTED] = "host_restarted",
	[EVENT_HOST_REMOVED] = "host_gone",
	[EVENT_ENTRY_IGNORED] = "entry_ignored",
	[EVENT_ADDRESS_REASSIGNED] = "address_reassigned",
	[EVENT_SPILLOVER_CHANGED] = "spillover_changed",
	[EVENT_HOST_SPEED_CHANGED] = "host_speed_changed",
	[EVENT_HOST_FAILING] = "host_failing",
	[EVENT_HOST_RECOVERED] = "host_recovered",
	[EVENT_SLOW_START_LIMITED] = "slow_start_limited",
	[EVENT_SLOW_START_ENDED] = "slow_start_ended",
};

void log_limits_init(struct balancer *balancer)
{
	uint32_t rate = balancer->settings->decision_lines_per_s;
	struct token_bucket *buckets = balancer->log_limits.buckets;
	int64_t now_ns = clock_now_ns(balancer->clock);

	/* The events about hosts are the last ones of the enum. */
	for (int i = 0; i < EVENT_HOST_ADDED; i++)
		token_bucket_init(&buckets[i], rate, 2 * rate, now_ns);
	for (int i = EVENT_HOST_ADDED; i < RATE_LIMITED_EVENTS; i++)
		token_bucket_init(&buckets[i], HOST_LINES_PER_S,
				  HOST_LINES_BURST, now_ns);
}

bool log_line_is_allowed(struct balancer *balancer,
			 enum rate_limited_event event)
{
	struct log_limits *limits = &balancer->log_limits;

	if (token_bucket_take(&limits->buckets[event],
			      clock_now_ns(balancer->clock), 1))
		return true;
	limits->suppressed[event]++;
	balancer->totals[TOTAL_LOG_SUPPRESSED_LINES]++;
	return false;
}

static const char *flow_print(const struct flow_key *key,
			      char text[FLOW_TEXT_BYTES])
{
	char caller[IP_ADDRESS_TEXT_BYTES];
	char service[IP_ADDRESS_TEXT_BYTES];

	g_snprintf(text, FLOW_TEXT_BYTES, "%s:%u>%s:%u",
		   ip_address_print(&key->caller, caller), key->caller_port,
		   ip_address_print(&key->service, service), key->service_port);
	return text;
}

uint64_t balancer_routes_version(const struct balancer *balancer)
{
	const struct routing *routing = steering_routing(balancer->steering);

	return routing ? routing->version : 0;
}

bool balancer_routes_are_partial(const struct balancer *balancer)
{
	const struct routing *routing = steering_routing(balancer->steering);

	return routing && routing->is_partial;
}

static enum rate_limited_event
decision_event(const struct steering_decision *decision)
{
	if (decision->verdict == STEERING_DROP)
		return EVENT_PACKET_DROPPED;
	if (decision->verdict == STEERING_HOLD)
		return EVENT_PACKET_HELD;
	if (decision->verdict == STEERING_RESET)
		return decision->is_opening ? EVENT_FLOW_REFUSED
					    : EVENT_FLOW_RESET;
	return EVENT_FLOW_PLACED;
}

static const char *choice_name(const struct steering_decision *decision)
{
	if (decision->reason == STEERING_PLACED ||
	    decision->reason == STEERING_PLACED_ELSEWHERE)
		return choice_reason_name(decision->choice);
	return "none";
}

/* What this balancer observed of a host whose flow it ends, and how old it is. */
static const char *evidence_print(const struct balancer *balancer,
				  const struct known_host *host,
				  char text[EVIDENCE_TEXT_BYTES])
{
	const struct host_health *health = &host->health;

	g_snprintf(text, EVIDENCE_TEXT_BYTES,
		   " misses=%u progress_age_ms=%" PRId64
		   " probe_age_ms=%" PRId64 " refusing=%d"
		   " down_age_ms=%" PRId64,
		   health->retransmissions,
		   balancer_age_ms(balancer, health->progress_ns),
		   balancer_age_ms(balancer, health->probed_ns),
		   health->is_refusing,
		   balancer_age_ms(balancer, health->down_ns));
	return text;
}

void flow_log_decision(void *context, const struct token_packet *packet,
		       const struct steering_decision *decision)
{
	struct balancer *balancer = context;
	const struct known_host *host = decision->host;
	enum rate_limited_event event = decision_event(decision);
	char evidence[EVIDENCE_TEXT_BYTES] = "";
	char flow[FLOW_TEXT_BYTES];

	if (event == EVENT_FLOW_PLACED)
		histogram_record(
			&balancer->host_age_ms,
			(uint64_t)MAX(
				balancer_age_ms(
					balancer,
					balancer->replica_status.confirmed_ns),
				0));
	if (!log_line_is_allowed(balancer, event))
		return;
	if (event == EVENT_FLOW_RESET && host)
		evidence_print(balancer, host, evidence);
	log_event(LOG_LEVEL_INFO, event_names[event],
		  "flow=%s token=%08x seq=%u copy=%u reason=%s choice=%s "
		  "host=%s zone=%s flows=%u host_revision=%" PRIu64
		  " version=%" PRIu64 " revision=%" PRIu64 " age_ms=%" PRId64
		  "%s",
		  flow_print(&packet->fields.key, flow),
		  host ? host->token : packet->token,
		  packet->fields.tcp_sequence, packet->copy,
		  steering_reason_names[decision->reason],
		  choice_name(decision), host ? host->published.id : "none",
		  host ? host->published.zone : "none",
		  host ? host->open_flows : 0,
		  host ? host->published.position.revision : 0,
		  balancer_routes_version(balancer),
		  balancer->replica_status.position.revision,
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns),
		  evidence);
}

void flow_log_reset(struct balancer *balancer, const struct cached_flow *flow,
		    enum steering_reason reason)
{
	const struct known_host *host = flow->host;
	char evidence[EVIDENCE_TEXT_BYTES];
	char text[FLOW_TEXT_BYTES];

	if (!log_line_is_allowed(balancer, EVENT_FLOW_RESET))
		return;
	log_event(LOG_LEVEL_INFO, event_names[EVENT_FLOW_RESET],
		  "flow=%s token=%08x reason=%s host=%s packet_age_ms=%" PRId64
		  " revision=%" PRIu64 " age_ms=%" PRId64 "%s",
		  flow_print(&flow->key, text), host->token,
		  steering_reason_names[reason], host->published.id,
		  balancer_age_ms(balancer, flow->last_packet_ns),
		  balancer->replica_status.position.revision,
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns),
		  evidence_print(balancer, host, evidence));
}

void log_limits_report(struct balancer *balancer)
{
	uint64_t *suppressed = balancer->log_limits.suppressed;

	for (int i = 0; i < RATE_LIMITED_EVENTS; i++) {
		if (suppressed[i] == 0)
			continue;
		log_event(LOG_LEVEL_WARNING, "lines_left_out",
			  "of=%s count=%" PRIu64, event_names[i],
			  suppressed[i]);
		suppressed[i] = 0;
	}
}

static void host_log_published(struct balancer *balancer,
			       const struct known_host *host,
			       enum rate_limited_event event)
{
	const struct host_announcement *published = &host->published;
	char address[IP_ADDRESS_TEXT_BYTES];

	log_event(LOG_LEVEL_INFO, event_names[event],
		  "host=%s service=%s zone=%s address=%s:%u slots=%u state=%s "
		  "slow_start_ms=%u born=%" PRIu64 " host_revision=%" PRIu64
		  " source=%s routed=%d",
		  published->id, published->service, published->zone,
		  ip_address_print(&published->address, address),
		  published->port, published->slots,
		  published->is_draining ? "draining" : "ready",
		  published->slow_start_ms, published->started_ms,
		  published->position.revision, balancer->replica_status.source,
		  host_is_routed(host));
}

void host_log_changed(void *context, const struct known_host *host, bool is_new)
{
	struct balancer *balancer = context;
	enum rate_limited_event event = is_new ? EVENT_HOST_ADDED
					       : EVENT_HOST_CHANGED;

	if (log_line_is_allowed(balancer, event))
		host_log_published(balancer, host, event);
	if (host->has_token_conflict)
		log_event(
			LOG_LEVEL_ERROR, "token_shared",
			"host=%s token=%08x "
			"reason=\"another host has this token; no new flows\"",
			host->published.id, host->token);
}

void host_log_deferred(void *context, const struct known_host *host)
{
	struct balancer *balancer = context;
	const struct host_announcement *announcement = host->deferred;
	char *service = g_strescape(announcement->service, NULL);

	if (log_line_is_allowed(balancer, EVENT_HOST_CHANGED))
		log_event(LOG_LEVEL_WARNING, "announcement_deferred",
			  "host=%s revision=%" PRIu64 " service=\"%s\" "
			  "known_service=%s known_revision=%" PRIu64
			  " reason=\"no route leads to the service\"",
			  host->published.id, announcement->position.revision,
			  service, host->published.service,
			  host->published.position.revision);
	g_free(service);
}

void entry_log_ignored(struct balancer *balancer, const struct store_item *item,
		       const char *reason)
{
	char *key;

	if (!log_line_is_allowed(balancer, EVENT_ENTRY_IGNORED))
		return;
	key = g_strescape(item->key, NULL);
	log_event(LOG_LEVEL_WARNING, event_names[EVENT_ENTRY_IGNORED],
		  "key=\"%s\" revision=%" PRIu64 " reason=\"%s\"", key,
		  item->position.revision, reason);
	g_free(key);
}

void host_log_ended(void *context, const struct known_host *host,
		    bool is_restarted)
{
	struct balancer *balancer = context;
	enum rate_limited_event event = is_restarted ? EVENT_HOST_RESTARTED
						     : EVENT_HOST_REMOVED;

	if (!log_line_is_allowed(balancer, event))
		return;
	log_event(LOG_LEVEL_INFO, event_names[event],
		  "host=%s service=%s state=%s flows=%u revision=%" PRIu64
		  " source=%s",
		  host->published.id, host->published.service,
		  host->published.is_draining ? "draining" : "ready",
		  host->open_flows, host->removed_position.revision,
		  balancer->replica_status.source);
}

void host_log_silence_changed(void *context, const struct known_host *host,
			      bool is_silent)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_WARNING, is_silent ? "host_silent" : "host_answers",
		  "host=%s zone=%s flows=%u misses=%u progress_age_ms=%" PRId64
		  " isolated=%d",
		  host->published.id, host->published.zone, host->open_flows,
		  host->health.retransmissions,
		  balancer_age_ms(balancer, host->health.progress_ns),
		  steering_is_isolated(balancer->steering));
}

void host_log_reassigned(void *context, const struct known_host *host,
			 const struct known_host *successor)
{
	const struct host_announcement *published = &successor->published;
	struct balancer *balancer = context;
	char address[IP_ADDRESS_TEXT_BYTES];

	if (!log_line_is_allowed(balancer, EVENT_ADDRESS_REASSIGNED))
		return;
	log_event(LOG_LEVEL_WARNING, event_names[EVENT_ADDRESS_REASSIGNED],
		  "host=%s address=%s:%u flows=%u born=%" PRIu64
		  " host_revision=%" PRIu64 " successor=%s "
		  "successor_service=%s successor_born=%" PRIu64
		  " successor_revision=%" PRIu64 " progress_age_ms=%" PRId64,
		  host->published.id,
		  ip_address_print(&published->address, address),
		  published->port, host->open_flows, host->published.started_ms,
		  host->published.position.revision, published->id,
		  published->service, published->started_ms,
		  published->position.revision,
		  balancer_age_ms(balancer, host->health.progress_ns));
}

void host_log_down(void *context, const struct known_host *host,
		   enum probe_result result)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_WARNING, "host_down",
		  "host=%s zone=%s flows=%u reason=%s timeouts=%u misses=%u "
		  "progress_age_ms=%" PRId64 " prompt_age_ms=%" PRId64
		  " isolated=%d",
		  host->published.id, host->published.zone, host->open_flows,
		  result == PROBE_RESULT_DOWN ? "refused" : "timeouts",
		  host->health.probe_timeouts, host->health.retransmissions,
		  balancer_age_ms(balancer, host->health.progress_ns),
		  balancer_age_ms(
			  balancer,
			  steering_path(balancer->steering)->prompt_since_ns),
		  steering_is_isolated(balancer->steering));
}

void host_log_slowness_changed(void *context, const struct known_host *host)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_WARNING,
		  host->health.is_slow ? "host_slow" : "host_well",
		  "host=%s zone=%s flows=%u response_ms=%" PRId64
		  " answer_age_ms=%" PRId64,
		  host->published.id, host->published.zone, host->open_flows,
		  host->health.response_ns / NS_PER_MS,
		  balancer_age_ms(balancer, host->health.responded_ns));
}

/*
 * The speed of the host and what it rests on: the speed of the leader, if
 * received_age_ms is recent, else the own samples and reports. The time is that
 * of requests to this host relative to other hosts, the load that of its flows
 * above its fair share.
 */
void host_log_speed_changed(void *context, const struct known_host *host)
{
	struct balancer *balancer = context;
	const struct host_speed *speed = host->speed;

	if (!log_line_is_allowed(balancer, EVENT_HOST_SPEED_CHANGED))
		return;
	log_event(LOG_LEVEL_INFO, event_names[EVENT_HOST_SPEED_CHANGED],
		  "host=%s service=%s zone=%s flows=%u peer_flows=%u "
		  "speed=%.2f samples=%.0f time=%.2f load=%.2f "
		  "measured=%.2f sample_age_ms=%" PRId64
		  " received=%.2f received_age_ms=%" PRId64,
		  host->published.id, host->published.service,
		  host->published.zone, host->open_flows, host->peer_flows,
		  1 + host->speed_offset, speed->totals.samples,
		  exp(speed->time_log), exp(speed->load_log),
		  exp(speed->measured_log),
		  balancer_age_ms(balancer, speed->sampled_ns),
		  exp(speed->received_log),
		  balancer_age_ms(balancer, speed->received_ns));
}

/*
 * The responses that this balancer knows of and the mark of the leader, which
 * applies while received_age_ms is recent. A host that the leader has marked may
 * have no mark of this balancer (marked_age_ms=-1).
 */
void host_log_failing_changed(void *context, const struct known_host *host)
{
	struct balancer *balancer = context;
	const struct response_size *size = host->sizes;
	enum rate_limited_event event = host->is_failing ? EVENT_HOST_FAILING
							 : EVENT_HOST_RECOVERED;

	if (!log_line_is_allowed(balancer, event))
		return;
	log_event(LOG_LEVEL_WARNING, event_names[event],
		  "host=%s service=%s zone=%s flows=%u peer_flows=%u "
		  "responses=%u short=%u peer_share=%.3f recovery=%.1f "
		  "marked_age_ms=%" PRId64 " sample_age_ms=%" PRId64
		  " received=%d received_age_ms=%" PRId64,
		  host->published.id, host->published.service,
		  host->published.zone, host->open_flows, host->peer_flows,
		  size->marked.responses, size->marked.shorts, size->peer_share,
		  size->recovery, balancer_age_ms(balancer, size->marked_ns),
		  balancer_age_ms(balancer, size->sampled_ns),
		  size->is_received,
		  balancer_age_ms(balancer, size->received_ns));
}

void host_log_slow_start(void *context, const struct limited_host *host,
			 bool is_limited)
{
	struct balancer *balancer = context;
	const struct slow_start_place *place = &host->place;
	enum rate_limited_event event = is_limited ? EVENT_SLOW_START_LIMITED
						   : EVENT_SLOW_START_ENDED;

	if (!log_line_is_allowed(balancer, event))
		return;
	log_event(LOG_LEVEL_INFO, event_names[event],
		  "host=%s service=%s zone=%s flows_per_1000_s=%u "
		  "overage_permille=%u slack_permille=%u allowed=%u placed=%d "
		  "members=%u rank=%u zones=%u share=%u share_age_ms=%" PRId64
		  " remaining_ms=%" PRId64 " sent=%" PRIu64 " skipped=%" PRIu64
		  " version=%" PRIu64 " age_ms=%" PRId64,
		  host->id, host->service, host->zone,
		  host->bound.flows_per_1000_s, host->bound.overage_permille,
		  host->bound.slack_permille, host->allowed, host->is_placed,
		  place->members, place->rank, place->zones, host->share,
		  balancer_age_ms(balancer, host->computed_ns),
		  -balancer_age_ms(balancer, host->until_ns), host->sent,
		  host->skipped, balancer_routes_version(balancer),
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns));
}

void admission_log_changed(void *context, const struct admission_status *status)
{
	const struct admission_load *load = &status->load;

	(void)context;
	log_event(LOG_LEVEL_WARNING, "admission_changed",
		  "service=%s limited=%d limit_per_s=%.1f "
		  "arrivals_per_s=%.1f priorities=%u lowest_priority=%u "
		  "lowest_share=%.2f has_load=%d busy_slots=%.1f "
		  "usable_slots=%.0f mean_us=%" PRId64 " unloaded_us=%" PRId64
		  " load_age_ms=%" PRId64,
		  status->service, status->is_limited, status->limit_per_s,
		  status->arrivals_per_s, status->priorities,
		  status->lowest_priority, status->lowest_share,
		  status->has_load, load->busy_slots, load->usable_slots,
		  load->mean_time_ns / NS_PER_US,
		  load->unloaded_time_ns / NS_PER_US, load->age_ns / NS_PER_MS);
}
