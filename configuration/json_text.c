#include "configuration/json_text.h"

#include <string.h>

#include "configuration/json_token.h"

struct scan {
	const char *position;
	const char *end;
	size_t line;
	size_t depth;
	bool has_root;
	bool is_lenient; /* accept any strings, long numbers, deep nesting */
	const char *problem;
};

static bool scan_fail(struct scan *scan, const char *problem)
{
	scan->problem = problem;
	return false;
}

static bool scan_string(struct scan *scan)
{
	for (scan->position++; scan->position < scan->end; scan->position++) {
		if (*scan->position == '"') {
			scan->position++;
			return true;
		}
		if (!scan->is_lenient && (unsigned char)*scan->position < ' ')
			return scan_fail(scan, "control character in a string");
		if (*scan->position != '\\')
			continue;
		/* C strings end at NUL, so the rest would be ignored. */
		if (!scan->is_lenient && scan->end - scan->position >= 6 &&
		    memcmp(scan->position, "\\u0000", 6) == 0)
			return scan_fail(scan, "NUL character in a string");
		scan->position++;
	}
	return scan_fail(scan, "string is not terminated");
}

static bool scan_number(struct scan *scan)
{
	const char *start = scan->position;
	const char *digits;

	while (scan->position < scan->end && *scan->position &&
	       strchr("0123456789+-.eE", *scan->position))
		scan->position++;
	if (!scan->is_lenient &&
	    scan->position - start > JSON_TEXT_NUMBER_BYTES_MAX)
		return scan_fail(scan, "number is longer than 18 characters");
	digits = *start == '-' ? start + 1 : start;
	if (digits == scan->position || !g_ascii_isdigit(*digits))
		return scan_fail(scan, "number has no digit");
	if (scan->position - digits > 1 && digits[0] == '0' &&
	    g_ascii_isdigit(digits[1]))
		return scan_fail(scan, "number starts with 0");
	return true;
}

static bool scan_literal(struct scan *scan)
{
	const char *end = json_literal_end(scan->position, scan->end);

	if (!end)
		return scan_fail(scan, "unexpected character");
	scan->position = end;
	return true;
}

static bool scan_bracket(struct scan *scan)
{
	size_t depth_max = scan->is_lenient ? JSON_TEXT_LENIENT_DEPTH_MAX
					    : JSON_TEXT_DEPTH_MAX;

	if (*scan->position == '{' || *scan->position == '[') {
		scan->has_root = true;
		if (++scan->depth > depth_max)
			return scan_fail(
				scan, scan->is_lenient
					      ? "nested deeper than 64 levels"
					      : "nested deeper than 16 levels");
	} else if (scan->depth-- == 0) {
		return scan_fail(scan,
				 "closing bracket without an opening one");
	}
	scan->position++;
	return true;
}

static bool scan_token(struct scan *scan)
{
	char c = *scan->position;

	if (c == '\n')
		scan->line++;
	if (strchr(" \t\r\n", c)) {
		scan->position++;
		return true;
	}
	if (scan->depth == 0 && scan->has_root)
		return scan_fail(scan, "text after the end of the object");
	if (scan->depth == 0 && c != '{')
		return scan_fail(scan, "expected a JSON object");
	if (strchr("{}[]", c))
		return scan_bracket(scan);
	if (c == '"')
		return scan_string(scan);
	if (c == '-' || g_ascii_isdigit(c))
		return scan_number(scan);
	if (c != ',' && c != ':')
		return scan_literal(scan);
	scan->position++;
	return true;
}

static bool scan_text(struct scan *scan)
{
	if (!g_utf8_validate(scan->position, scan->end - scan->position, NULL))
		return scan_fail(scan, "text is not valid UTF-8");
	while (scan->position < scan->end) {
		if (!scan_token(scan))
			return false;
	}
	if (!scan->has_root || scan->depth > 0)
		return scan_fail(scan, "text ends within an object");
	return true;
}

struct member_count {
	GHashTable *by_object; /* JsonObject to number of members seen */
	bool has_duplicate;
	guint line;
};

static void on_object_member(JsonParser *parser, JsonObject *object,
			     const char *name, gpointer context)
{
	struct member_count *count = context;
	guint members =
		GPOINTER_TO_UINT(g_hash_table_lookup(count->by_object, object));

	(void)name;
	g_hash_table_insert(count->by_object, object,
			    GUINT_TO_POINTER(++members));
	/*
	 * json-glib silently replaces a member that occurs twice, so the object
	 * then has fewer members than were seen.
	 */
	if (members == json_object_get_size(object) || count->has_duplicate)
		return;
	count->has_duplicate = true;
	count->line = json_parser_get_current_line(parser);
}

static void on_object_end(JsonParser *parser, JsonObject *object,
			  gpointer context)
{
	struct member_count *count = context;

	(void)parser;
	g_hash_table_remove(count->by_object, object);
}

static JsonNode *parse(JsonParser *parser, const char *source, const char *data,
		       size_t length, enum error_kind kind, struct error *error)
{
	struct member_count count = { .by_object =
					      g_hash_table_new(NULL, NULL) };
	GError *reason = NULL;
	JsonNode *root = NULL;

	g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member),
			 &count);
	g_signal_connect(parser, "object-end", G_CALLBACK(on_object_end),
			 &count);
	if (!json_parser_load_from_data(parser, data, (gssize)length, &reason))
		error_set(error, kind, "%s: %s", source, reason->message);
	else if (count.has_duplicate)
		error_set(error, kind, "%s: line %u: field occurs twice",
			  source, count.line);
	else
		root = json_parser_steal_root(parser);
	if (root && !JSON_NODE_HOLDS_OBJECT(root)) {
		error_set(error, kind, "%s: expected a JSON object", source);
		json_node_unref(root);
		root = NULL;
	}
	g_clear_error(&reason);
	g_hash_table_unref(count.by_object);
	return root;
}

JsonNode *json_text_parse(const char *source, const char *data, size_t length,
			  enum error_kind kind, struct error *error)
{
	struct scan scan = { .line = 1 };
	JsonParser *parser;
	JsonNode *root;

	if (length == 0) {
		error_set(error, kind,
			  "%s: expected a JSON object, found no text", source);
		return NULL;
	}
	scan.position = data;
	scan.end = data + length;
	if (!scan_text(&scan)) {
		error_set(error, kind, "%s: line %zu: %s", source, scan.line,
			  scan.problem);
		return NULL;
	}
	parser = json_parser_new();
	root = parse(parser, source, data, length, kind, error);
	g_object_unref(parser);
	return root;
}

JsonNode *json_text_parse_lenient(const char *data, size_t length,
				  struct error *error)
{
	struct scan scan = {
		.position = data,
		.end = data + length,
		.line = 1,
		.is_lenient = true,
	};
	GError *reason = NULL;
	JsonParser *parser;
	JsonNode *root = NULL;

	if (length == 0 || length > G_MAXINT32) {
		error_set(error, ERROR_PLATFORM, "%s",
			  length == 0 ? "no text" : "text is too long");
		return NULL;
	}
	if (!scan_text(&scan)) {
		error_set(error, ERROR_PLATFORM, "line %zu: %s", scan.line,
			  scan.problem);
		return NULL;
	}
	parser = json_parser_new();
	if (json_parser_load_from_data(parser, data, (gssize)length, &reason))
		root = json_parser_steal_root(parser);
	else
		error_set(error, ERROR_PLATFORM, "line %u: %s",
			  json_parser_get_current_line(parser),
			  reason->message);
	g_clear_error(&reason);
	g_object_unref(parser);
	return root;
}
