#include "steering/host_health.h"

/* A host that was unreachable is usually back within a few seconds. */
#define TRIAL_DELAY_MIN_MS 500
#define TRIAL_DELAY_MAX_MS 4000
/*
 * Retransmissions count together only within this time of the first one; rarer
 * ones are due to packet loss.
 */
#define RETRANSMISSION_WINDOW_NS (2 * NS_PER_S)
/* The newest interval has a weight of 1 / INTERVAL_WEIGHT_DIVISOR. */
#define INTERVAL_WEIGHT_DIVISOR 8
#define INTERVAL_MAX_NS (2 * NS_PER_S)
/*
 * Requests arrive at random: a gap of ten mean intervals happens once in 20,000
 * gaps.
 */
#define QUIET_INTERVALS 10
/* Minimum gap that triggers a probe, however short the mean interval is. */
#define QUIET_MIN_NS (400 * NS_PER_MS)
/* With fewer requests, a gap of ten intervals takes too long to be of use. */
#define QUIET_INTERVAL_MAX_NS (150 * NS_PER_MS)
/* A host that has been idle for longer has no waiting callers. */
#define QUIET_MAX_NS (10 * NS_PER_S)
#define PROBE_INTERVAL_MS 1000
#define PROBE_RETRY_MS 300
#define PROBE_TIMEOUTS_MIN 2
/*
 * While no caller waits, more of them are needed to end open flows: links lose
 * two probes in a row now and then.
 */
#define PROBE_TIMEOUTS_IDLE_MIN 4

/* Moving average of the intervals, each capped, as hosts may be idle. */
static int64_t interval_average(const struct host_health *health,
				int64_t now_ns)
{
	int64_t interval_ns = now_ns - health->responded_ns;

	if (health->responded_ns == 0 || interval_ns > INTERVAL_MAX_NS)
		interval_ns = INTERVAL_MAX_NS;
	if (health->interval_ns == 0)
		return interval_ns;
	return health->interval_ns +
	       (interval_ns - health->interval_ns) / INTERVAL_WEIGHT_DIVISOR;
}

bool health_record_progress(struct host_health *health, int64_t now_ns)
{
	bool was_silent = health_is_silent(health);

	health->progress_ns = now_ns;
	health->is_refusing = false;
	health->down_ns = 0;
	health->probe_timeouts = 0;
	health->first_retransmission_ns = 0;
	health->retransmissions = 0;
	health->silent_since_ns = 0;
	health->trial_ns = 0;
	health->trial_delay_ms = 0;
	return was_silent;
}

void health_record_late_progress(struct host_health *health, int64_t since_ns,
				 int64_t now_ns)
{
	if (health_is_silent(health))
		return;
	if (health->retransmissions == 0 ||
	    since_ns >= health->first_retransmission_ns)
		health_record_progress(health, now_ns);
}

void health_record_response(struct host_health *health, int64_t wait_ns,
			    int64_t now_ns)
{
	health->interval_ns = interval_average(health, now_ns);
	health->responded_ns = now_ns;
	if (health->responses < HEALTH_RESPONSES_MAX)
		health->responses++;
	health->response_ns +=
		(wait_ns - health->response_ns) / (int64_t)health->responses;
}

static bool is_quiet(const struct host_health *health, int64_t now_ns)
{
	int64_t quiet_ns = now_ns - health->progress_ns;

	return health->progress_ns != 0 && health->interval_ns != 0 &&
	       health->interval_ns <= QUIET_INTERVAL_MAX_NS &&
	       quiet_ns >= QUIET_MIN_NS &&
	       quiet_ns >= QUIET_INTERVALS * health->interval_ns &&
	       quiet_ns <= QUIET_MAX_NS;
}

static bool has_waiting_callers(const struct host_health *health,
				int64_t now_ns)
{
	return health->retransmissions > 0 &&
	       now_ns - health->last_retransmission_ns <=
		       RETRANSMISSION_WINDOW_NS;
}

static bool is_trial_probe_due(const struct host_health *health, int64_t now_ns)
{
	return health_is_silent(health) && now_ns >= health->trial_ns &&
	       health->probed_ns < health->trial_ns;
}

bool health_needs_probe(const struct host_health *health, int64_t now_ns)
{
	bool is_known_down = health->down_ns != 0;
	bool is_retry = health->probe_timeouts > 0 || is_known_down;
	int64_t interval_ns =
		(is_retry ? PROBE_RETRY_MS : PROBE_INTERVAL_MS) * NS_PER_MS;

	if (health->is_probing)
		return false;
	if (is_trial_probe_due(health, now_ns))
		return true;
	if (health->probed_ns != 0 && now_ns - health->probed_ns < interval_ns)
		return false;
	/* It may be back; callers that began to wait since do not know. */
	if (is_known_down)
		return health_has_new_waiting_caller(health);
	if (health_is_silent(health))
		return is_retry || has_waiting_callers(health, now_ns);
	return is_retry || health_is_suspect(health) ||
	       is_quiet(health, now_ns);
}

/* Timeouts long before this probe do not count together with it. */
void health_probe_begin(struct host_health *health, int64_t now_ns)
{
	if (now_ns - health->probed_ns > HEALTH_DOWN_AGE_MAX_NS)
		health->probe_timeouts = 0;
	health->probed_ns = now_ns;
	health->is_probing = true;
}

static bool health_eject(struct host_health *health, int64_t now_ns)
{
	if (health_is_silent(health))
		return false;
	health->silent_since_ns = now_ns;
	health->trial_delay_ms = TRIAL_DELAY_MIN_MS;
	health->trial_ns = now_ns + TRIAL_DELAY_MIN_MS * NS_PER_MS;
	return true;
}

/* One timeout proves nothing: a lost packet looks like an unreachable host. */
static bool is_unreachable(const struct host_health *health,
			   enum probe_result result, bool is_path_open,
			   int64_t now_ns)
{
	return result == PROBE_RESULT_TIMEOUT && is_path_open &&
	       health->probe_timeouts >= PROBE_TIMEOUTS_MIN &&
	       now_ns - health->progress_ns >= HEALTH_SILENCE_NS;
}

static void record_connection(struct host_health *health,
			      enum probe_result result)
{
	health->probe_timeouts = 0;
	/*
	 * A full host stays suspect, so it gets no new flows while others can
	 * take them.
	 */
	if (result == PROBE_RESULT_FULL)
		return;
	health->is_handshake_overdue = false;
	/* A single lost packet does not count. */
	if (health->retransmissions < HEALTH_RETRANSMISSIONS_MIN - 1)
		health->retransmissions = 0;
}

static void record_timeout(struct host_health *health)
{
	if (health->probe_timeouts++ == 0)
		health->unanswered_since_ns = health->probed_ns;
}

bool health_probe_end(struct host_health *health, enum probe_result result,
		      bool is_path_open, int64_t now_ns)
{
	bool is_connected = result == PROBE_RESULT_UP ||
			    result == PROBE_RESULT_FULL;

	health->is_probing = false;
	if (result == PROBE_RESULT_NONE)
		return false;
	health->is_refusing = !is_connected;
	if (is_connected)
		record_connection(health, result);
	if (result == PROBE_RESULT_TIMEOUT)
		record_timeout(health);
	if (health_is_silent(health) && result != PROBE_RESULT_UP &&
	    now_ns >= health->trial_ns)
		health_begin_trial(health, now_ns);
	/* A response to a caller after the start of the probe outweighs it. */
	if (health->progress_ns > health->probed_ns)
		return false;
	if (result != PROBE_RESULT_DOWN &&
	    !is_unreachable(health, result, is_path_open, now_ns))
		return false;
	health_eject(health, now_ns);
	if (result != PROBE_RESULT_DOWN &&
	    !has_waiting_callers(health, now_ns) &&
	    health->probe_timeouts < PROBE_TIMEOUTS_IDLE_MIN)
		return false;
	health->down_ns = now_ns;
	return true;
}

/*
 * Start of the wait for a response: the later of the last progress and the
 * first unanswered packet. Idle time does not count: a host without requests is
 * not silent.
 */
static int64_t waiting_since_ns(const struct host_health *health)
{
	int64_t sent_ns =
		health->first_retransmission_ns - TRANSPORT_RETRANSMISSION_NS;

	return sent_ns > health->progress_ns ? sent_ns : health->progress_ns;
}

bool health_record_retransmission(struct host_health *health, int64_t now_ns)
{
	if (!health_is_silent(health) &&
	    now_ns - health->first_retransmission_ns > RETRANSMISSION_WINDOW_NS)
		health->retransmissions = 0;
	if (health->retransmissions == 0)
		health->first_retransmission_ns = now_ns;
	health->last_retransmission_ns = now_ns;
	health->retransmissions++;
	if (health->retransmissions < HEALTH_RETRANSMISSIONS_MIN ||
	    now_ns - waiting_since_ns(health) < HEALTH_SILENCE_NS)
		return false;
	return health_eject(health, now_ns);
}

bool health_is_trial_due(const struct host_health *health, int64_t now_ns)
{
	return health_is_silent(health) && now_ns >= health->trial_ns &&
	       !health->is_probing && !health->is_refusing;
}

void health_begin_trial(struct host_health *health, int64_t now_ns)
{
	health->trial_delay_ms *= 2;
	if (health->trial_delay_ms > TRIAL_DELAY_MAX_MS)
		health->trial_delay_ms = TRIAL_DELAY_MAX_MS;
	health->trial_ns = now_ns + health->trial_delay_ms * NS_PER_MS;
}
