#ifndef PARSLEYLADDER_CONFIGURATION_SETTINGS_TEXT_H
#define PARSLEYLADDER_CONFIGURATION_SETTINGS_TEXT_H

/**
 * Reads settings files and prints settings as text.
 */

#include <stddef.h>

#include "common/error.h"
#include "configuration/field_reader.h"

/**
 * Reads a file of up to @bytes_max bytes; g_free() the result. Returns NULL
 * and fills @error (ERROR_SETTINGS) if it cannot be read or is too large.
 */
char *settings_text_read(const char *path, size_t bytes_max, size_t *length,
			 struct error *error);
/** JSON text of @source, defaults included, secrets masked; g_free() it. */
char *field_table_text(const struct field_table *table, const void *source);

#endif
