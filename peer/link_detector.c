#include "peer/link_detector.h"

#include <math.h>

#include "peer/membership.h"

/*
 * A link counts as failed once silence by loss alone is less likely than
 * this for one heartbeat. Eight members exchange about 400,000 heartbeats an
 * hour, so a false failure by independent loss is expected once in 2,500 hours.
 */
#define FALSE_FAILURE_PROBABILITY 1e-9
/* Loss assumed on a new link, and the least loss assumed on any link. */
#define LOSS_INITIAL 0.005
#define LOSS_MIN 0.001
/* A moving average over about 256 heartbeats follows loss within minutes. */
#define LOSS_WEIGHT (1.0 / 256)
#define LOST_MAX 16 /* heartbeats counted as lost for one gap */
#define LATENESS_WEIGHT (1.0 / 16)
/* Half of a peak is forgotten after 710 heartbeats, about 6 minutes. */
#define PEAK_DECAY (1.0 - 1.0 / 1024)
#define PEAK_FACTOR 1.25
/* Both ends act on ticks of up to 100 ms. */
#define TICK_MARGIN_MS 100
#define LATENESS_FACTOR 8

static int64_t timeout_compute(const struct link_detector *link)
{
	double loss = fmax(link->loss, LOSS_MIN);
	double losses = ceil(log(FALSE_FAILURE_PROBABILITY) / log(loss));
	double timeout_ms = (losses + 1) * HEARTBEAT_INTERVAL_MS +
			    TICK_MARGIN_MS +
			    LATENESS_FACTOR * link->lateness_ms;

	timeout_ms = fmax(timeout_ms, PEAK_FACTOR * link->silence_peak_ms);
	timeout_ms = fmax(timeout_ms, FAILURE_TIMEOUT_MIN_MS);
	timeout_ms = fmin(timeout_ms, FAILURE_TIMEOUT_MAX_MS);
	return (int64_t)(timeout_ms * NS_PER_MS);
}

void link_detector_init(struct link_detector *link, int64_t now_ns)
{
	*link = (struct link_detector){
		.arrival_ns = now_ns,
		.loss = LOSS_INITIAL,
	};
	link->timeout_ns = timeout_compute(link);
}

void link_detector_arrival(struct link_detector *link, uint64_t sequence,
			   int64_t now_ns)
{
	double silence_ms = (double)(now_ns - link->arrival_ns) / NS_PER_MS;
	uint64_t advance = sequence - link->sequence;
	double late_ms = silence_ms - (double)advance * HEARTBEAT_INTERVAL_MS;
	bool is_first = link->sequence == 0;

	link->sequence = sequence;
	link->arrival_ns = now_ns;
	/* A longer silence was an outage and says nothing about jitter. */
	if (is_first || silence_ms > FAILURE_TIMEOUT_MAX_MS)
		return;
	for (uint64_t lost = 1; lost < advance && lost <= LOST_MAX; lost++)
		link->loss += (1 - link->loss) * LOSS_WEIGHT;
	link->loss -= link->loss * LOSS_WEIGHT;
	link->lateness_ms +=
		(fmax(late_ms, 0) - link->lateness_ms) * LATENESS_WEIGHT;
	link->silence_peak_ms =
		fmax(link->silence_peak_ms * PEAK_DECAY, silence_ms);
	link->timeout_ns = timeout_compute(link);
}
