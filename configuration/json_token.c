#include "configuration/json_token.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* An odd number of backslashes stands before the quote. */
static bool is_escaped(const char *start, const char *quote)
{
	const char *position = quote;

	while (position > start && position[-1] == '\\')
		position--;
	return (quote - position) % 2 == 1;
}

const char *json_string_end(const char *start, const char *end)
{
	const char *position = start + 1;

	while (position < end) {
		const char *quote =
			memchr(position, '"', (size_t)(end - position));

		if (!quote)
			return NULL;
		if (!is_escaped(position, quote))
			return quote + 1;
		position = quote + 1;
	}
	return NULL;
}

static const char *digits_end(const char *start, const char *end)
{
	while (start < end && g_ascii_isdigit(*start))
		start++;
	return start;
}

const char *json_number_end(const char *start, const char *end)
{
	const char *digits = start < end && *start == '-' ? start + 1 : start;
	const char *position = digits_end(digits, end);

	if (position == digits || (position - digits > 1 && *digits == '0'))
		return NULL;
	if (position < end && *position == '.') {
		digits = position + 1;
		position = digits_end(digits, end);
		if (position == digits)
			return NULL;
	}
	if (position == end || (*position != 'e' && *position != 'E'))
		return position;
	digits = position + 1;
	if (digits < end && (*digits == '+' || *digits == '-'))
		digits++;
	position = digits_end(digits, end);
	return position == digits ? NULL : position;
}

const char *json_literal_end(const char *start, const char *end)
{
	static const char *const literals[] = { "true", "false", "null" };
	size_t remaining = (size_t)(end - start);

	for (size_t i = 0; i < G_N_ELEMENTS(literals); i++) {
		size_t length = strlen(literals[i]);

		if (remaining >= length &&
		    memcmp(start, literals[i], length) == 0)
			return start + length;
	}
	return NULL;
}
