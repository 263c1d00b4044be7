#ifndef PARSLEYLADDER_STANDINS_PLATFORM_STORE_H
#define PARSLEYLADDER_STANDINS_PLATFORM_STORE_H

/**
 * Revisions that the stand-in of the platform holds, the old ones included,
 * so that it can answer a stale one.
 */

#include <glib.h>
#include <stdint.h>

struct store;

struct store *store_create(void);
void store_destroy(struct store *store);
/**
 * Begins a revision with the parts of the latest one, changes it with
 * store_put() and store_remove(), and makes it the latest. Parts are not
 * checked: a platform holds values that it does not understand.
 */
void store_begin(struct store *store);
void store_put(struct store *store, const char *name, const char *text);
void store_remove(struct store *store, const char *name);
uint64_t store_commit(struct store *store);
uint64_t store_latest(const struct store *store);
/** Answer of /v1/index for @revision; g_free() it. */
char *store_index(const struct store *store, uint64_t revision);
/** Part @name with @digest (16 hex digits), or the latest one; or NULL. */
const char *store_part(const struct store *store, const char *name,
		       const char *digest);

#endif
