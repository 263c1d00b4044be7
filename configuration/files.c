/* Configurations from files. */

#include <string.h>

#include "configuration/json_text.h"
#include "configuration/parts.h"

/** Name of the part that @root is the content of; NULL if it is none. */
static char *part_name_of(JsonNode *root)
{
	JsonObject *object = json_node_get_object(root);
	JsonNode *name = json_object_get_member(object, "name");

	if (json_object_has_member(object, "profiles"))
		return g_strdup("profiles");
	if (!name || json_node_get_value_type(name) != G_TYPE_STRING ||
	    !name_is_valid(json_node_get_string(name)))
		return NULL;
	return g_strconcat("service/", json_node_get_string(name), NULL);
}

static bool add_part(GHashTable *parts, GHashTable *labels, const char *path,
		     GBytes *part, struct error *error)
{
	size_t length;
	const char *data = g_bytes_get_data(part, &length);
	JsonNode *root;
	char *part_name;

	if (length > CONFIGURATION_PART_BYTES_MAX)
		return error_set(error, ERROR_CONFIGURATION,
				 "%s: %zu bytes, allowed at most %d", path,
				 length, CONFIGURATION_PART_BYTES_MAX);
	root = json_text_parse(path, data, length, ERROR_CONFIGURATION, error);
	if (!root)
		return false;
	part_name = part_name_of(root);
	json_node_unref(root);
	if (!part_name)
		return error_set(error, ERROR_CONFIGURATION,
				 "%s: $.name: is missing or not a name, "
				 "allowed the part of a service, or profiles",
				 path);
	if (g_hash_table_contains(parts, part_name)) {
		error_set(error, ERROR_CONFIGURATION,
			  "%s: part %s is in %s too, allowed one file", path,
			  part_name, part_label(labels, part_name));
		g_free(part_name);
		return false;
	}
	g_hash_table_insert(labels, g_strdup(part_name), g_strdup(path));
	g_hash_table_insert(parts, part_name, g_bytes_ref(part));
	return true;
}

static bool add_file(GHashTable *parts, GHashTable *labels, const char *path,
		     struct error *error)
{
	GError *reason = NULL;
	GBytes *part;
	size_t length;
	char *data;
	bool is_added;

	if (!g_file_get_contents(path, &data, &length, &reason)) {
		error_set(error, ERROR_CONFIGURATION, "%s", reason->message);
		g_error_free(reason);
		return false;
	}
	part = g_bytes_new_take(data, length);
	is_added = add_part(parts, labels, path, part, error);
	g_bytes_unref(part);
	return is_added;
}

struct configuration *configuration_load_files(char *const *paths,
					       size_t path_count,
					       uint64_t revision,
					       struct error *error)
{
	GHashTable *parts = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	GHashTable *labels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	struct configuration *configuration = NULL;
	size_t i;

	for (i = 0; i < path_count; i++) {
		if (!add_file(parts, labels, paths[i], error))
			break;
	}
	if (i == path_count)
		configuration = configuration_create_labelled(revision, parts,
							      labels, error);
	g_hash_table_unref(parts);
	g_hash_table_unref(labels);
	return configuration;
}
