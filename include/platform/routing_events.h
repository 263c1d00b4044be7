#ifndef PARSLEYLADDER_PLATFORM_ROUTING_EVENTS_H
#define PARSLEYLADDER_PLATFORM_ROUTING_EVENTS_H

/**
 * Versions of the configuration in one response of the store. A response after
 * an outage, or of a watch from long ago, may have dozens. Each takes a good part
 * of a second to parse on a small instance, and delays what was published
 * after it, so only the highest valid version is parsed.
 */

#include <glib.h>

#include "configuration/json_slice.h"
#include "platform/items.h"

struct routing_events;

struct routing_events *routing_events_create(void);
void routing_events_destroy(struct routing_events *events);
/** Adds a version. @value belongs to a text that outlives @events. */
void routing_events_add(struct routing_events *events, struct json_slice value,
			struct store_position position);
/**
 * Appends the highest valid version to @items (struct store_item), after those
 * that turn out to be invalid, as ignored ones.
 */
void routing_events_parse(const struct routing_events *events, GArray *items);

#endif
