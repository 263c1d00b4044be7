#include "common/log_sink.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/*
 * A pipe that poll() reports as writable accepts this many bytes without
 * blocking (POSIX PIPE_BUF).
 */
#define WRITE_BYTES 4096

struct log_sink {
	int fd;
	char *buffer;
	size_t capacity;
	size_t start; /* offset of the oldest byte */
	size_t length;
	uint64_t dropped_lines;
	uint64_t accepted_bytes;
};

struct log_sink *log_sink_create(int fd, size_t capacity_bytes)
{
	struct log_sink *sink = g_new0(struct log_sink, 1);

	sink->fd = fd;
	sink->capacity = capacity_bytes;
	sink->buffer = g_malloc(capacity_bytes);
	return sink;
}

void log_sink_destroy(struct log_sink *sink)
{
	if (!sink)
		return;
	log_sink_flush(sink);
	g_free(sink->buffer);
	g_free(sink);
}

void log_sink_write(struct log_sink *sink, const char *line, size_t length)
{
	size_t end = (sink->start + sink->length) % sink->capacity;
	size_t first_part = MIN(length, sink->capacity - end);

	if (length > sink->capacity - sink->length) {
		sink->dropped_lines++;
		return;
	}
	memcpy(sink->buffer + end, line, first_part);
	memcpy(sink->buffer, line + first_part, length - first_part);
	sink->length += length;
	sink->accepted_bytes += length;
}

static bool fd_is_writable(int fd)
{
	struct pollfd request = { .fd = fd, .events = POLLOUT };

	return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT);
}

void log_sink_flush(struct log_sink *sink)
{
	while (sink->length > 0 && fd_is_writable(sink->fd)) {
		size_t chunk = MIN(sink->length, WRITE_BYTES);
		ssize_t written;

		chunk = MIN(chunk, sink->capacity - sink->start);
		written = write(sink->fd, sink->buffer + sink->start, chunk);
		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return;
		sink->start = (sink->start + (size_t)written) % sink->capacity;
		sink->length -= (size_t)written;
	}
}

uint64_t log_sink_dropped(const struct log_sink *sink)
{
	return sink->dropped_lines;
}

uint64_t log_sink_bytes(const struct log_sink *sink)
{
	return sink->accepted_bytes;
}
