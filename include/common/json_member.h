#ifndef PARSLEYLADDER_COMMON_JSON_MEMBER_H
#define PARSLEYLADDER_COMMON_JSON_MEMBER_H

/**
 * Adds members to the JSON object that is open in a builder.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/** @value may be NULL, which is written as null. */
void json_member_string(JsonBuilder *builder, const char *name,
			const char *value);
void json_member_integer(JsonBuilder *builder, const char *name, int64_t value);
void json_member_boolean(JsonBuilder *builder, const char *name, bool value);

#endif
