#include "core/shard_set.h"

void shard_set_add(struct shard_set *set, uint32_t index)
{
	set->bits[index / 8] |= (uint8_t)(1U << index % 8);
}

bool shard_set_has(const struct shard_set *set, uint32_t index)
{
	return set->bits[index / 8] & (1U << index % 8);
}

bool shard_set_is_empty(const struct shard_set *set)
{
	for (uint32_t i = 0; i < SHARD_COUNT / 8; i++) {
		if (set->bits[i])
			return false;
	}
	return true;
}
