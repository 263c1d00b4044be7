#include "steering/evidence.h"

#include "common/clock.h"

/* A host that was cut off is usually back within a few seconds. */
#define TRIAL_DELAY_MIN_MS 500
#define TRIAL_DELAY_MAX_MS 4000
/* A packet is repeated after about this time, so the host had it so long. */
#define FIRST_REPEAT_NS (200 * NS_PER_MS)
/* Repeated packets that are further apart are lost ones. */
#define MISS_MEMORY_NS (2 * NS_PER_S)
/* Weight of the newest interval is one in this many. */
#define INTERVAL_WEIGHT 8
#define INTERVAL_MAX_NS (2 * NS_PER_S)
/*
 * Requests come at random: a pause of ten mean intervals happens once in
 * 20,000 pauses. Of hosts with few requests it says nothing in time.
 */
#define QUIET_INTERVALS 10
#define QUIET_MIN_NS (400 * NS_PER_MS)
#define QUIET_INTERVAL_MAX_NS (150 * NS_PER_MS)
/* A host that has been idle for longer has no callers that wait. */
#define QUIET_MAX_NS (10 * NS_PER_S)
#define PROBE_PAUSE_MS 1000
#define PROBE_REPEAT_MS 300
#define PROBE_TIMEOUTS_MIN 2

/* Average over the last intervals, each bounded, as hosts may be idle. */
static int64_t interval_average(const struct host_evidence *evidence,
				int64_t now_ns)
{
	int64_t interval_ns = now_ns - evidence->answered_ns;

	if (evidence->answered_ns == 0 || interval_ns > INTERVAL_MAX_NS)
		interval_ns = INTERVAL_MAX_NS;
	if (evidence->interval_ns == 0)
		return interval_ns;
	return evidence->interval_ns +
	       (interval_ns - evidence->interval_ns) / INTERVAL_WEIGHT;
}

bool evidence_progress(struct host_evidence *evidence, int64_t now_ns)
{
	bool was_silent = evidence_is_silent(evidence);

	evidence->progress_ns = now_ns;
	evidence->is_refusing = false;
	evidence->probe_timeouts = 0;
	evidence->first_miss_ns = 0;
	evidence->misses = 0;
	evidence->silent_since_ns = 0;
	evidence->trial_ns = 0;
	evidence->trial_delay_ms = 0;
	return was_silent;
}

void evidence_late_progress(struct host_evidence *evidence, int64_t since_ns,
			    int64_t now_ns)
{
	if (evidence_is_silent(evidence))
		return;
	if (evidence->misses == 0 || since_ns >= evidence->first_miss_ns)
		evidence_progress(evidence, now_ns);
}

void evidence_response(struct host_evidence *evidence, int64_t wait_ns,
		       int64_t now_ns)
{
	evidence->interval_ns = interval_average(evidence, now_ns);
	evidence->answered_ns = now_ns;
	if (evidence->responses < EVIDENCE_RESPONSES_MAX)
		evidence->responses++;
	evidence->response_ns += (wait_ns - evidence->response_ns) /
				 (int64_t)evidence->responses;
}

static bool is_quiet(const struct host_evidence *evidence, int64_t now_ns)
{
	int64_t quiet_ns = now_ns - evidence->progress_ns;

	return evidence->progress_ns != 0 && evidence->interval_ns != 0 &&
	       evidence->interval_ns <= QUIET_INTERVAL_MAX_NS &&
	       quiet_ns >= QUIET_MIN_NS &&
	       quiet_ns >= QUIET_INTERVALS * evidence->interval_ns &&
	       quiet_ns <= QUIET_MAX_NS;
}

bool evidence_wants_probe(const struct host_evidence *evidence, int64_t now_ns)
{
	bool is_repeated = evidence->probe_timeouts > 0;
	int64_t pause_ns =
		(is_repeated ? PROBE_REPEAT_MS : PROBE_PAUSE_MS) * NS_PER_MS;

	if (evidence->is_probing)
		return false;
	if (evidence_is_silent(evidence))
		return now_ns >= evidence->trial_ns &&
		       (evidence->probed_ns < evidence->trial_ns);
	if (evidence->probed_ns != 0 && now_ns - evidence->probed_ns < pause_ns)
		return false;
	return is_repeated || evidence_is_doubted(evidence) ||
	       is_quiet(evidence, now_ns);
}

void evidence_probe_begin(struct host_evidence *evidence, int64_t now_ns)
{
	evidence->probed_ns = now_ns;
	evidence->is_probing = true;
}

/* A lost packet of the probe looks like a host that is cut off. */
static bool is_proved_down(const struct host_evidence *evidence,
			   enum probe_result result, int64_t now_ns)
{
	/* An answer to a caller that came after the probe counts more. */
	if (evidence->progress_ns > evidence->probed_ns)
		return false;
	if (result == PROBE_RESULT_DOWN)
		return true;
	return evidence->probe_timeouts >= PROBE_TIMEOUTS_MIN &&
	       now_ns - evidence->progress_ns >= EVIDENCE_SILENCE_NS;
}

bool evidence_probe_end(struct host_evidence *evidence,
			enum probe_result result, int64_t now_ns)
{
	evidence->is_probing = false;
	evidence->is_refusing = result == PROBE_RESULT_DOWN ||
				result == PROBE_RESULT_TIMEOUT;
	/* The flows that a full host has go on: it is avoided, not given up. */
	if (result == PROBE_RESULT_FULL && !evidence_is_silent(evidence)) {
		evidence->probe_timeouts = 0;
		return false;
	}
	if (result == PROBE_RESULT_UP) {
		evidence->probe_timeouts = 0;
		evidence->is_overdue = false;
		/* A single lost packet is forgotten. */
		if (evidence->misses < EVIDENCE_MISSES_MIN - 1)
			evidence->misses = 0;
		return false;
	}
	if (result == PROBE_RESULT_TIMEOUT)
		evidence->probe_timeouts++;
	if (evidence_is_silent(evidence)) {
		evidence_try(evidence, now_ns);
		return false;
	}
	return is_proved_down(evidence, result, now_ns) &&
	       evidence_eject(evidence, now_ns);
}

/* A host without requests is quiet, but not silent. */
static int64_t asked_since_ns(const struct host_evidence *evidence)
{
	int64_t asked_ns = evidence->first_miss_ns - FIRST_REPEAT_NS;

	return asked_ns > evidence->progress_ns ? asked_ns
						: evidence->progress_ns;
}

bool evidence_miss(struct host_evidence *evidence, int64_t now_ns)
{
	if (!evidence_is_silent(evidence) &&
	    now_ns - evidence->first_miss_ns > MISS_MEMORY_NS)
		evidence->misses = 0;
	if (evidence->misses == 0)
		evidence->first_miss_ns = now_ns;
	evidence->misses++;
	if (evidence->misses < EVIDENCE_MISSES_MIN ||
	    now_ns - asked_since_ns(evidence) < EVIDENCE_SILENCE_NS)
		return false;
	return evidence_eject(evidence, now_ns);
}

bool evidence_eject(struct host_evidence *evidence, int64_t now_ns)
{
	if (evidence_is_silent(evidence))
		return false;
	evidence->silent_since_ns = now_ns;
	evidence->trial_delay_ms = TRIAL_DELAY_MIN_MS;
	evidence->trial_ns = now_ns + TRIAL_DELAY_MIN_MS * NS_PER_MS;
	return true;
}

bool evidence_is_trial_due(const struct host_evidence *evidence, int64_t now_ns)
{
	return evidence_is_silent(evidence) && now_ns >= evidence->trial_ns &&
	       !evidence->is_probing && !evidence->is_refusing;
}

void evidence_try(struct host_evidence *evidence, int64_t now_ns)
{
	evidence->trial_delay_ms *= 2;
	if (evidence->trial_delay_ms > TRIAL_DELAY_MAX_MS)
		evidence->trial_delay_ms = TRIAL_DELAY_MAX_MS;
	evidence->trial_ns = now_ns + evidence->trial_delay_ms * NS_PER_MS;
}
