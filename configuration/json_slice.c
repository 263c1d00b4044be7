#include "configuration/json_slice.h"

#include <glib.h>
#include <string.h>

#include "configuration/json_token.h"

/* Longest name of a member that can be looked for, with the final NUL. */
#define MEMBER_NAME_BYTES 32
/* Longest integer of 64 bits with its sign, with the final NUL. */
#define INTEGER_BYTES 21

enum expected {
	EXPECTED_VALUE,
	EXPECTED_VALUE_OR_END, /* after the start of an array */
	EXPECTED_NAME,
	EXPECTED_NAME_OR_END, /* after the start of an object */
	EXPECTED_COLON,
	EXPECTED_COMMA_OR_END,
	EXPECTED_NOTHING, /* after the end of the root */
};

struct check {
	const char *position;
	const char *end;
	enum expected expected;
	/* One bit for each open object or array, set for objects. */
	uint8_t *levels;
	size_t depth;
	size_t depth_max;
};

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static const char *spaces_end(const char *position, const char *end)
{
	while (position < end && is_space(*position))
		position++;
	return position;
}

static bool is_in_object(const struct check *check)
{
	size_t level = check->depth - 1;

	return (check->levels[level / 8] >> level % 8 & 1) != 0;
}

static void value_end_check(struct check *check)
{
	check->expected = check->depth == 0 ? EXPECTED_NOTHING
					    : EXPECTED_COMMA_OR_END;
}

static bool level_open(struct check *check)
{
	bool is_object = *check->position == '{';
	uint8_t bit = (uint8_t)(1u << check->depth % 8);
	uint8_t *levels = &check->levels[check->depth / 8];

	/* There is no room left in the text to close all of them. */
	if (check->depth == check->depth_max)
		return false;
	*levels = (uint8_t)(is_object ? *levels | bit : *levels & ~bit);
	check->depth++;
	check->position++;
	check->expected = is_object ? EXPECTED_NAME_OR_END
				    : EXPECTED_VALUE_OR_END;
	return true;
}

static bool level_close(struct check *check)
{
	char bracket = is_in_object(check) ? '}' : ']';

	if (*check->position != bracket)
		return false;
	check->depth--;
	check->position++;
	value_end_check(check);
	return true;
}

static bool scalar_check(struct check *check)
{
	const char *start = check->position;

	if (*start == '"')
		check->position = json_string_end(start, check->end);
	else if (*start == '-' || g_ascii_isdigit(*start))
		check->position = json_number_end(start, check->end);
	else
		check->position = json_literal_end(start, check->end);
	value_end_check(check);
	return check->position != NULL;
}

static bool value_check(struct check *check)
{
	if (*check->position == '{' || *check->position == '[')
		return level_open(check);
	return check->depth > 0 && scalar_check(check);
}

static bool name_check(struct check *check)
{
	if (*check->position != '"')
		return false;
	check->position = json_string_end(check->position, check->end);
	check->expected = EXPECTED_COLON;
	return check->position != NULL;
}

static bool comma_check(struct check *check)
{
	if (*check->position != ',')
		return level_close(check);
	check->position++;
	check->expected = is_in_object(check) ? EXPECTED_NAME : EXPECTED_VALUE;
	return true;
}

static bool token_check(struct check *check)
{
	char c = *check->position;

	switch (check->expected) {
	case EXPECTED_VALUE_OR_END:
		return c == ']' ? level_close(check) : value_check(check);
	case EXPECTED_VALUE:
		return value_check(check);
	case EXPECTED_NAME_OR_END:
		return c == '}' ? level_close(check) : name_check(check);
	case EXPECTED_NAME:
		return name_check(check);
	case EXPECTED_COLON:
		check->position++;
		check->expected = EXPECTED_VALUE;
		return c == ':';
	case EXPECTED_COMMA_OR_END:
		return comma_check(check);
	case EXPECTED_NOTHING:
		break;
	}
	return false;
}

static bool text_check(struct check *check)
{
	for (;;) {
		check->position = spaces_end(check->position, check->end);
		if (check->position == check->end)
			return check->expected == EXPECTED_NOTHING;
		if (!token_check(check))
			return false;
	}
}

bool json_slice_check(const char *data, size_t length,
		      struct json_slice *object)
{
	return length > 0 && g_utf8_validate(data, (gssize)length, NULL) &&
	       json_slice_check_structure(data, length, object);
}

bool json_slice_check_structure(const char *data, size_t length,
				struct json_slice *object)
{
	struct check check = { .depth_max = length / 2 };
	bool is_valid;

	if (length == 0)
		return false;
	check.position = data;
	check.end = data + length;
	check.levels = g_malloc0(check.depth_max / 8 + 1);
	is_valid = text_check(&check);
	g_free(check.levels);
	if (!is_valid)
		return false;
	object->start = spaces_end(data, check.end);
	object->length = (size_t)(check.end - object->start);
	return json_slice_is_object(*object);
}

static const char *container_end(const char *position, const char *end)
{
	size_t depth = 0;

	do {
		if (*position == '"') {
			position = json_string_end(position, end);
			continue;
		}
		if (*position == '{' || *position == '[')
			depth++;
		else if (*position == '}' || *position == ']')
			depth--;
		position++;
	} while (depth > 0);
	return position;
}

static const char *scalar_end(const char *position, const char *end)
{
	while (position < end && !is_space(*position) &&
	       !strchr(",]}", *position))
		position++;
	return position;
}

static struct json_slice value_slice(const char *start, const char *end)
{
	const char *value_end;

	if (*start == '"')
		value_end = json_string_end(start, end);
	else if (*start == '{' || *start == '[')
		value_end = container_end(start, end);
	else
		value_end = scalar_end(start, end);
	return (struct json_slice){
		.start = start,
		.length = (size_t)(value_end - start),
	};
}

bool json_elements_next(struct json_elements *elements,
			struct json_slice *element)
{
	const char *end = elements->end;
	const char *position = spaces_end(elements->position, end);

	if (*position == ',')
		position = spaces_end(position + 1, end);
	if (*position == ']' || *position == '}')
		return false;
	*element = value_slice(position, end);
	elements->position = position + element->length;
	return true;
}

/* The value of a member, after its name. */
static void member_value_read(struct json_elements *members,
			      struct json_slice *value)
{
	const char *colon = spaces_end(members->position, members->end);

	members->position = spaces_end(colon + 1, members->end);
	*value = value_slice(members->position, members->end);
	members->position += value->length;
}

static struct json_elements elements_begin(struct json_slice container)
{
	return (struct json_elements){
		.position = container.start + 1,
		.end = container.start + container.length,
	};
}

static struct json_member *
member_find(struct json_slice name, struct json_member *members, size_t count)
{
	char text[MEMBER_NAME_BYTES];

	if (!json_slice_text(name, text, sizeof(text)))
		return NULL;
	for (size_t i = 0; i < count; i++) {
		if (strcmp(text, members[i].name) == 0)
			return &members[i];
	}
	return NULL;
}

void json_slice_find(struct json_slice object, struct json_member *members,
		     size_t count)
{
	struct json_elements elements = elements_begin(object);
	struct json_slice name;
	struct json_slice value;

	for (size_t i = 0; i < count; i++)
		members[i].value = (struct json_slice){ 0 };
	/* Names are strings, so they are read as elements are. */
	while (json_elements_next(&elements, &name)) {
		struct json_member *member = member_find(name, members, count);

		member_value_read(&elements, &value);
		if (member)
			member->value = value;
	}
}

bool json_slice_elements(struct json_slice value,
			 struct json_elements *elements)
{
	if (!value.start || *value.start != '[')
		return false;
	*elements = elements_begin(value);
	return true;
}

bool json_slice_is_object(struct json_slice value)
{
	return value.start && *value.start == '{';
}

bool json_slice_is_string(struct json_slice value)
{
	return value.start && *value.start == '"';
}

bool json_slice_is_true(struct json_slice value)
{
	return value.start && *value.start == 't';
}

/* The text of a string that is decoded, and where it is written. */
struct decoder {
	const char *position;
	const char *end; /* the closing quote */
	char *text;
	size_t size;
	size_t length;
	bool accepts_any; /* NUL, and halves of surrogate pairs */
};

static bool bytes_append(struct decoder *decoder, const char *bytes,
			 size_t count)
{
	if (count >= decoder->size - decoder->length)
		return false;
	memcpy(decoder->text + decoder->length, bytes, count);
	decoder->length += count;
	return true;
}

/* The four digits after \u. */
static bool unit_read(struct decoder *decoder, gunichar *unit)
{
	gunichar value = 0;

	if (decoder->end - decoder->position < 4)
		return false;
	for (int i = 0; i < 4; i++) {
		int digit = g_ascii_xdigit_value(*decoder->position++);

		if (digit < 0)
			return false;
		value = value << 4 | (gunichar)digit;
	}
	*unit = value;
	return true;
}

static bool is_unit_escape(const struct decoder *decoder)
{
	return decoder->end - decoder->position >= 2 &&
	       memcmp(decoder->position, "\\u", 2) == 0;
}

/* Reads the low surrogate after the high one; false if none follows. */
static bool low_surrogate_read(struct decoder *decoder, gunichar *low)
{
	const char *start = decoder->position;

	if (!is_unit_escape(decoder))
		return false;
	decoder->position += 2;
	if (unit_read(decoder, low) && *low >= 0xdc00 && *low <= 0xdfff)
		return true;
	decoder->position = start;
	return false;
}

/* One character, or the two UTF-16 surrogates of one. */
static bool unicode_read(struct decoder *decoder, gunichar *character)
{
	gunichar low;

	if (!unit_read(decoder, character))
		return false;
	if (*character < 0xd800 || *character > 0xdfff)
		return true;
	if (*character > 0xdbff || !low_surrogate_read(decoder, &low))
		return decoder->accepts_any;
	*character = 0x10000 + ((*character - 0xd800) << 10) + (low - 0xdc00);
	return true;
}

static bool unicode_decode(struct decoder *decoder)
{
	gunichar character;
	char bytes[6];

	if (!unicode_read(decoder, &character) ||
	    (character == 0 && !decoder->accepts_any))
		return false;
	return bytes_append(decoder, bytes,
			    (size_t)g_unichar_to_utf8(character, bytes));
}

static bool escape_decode(struct decoder *decoder)
{
	static const char escapes[] = "\"\\/bfnrt";
	static const char characters[] = "\"\\/\b\f\n\r\t";
	char escape = decoder->position[1];
	const char *found = escape ? strchr(escapes, escape) : NULL;

	decoder->position += 2;
	if (escape == 'u')
		return unicode_decode(decoder);
	return found && bytes_append(decoder, &characters[found - escapes], 1);
}

static bool string_decode(struct decoder *decoder)
{
	while (decoder->position < decoder->end) {
		size_t remaining = (size_t)(decoder->end - decoder->position);
		const char *escape = memchr(decoder->position, '\\', remaining);
		size_t plain = escape ? (size_t)(escape - decoder->position)
				      : remaining;

		if (!bytes_append(decoder, decoder->position, plain))
			return false;
		decoder->position += plain;
		if (escape && !escape_decode(decoder))
			return false;
	}
	return true;
}

static bool slice_decode(struct json_slice value, struct decoder *decoder)
{
	if (!json_slice_is_string(value))
		return false;
	decoder->position = value.start + 1;
	decoder->end = value.start + value.length - 1;
	if (!string_decode(decoder))
		return false;
	decoder->text[decoder->length] = '\0';
	return true;
}

bool json_slice_text(struct json_slice value, char *text, size_t size)
{
	struct decoder decoder = { .text = text, .size = size };

	return slice_decode(value, &decoder);
}

bool json_slice_bytes(struct json_slice value, char *bytes, size_t size,
		      size_t *length)
{
	struct decoder decoder = { .text = bytes,
				   .size = size,
				   .accepts_any = true };

	if (!slice_decode(value, &decoder))
		return false;
	*length = decoder.length;
	return true;
}

bool json_slice_integer(struct json_slice value, int64_t min, int64_t max,
			int64_t *integer)
{
	char digits[INTEGER_BYTES];
	gint64 number;

	if (!value.start || value.length >= sizeof(digits))
		return false;
	memcpy(digits, value.start, value.length);
	digits[value.length] = '\0';
	if (!g_ascii_string_to_signed(digits, 10, min, max, &number, NULL))
		return false;
	*integer = number;
	return true;
}
