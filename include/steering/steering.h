#ifndef PARSLEYLADDER_STEERING_STEERING_H
#define PARSLEYLADDER_STEERING_STEERING_H

/**
 * Forwarding decisions for packets that carry a token: four bytes that both
 * ends of a flow return and that identify the host. The balancer that receives
 * the opening packet selects a host; from then on any balancer can forward
 * packets of the flow without state. No I/O is done here; the clock is passed
 * in.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "packet/packet.h"
#include "steering/admission.h"
#include "steering/choose.h"
#include "steering/flow_cache.h"
#include "steering/host_speeds.h"
#include "steering/host_table.h"
#include "steering/path_check.h"
#include "steering/policy.h"
#include "steering/response_size.h"
#include "steering/routing.h"
#include "steering/rtt_estimate.h"
#include "steering/slow_start_limit.h"
#include "steering/spillover.h"
#include "steering/zone_drains.h"
#include "steering/zone_load.h"

/** Fields of a packet from a caller that a decision needs. */
struct token_packet {
	struct packet_fields fields;
	uint32_t token; /* 0 if the packet carries none */
	uint32_t copy; /* retransmission number of a SYN, 0 for the first one */
};

enum steering_verdict {
	STEERING_FORWARD,
	STEERING_RESET, /* send a reset to the caller */
	STEERING_DROP,
	STEERING_HOLD, /* decide again once the hosts and routes are known */
	STEERING_VERDICTS,
};

/** Reasons of a decision. */
enum steering_reason {
	STEERING_PLACED, /* new flow; see the reason of the choice */
	STEERING_PLACED_AGAIN, /* retransmission, to the same host */
	STEERING_PLACED_ELSEWHERE, /* retransmission, first host unresponsive */
	STEERING_TOKEN, /* open flow, to the host of the token */
	STEERING_CACHED, /* open flow without a token, host from the cache */
	STEERING_NO_ROUTE, /* no route for the address and port */
	STEERING_NO_HOST, /* no host of the service accepts flows */
	STEERING_SERVICE_LIMIT, /* too many new flows of the service */
	STEERING_TEAM_LIMIT, /* too many new flows of its team */
	STEERING_SLOW_START_LIMIT, /* only hosts above their slow-start limit */
	STEERING_NO_ROOM, /* hosts are full, and the route is less urgent */
	STEERING_HOST_SILENT, /* the host is down, according to probes */
	STEERING_HOST_REMOVED, /* no longer published, or has restarted */
	STEERING_TOKEN_UNKNOWN, /* no host has the token */
	STEERING_NOT_READY, /* no complete listing is known yet */
	STEERING_NO_TOKEN, /* open flow without a token or a cache entry */
	STEERING_REASONS,
};

/** New flows of services that prefer the own zone: where they go, and why. */
enum zone_flow {
	ZONE_FLOW_LEFT_LOST_SLOTS, /* the own zone has lost slots */
	ZONE_FLOW_LEFT_NO_HOST, /* it has no usable host */
	ZONE_FLOW_LEFT_SHORTER, /* the response comes earlier elsewhere */
	ZONE_FLOW_LEFT_FULL, /* the own zone is full */
	ZONE_FLOW_KEPT_OFF, /* leaving is switched off */
	ZONE_FLOW_KEPT_ROOM, /* the own zone has spare capacity */
	ZONE_FLOW_KEPT_NO_REPORTS, /* the load of the zones is not known */
	ZONE_FLOW_KEPT_NO_GAIN, /* it would not be answered earlier */
	ZONE_FLOW_KEPT_OTHERS_FULL, /* no other zone has spare capacity */
	ZONE_FLOW_KEPT_SHARE, /* a share leaves, this flow is not in it */
	ZONE_FLOWS,
};

/** New flows for which a host was skipped because of its slow-start limit. */
enum slow_start_flow {
	SLOW_START_FLOW_MOVED, /* placed on another host */
	SLOW_START_FLOW_REFUSED, /* no other host was left */
	SLOW_START_FLOW_DROPPED, /* the same, for a copy of an opening packet */
	SLOW_START_FLOWS,
};

struct steering_decision {
	enum steering_verdict verdict;
	enum steering_reason reason;
	struct known_host *host; /* STEERING_FORWARD */
	bool is_opening; /* the packet opens a new flow */
	enum choice_reason
		choice; /* STEERING_PLACED, STEERING_PLACED_ELSEWHERE */
};

struct steering;

struct steering_options {
	const struct clock *clock;
	const char *zone; /* of this balancer */
	uint32_t flows_max; /* entries of the flow cache */
	uint32_t flow_age_max_s; /* retention of removed hosts */
	uint64_t random_seed;
	/**
	 * Sends a reset to the caller of an open flow without having received a
	 * packet from it; its sequence number is @acknowledged of @flow.
	 */
	void (*reset)(void *context, const struct cached_flow *flow,
		      enum steering_reason reason);
	/**
	 * Starts a probe of the host, whose result is passed to
	 * steering_probe_end(); NULL if this balancer probes no hosts.
	 */
	void (*probe)(void *context, const struct known_host *host);
	/**
	 * No known host has the token of an open flow: asks other balancers,
	 * since a removed host may still serve its open flows.
	 */
	void (*lookup_token)(void *context, uint32_t token);
	/** An announcement of @host waits for routes to its service. */
	void (*on_host_deferred)(void *context, const struct known_host *host);
	/** A host was added, or its published properties changed. */
	void (*on_host_changed)(void *context, const struct known_host *host,
				bool is_new);
	/** A host restarted or is no longer published. */
	void (*on_host_ended)(void *context, const struct known_host *host,
			      bool is_restarted);
	/** A host stopped responding and gets no new flows, or responds again. */
	void (*on_host_silence_changed)(void *context,
					const struct known_host *host,
					bool is_silent);
	/** Probes show that a host is down, so open flows to it end. */
	void (*on_host_down)(void *context, const struct known_host *host,
			     enum probe_result result);
	/**
	 * A probe of @host was accepted, but the address was assigned to
	 * @successor since: it counts as refused.
	 */
	void (*on_address_reassigned)(void *context,
				      const struct known_host *host,
				      const struct known_host *successor);
	/** The is_slow mark of a host's health changed. */
	void (*on_host_slowness_changed)(void *context,
					 const struct known_host *host);
	/** A zone is drained now, or no longer; its hosts are marked. */
	void (*on_zone_drain_changed)(void *context,
				      const struct zone_drain *drain);
	/**
	 * The share of the new flows of @service that leaves the zone changed,
	 * or its reason did; at most once a second. NULL for none.
	 */
	void (*on_spillover_changed)(void *context, const char *service,
				     const struct spillover *spillover,
				     const struct spillover_input *input);
	/** The speed of a host changed by a tenth or more; NULL for none. */
	void (*on_host_speed_changed)(void *context,
				      const struct known_host *host);
	/** The is_failing mark of a host changed; NULL for none. */
	void (*on_host_failing_changed)(void *context,
					const struct known_host *host);
	/** See struct slow_start_options. */
	bool (*find_rank)(void *context, const char *host_id, uint32_t *members,
			  uint32_t *rank);
	void (*on_slow_start_limit_changed)(void *context,
					    const struct limited_host *host,
					    bool is_limited);
	/** See struct admission_options. */
	void (*on_admission_changed)(void *context,
				     const struct admission_status *status);
	void *context;
};

struct steering *steering_create(const struct steering_options *options);
void steering_destroy(struct steering *steering);

/** Decides about one packet of a caller. */
void steering_handle_packet(struct steering *steering,
			    const struct token_packet *packet,
			    struct steering_decision *decision);
/**
 * Applies newer routes; false if their version is not above the current one,
 * unless they complete partial routes of the same version. Takes its own
 * reference.
 */
bool steering_set_routing(struct steering *steering, struct routing *routing);
/** Replaces the policies of the services and owns @policies; NULL for none. */
void steering_set_policies(struct steering *steering,
			   struct policy_table *policies);
/**
 * Sets the limits of hosts in their slow start, besides those of the routes.
 * They are on by default, without overage and slack.
 */
void steering_set_slow_start(struct steering *steering,
			     const struct slow_start_settings *settings);
/** True if a service has a slow-start limit. */
bool steering_has_slow_start_limits(const struct steering *steering);
/** Number of hosts that have a slow-start limit now. */
uint32_t steering_limited_host_count(const struct steering *steering);
/** New flows so far: SLOW_START_FLOWS values. */
const uint64_t *steering_slow_start_counts(const struct steering *steering);
extern const char *const slow_start_flow_names[SLOW_START_FLOWS];
/** Refuses new flows by the priority of their routes; off initially. */
void steering_set_admission(struct steering *steering, bool is_enabled);
/** For counters and the state dump. */
const struct admission *steering_admission(const struct steering *steering);
/** Current routes, or NULL. */
struct routing *steering_routing(const struct steering *steering);
struct host_table *steering_hosts(struct steering *steering);
struct zone_drains *steering_zone_drains(const struct steering *steering);
struct host_speeds *steering_host_speeds(struct steering *steering);
struct response_sizes *steering_response_sizes(struct steering *steering);
/** Whether hosts that fail fast are kept from new flows; not so at first. */
void steering_set_failing_host_ejection(struct steering *steering,
					bool is_enabled);
/** Whether the weight of a host depends on its speed; not so at first. */
void steering_set_host_speed_weights(struct steering *steering,
				     bool is_enabled);
/**
 * The first complete listing was applied, and drained zones are known as far as
 * they can be. Until then, only packets whose token
 * belongs to a known host are forwarded.
 */
void steering_set_synced(struct steering *steering);
/**
 * Tells whether the published state is known completely and up to date; only
 * then are flows reset merely because their host was removed.
 */
void steering_set_up_to_date(struct steering *steering, bool is_up_to_date);
/**
 * All balancers have restarted: callers of zones whose balancers are not ready
 * yet come here, so hosts of all zones take flows alike for a while.
 */
void steering_handle_fleet_restart(struct steering *steering);
/** Passes on the result of the probe of the host with this id. */
void steering_probe_end(struct steering *steering, const char *id,
			enum probe_result result);
/** Expires flows and hosts, starts probes; call it every STEERING_TICK_MS. */
void steering_tick(struct steering *steering);
/** Time of the handshakes with which flows opened. */
const struct rtt_estimate *steering_handshake(const struct steering *steering);
/** Whether packets pass promptly between callers, this balancer and hosts. */
const struct path_check *steering_path(const struct steering *steering);
/** True while several hosts are silent and no host responds. */
bool steering_is_isolated(const struct steering *steering);
/** Loads of the zones, as observed here and as reported by other balancers. */
struct zone_loads *steering_zone_loads(struct steering *steering);
/**
 * Switches the share of new flows that leaves a busy zone on or off; @gain_ms:
 * how much earlier the response has to come. On by default, with 5 ms.
 */
void steering_set_spillover(struct steering *steering, bool is_on,
			    uint32_t gain_ms);
/** What was last decided for the service; NULL if nothing was. */
const struct spillover *steering_spillover(const struct steering *steering,
					   const char *service);
/** Thousandths of the new flows of the busiest service that leave the zone. */
uint32_t steering_spillover_permille(const struct steering *steering);
/** New flows so far: ZONE_FLOWS values. */
const uint64_t *steering_zone_flow_counts(const struct steering *steering);
extern const char *const zone_flow_names[ZONE_FLOWS];
/** Returns NULL if the flow is not in the cache. */
const struct cached_flow *steering_find_flow(struct steering *steering,
					     const struct flow_key *key);
/**
 * Expected reason of the decision about the next packet of a flow, or about an
 * opening packet if the flow is not in the cache. Changes nothing.
 */
enum steering_reason steering_explain(struct steering *steering,
				      const struct flow_key *key);
uint64_t steering_eviction_count(const struct steering *steering);
uint32_t steering_flow_count(const struct steering *steering);
/** Decisions so far, by reason: STEERING_REASONS values. */
const uint64_t *steering_reason_counts(const struct steering *steering);
extern const char *const steering_reason_names[STEERING_REASONS];

#define STEERING_TICK_MS 100

#endif
