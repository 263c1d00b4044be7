#ifndef PARSLEYLADDER_BALANCER_PRIVATE_H
#define PARSLEYLADDER_BALANCER_PRIVATE_H

/**
 * State of the balancer process, shared by its source files. The replica is
 * this balancer's copy of the published hosts and routes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "admin/admin.h"
#include "common/counters.h"
#include "common/token_bucket.h"
#include "configuration/settings.h"
#include "edge/connect_probe.h"
#include "edge/edge.h"
#include "parsleyladder/balancer.h"
#include "parsleyladder/forwarder.h"
#include "platform/readiness.h"
#include "platform/store.h"
#include "sharing/sharing.h"
#include "steering/steering.h"

/**
 * Frequent events, each with its own rate limit in the log. The order matters:
 * EVENT_HOST_ADDED and those after it have the limit for lines about hosts.
 */
enum rate_limited_event {
	EVENT_FLOW_PLACED,
	EVENT_FLOW_REFUSED, /* an opening packet is answered with a reset */
	EVENT_FLOW_RESET, /* an open flow is reset */
	EVENT_PACKET_DROPPED,
	EVENT_PACKET_HELD, /* until hosts and routes are known */
	EVENT_HOST_ADDED,
	EVENT_HOST_CHANGED,
	EVENT_HOST_RESTARTED,
	EVENT_HOST_REMOVED,
	EVENT_ENTRY_IGNORED,
	EVENT_ADDRESS_REASSIGNED,
	EVENT_SPILLOVER_CHANGED,
	EVENT_HOST_SPEED_CHANGED,
	EVENT_HOST_FAILING,
	EVENT_HOST_RECOVERED,
	EVENT_SLOW_START_LIMITED,
	EVENT_SLOW_START_ENDED,
	RATE_LIMITED_EVENTS,
};

/** Rate limits of these events; see balancer_log.c. */
struct log_limits {
	struct token_bucket buckets[RATE_LIMITED_EVENTS];
	uint64_t suppressed[RATE_LIMITED_EVENTS]; /* since the last summary */
};

/** Values that are sampled when the counters are read. */
enum balancer_gauge {
	GAUGE_FLOWS,
	GAUGE_HOSTS,
	GAUGE_HOSTS_UNROUTED, /* of these, no route leads to the service */
	GAUGE_READY,
	GAUGE_STORE_READER,
	GAUGE_ROUTES_VERSION,
	GAUGE_ANNOUNCED_ROUTES_VERSION,
	GAUGE_ROUTES_PARTIAL,
	GAUGE_REVISION,
	GAUGE_STORE_ERA,
	GAUGE_UNLISTED_HOSTS, /* not in the restored store, removed soon */
	GAUGE_WITHHELD_HOSTS, /* in it as ready, but left before: no flows */
	GAUGE_REPLICA_AGE_MS,
	GAUGE_HANDSHAKE_US, /* smoothed mean of the handshakes of new flows */
	GAUGE_HANDSHAKE_LIMIT_US, /* longer ones are overdue; 0: not known */
	GAUGE_HANDSHAKE_SAMPLES,
	GAUGE_DRAINED_ZONES,
	GAUGE_DRAINED_ZONE_FLOWS, /* open, of this balancer */
	GAUGE_SPILLOVER_PERMILLE, /* share of the busiest service that leaves */
	GAUGE_UNEQUAL_HOSTS, /* whose speed differs from that of their peers */
	GAUGE_FAILING_HOSTS, /* marked as failing fast */
	GAUGE_LIMITED_HOSTS, /* by slow-start limits */
	BALANCER_GAUGES,
};

enum balancer_total {
	TOTAL_LOG_BYTES,
	TOTAL_LOG_DROPPED_LINES,
	TOTAL_LOG_SUPPRESSED_LINES, /* by the rate limits */
	TOTAL_STORE_CALLS,
	TOTAL_STORE_RESTORES, /* of which this balancer has a listing */
	TOTAL_EVICTIONS, /* of the flow cache */
	TOTAL_UNKNOWN_SENDERS, /* datagrams not from the sharing port */
	TOTAL_ADMIN_REFUSED, /* connections to the administration API */
	BALANCER_TOTALS,
};

struct balancer {
	char *settings_path;
	struct settings *settings; /* in use */
	/* The file as last loaded; NULL if it has not changed since startup. */
	struct settings *file_settings;
	const struct clock *clock;
	GMainLoop *loop;
	uint64_t random_seed;
	struct steering *steering;
	struct forwarder *forwarder;
	struct store *store;
	struct readiness *readiness;
	struct admin *admin; /* NULL if there is no admin endpoint */
	struct counter_registry *counters;
	GHashTable *probes; /* struct host_probe, as a set */
	uint64_t probe_outcome_counts[PROBE_OUTCOMES];
	const char *probe_outcome_names[PROBE_OUTCOMES];
	uint64_t gauges[BALANCER_GAUGES];
	uint64_t totals[BALANCER_TOTALS];
	/* Time since the replica was last confirmed, at each placement. */
	struct histogram host_age_ms;
	/* Upper bound of the time from publication of routes to their use. */
	struct histogram routes_delay_ms;
	/* Upper bound of the time until a drain or its end is in force. */
	struct histogram zone_drain_delay_ms;
	struct log_limits log_limits;
	struct sharing *sharing;
	struct edge *sharing_edge; /* datagrams of other balancers */
	struct replica_status replica_status;
	uint64_t era; /* of the replica, as last logged */
	struct host_listing *store_listing; /* NULL if none is in progress */
	int64_t store_unreachable_since_ns; /* 0 while the store answers */
	bool is_synced; /* hosts and routes were complete once */
	/* Generation of the hosts when packets were last released. */
	uint64_t released_generation;
	bool is_ready;
	bool is_stopping;
	int64_t stopping_since_ns;
	int64_t last_iteration_ns; /* when the main loop last ran */
	int64_t discard_until_ns; /* packets are dropped before this */
	uint64_t last_packet_count;
	int64_t last_packet_ns;
	uint32_t ticks;
	guint start_timer; /* 0 once the replica is synced */
};

/** Time since @since_ns in milliseconds, -1 for never. */
static inline int64_t balancer_age_ms(const struct balancer *balancer,
				      int64_t since_ns)
{
	if (since_ns == 0)
		return -1;
	return (clock_now_ns(balancer->clock) - since_ns) / NS_PER_MS;
}

/** Sets the rate limits of the settings, with full buckets. */
void log_limits_init(struct balancer *balancer);
/** Logs a decision about a packet of a caller. */
void flow_log_decision(void *context, const struct token_packet *packet,
		       const struct steering_decision *decision);
/** Logs the reset of an open flow that was not caused by a packet. */
void flow_log_reset(struct balancer *balancer, const struct cached_flow *flow,
		    enum steering_reason reason);
/** False if the event is above its rate limit, which counts it. */
bool log_line_is_allowed(struct balancer *balancer,
			 enum rate_limited_event event);
/** Logs how many lines the rate limits suppressed, if any. */
void log_limits_report(struct balancer *balancer);
/** Logs the new published data of a host. */
void host_log_changed(void *context, const struct known_host *host,
		      bool is_new);
/** Logs that an announcement of a known host was ignored. */
void host_log_deferred(void *context, const struct known_host *host);
/** Logs that an entry of the store is not used. */
void entry_log_ignored(struct balancer *balancer, const struct store_item *item,
		       const char *reason);
/** Logs that a host was removed or restarted. */
void host_log_ended(void *context, const struct known_host *host,
		    bool is_restarted);
void host_log_silence_changed(void *context, const struct known_host *host,
			      bool is_silent);
void host_log_reassigned(void *context, const struct known_host *host,
			 const struct known_host *successor);
void host_log_down(void *context, const struct known_host *host,
		   enum probe_result result);
void host_log_slowness_changed(void *context, const struct known_host *host);
void host_log_speed_changed(void *context, const struct known_host *host);
void host_log_failing_changed(void *context, const struct known_host *host);

/** Logs that a host got a slow-start limit, or has it no longer. */
void host_log_slow_start(void *context, const struct limited_host *host,
			 bool is_limited);
/** Logs that the limit of the new flows of a service changed. */
void admission_log_changed(void *context,
			   const struct admission_status *status);

/** Starts a probe that finds out whether a host accepts connections. */
void host_probe_start(void *context, const struct known_host *host);
/** Cancels all probes; their outcomes are not reported. */
void host_probes_cancel(struct balancer *balancer);

/** Opens the sharing socket and starts replication with other balancers. */
bool balancer_sharing_open(struct balancer *balancer, struct error *error);
void balancer_sharing_close(struct balancer *balancer);
/** Passes the valid seeds of the settings on; logs the others. */
void balancer_seeds_set(struct balancer *balancer);
/**
 * Releases the held packets once hosts and routes are known for the first time.
 */
void balancer_sync_check(struct balancer *balancer);
/** Updates the readiness that the fabric sees; logs a change. */
void balancer_ready_update(struct balancer *balancer);
/** Logs that a listing of a new era of the store is in force. */
void balancer_era_check(struct balancer *balancer);
/** Creates the store client, which does not watch the store yet. */
void balancer_store_open(struct balancer *balancer);
void balancer_store_close(struct balancer *balancer);
/** Version of the routes in force; 0 for none. */
uint64_t balancer_routes_version(const struct balancer *balancer);
/** True if the routes in force lack attributes and service limits. */
bool balancer_routes_are_partial(const struct balancer *balancer);
/** Applies routes if they are newer than the current ones. */
void balancer_routing_apply(struct balancer *balancer, struct routing *routing);

/** Applies an entry about a drained zone, which may be invalid. */
void balancer_drain_apply(struct balancer *balancer,
			  const struct store_item *item);
/** Records and logs that a zone is drained, or no longer. */
void balancer_drain_changed(void *context, const struct zone_drain *drain);
/** Adds the drained zones to the JSON object that is open in @builder. */
void balancer_drains_print(struct balancer *balancer, JsonBuilder *builder);
/** Updates the gauges of drained zones. */
void balancer_drains_sample(struct balancer *balancer);

/** Applies the profiles, teams and services of the settings. */
void balancer_policies_set(struct balancer *balancer,
			   const struct settings *settings);

/** Applies the settings about leaving a busy availability zone. */
void balancer_spillover_set(struct balancer *balancer,
			    const struct settings *settings);
/** Logs a change of the share of new flows that leaves the zone. */
void spillover_log_changed(void *context, const char *service,
			   const struct spillover *spillover,
			   const struct spillover_input *input);
/** Adds the loads of the zones to the JSON object that is open in @builder. */
void zone_loads_print(struct balancer *balancer, JsonBuilder *builder);
/** Applies the settings of the slow-start limits. */
void balancer_slow_start_set(struct balancer *balancer,
			     const struct settings *settings);
/** Rank of this balancer among the members for a host; see sharing_find_rank(). */
bool balancer_rank_find(void *context, const char *host_id, uint32_t *members,
			uint32_t *rank);

/** Opens the administration server, if there is an endpoint for it. */
bool balancer_admin_open(struct balancer *balancer, struct error *error);
void balancer_admin_close(struct balancer *balancer);

#endif
