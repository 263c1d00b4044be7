#include "configuration/json_duplicates.h"

#include <stdbool.h>
#include <string.h>

#include "configuration/json_text.h"
#include "configuration/json_token.h"

/* Bytes of a member name that are shown in a place. */
#define NAME_SHOWN_BYTES 64

/* An object or array that is open at the position of the scan. */
struct level {
	GHashTable *names; /* members so far; NULL for an array */
	char *name; /* of the current member */
	size_t index; /* of the current element */
	bool expects_name;
};

struct scan {
	const char *position;
	const char *end;
	struct level levels[JSON_TEXT_LENIENT_DEPTH_MAX];
	size_t depth;
	struct finding_list *findings;
};

static char *place_print(const struct scan *scan)
{
	GString *place = g_string_new("$");

	for (size_t i = 0; i < scan->depth; i++) {
		const struct level *level = &scan->levels[i];

		if (level->names)
			g_string_append_printf(place, ".%.*s", NAME_SHOWN_BYTES,
					       level->name);
		else
			g_string_append_printf(place, "[%zu]", level->index);
	}
	return g_string_free(place, FALSE);
}

/* The text between two quotes, without escapes. */
static char *name_decode(const char *start, size_t length)
{
	char *quoted;
	JsonNode *node;
	char *name = NULL;

	if (!memchr(start, '\\', length))
		return g_strndup(start, length);
	quoted = g_strndup(start - 1, length + 2);
	node = json_from_string(quoted, NULL);
	if (node && json_node_get_value_type(node) == G_TYPE_STRING)
		name = json_node_dup_string(node);
	g_clear_pointer(&node, json_node_unref);
	g_free(quoted);
	return name ? name : g_strndup(start, length);
}

static void name_add(struct scan *scan, char *name)
{
	struct level *level = &scan->levels[scan->depth - 1];
	char *place;

	level->name = name;
	level->expects_name = false;
	if (g_hash_table_add(level->names, name))
		return;
	/* The table has replaced its key, so the name is still valid. */
	place = place_print(scan);
	finding_add(scan->findings, FINDING_DUPLICATE_MEMBER, place,
		    "occurs twice in one object, only the last value is used");
	g_free(place);
}

static void string_scan(struct scan *scan)
{
	const char *start = scan->position + 1;
	const char *end = json_string_end(scan->position, scan->end);

	scan->position = end ? end : scan->end;
	if (end && scan->depth > 0 &&
	    scan->levels[scan->depth - 1].expects_name)
		name_add(scan, name_decode(start, (size_t)(end - 1 - start)));
}

static void level_open(struct scan *scan, bool is_object)
{
	struct level *level = &scan->levels[scan->depth++];

	memset(level, 0, sizeof(*level));
	level->expects_name = is_object;
	if (is_object)
		level->names = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, NULL);
}

static void level_close(struct scan *scan)
{
	struct level *level = &scan->levels[--scan->depth];

	g_clear_pointer(&level->names, g_hash_table_unref);
}

static void separator_scan(struct scan *scan)
{
	struct level *level = &scan->levels[scan->depth - 1];

	level->expects_name = level->names != NULL;
	level->index++;
}

static void token_scan(struct scan *scan)
{
	char c = *scan->position;

	if (c == '"') {
		string_scan(scan);
		return;
	}
	if ((c == '{' || c == '[') && scan->depth < JSON_TEXT_LENIENT_DEPTH_MAX)
		level_open(scan, c == '{');
	else if ((c == '}' || c == ']') && scan->depth > 0)
		level_close(scan);
	else if (c == ',' && scan->depth > 0)
		separator_scan(scan);
	scan->position++;
}

void json_duplicates_find(const char *data, size_t length,
			  struct finding_list *findings)
{
	struct scan scan = {
		.position = data,
		.end = data + length,
		.findings = findings,
	};

	while (scan.position < scan.end)
		token_scan(&scan);
	while (scan.depth > 0)
		level_close(&scan);
}
