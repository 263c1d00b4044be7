#include "standins/scenario/language.h"

#include <glib.h>
#include <string.h>

static void line_clear(void *data)
{
	g_strfreev(((struct scenario_line *)data)->words);
}

static bool line_parse(const char *text, unsigned int number,
		       struct scenario_line *line, struct error *error)
{
	g_autoptr(GError) failure = NULL;

	line->number = number;
	if (g_shell_parse_argv(text, &line->word_count, &line->words, &failure))
		return true;
	/* A blank line, or one with a comment only, is not a command. */
	if (g_error_matches(failure, G_SHELL_ERROR,
			    G_SHELL_ERROR_EMPTY_STRING)) {
		line->word_count = 0;
		return true;
	}
	return error_set(error, ERROR_USAGE, "line %u: %s", number,
			 failure->message);
}

struct scenario_text *scenario_text_parse(const char *path, const char *text,
					  struct error *error)
{
	GArray *lines = g_array_new(FALSE, TRUE, sizeof(struct scenario_line));
	g_auto(GStrv) rows = g_strsplit(text, "\n", -1);
	struct scenario_text *result;

	g_array_set_clear_func(lines, line_clear);
	for (unsigned int i = 0; rows[i]; i++) {
		struct scenario_line line = { 0 };

		if (!line_parse(rows[i], i + 1, &line, error)) {
			g_array_free(lines, TRUE);
			return NULL;
		}
		if (line.word_count > 0)
			g_array_append_val(lines, line);
	}
	result = g_new0(struct scenario_text, 1);
	result->path = g_strdup(path);
	result->line_count = lines->len;
	g_array_set_clear_func(lines, NULL);
	result->lines = (struct scenario_line *)g_array_free(lines, FALSE);
	return result;
}

struct scenario_text *scenario_text_load(const char *path, struct error *error)
{
	g_autoptr(GError) failure = NULL;
	g_autofree char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, &failure))
		return scenario_text_parse(path, text, error);
	error_set(error, ERROR_IO, "%s", failure->message);
	return NULL;
}

void scenario_text_destroy(struct scenario_text *text)
{
	for (size_t i = 0; i < text->line_count; i++)
		line_clear(&text->lines[i]);
	g_free(text->lines);
	g_free(text->path);
	g_free(text);
}

const char *scenario_line_option(const struct scenario_line *line, int first,
				 const char *name, const char *fallback)
{
	for (int i = first; i + 1 < line->word_count; i += 2)
		if (strcmp(line->words[i], name) == 0)
			return line->words[i + 1];
	return fallback;
}

bool scenario_number_parse(const char *word, double *value, struct error *error)
{
	char *end;

	*value = g_ascii_strtod(word, &end);
	if (end != word && *end == '\0')
		return true;
	return error_set(error, ERROR_USAGE, "'%s' is not a number", word);
}

bool scenario_line_number(const struct scenario_line *line, int first,
			  const char *name, double fallback, double *value,
			  struct error *error)
{
	const char *word = scenario_line_option(line, first, name, NULL);

	*value = fallback;
	return !word || scenario_number_parse(word, value, error);
}

bool scenario_compare(double seen, const char *operator_word, double expected,
		      bool *is_met, struct error *error)
{
	const struct {
		const char *word;
		bool is_met;
	} rows[] = {
		{ "==", seen == expected }, { "!=", seen != expected },
		{ "<", seen < expected },   { "<=", seen <= expected },
		{ ">", seen > expected },   { ">=", seen >= expected },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (strcmp(rows[i].word, operator_word) != 0)
			continue;
		*is_met = rows[i].is_met;
		return true;
	}
	return error_set(error, ERROR_USAGE, "no operator '%s'", operator_word);
}
