#ifndef PARSLEYLADDER_STEERING_STEERING_STATE_H
#define PARSLEYLADDER_STEERING_STEERING_STATE_H

/**
 * State of the decision core, and its layers: steering.c takes a packet and
 * calls opening.c or open_flow.c, and these call host_monitor.c, which observes
 * the hosts and calls host_probes.c; opening.c calls service_spillover.c. Both call host_ejection.c. Lower layers do
 * not call upper ones.
 */

#include <glib.h>

#include "common/token_bucket.h"
#include "steering/rtt_estimate.h"
#include "steering/steering.h"

/** Maximum rate of probes, for all hosts together. */
#define PROBES_PER_S 20

struct steering {
	struct steering_options options;
	struct host_table *hosts;
	struct zone_drains *drains;
	struct flow_cache *flows;
	struct routing *routing; /* NULL until routes are known */
	struct policy_table *policies; /* NULL for none */
	struct admission *admission;
	GHashTable *pools; /* service to struct placement_pool */
	uint64_t silence_changes; /* times a host became silent or recovered */
	GRand *random;
	bool is_synced; /* the first complete listing was applied */
	bool is_up_to_date;
	int64_t any_zone_until_ns; /* until then all zones count as local */
	int64_t up_to_date_since_ns;
	int64_t progress_ns; /* latest of any host */
	/*
	 * From an opening packet to the caller's next one: to the host, on to
	 * the caller and back to this balancer.
	 */
	struct rtt_estimate handshake;
	struct path_check path;
	struct host_speeds *host_speeds;
	struct response_sizes *response_sizes;
	struct slow_start_limits *slow_start;
	uint64_t slow_start_counts[SLOW_START_FLOWS];
	struct token_bucket probe_limit; /* rate, for all hosts */
	struct zone_loads *zone_loads;
	GHashTable *spillovers; /* service to struct service_spillover */
	bool is_spillover_on;
	uint32_t spillover_gain_ms;
	uint64_t zone_flow_counts[ZONE_FLOWS];
	uint64_t reason_counts[STEERING_REASONS];
};

static inline int64_t steering_now(const struct steering *steering)
{
	return clock_now_ns(steering->options.clock);
}

static inline void steering_decide(struct steering_decision *decision,
				   enum steering_verdict verdict,
				   enum steering_reason reason,
				   struct known_host *host)
{
	decision->verdict = verdict;
	decision->reason = reason;
	decision->host = host;
}

/* Limits of hosts in their slow start: slow_start.c. */
void slow_start_open(struct steering *steering);
/** For choices; NULL if no service has a limit. */
struct slow_start_limits *
slow_start_limits_find(const struct steering *steering);
/** True if the host may get an opening packet now. */
bool slow_start_admit(struct steering *steering, const struct known_host *host,
		      int64_t now_ns);
/** An opening packet goes to the host. */
void slow_start_record(struct steering *steering, const struct known_host *host,
		       int64_t now_ns);
void slow_start_tick(struct steering *steering, int64_t now_ns);

/* Opening packets: opening.c. @flow is NULL if the flow is not cached. */
void opening_handle(struct steering *steering,
		    const struct token_packet *packet,
		    const struct route_rule *rule, struct cached_flow *flow,
		    int64_t now_ns, struct steering_decision *decision);

/* Packets of open flows: open_flow.c. */
void open_flow_handle(struct steering *steering,
		      const struct token_packet *packet,
		      struct cached_flow *flow, int64_t now_ns,
		      struct steering_decision *decision);

/** The host has acknowledged all data of the flow before @sequence. */
void flow_window_restart(struct cached_flow *flow, uint32_t sequence);

/* Shares of the new flows that leave the zone: service_spillover.c. */
GHashTable *service_spillovers_create(void);
/** Decides again for each service with new load reports. */
void service_spillovers_tick(struct steering *steering, int64_t now_ns);
/** Returns NULL while nothing is known about the service. */
const struct spillover *service_spillover_find(const struct steering *steering,
					       const char *service);
/** Counts a new flow of a service that prefers the own zone. */
void zone_flow_count(struct steering *steering,
		     const struct spillover *spillover,
		     enum choice_reason choice);

/* What follows from the evidence: host_ejection.c. */
/** Resets the open flows that an ended host cannot serve any more. */
void host_flows_reset(struct steering *steering, struct known_host *host,
		      enum steering_reason reason);
/** The host became silent, so it gets no new flows. */
void ejection_report(struct steering *steering, struct known_host *host);

/* Monitoring of the hosts: host_monitor.c. */
void monitor_progress(struct steering *steering, struct known_host *host,
		      int64_t now_ns);
void monitor_retransmission(struct steering *steering, struct known_host *host,
			    int64_t now_ns);
/** An opening packet got no response in time: probes the host. */
void monitor_ignored_opening(struct steering *steering, struct known_host *host,
			     int64_t now_ns);
/**
 * True if the host is no longer published, its grace period has passed, and it
 * shows no progress.
 */
bool monitor_host_is_dead(const struct known_host *host, int64_t now_ns);
/** The caller of @flow has sent its second packet. */
void monitor_handshake(struct steering *steering,
		       const struct cached_flow *flow, int64_t now_ns);
void monitor_overdue_handshakes(struct steering *steering, int64_t now_ns);
void monitor_dead_hosts(struct steering *steering, int64_t now_ns);
void monitor_slow_hosts(struct steering *steering, int64_t now_ns);

/* Probes of hosts: host_probes.c. */
/** Probes the host if its health asks for it. */
void probe_consider(struct steering *steering, struct known_host *host,
		    int64_t now_ns);
/**
 * True if the path to the hosts has been open at some time since @since_ns; if
 * not, starts a probe to find out.
 */
bool probe_check_path(struct steering *steering, int64_t since_ns);
void monitor_probes(struct steering *steering, int64_t now_ns);

#endif
