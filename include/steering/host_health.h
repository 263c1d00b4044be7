#ifndef PARSLEYLADDER_STEERING_HOST_HEALTH_H
#define PARSLEYLADDER_STEERING_HOST_HEALTH_H

/**
 * What a balancer can tell about a host from the caller's half of its flows:
 * callers that acknowledge new data show that the host lives, callers that
 * repeat a packet show that it does not answer. This is passive outlier
 * detection; the return of an ejected host is tried with single new flows.
 */

#include <stdbool.h>
#include <stdint.h>

/** Repeated packets, without any progress, that eject a host. */
#define HEALTH_RETRANSMISSIONS_MIN 3
/** Shortest time without progress after which a host counts as silent. */
#define HEALTH_SILENCE_NS (600 * INT64_C(1000000))

/** Answers after which the average counts as settled. */
#define HEALTH_RESPONSES_MAX 8

struct host_health {
	int64_t progress_ns; /* of the last progress, 0 for none yet */
	int64_t interval_ns; /* moving average between two answered requests */
	int64_t response_ns; /* moving average from a request to its answer */
	int64_t answered_ns; /* when the last request was answered */
	bool is_handshake_overdue; /* a handshake takes far longer than usual */
	bool is_slow; /* answers much later than others of the service */
	uint32_t responses; /* in that average, up to HEALTH_RESPONSES_MAX */
	int64_t probed_ns; /* when the host was last probed, 0 for never */
	bool is_probing; /* an answer is waited for */
	bool is_refusing; /* the last probe found nothing that listens */
	uint32_t probe_timeouts; /* in a row */
	int64_t first_retransmission_ns; /* since the last progress, 0 for none */
	uint32_t retransmissions; /* since the last progress */
	int64_t silent_since_ns; /* 0 while the host is not silent */
	int64_t trial_ns; /* a silent host may get a new flow from then on */
	uint32_t trial_delay_ms; /* of the next trial */
};

/** A caller got something new from the host; true if that ends a silence. */
bool health_record_progress(struct host_health *health, int64_t now_ns);
/**
 * A caller's next request tells that it got something after @since_ns, when it
 * sent its last packet. Callers acknowledge every second packet only, so a
 * short answer is acknowledged with the request that follows, which may be
 * long after the host has ended.
 */
void health_record_late_progress(struct host_health *health, int64_t since_ns,
				 int64_t now_ns);
/** A caller waited @wait_ns for the answer to a request. */
void health_record_response(struct host_health *health, int64_t wait_ns,
			    int64_t now_ns);
/** A caller repeated a packet; true if the host counts as silent from now. */
bool health_record_retransmission(struct host_health *health, int64_t now_ns);
/** Other evidence shows that the host is silent; false if it was already. */
bool health_eject(struct host_health *health, int64_t now_ns);
static inline bool health_is_silent(const struct host_health *health)
{
	return health->silent_since_ns != 0;
}
/** True between the first sign of silence and the next progress. */
static inline bool health_is_suspect(const struct host_health *health)
{
	return health->retransmissions > 0 || health->is_handshake_overdue;
}
/**
 * True if the host should be probed: a caller repeated a packet, or nothing
 * has come from the host for several times the usual interval. Also before a
 * silent host is tried with a new flow.
 */
bool health_needs_probe(const struct host_health *health, int64_t now_ns);
/** The host is being probed. */
void health_probe_begin(struct host_health *health, int64_t now_ns);
enum probe_result {
	PROBE_RESULT_UP, /* or not known */
	PROBE_RESULT_FULL, /* somebody listens, and takes no more connections */
	PROBE_RESULT_DOWN, /* nothing listens */
	PROBE_RESULT_TIMEOUT,
};

/**
 * The probe has a result; true if the host counts as silent from now. A host
 * that accepts is up, which says nothing of whether it answers its flows.
 */
bool health_probe_end(struct host_health *health, enum probe_result result,
		      int64_t now_ns);
/** True if a silent host may get one new flow now; see health_begin_trial(). */
bool health_is_trial_due(const struct host_health *health, int64_t now_ns);
/** A silent host gets a new flow; the next trial is later, with backoff. */
void health_begin_trial(struct host_health *health, int64_t now_ns);

#endif
