#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>

static const struct error_kind_info kind_infos[ERROR_KINDS] = {
	[ERROR_NONE] = { "none", ERROR_ACTION_NONE, 0, 200 },
	[ERROR_USAGE] = { "usage", ERROR_ACTION_EXIT, 64, 400 },
	[ERROR_SETTINGS] = { "settings", ERROR_ACTION_EXIT, 78, 500 },
	[ERROR_ADDRESS_IN_USE] = { "address_in_use", ERROR_ACTION_EXIT, 71,
				   500 },
	[ERROR_IO] = { "io", ERROR_ACTION_RETRY, 74, 500 },
	[ERROR_PLATFORM] = { "platform", ERROR_ACTION_RETRY, 69, 503 },
	[ERROR_PEER] = { "peer", ERROR_ACTION_DROP, 76, 502 },
	[ERROR_NOT_FOUND] = { "not_found", ERROR_ACTION_DROP, 66, 404 },
	[ERROR_TIMEOUT] = { "timeout", ERROR_ACTION_RETRY, 75, 504 },
	[ERROR_CONFIGURATION] = { "configuration", ERROR_ACTION_EXIT, 65, 500 },
	[ERROR_CONFIGURATION_WARNINGS] = { "configuration_warnings",
					   ERROR_ACTION_EXIT, 1, 500 },
	[ERROR_UNREACHABLE] = { "unreachable", ERROR_ACTION_EXIT, 68, 503 },
	[ERROR_INTERNAL] = { "internal", ERROR_ACTION_EXIT, 70, 500 },
};

const struct error_kind_info *error_kind_info(enum error_kind kind)
{
	if ((unsigned int)kind >= ERROR_KINDS)
		kind = ERROR_INTERNAL;
	return &kind_infos[kind];
}

bool error_set(struct error *error, enum error_kind kind, const char *format,
	       ...)
{
	va_list arguments;

	if (!error)
		return false;
	error->kind = kind;
	va_start(arguments, format);
	vsnprintf(error->detail, sizeof(error->detail), format, arguments);
	va_end(arguments);
	return false;
}
