#ifndef PARSLEYLADDER_COMMON_LOG_H
#define PARSLEYLADDER_COMMON_LOG_H

/**
 * Structured log: one line of key=value pairs for each event, written to the
 * standard error stream through log4c.
 */

#include <stdbool.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/** Parses "error", "warning", "info" or "debug"; false for any other name. */
bool log_level_parse(const char *name, enum log_level *level);

/** Opens the log. @instance is printed with each event. */
void log_open(enum log_level level, const char *instance);
void log_close(void);

/**
 * Writes one event. @format holds further key=value pairs, or is "" for none.
 * Values with spaces or quotes are the caller's to quote.
 */
void log_event(enum log_level level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
