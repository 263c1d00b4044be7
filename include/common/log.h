#ifndef PARSLEYLADDER_COMMON_LOG_H
#define PARSLEYLADDER_COMMON_LOG_H

/**
 * Structured log: one line of key=value pairs for each event, written to the
 * standard output through log4c. Writing never blocks: while nobody reads the
 * output, lines that do not fit into a bounded buffer are dropped and counted.
 */

#include <stdbool.h>
#include <stdint.h>

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
/** While on, lines are buffered until log_flush(), to save system calls. */
void log_set_buffered(bool is_on);
/** Writes as much as the standard output accepts without blocking. */
void log_flush(void);
/** Lines dropped because the buffer was full. */
uint64_t log_dropped_lines(void);
/** Bytes of all lines that were not dropped; they may still be buffered. */
uint64_t log_accepted_bytes(void);

/**
 * Writes one event. @format holds further key=value pairs, or is "" for none.
 * The caller must quote values that contain spaces or quotes.
 */
void log_event(enum log_level level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
