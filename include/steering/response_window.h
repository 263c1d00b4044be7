#ifndef PARSLEYLADDER_STEERING_RESPONSE_WINDOW_H
#define PARSLEYLADDER_STEERING_RESPONSE_WINDOW_H

/**
 * Responses of one host during the last 16 s, how many of them were short, and
 * whether that is more than chance.
 */

#include <stdbool.h>
#include <stdint.h>

#define RESPONSE_WINDOW_BUCKETS 32
/** Spans that are evaluated: a sudden failure shows in the shortest one. */
#define RESPONSE_SPANS 5
/** A host fails if its share of short responses is at least this. */
#define FAILING_SHARE_MIN 0.25
/** ... and at least this multiple of that of its peers. */
#define FAILING_PEER_FACTOR 3
/**
 * A smaller share of the peers counts as this one: four short responses in a row
 * are evidence, and fewer are not.
 */
#define FAILING_PEER_SHARE_MIN 0.04
/** Responses with which a host can be compared. */
#define FAILING_RESPONSES_MIN 4

struct response_count {
	uint32_t responses;
	uint32_t shorts;
};

struct response_window {
	struct response_count buckets[RESPONSE_WINDOW_BUCKETS];
	int64_t period; /* of the newest bucket */
	struct response_count spans[RESPONSE_SPANS]; /* of the last sum */
};

void response_window_add(struct response_window *window, uint32_t responses,
			 uint32_t shorts, int64_t now_ns);
/** Drops what is too old, and sums up the spans. */
void response_window_sum(struct response_window *window, int64_t now_ns);
/** Share of short responses; 0 without responses. */
double response_share(const struct response_count *count);
/**
 * True if the share is high, whatever the peers have. Less evidence is needed
 * than for a host that fails, so that a failure of the whole service is noticed
 * before single hosts count as failing.
 */
bool response_count_is_high(const struct response_count *count);
/** True if a host with these responses fails while its peers have that share. */
bool response_count_is_failing(const struct response_count *count,
			       double peer_share);

#endif
