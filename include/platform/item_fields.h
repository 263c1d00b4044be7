#ifndef PARSLEYLADDER_PLATFORM_ITEM_FIELDS_H
#define PARSLEYLADDER_PLATFORM_ITEM_FIELDS_H

/**
 * Members of JSON objects in the store. A member of another type, or out of
 * range, counts as missing, as items may come from other programs.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/name.h"
#include "packet/packet.h"

/** False if the member is not an integer of @min to @max. */
bool integer_get(JsonObject *object, const char *name, int64_t min, int64_t max,
		 int64_t *value);
/** False if the member is not a number of 0 to @max. */
bool decimal_get(JsonObject *object, const char *name, double max,
		 double *value);
/** Returns NULL if the member is not a string. */
const char *string_get(JsonObject *object, const char *name);
/** Returns NULL if the member is not an array. */
JsonArray *array_get(JsonObject *object, const char *name);
/** Returns NULL if the member is not an object. */
JsonObject *object_get(JsonObject *object, const char *name);
/** Returns NULL if the element is not an object. */
JsonObject *element_get(JsonArray *array, guint index);
/** False if the member is not a string of 1 to NAME_BYTES_MAX bytes. */
bool name_get(JsonObject *object, const char *name,
	      char text[NAME_BYTES_MAX + 1]);
/** Parses the text form of an IPv4 address. */
bool v4_address_parse(const char *text, struct ip_address *address);

#endif
