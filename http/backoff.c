#include "http/backoff.h"

/** Doublings after which the bound is the largest one in any case. */
#define ATTEMPT_MAX 16

uint32_t backoff_next_ms(struct backoff *backoff)
{
	uint64_t bound_ms = (uint64_t)backoff->min_ms << (backoff->attempt + 1);
	uint64_t least_ms;

	if (bound_ms > backoff->max_ms)
		bound_ms = backoff->max_ms;
	if (backoff->attempt < ATTEMPT_MAX)
		backoff->attempt++;
	least_ms = MAX(bound_ms / 2, backoff->min_ms);
	if (least_ms >= bound_ms)
		return (uint32_t)bound_ms;
	return (uint32_t)g_rand_int_range(backoff->random, (gint32)least_ms,
					  (gint32)bound_ms + 1);
}

void backoff_reset(struct backoff *backoff)
{
	backoff->attempt = 0;
}
