#ifndef PARSLEYLADDER_CONFIGURATION_JSON_SLICE_H
#define PARSLEYLADDER_CONFIGURATION_JSON_SLICE_H

/**
 * Reads JSON in place. Values are ranges of the text, so reading takes no
 * memory for those that the caller does not use, whatever they hold. For text
 * of other programs; see configuration/json_text.h for trees.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A JSON value in a text that outlives it. */
struct json_slice {
	const char *start; /* NULL for no value */
	size_t length; /* in bytes */
};

/** A member that is looked for in an object. */
struct json_member {
	const char *name;
	struct json_slice value; /* filled; start is NULL if it is missing */
};

/** Position among the elements of an array. */
struct json_elements {
	const char *position;
	const char *end;
};

/**
 * Checks that the text is valid UTF-8 and one JSON object of any depth. Strings
 * may hold control characters and any escapes. Fills @object if it is.
 */
bool json_slice_check(const char *data, size_t length,
		      struct json_slice *object);
/** The same, but strings may hold any bytes; their readers have to check them. */
bool json_slice_check_structure(const char *data, size_t length,
				struct json_slice *object);

/* The functions below require values of a checked text. */

/** Of members that occur twice, the last one counts. */
void json_slice_find(struct json_slice object, struct json_member *members,
		     size_t count);
/** False if @value is missing or not an array. */
bool json_slice_elements(struct json_slice value,
			 struct json_elements *elements);
/** False after the last element. */
bool json_elements_next(struct json_elements *elements,
			struct json_slice *element);
bool json_slice_is_object(struct json_slice value);
bool json_slice_is_string(struct json_slice value);
bool json_slice_is_true(struct json_slice value);
/**
 * Reads a string with its escapes into @text of @size bytes. False if @value is
 * not a string, does not fit, or contains a NUL or an invalid escape.
 */
bool json_slice_text(struct json_slice value, char *text, size_t size);
/**
 * The same for a string of any bytes: NUL is kept, and so is half of a surrogate
 * pair, as the three bytes of its code point.
 */
bool json_slice_bytes(struct json_slice value, char *bytes, size_t size,
		      size_t *length);
/** False if @value is not an integer of @min to @max. */
bool json_slice_integer(struct json_slice value, int64_t min, int64_t max,
			int64_t *integer);

#endif
