#ifndef PARSLEYLADDER_HTTP_BACKOFF_H
#define PARSLEYLADDER_HTTP_BACKOFF_H

/**
 * Exponential backoff with jitter, so that many instances that fail together
 * do not return together.
 */

#include <glib.h>
#include <stdint.h>

struct backoff {
	GRand *random; /* not owned */
	uint32_t min_ms; /* shortest delay */
	uint32_t max_ms; /* longest delay */
	uint32_t attempt; /* delays given since the last reset */
};

/** Draws the next delay; the bound doubles with each attempt. */
uint32_t backoff_next_ms(struct backoff *backoff);
void backoff_reset(struct backoff *backoff);

#endif
