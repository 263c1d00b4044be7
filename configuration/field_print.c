#include <string.h>

#include "configuration/field_reader.h"

#define SECRET_MASK "***"

static void print_choices(const struct field *field, GString *text)
{
	for (const struct field_choice *choice = field->choices; choice->name;
	     choice++)
		g_string_append_printf(text, "%s%s",
				       choice == field->choices ? "" : ", ",
				       choice->name);
}

void field_print_allowed(const struct field *field, GString *text)
{
	switch (field->type) {
	case FIELD_NAME:
		g_string_append(text, "1 to 63 characters of A-Z a-z 0-9 . _ -,"
				      " the first a letter or digit");
		break;
	case FIELD_INTEGER:
	case FIELD_DECIMAL:
		g_string_append_printf(
			text, "%s%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
			field->type == FIELD_DECIMAL ? "a number of " : "",
			field->min, field->max);
		if (field->unit)
			g_string_append_printf(text, " %s", field->unit);
		break;
	case FIELD_CHOICE:
		print_choices(field, text);
		break;
	case FIELD_TEXT_LIST:
	case FIELD_OBJECT_LIST:
		g_string_append_printf(
			text,
			"a list of %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
			" %s",
			field->min, field->max,
			field->type == FIELD_OBJECT_LIST ? "objects" : "texts");
		break;
	default:
		g_string_append_printf(text,
				       "%" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT
				       " printable bytes",
				       field->min, field->max);
		break;
	}
}

static int64_t load_integer(const struct field *field, const void *member)
{
	switch (field->size) {
	case sizeof(uint8_t):
		return *(const uint8_t *)member;
	case sizeof(uint16_t):
		return *(const uint16_t *)member;
	case sizeof(uint32_t):
		return *(const uint32_t *)member;
	default:
		return (int64_t) * (const uint64_t *)member;
	}
}

static const char *choice_name(const struct field *field, int64_t value)
{
	for (const struct field_choice *choice = field->choices; choice->name;
	     choice++) {
		if (choice->value == value)
			return choice->name;
	}
	return "";
}

/* As text without trailing zeros, such as "1.5". */
static void print_decimal(int64_t thousandths, JsonBuilder *builder)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(text, sizeof(text), "%.10g",
			(double)thousandths / 1000);
	json_builder_add_string_value(builder, text);
}

static void print_texts(char *const *texts, JsonBuilder *builder)
{
	json_builder_begin_array(builder);
	for (; texts && *texts; texts++)
		json_builder_add_string_value(builder, *texts);
	json_builder_end_array(builder);
}

static void print_objects(const struct field *field, const void *source,
			  JsonBuilder *builder)
{
	const char *elements =
		*(char *const *)((const char *)source + field->offset);
	size_t count =
		*(const size_t *)((const char *)source + field->count_offset);

	json_builder_begin_array(builder);
	for (size_t i = 0; i < count; i++)
		field_table_print(field->element,
				  elements + i * field->element->struct_bytes,
				  builder);
	json_builder_end_array(builder);
}

static void print_value(const struct field *field, const void *source,
			JsonBuilder *builder)
{
	const char *member = (const char *)source + field->offset;

	switch (field->type) {
	case FIELD_INTEGER:
		json_builder_add_int_value(builder,
					   load_integer(field, member));
		break;
	case FIELD_DECIMAL:
		print_decimal(load_integer(field, member), builder);
		break;
	case FIELD_CHOICE:
		json_builder_add_string_value(
			builder,
			choice_name(field, load_integer(field, member)));
		break;
	case FIELD_TEXT_LIST:
		print_texts(*(char *const *const *)member, builder);
		break;
	case FIELD_OBJECT_LIST:
		print_objects(field, source, builder);
		break;
	default:
		json_builder_add_string_value(
			builder,
			field->is_secret && *member ? SECRET_MASK : member);
		break;
	}
}

char *field_print_value(const struct field *field, const void *source)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	/* JsonBuilder needs a container: use an array, strip its brackets. */
	json_builder_begin_array(builder);
	print_value(field, source, builder);
	json_builder_end_array(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	memmove(text, text + 1, strlen(text));
	text[strlen(text) - 1] = '\0';
	return text;
}

void field_table_print(const struct field_table *table, const void *source,
		       JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	for (size_t i = 0; i < table->field_count; i++) {
		json_builder_set_member_name(builder, table->fields[i].name);
		print_value(&table->fields[i], source, builder);
	}
	json_builder_end_object(builder);
}

static void clear_objects(const struct field *field, void *target)
{
	char **elements = (char **)((char *)target + field->offset);
	size_t *count = (size_t *)((char *)target + field->count_offset);

	for (size_t i = 0; i < *count; i++)
		field_table_clear(field->element,
				  *elements + i * field->element->struct_bytes);
	g_free(*elements);
	*elements = NULL;
	*count = 0;
}

void field_table_clear(const struct field_table *table, void *target)
{
	for (size_t i = 0; i < table->field_count; i++) {
		const struct field *field = &table->fields[i];
		char *member = (char *)target + field->offset;

		if (field->type == FIELD_OBJECT_LIST)
			clear_objects(field, target);
		if (field->type == FIELD_TEXT_LIST) {
			g_strfreev(*(char ***)member);
			*(char ***)member = NULL;
		}
	}
}
