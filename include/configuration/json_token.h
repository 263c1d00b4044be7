#ifndef PARSLEYLADDER_CONFIGURATION_JSON_TOKEN_H
#define PARSLEYLADDER_CONFIGURATION_JSON_TOKEN_H

/**
 * Ends of single JSON tokens. Each function returns the position after the
 * token at @start, or NULL if there is no valid one before @end.
 */

/** @start is the opening quote; the string may hold any bytes and escapes. */
const char *json_string_end(const char *start, const char *end);
const char *json_number_end(const char *start, const char *end);
/** true, false or null. */
const char *json_literal_end(const char *start, const char *end);

#endif
