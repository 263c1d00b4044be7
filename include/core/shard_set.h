#ifndef PARSLEYLADDER_CORE_SHARD_SET_H
#define PARSLEYLADDER_CORE_SHARD_SET_H

/**
 * Operations on sets of shards. Indexes are below SHARD_COUNT.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/message.h"

void shard_set_add(struct shard_set *set, uint32_t index);
bool shard_set_has(const struct shard_set *set, uint32_t index);
bool shard_set_is_empty(const struct shard_set *set);

#endif
