#ifndef PARSLEYLADDER_CONFIGURATION_FIELD_READER_H
#define PARSLEYLADDER_CONFIGURATION_FIELD_READER_H

/**
 * Validated fields of JSON objects. A table gives the type, unit, range and
 * default of each field; reading, printing and freeing follow the table.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"

enum field_type {
	FIELD_NAME, /* char array: letters, digits, '.', '_', '-' */
	FIELD_TEXT, /* char array: printable text */
	FIELD_INTEGER, /* uint16_t, uint32_t or uint64_t */
	/*
	 * uint32_t in thousandths, from a number or its text. A template writes
	 * an empty text for a value that is missing: that is the default.
	 */
	FIELD_DECIMAL,
	FIELD_CHOICE, /* uint8_t or enum */
	FIELD_TEXT_LIST, /* NULL-terminated char ** */
	FIELD_OBJECT_LIST, /* pointer to an array, and a size_t count */
};

/** One allowed text of a choice; an entry without a name ends the list. */
struct field_choice {
	const char *name;
	int value;
};

struct field_table;

struct field {
	const char *name;
	size_t offset; /* of the member in its struct */
	size_t size; /* of the member, in bytes; 0 for a list */
	const char *unit; /* of an integer; NULL for none */
	/* Range of a number, length of a text, or elements of a list. */
	int64_t min;
	int64_t max;
	int64_t integer_default; /* of an integer or a choice */
	const char *text_default; /* NULL means ""; also of a decimal */
	const struct field_choice *choices;
	const struct field_table *element; /* of FIELD_OBJECT_LIST */
	size_t count_offset; /* of FIELD_OBJECT_LIST */
	enum field_type type;
	bool is_required;
	bool is_secret; /* masked in output and error messages */
};

struct field_table {
	const struct field *fields;
	size_t field_count;
	size_t struct_bytes;
};

/** Offset and size of a member, for a row of a table. */
#define FIELD_MEMBER(structure, member)               \
	.offset = offsetof(struct structure, member), \
	.size = sizeof(((struct structure *)NULL)->member)

struct field_reader {
	const char *source; /* file or part, shown in errors */
	enum error_kind kind;
	struct error *error; /* may be NULL */
	GString *path; /* JSON path of the value being read */
	/* Skips unknown fields, which newer versions of the source may add. */
	bool is_lenient;
};

/** Sets the path to "$". */
void field_reader_init(struct field_reader *reader, const char *source,
		       enum error_kind kind, struct error *error);
void field_reader_clear(struct field_reader *reader);

/**
 * Reads @object into @target, which must be zeroed. Missing fields get their
 * default; unknown ones are an error unless the reader is lenient. The caller
 * must free @target with field_table_clear(), also on failure.
 */
bool field_reader_read(struct field_reader *reader,
		       const struct field_table *table, JsonObject *object,
		       void *target);
/**
 * Fills the error with source, path and the formatted problem; returns false.
 */
bool field_reader_fail(const struct field_reader *reader, const char *format,
		       ...) __attribute__((format(printf, 2, 3)));
/** Like field_reader_fail(), for the value at @path, such as "$.name". */
bool field_reader_fail_at(const struct field_reader *reader, const char *path,
			  const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Writes the values that @field allows, for errors and documentation. */
void field_print_allowed(const struct field *field, GString *text);
/** Value of one field of @source as compact JSON; g_free() the result. */
char *field_print_value(const struct field *field, const void *source);
/** Writes @source as a JSON object, secrets masked. */
void field_table_print(const struct field_table *table, const void *source,
		       JsonBuilder *builder);
/** Frees the lists in @target. */
void field_table_clear(const struct field_table *table, void *target);

/** True if @name has 1 to NAME_BYTES_MAX characters, all allowed in names. */
bool name_is_valid(const char *name);
/** Most bytes that name_print() writes, with the terminating NUL. */
#define NAME_TEXT_BYTES 64
/**
 * Writes the start of @name into @text, with '?' for characters that a name
 * cannot have, so that text from other programs cannot add lines to the log.
 * Returns @text.
 */
const char *name_print(const char *name, char text[NAME_TEXT_BYTES]);

#endif
