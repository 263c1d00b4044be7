#ifndef PARSLEYLADDER_COMMON_ERROR_H
#define PARSLEYLADDER_COMMON_ERROR_H

/**
 * Closed list of error kinds, and how each kind is handled.
 */

#include <stdbool.h>

enum error_kind {
	ERROR_NONE,
	ERROR_USAGE, /* wrong command line or request */
	ERROR_SETTINGS, /* settings file unreadable or invalid */
	ERROR_ADDRESS_IN_USE, /* another process has the port */
	ERROR_IO, /* a system call failed */
	ERROR_PLATFORM, /* the platform is unreachable or its data malformed */
	ERROR_PEER, /* a peer message is malformed or unauthenticated */
	ERROR_NOT_FOUND, /* no such service, flow, host or member */
	ERROR_TIMEOUT, /* no response in time */
	ERROR_CONFIGURATION, /* a checked configuration has errors */
	ERROR_CONFIGURATION_WARNINGS, /* a checked one has warnings only */
	ERROR_UNREACHABLE, /* a process does not answer a command */
	ERROR_INTERNAL, /* an invariant of this process is violated */
	ERROR_KINDS,
};

/** How the process handles errors of a kind. */
enum error_action {
	ERROR_ACTION_NONE,
	ERROR_ACTION_EXIT, /* end the process with the exit code */
	ERROR_ACTION_RETRY, /* try again with backoff */
	ERROR_ACTION_DROP, /* drop the packet or message and count it */
};

struct error_kind_info {
	const char *name; /* as it appears in logs and dumps */
	enum error_action action;
	int exit_code; /* of a command that ends with this error */
	int http_status; /* of an administration request that fails with it */
};

/** Maximum length of the detail text, in bytes with the terminating NUL. */
#define ERROR_DETAIL_BYTES 512

struct error {
	enum error_kind kind;
	char detail[ERROR_DETAIL_BYTES];
};

/** Never NULL; an unknown @kind is treated as ERROR_INTERNAL. */
const struct error_kind_info *error_kind_info(enum error_kind kind);

/**
 * Fills @error, which may be NULL, with a formatted detail.
 * Returns false, so that a caller can write `return error_set(...)`.
 */
bool error_set(struct error *error, enum error_kind kind, const char *format,
	       ...) __attribute__((format(printf, 3, 4)));

#endif
