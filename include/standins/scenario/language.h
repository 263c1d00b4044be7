#ifndef PARSLEYLADDER_STANDINS_SCENARIO_LANGUAGE_H
#define PARSLEYLADDER_STANDINS_SCENARIO_LANGUAGE_H

/**
 * Scenario language: one command a line, words as in a shell, # begins a
 * comment. Arguments are positional words followed by "NAME VALUE" pairs.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/error.h"

struct scenario_line {
	unsigned int number; /* in the file, from 1 */
	int word_count; /* at least 1 */
	char **words; /* NULL-terminated; the first is the command */
};

struct scenario_text {
	char *path;
	struct scenario_line *lines;
	size_t line_count;
};

/** Returns NULL and fills @error with the line that cannot be read. */
struct scenario_text *scenario_text_parse(const char *path, const char *text,
					  struct error *error);
struct scenario_text *scenario_text_load(const char *path, struct error *error);
void scenario_text_destroy(struct scenario_text *text);

/** Value of the pair @name from word @first on, or @fallback. */
const char *scenario_line_option(const struct scenario_line *line, int first,
				 const char *name, const char *fallback);
/** Number of the pair @name; false and @error if it is no number. */
bool scenario_line_number(const struct scenario_line *line, int first,
			  const char *name, double fallback, double *value,
			  struct error *error);
/** Parses a whole word as a number. */
bool scenario_number_parse(const char *word, double *value,
			   struct error *error);
/** "==", "!=", "<", "<=", ">" or ">="; false and @error for any other. */
bool scenario_compare(double seen, const char *operator_word, double expected,
		      bool *is_met, struct error *error);

#endif
