#ifndef PARSLEYLADDER_CONFIGURATION_JSON_TEXT_H
#define PARSLEYLADDER_CONFIGURATION_JSON_TEXT_H

/**
 * Strict JSON parser (RFC 8259) for objects. json-glib accepts more than JSON
 * and recurses without bound, so the text is checked before it is parsed.
 */

#include <json-glib/json-glib.h>
#include <stddef.h>

#include "common/error.h"

/** Deepest nesting of objects and arrays. */
#define JSON_TEXT_DEPTH_MAX 16
/** The same for json_text_parse_lenient(); keeps the recursion bounded. */
#define JSON_TEXT_LENIENT_DEPTH_MAX 64
/** Maximum length of a number; all such integers fit into 64 bits. */
#define JSON_TEXT_NUMBER_BYTES_MAX 18

/**
 * Returns a node that holds an object; free it with json_node_unref(). Returns
 * NULL and fills @error with @kind, @source, line and reason otherwise.
 */
JsonNode *json_text_parse(const char *source, const char *data, size_t length,
			  enum error_kind kind, struct error *error);

/**
 * For text from other programs: bounds the nesting, but accepts any strings,
 * numbers of any length and repeated fields. Returns a node that holds an
 * object; free it with json_node_unref(). Returns NULL and fills @error
 * (ERROR_PLATFORM), which may be NULL, with line and reason if the text is
 * invalid.
 */
JsonNode *json_text_parse_lenient(const char *data, size_t length,
				  struct error *error);

#endif
