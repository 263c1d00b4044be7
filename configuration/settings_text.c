#include "configuration/settings_text.h"

#include <glib.h>

char *settings_text_read(const char *path, size_t bytes_max, size_t *length,
			 struct error *error)
{
	GError *reason = NULL;
	char *data;

	if (!g_file_get_contents(path, &data, length, &reason)) {
		error_set(error, ERROR_SETTINGS, "%s", reason->message);
		g_error_free(reason);
		return NULL;
	}
	if (*length <= bytes_max)
		return data;
	error_set(error, ERROR_SETTINGS, "%s: %zu bytes, allowed at most %zu",
		  path, *length, bytes_max);
	g_free(data);
	return NULL;
}

char *field_table_text(const struct field_table *table, const void *source)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	field_table_print(table, source, builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}
