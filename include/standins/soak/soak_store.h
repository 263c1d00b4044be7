#ifndef PARSLEYLADDER_STANDINS_SOAK_SOAK_STORE_H
#define PARSLEYLADDER_STANDINS_SOAK_SOAK_STORE_H

/**
 * Simulated store: items with revisions, listings, watches and injected
 * faults. Implements the published protocol of the store.
 */

#include <stdbool.h>
#include <stdint.h>

enum store_fault {
	STORE_HEALTHY,
	STORE_UNAVAILABLE, /* 503 */
	STORE_SILENT, /* never responds */
	STORE_SLOW, /* immediate responses are delayed by 300 ms */
	STORE_LOSSY, /* some responses are lost */
	STORE_FAULTS,
};

/** How far back a copy of the store may go. */
#define SOAK_STORE_COPY_MAX_MS 10000

struct soak_store;

/** Listens on @count addresses starting at @address, one per balancer. */
struct soak_store *soak_store_create(uint32_t address, uint32_t count,
				     uint16_t port, uint32_t seed);
void soak_store_destroy(struct soak_store *store);
void soak_store_put(struct soak_store *store, const char *key,
		    const char *value);
/** The same, but changes nothing if the item has the value already. */
void soak_store_put_again(struct soak_store *store, const char *key,
			  const char *value);
void soak_store_delete(struct soak_store *store, const char *key);
void soak_store_set_fault(struct soak_store *store, enum store_fault fault);
enum store_fault soak_store_fault(const struct soak_store *store);
/** Refuses the requests of balancer @index with status 503, or no longer. */
void soak_store_set_refused(struct soak_store *store, uint32_t index,
			    bool is_refused);
/** True if balancer @index waits for changes. */
bool soak_store_is_watched(const struct soak_store *store, uint32_t index);
/**
 * The store has come back from a copy that is @age_ms old: what was written
 * since is lost, its revisions are given out again, and the era of its responses
 * rises. At most SOAK_STORE_COPY_MAX_MS.
 */
void soak_store_restore(struct soak_store *store, uint32_t age_ms);
/** Calls @visit with each key that begins with @prefix and has a value. */
void soak_store_keys(const struct soak_store *store, const char *prefix,
		     void (*visit)(void *context, const char *key),
		     void *context);
/** Discards the history: watches after an older revision get status 410. */
void soak_store_compact(struct soak_store *store);

#endif
