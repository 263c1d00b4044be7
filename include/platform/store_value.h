#ifndef PARSLEYLADDER_PLATFORM_STORE_VALUE_H
#define PARSLEYLADDER_PLATFORM_STORE_VALUE_H

/**
 * Values as they are in responses of the store: texts in base64.
 */

#include <stddef.h>

#include "configuration/json_slice.h"

/**
 * Decodes the value, which may be any bytes; free it with g_free(). Returns NULL
 * if it is not a text.
 */
char *store_value_decode(struct json_slice value, size_t *length);

#endif
