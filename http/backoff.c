#include "http/backoff.h"

/** After this many doublings, the upper bound is max_ms in any case. */
#define ATTEMPT_MAX 16

uint32_t backoff_next_ms(struct backoff *backoff)
{
	uint64_t upper_ms = (uint64_t)backoff->min_ms << (backoff->attempt + 1);
	uint64_t lower_ms;

	if (upper_ms > backoff->max_ms)
		upper_ms = backoff->max_ms;
	if (backoff->attempt < ATTEMPT_MAX)
		backoff->attempt++;
	lower_ms = MAX(upper_ms / 2, backoff->min_ms);
	if (lower_ms >= upper_ms)
		return (uint32_t)upper_ms;
	return (uint32_t)g_rand_int_range(backoff->random, (gint32)lower_ms,
					  (gint32)upper_ms + 1);
}

void backoff_reset(struct backoff *backoff)
{
	backoff->attempt = 0;
}
