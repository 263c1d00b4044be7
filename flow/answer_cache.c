#include "flow/answer_cache.h"

#include <glib.h>
#include <string.h>

struct answer {
	uint64_t hash;
	int64_t expires_ns;
	uint32_t host_id;
};

struct answer_cache {
	uint32_t slot_count;
	struct answer answers[];
};

struct answer_cache *answer_cache_create(uint32_t slot_count)
{
	struct answer_cache *cache = g_malloc0(
		sizeof(*cache) + (size_t)slot_count * sizeof(struct answer));

	cache->slot_count = slot_count;
	return cache;
}

void answer_cache_destroy(struct answer_cache *cache)
{
	g_free(cache);
}

static struct answer *answer_slot(const struct answer_cache *cache,
				  uint64_t hash)
{
	return (struct answer *)&cache
		->answers[(hash >> 16) % cache->slot_count];
}

void answer_cache_set(struct answer_cache *cache, uint64_t hash,
		      uint32_t host_id, int64_t expires_ns)
{
	*answer_slot(cache, hash) = (struct answer){ .hash = hash,
						     .host_id = host_id,
						     .expires_ns = expires_ns };
}

uint32_t answer_cache_get(const struct answer_cache *cache, uint64_t hash,
			  int64_t now_ns)
{
	const struct answer *answer = answer_slot(cache, hash);

	if (answer->hash != hash || now_ns >= answer->expires_ns)
		return 0;
	return answer->host_id;
}

void answer_cache_remove(struct answer_cache *cache, uint64_t hash)
{
	struct answer *answer = answer_slot(cache, hash);

	if (answer->hash == hash)
		answer->host_id = 0;
}

void answer_cache_clear(struct answer_cache *cache)
{
	memset(cache->answers, 0,
	       cache->slot_count * sizeof(cache->answers[0]));
}
