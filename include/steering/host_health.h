#ifndef PARSLEYLADDER_STEERING_HOST_HEALTH_H
#define PARSLEYLADDER_STEERING_HOST_HEALTH_H

/**
 * Passive health check of a host (outlier detection) from the packets that its
 * callers send: a caller that acknowledges new data shows that the host is
 * alive, a caller that retransmits shows that it does not respond. An ejected
 * host is retried with single new flows.
 *
 * Retransmissions only keep new flows away: a congested path or a slow host
 * causes them too. Open flows end only once probes show that the host is down.
 */

#include <stdbool.h>
#include <stdint.h>

#include "packet/transport.h"

/** Retransmissions without any progress after which a host is ejected. */
#define HEALTH_RETRANSMISSIONS_MIN 3
/**
 * Minimum time without progress before a host counts as silent: a caller
 * retransmits twice in it.
 */
#define HEALTH_SILENCE_NS (3 * TRANSPORT_RETRANSMISSION_NS)
/**
 * What probes showed ends open flows only for this long: a host that was
 * unreachable may be back, and not every host is probed again.
 */
#define HEALTH_DOWN_AGE_MAX_NS (2 * NS_PER_S)

/** Number of responses after which the moving average is considered stable. */
#define HEALTH_RESPONSES_MAX 8

struct host_health {
	int64_t progress_ns; /* of the last progress, 0 for none yet */
	int64_t interval_ns; /* moving average of the time between responses */
	int64_t response_ns; /* moving average from request to response */
	int64_t responded_ns; /* when the host last responded to a request */
	bool is_handshake_overdue; /* a handshake takes far longer than usual */
	bool is_slow; /* responds much later than others of the service */
	uint32_t responses; /* in the average, up to HEALTH_RESPONSES_MAX */
	int64_t probed_ns; /* when the host was last probed, 0 for never */
	int64_t unanswered_since_ns; /* first of the probes that timed out */
	bool is_probing; /* a probe is pending */
	bool is_refusing; /* the last probe was refused or timed out */
	/*
	 * When probes last showed that nothing listens or answers; 0 for never
	 * since the last progress.
	 */
	int64_t down_ns;
	uint32_t probe_timeouts; /* in a row, see HEALTH_DOWN_AGE_MAX_NS */
	int64_t first_retransmission_ns; /* since the last progress, or 0 */
	int64_t last_retransmission_ns;
	uint32_t retransmissions; /* since the last progress */
	int64_t silent_since_ns; /* 0 while the host is not silent */
	int64_t trial_ns; /* a silent host may get a new flow from then on */
	uint32_t trial_delay_ms; /* of the next trial */
};

/** A caller received new data from the host; true if the host was silent. */
bool health_record_progress(struct host_health *health, int64_t now_ns);
/**
 * A request also acknowledges data that arrived at any time since @since_ns,
 * when the caller sent its previous packet: callers acknowledge every second
 * packet only, so a short response is acknowledged with the request that
 * follows, which may be long after the host has ended. It counts as progress
 * unless the first retransmission came after @since_ns, as the data may have
 * arrived before it.
 */
void health_record_late_progress(struct host_health *health, int64_t since_ns,
				 int64_t now_ns);
/** A caller waited @wait_ns for the response to a request. */
void health_record_response(struct host_health *health, int64_t wait_ns,
			    int64_t now_ns);
/** A caller retransmitted a packet; true if the host became silent. */
bool health_record_retransmission(struct host_health *health, int64_t now_ns);
static inline bool health_is_silent(const struct host_health *health)
{
	return health->silent_since_ns != 0;
}
/**
 * True after a retransmission by a caller, until progress, and after an overdue
 * handshake, until a successful probe. Such a probe also clears a single
 * retransmission.
 */
static inline bool health_is_suspect(const struct host_health *health)
{
	return health->retransmissions > 0 || health->is_handshake_overdue;
}
/** True if probes showed that the host is down, recently enough to count. */
static inline bool health_is_down(const struct host_health *health,
				  int64_t now_ns)
{
	return health->down_ns != 0 &&
	       now_ns - health->down_ns <= HEALTH_DOWN_AGE_MAX_NS;
}
/** True if a caller has retransmitted a packet since the last probe began. */
static inline bool
health_has_new_waiting_caller(const struct host_health *health)
{
	return health->last_retransmission_ns > health->probed_ns;
}
/**
 * True if the host should be probed: a caller retransmitted a packet, or the
 * host has not responded for several times the usual interval. Also before a
 * trial of a silent host.
 */
bool health_needs_probe(const struct host_health *health, int64_t now_ns);
/** Records the start of a probe. */
void health_probe_begin(struct host_health *health, int64_t now_ns);
enum probe_result {
	PROBE_RESULT_NONE, /* the probe failed locally */
	PROBE_RESULT_UP, /* accepts connections */
	PROBE_RESULT_FULL, /* listening, but accepts no more connections */
	PROBE_RESULT_DOWN, /* nothing listens */
	PROBE_RESULT_TIMEOUT,
};

/**
 * Records the result of a probe, which may eject the host; true if it shows that
 * the host is down, or still is. A host that accepts a connection is up, but may
 * still not respond on its flows. Timeouts count only if @is_path_open:
 * otherwise the network around this balancer may be the cause.
 */
bool health_probe_end(struct host_health *health, enum probe_result result,
		      bool is_path_open, int64_t now_ns);
/** True if a silent host may get one new flow now; see health_begin_trial(). */
bool health_is_trial_due(const struct host_health *health, int64_t now_ns);
/**
 * A silent host gets a new flow, or a probe of it failed: schedules the next
 * trial with backoff.
 */
void health_begin_trial(struct host_health *health, int64_t now_ns);

#endif
