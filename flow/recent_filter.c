#include "flow/recent_filter.h"

static uint32_t filter_slot(uint64_t hash)
{
	return (uint32_t)(hash >> 32) % RECENT_FILTER_SLOTS;
}

bool recent_filter_has(const struct recent_filter *filter, uint64_t hash)
{
	return filter->hashes[filter_slot(hash)] == hash;
}

uint8_t recent_filter_add(struct recent_filter *filter, uint64_t hash)
{
	uint32_t slot = filter_slot(hash);

	if (filter->hashes[slot] != hash) {
		filter->hashes[slot] = hash;
		filter->counts[slot] = 0;
	}
	if (filter->counts[slot] < UINT8_MAX)
		filter->counts[slot]++;
	return filter->counts[slot];
}

void recent_filter_remove(struct recent_filter *filter, uint64_t hash)
{
	uint32_t slot = filter_slot(hash);

	if (filter->hashes[slot] == hash)
		filter->hashes[slot] = 0;
}
