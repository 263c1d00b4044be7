#ifndef PARSLEYLADDER_FLOW_RECENT_FILTER_H
#define PARSLEYLADDER_FLOW_RECENT_FILTER_H

/**
 * Remembers recent flow hashes with a small count each, so that repeated SYNs
 * and FINs are counted once. Newer hashes overwrite older ones.
 */

#include <stdbool.h>
#include <stdint.h>

#define RECENT_FILTER_SLOTS 4096

struct recent_filter {
	uint64_t hashes[RECENT_FILTER_SLOTS];
	uint8_t counts[RECENT_FILTER_SLOTS];
};

bool recent_filter_has(const struct recent_filter *filter, uint64_t hash);
/** Adds one for @hash and returns the count, 255 at most. */
uint8_t recent_filter_add(struct recent_filter *filter, uint64_t hash);
void recent_filter_remove(struct recent_filter *filter, uint64_t hash);

#endif
