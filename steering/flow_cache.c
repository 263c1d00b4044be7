#include "steering/flow_cache.h"

struct flow_cache {
	GHashTable *entries; /* struct flow_key to struct cached_flow */
	GQueue lru;
	GQueue pending_handshakes; /* oldest first */
	uint32_t flows_max;
	uint64_t evictions;
};

struct flow_cache *flow_cache_create(uint32_t flows_max)
{
	struct flow_cache *cache = g_new0(struct flow_cache, 1);

	cache->entries =
		g_hash_table_new(flow_key_table_hash, flow_key_table_equal);
	cache->flows_max = flows_max;
	return cache;
}

void flow_cache_destroy(struct flow_cache *cache)
{
	if (!cache)
		return;
	while (!g_queue_is_empty(&cache->lru))
		flow_cache_remove(cache, g_queue_peek_head(&cache->lru));
	g_hash_table_destroy(cache->entries);
	g_free(cache);
}

struct cached_flow *flow_cache_find(struct flow_cache *cache,
				    const struct flow_key *key)
{
	return g_hash_table_lookup(cache->entries, key);
}

static void pending_handshake_remove(struct flow_cache *cache,
				     struct cached_flow *entry)
{
	if (!entry->is_handshake_pending)
		return;
	g_queue_unlink(&cache->pending_handshakes, &entry->handshake_link);
	entry->is_handshake_pending = false;
}

static bool is_counted_as_open(enum flow_state state)
{
	return state != FLOW_CLOSING;
}

static void host_detach(struct cached_flow *entry)
{
	if (!entry->host)
		return;
	g_queue_unlink(&entry->host->flows, &entry->host_link);
	if (is_counted_as_open(entry->state))
		entry->host->open_flows--;
	entry->host = NULL;
}

static void host_attach(struct cached_flow *entry, struct known_host *host)
{
	entry->host = host;
	if (!host)
		return;
	g_queue_push_tail_link(&host->flows, &entry->host_link);
	if (is_counted_as_open(entry->state))
		host->open_flows++;
}

struct cached_flow *flow_cache_add(struct flow_cache *cache,
				   const struct flow_key *key,
				   struct known_host *host, int64_t now_ns)
{
	struct cached_flow *entry;

	if (g_hash_table_size(cache->entries) >= cache->flows_max) {
		cache->evictions++;
		flow_cache_remove(cache, g_queue_peek_head(&cache->lru));
	}
	entry = g_new0(struct cached_flow, 1);
	entry->key = *key;
	entry->lru_link.data = entry;
	entry->host_link.data = entry;
	entry->handshake_link.data = entry;
	entry->is_handshake_pending = true;
	g_queue_push_tail_link(&cache->pending_handshakes,
			       &entry->handshake_link);
	entry->first_packet_ns = now_ns;
	entry->last_packet_ns = now_ns;
	host_attach(entry, host);
	g_queue_push_tail_link(&cache->lru, &entry->lru_link);
	g_hash_table_insert(cache->entries, &entry->key, entry);
	return entry;
}

void flow_cache_remove(struct flow_cache *cache, struct cached_flow *entry)
{
	host_detach(entry);
	pending_handshake_remove(cache, entry);
	g_queue_unlink(&cache->lru, &entry->lru_link);
	g_hash_table_remove(cache->entries, &entry->key);
	g_free(entry);
}

void flow_cache_touch(struct flow_cache *cache, struct cached_flow *entry,
		      int64_t now_ns)
{
	entry->last_packet_ns = now_ns;
	g_queue_unlink(&cache->lru, &entry->lru_link);
	g_queue_push_tail_link(&cache->lru, &entry->lru_link);
}

void cached_flow_set_host(struct cached_flow *entry, struct known_host *host)
{
	if (entry->host == host)
		return;
	host_detach(entry);
	host_attach(entry, host);
}

void cached_flow_set_state(struct flow_cache *cache, struct cached_flow *entry,
			   enum flow_state state)
{
	if (entry->host &&
	    is_counted_as_open(entry->state) != is_counted_as_open(state))
		entry->host->open_flows += is_counted_as_open(state) ? 1 : -1;
	if (state != FLOW_OPENING)
		pending_handshake_remove(cache, entry);
	entry->state = state;
}

struct cached_flow *flow_cache_take_overdue(struct flow_cache *cache,
					    int64_t before_ns)
{
	struct cached_flow *entry =
		g_queue_peek_head(&cache->pending_handshakes);

	if (!entry || entry->first_packet_ns > before_ns)
		return NULL;
	pending_handshake_remove(cache, entry);
	return entry;
}

void flow_cache_expire(struct flow_cache *cache, int64_t before_ns)
{
	struct cached_flow *entry;

	while ((entry = g_queue_peek_head(&cache->lru)) &&
	       entry->last_packet_ns < before_ns)
		flow_cache_remove(cache, entry);
}

uint32_t flow_cache_count(const struct flow_cache *cache)
{
	return g_hash_table_size(cache->entries);
}

uint64_t flow_cache_evictions(const struct flow_cache *cache)
{
	return cache->evictions;
}
