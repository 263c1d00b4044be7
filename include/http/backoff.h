#ifndef PARSLEYLADDER_HTTP_BACKOFF_H
#define PARSLEYLADDER_HTTP_BACKOFF_H

/**
 * Exponential backoff with jitter, so that instances that fail at the same
 * time do not retry at the same time.
 */

#include <glib.h>
#include <stdint.h>

struct backoff {
	GRand *random; /* not owned */
	uint32_t min_ms; /* shortest delay */
	uint32_t max_ms; /* longest delay */
	uint32_t attempt; /* delays since the last reset, capped */
};

/** Draws the next delay; its upper bound doubles with each attempt. */
uint32_t backoff_next_ms(struct backoff *backoff);
void backoff_reset(struct backoff *backoff);

#endif
