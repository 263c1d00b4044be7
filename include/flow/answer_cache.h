#ifndef PARSLEYLADDER_FLOW_ANSWER_CACHE_H
#define PARSLEYLADDER_FLOW_ANSWER_CACHE_H

/**
 * Hosts of flows as their owner told them, kept for a limited time. A full
 * cache overwrites older answers.
 */

#include <stdint.h>

struct answer_cache;

struct answer_cache *answer_cache_create(uint32_t slot_count);
void answer_cache_destroy(struct answer_cache *cache);
void answer_cache_set(struct answer_cache *cache, uint64_t hash,
		      uint32_t host_id, int64_t expires_ns);
/** Host id, 0 if there is no answer at @now_ns. */
uint32_t answer_cache_get(const struct answer_cache *cache, uint64_t hash,
			  int64_t now_ns);
void answer_cache_remove(struct answer_cache *cache, uint64_t hash);
void answer_cache_clear(struct answer_cache *cache);

#endif
