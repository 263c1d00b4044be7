#include "configuration/field_reader.h"

#include <math.h>
#include <stdarg.h>
#include <string.h>

#include "common/name.h"

/** Longest part of an invalid value that an error message quotes, in bytes. */
#define VALUE_BYTES_MAX 64

void field_reader_init(struct field_reader *reader, const char *source,
		       enum error_kind kind, struct error *error)
{
	reader->source = source;
	reader->kind = kind;
	reader->error = error;
	reader->path = g_string_new("$");
	reader->is_lenient = false;
}

void field_reader_clear(struct field_reader *reader)
{
	g_string_free(reader->path, TRUE);
	reader->path = NULL;
}

static bool fail_at(const struct field_reader *reader, const char *path,
		    const char *format, va_list arguments)
{
	char problem[ERROR_DETAIL_BYTES];

	g_vsnprintf(problem, sizeof(problem), format, arguments);
	return error_set(reader->error, reader->kind, "%s: %s: %s",
			 reader->source, path, problem);
}

bool field_reader_fail(const struct field_reader *reader, const char *format,
		       ...)
{
	va_list arguments;

	va_start(arguments, format);
	fail_at(reader, reader->path->str, format, arguments);
	va_end(arguments);
	return false;
}

bool field_reader_fail_at(const struct field_reader *reader, const char *path,
			  const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	fail_at(reader, path, format, arguments);
	va_end(arguments);
	return false;
}

/** Reports the value of @node, the problem and the values @field allows. */
static bool fail_value(const struct field_reader *reader,
		       const struct field *field, JsonNode *node,
		       const char *problem)
{
	GString *allowed = g_string_new(NULL);
	char *value = field->is_secret ? g_strdup("(secret)")
				       : json_to_string(node, FALSE);

	if (strlen(value) > VALUE_BYTES_MAX) {
		char *end =
			g_utf8_find_prev_char(value, value + VALUE_BYTES_MAX);

		*end = '\0';
	}
	field_print_allowed(field, allowed);
	field_reader_fail(reader, "%s %s, allowed %s", value, problem,
			  allowed->str);
	g_free(value);
	g_string_free(allowed, TRUE);
	return false;
}

bool name_is_valid(const char *name)
{
	size_t length = strlen(name);

	if (length == 0 || length > NAME_BYTES_MAX || !g_ascii_isalnum(name[0]))
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isalnum(name[i]) && !strchr("._-", name[i]))
			return false;
	}
	return true;
}

const char *name_print(const char *name, char text[NAME_TEXT_BYTES])
{
	g_strlcpy(text, name, NAME_TEXT_BYTES);
	for (char *c = text; *c; c++) {
		if (!g_ascii_isalnum(*c) && !strchr("/._-", *c))
			*c = '?';
	}
	return text;
}

static bool text_is_printable(const char *text)
{
	if (!g_utf8_validate(text, -1, NULL))
		return false;
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text))
			return false;
	}
	return true;
}

static bool text_is_valid(const struct field *field, const char *text)
{
	int64_t length = (int64_t)strlen(text);

	if (field->type == FIELD_NAME)
		return name_is_valid(text);
	return length >= field->min && length <= field->max &&
	       text_is_printable(text);
}

/** Returns the text of @node, or NULL if it is not valid for @field. */
static const char *read_text(const struct field_reader *reader,
			     const struct field *field, JsonNode *node)
{
	const char *text;

	if (json_node_get_value_type(node) != G_TYPE_STRING) {
		fail_value(reader, field, node, "is not a string");
		return NULL;
	}
	text = json_node_get_string(node);
	if (text_is_valid(field, text))
		return text;
	fail_value(reader, field, node, "is not valid");
	return NULL;
}

static void store_integer(const struct field *field, void *target,
			  int64_t value)
{
	void *member = (char *)target + field->offset;

	switch (field->size) {
	case sizeof(uint8_t):
		*(uint8_t *)member = (uint8_t)value;
		break;
	case sizeof(uint16_t):
		*(uint16_t *)member = (uint16_t)value;
		break;
	case sizeof(uint32_t):
		*(uint32_t *)member = (uint32_t)value;
		break;
	default:
		*(uint64_t *)member = (uint64_t)value;
		break;
	}
}

static bool read_integer(const struct field_reader *reader,
			 const struct field *field, JsonNode *node,
			 void *target)
{
	int64_t value;

	if (json_node_get_value_type(node) != G_TYPE_INT64)
		return fail_value(reader, field, node, "is not an integer");
	value = json_node_get_int(node);
	if (value < field->min || value > field->max)
		return fail_value(reader, field, node, "is out of range");
	store_integer(field, target, value);
	return true;
}

/* Digits beyond thousandths are dropped. */
static double thousandths(double value)
{
	/* 1.001 * 1000 is less than 1001. */
	return floor(value * 1000 + 1e-6);
}

static bool decimal_parse(const char *text, double *value)
{
	char *end;

	if (*text == '\0' || strspn(text, "0123456789.") != strlen(text))
		return false;
	*value = g_ascii_strtod(text, &end);
	return *end == '\0';
}

static bool decimal_get(const struct field *field, JsonNode *node,
			double *value)
{
	GType type = json_node_get_value_type(node);
	const char *text;

	if (type == G_TYPE_INT64 || type == G_TYPE_DOUBLE) {
		*value = json_node_get_double(node);
		return true;
	}
	if (type != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	return decimal_parse(*text == '\0' ? field->text_default : text, value);
}

static bool read_decimal(const struct field_reader *reader,
			 const struct field *field, JsonNode *node,
			 void *target)
{
	double value;

	if (!decimal_get(field, node, &value))
		return fail_value(reader, field, node, "is not a number");
	if (!(value >= field->min && value <= field->max))
		return fail_value(reader, field, node, "is out of range");
	store_integer(field, target, (int64_t)thousandths(value));
	return true;
}

static void store_decimal_default(const struct field *field, void *target)
{
	double value = 0;

	decimal_parse(field->text_default, &value);
	store_integer(field, target, (int64_t)thousandths(value));
}

static bool read_choice(const struct field_reader *reader,
			const struct field *field, JsonNode *node, void *target)
{
	const char *text;

	if (json_node_get_value_type(node) != G_TYPE_STRING)
		return fail_value(reader, field, node, "is not a string");
	text = json_node_get_string(node);
	for (const struct field_choice *choice = field->choices; choice->name;
	     choice++) {
		if (strcmp(choice->name, text) != 0)
			continue;
		store_integer(field, target, choice->value);
		return true;
	}
	return fail_value(reader, field, node, "is not known");
}

static JsonArray *read_list(const struct field_reader *reader,
			    const struct field *field, JsonNode *node)
{
	JsonArray *array;
	int64_t length;

	if (!JSON_NODE_HOLDS_ARRAY(node)) {
		fail_value(reader, field, node, "is not a list");
		return NULL;
	}
	array = json_node_get_array(node);
	length = json_array_get_length(array);
	if (length >= field->min && length <= field->max)
		return array;
	field_reader_fail(reader,
			  "%" G_GINT64_FORMAT " elements, allowed "
			  "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
			  length, field->min, field->max);
	return NULL;
}

static bool read_texts(struct field_reader *reader, const struct field *field,
		       JsonNode *node, void *target)
{
	/* Each element is checked as a text of 1 to 255 bytes. */
	struct field element = {
		.type = FIELD_TEXT,
		.min = 1,
		.max = 255,
	};
	JsonArray *array = read_list(reader, field, node);
	size_t path_bytes = reader->path->len;
	char **texts;
	guint length;

	if (!array)
		return false;
	length = json_array_get_length(array);
	texts = g_new0(char *, length + 1);
	g_strfreev(*(char ***)((char *)target + field->offset));
	*(char ***)((char *)target + field->offset) = texts;
	for (guint i = 0; i < length; i++) {
		const char *text;

		g_string_append_printf(reader->path, "[%u]", i);
		text = read_text(reader, &element,
				 json_array_get_element(array, i));
		if (!text)
			return false;
		texts[i] = g_strdup(text);
		g_string_truncate(reader->path, path_bytes);
	}
	return true;
}

static bool read_objects(struct field_reader *reader, const struct field *field,
			 JsonNode *node, void *target)
{
	const struct field_table *table = field->element;
	JsonArray *array = read_list(reader, field, node);
	size_t path_bytes = reader->path->len;
	char *elements;
	guint length;

	if (!array)
		return false;
	length = json_array_get_length(array);
	elements = g_malloc0_n(MAX(length, 1), table->struct_bytes);
	*(void **)((char *)target + field->offset) = elements;
	*(size_t *)((char *)target + field->count_offset) = length;
	for (guint i = 0; i < length; i++) {
		JsonNode *element = json_array_get_element(array, i);

		g_string_append_printf(reader->path, "[%u]", i);
		if (!JSON_NODE_HOLDS_OBJECT(element))
			return field_reader_fail(reader,
						 "element is not an object");
		if (!field_reader_read(reader, table,
				       json_node_get_object(element),
				       elements + i * table->struct_bytes))
			return false;
		g_string_truncate(reader->path, path_bytes);
	}
	return true;
}

static bool read_value(struct field_reader *reader, const struct field *field,
		       JsonNode *node, void *target)
{
	char *member = (char *)target + field->offset;
	const char *text;

	switch (field->type) {
	case FIELD_INTEGER:
		return read_integer(reader, field, node, target);
	case FIELD_DECIMAL:
		return read_decimal(reader, field, node, target);
	case FIELD_CHOICE:
		return read_choice(reader, field, node, target);
	case FIELD_OBJECT_LIST:
		return read_objects(reader, field, node, target);
	case FIELD_TEXT_LIST:
		return read_texts(reader, field, node, target);
	default:
		break;
	}
	text = read_text(reader, field, node);
	if (!text)
		return false;
	g_strlcpy(member, text, field->size);
	return true;
}

/** Sets a missing field to its default; fails if it is required. */
static bool read_default(struct field_reader *reader, const struct field *field,
			 void *target)
{
	char *member = (char *)target + field->offset;
	GString *allowed;

	if (field->is_required) {
		allowed = g_string_new(NULL);
		field_print_allowed(field, allowed);
		field_reader_fail(reader, "is missing, allowed %s",
				  allowed->str);
		g_string_free(allowed, TRUE);
		return false;
	}
	switch (field->type) {
	case FIELD_INTEGER:
	case FIELD_CHOICE:
		store_integer(field, target, field->integer_default);
		break;
	case FIELD_DECIMAL:
		store_decimal_default(field, target);
		break;
	case FIELD_TEXT_LIST:
		*(char ***)member = g_new0(char *, 1);
		break;
	case FIELD_OBJECT_LIST:
		break;
	default:
		if (field->text_default)
			g_strlcpy(member, field->text_default, field->size);
		break;
	}
	return true;
}

static bool has_field(const struct field_table *table, const char *name)
{
	for (size_t i = 0; i < table->field_count; i++) {
		if (strcmp(table->fields[i].name, name) == 0)
			return true;
	}
	return false;
}

static bool fail_unknown(struct field_reader *reader,
			 const struct field_table *table, const char *name)
{
	GString *names = g_string_new(NULL);
	char text[NAME_TEXT_BYTES];

	for (size_t i = 0; i < table->field_count; i++)
		g_string_append_printf(names, "%s%s", i > 0 ? ", " : "",
				       table->fields[i].name);
	g_string_append_printf(reader->path, ".%s", name_print(name, text));
	field_reader_fail(reader, "unknown field, allowed %s", names->str);
	g_string_free(names, TRUE);
	return false;
}

static bool check_unknown(struct field_reader *reader,
			  const struct field_table *table, JsonObject *object)
{
	GList *names = json_object_get_members(object);
	bool is_known = true;

	for (GList *name = names; name && is_known; name = name->next) {
		if (!has_field(table, name->data))
			is_known = fail_unknown(reader, table, name->data);
	}
	g_list_free(names);
	return is_known;
}

bool field_reader_read(struct field_reader *reader,
		       const struct field_table *table, JsonObject *object,
		       void *target)
{
	size_t path_bytes = reader->path->len;

	if (!reader->is_lenient && !check_unknown(reader, table, object))
		return false;
	for (size_t i = 0; i < table->field_count; i++) {
		const struct field *field = &table->fields[i];
		JsonNode *node = json_object_get_member(object, field->name);
		bool is_read;

		g_string_append_printf(reader->path, ".%s", field->name);
		if (node)
			is_read = read_value(reader, field, node, target);
		else
			is_read = read_default(reader, field, target);
		if (!is_read)
			return false;
		g_string_truncate(reader->path, path_bytes);
	}
	return true;
}
