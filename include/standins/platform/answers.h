#ifndef PARSLEYLADDER_STANDINS_PLATFORM_ANSWERS_H
#define PARSLEYLADDER_STANDINS_PLATFORM_ANSWERS_H

/**
 * What the stand-in of the platform answers to readers, now or when a watched
 * value changes.
 */

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "standins/platform/store.h"

struct answers;

struct answers *answers_create(void);
void answers_destroy(struct answers *answers);
struct store *answers_store(struct answers *answers);
/** Readers see @revision, an old one, until this is called with UINT64_MAX. */
void answers_set_stale(struct answers *answers, uint64_t revision);
/** Answers are held back while @is_held. */
void answers_set_held(struct answers *answers, bool is_held);
/** Takes over a reference to @instances. */
void answers_set_instances(struct answers *answers, JsonArray *instances);
/** Answers what is due after a change. */
void answers_update(struct answers *answers);
/** Fails all waiting calls, as a server that goes down does. */
void answers_fail_waiting(struct answers *answers);
/** Handles one call of a reader, which is counted. */
void answers_take(struct answers *answers, SoupServerMessage *message,
		  const char *path, GHashTable *query);
uint64_t answers_call_count(const struct answers *answers);

#endif
