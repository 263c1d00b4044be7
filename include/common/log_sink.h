#ifndef PARSLEYLADDER_COMMON_LOG_SINK_H
#define PARSLEYLADDER_COMMON_LOG_SINK_H

/**
 * Bounded buffer between the log and a file descriptor. Writing to the sink
 * never blocks: lines that do not fit are dropped and counted.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct log_sink;

/** @fd is not closed by the sink. */
struct log_sink *log_sink_create(int fd, size_t capacity_bytes);
/** Writes what the descriptor accepts without blocking. Accepts NULL. */
void log_sink_destroy(struct log_sink *sink);
/** Appends @line, which ends in a newline. */
void log_sink_write(struct log_sink *sink, const char *line, size_t length);
/** Writes as much as the descriptor accepts without blocking. */
void log_sink_flush(struct log_sink *sink);
/** Lines dropped so far. */
uint64_t log_sink_dropped(const struct log_sink *sink);
/** Bytes accepted so far. */
uint64_t log_sink_bytes(const struct log_sink *sink);

#endif
