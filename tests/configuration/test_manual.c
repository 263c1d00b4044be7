/* Guards against manual pages that differ from the tables of fields. */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "configuration/field_reader.h"
#include "configuration/settings.h"
#include "suite.h"

/** Returns the text of a page without line breaks, indentation and escapes. */
static char *page_read(const char *name)
{
	char *path = g_strconcat(SOURCE_ROOT "/parsleyladder/", name, NULL);
	GString *text = g_string_new(NULL);
	char *page;
	char **words;

	ck_assert(g_file_get_contents(path, &page, NULL, NULL));
	words = g_strsplit_set(page, " \t\n", -1);
	for (char **word = words; *word; word++) {
		if (**word)
			g_string_append_printf(text, "%s ", *word);
	}
	g_string_replace(text, "\\", "", 0);
	g_strfreev(words);
	g_free(page);
	g_free(path);
	return g_string_free(text, FALSE);
}

static char *default_print(const struct field *field)
{
	if (field->is_required)
		return g_strdup("Required.");
	if (field->type == FIELD_INTEGER)
		return g_strdup_printf("Default: %" G_GINT64_FORMAT ".",
				       field->integer_default);
	if (field->type == FIELD_CHOICE) {
		for (const struct field_choice *choice = field->choices;
		     choice->name; choice++) {
			if (choice->value == field->integer_default)
				return g_strdup_printf("Default: %s.",
						       choice->name);
		}
	}
	if (field->text_default)
		return g_strdup_printf("Default: %s.", field->text_default);
	return g_strdup("Default: ");
}

/** Looks for "*name* ... Allowed: ... Default: ..." of each field. */
static void assert_documented(const char *page, const char *section,
			      const struct field_table *table)
{
	const char *start = strstr(page, section);

	ck_assert_msg(start != NULL, "%s", section);
	for (size_t i = 0; i < table->field_count; i++) {
		const struct field *field = &table->fields[i];
		GString *allowed = g_string_new("Allowed: ");
		char *name = g_strdup_printf(" *%s* ", field->name);
		char *value = default_print(field);
		const char *entry = strstr(start, name);
		const char *range;

		field_print_allowed(field, allowed);
		g_string_append_printf(allowed, ". %s", value);
		ck_assert_msg(entry != NULL, "%s %s", section, name);
		range = strstr(entry, "Allowed: ");
		ck_assert_msg(range && g_str_has_prefix(range, allowed->str),
			      "%s %s %s", section, name, allowed->str);
		start = range;
		g_string_free(allowed, TRUE);
		g_free(name);
		g_free(value);
	}
}

START_TEST(settings_page_is_complete) {
	static const char *const sections[] = { "# PROFILES", "# TEAMS",
						"# SERVICES" };
	const struct field_table *table = settings_field_table();
	char *page = page_read("parsleyladder-settings.5.scd");
	size_t section = 0;

	assert_documented(page, "# FIELDS", table);
	for (size_t i = 0; i < table->field_count; i++) {
		if (!table->fields[i].element)
			continue;
		ck_assert_uint_lt(section, G_N_ELEMENTS(sections));
		assert_documented(page, sections[section++],
				  table->fields[i].element);
	}
	ck_assert_uint_eq(section, 3);
	g_free(page);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("manual");
	TCase *tests = tcase_create("fields");

	tcase_add_test(tests, settings_page_is_complete);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
