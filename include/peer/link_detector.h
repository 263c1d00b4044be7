#ifndef PARSLEYLADDER_PEER_LINK_DETECTOR_H
#define PARSLEYLADDER_PEER_LINK_DETECTOR_H

/**
 * Failure detector of one link: derives the silence after which the peer
 * counts as failed from the loss and lateness seen on the link.
 */

#include <stdint.h>

/** Longest silence that any link may take before its peer counts as failed. */
#define FAILURE_TIMEOUT_MAX_MS 8000

struct link_detector {
	uint64_t sequence; /* last one received */
	int64_t arrival_ns;
	double loss; /* moving share of heartbeats lost */
	double lateness_ms; /* moving mean, early arrivals count as 0 */
	double silence_peak_ms; /* longest recent silence that ended */
	int64_t timeout_ns;
};

void link_detector_init(struct link_detector *link, int64_t now_ns);
/** Records that heartbeat @sequence, greater than the last, arrived. */
void link_detector_arrival(struct link_detector *link, uint64_t sequence,
			   int64_t now_ns);

#endif
