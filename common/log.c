#include "common/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/log_sink.h"

#define LOG_LINE_BYTES 1024
#define LOG_CATEGORY "parsleyladder"
/* Holds about 30 s of log output at the highest rate. */
#define LOG_BUFFER_BYTES (256 * 1024)

static const struct {
	const char *name;
	int priority;
} levels[] = {
	[LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
	[LOG_LEVEL_WARNING] = { "warning", LOG4C_PRIORITY_WARN },
	[LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
	[LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static log4c_category_t *category;
static struct log_sink *sink;
static bool is_buffered;
static char instance_name[64];

static const char *event_format(const log4c_layout_t *layout,
				const log4c_logging_event_t *event)
{
	static char line[LOG_LINE_BYTES + 2];

	(void)layout;
	snprintf(line, sizeof(line), "%s\n", event->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = {
	.name = "parsleyladder_key_value",
	.format = event_format,
};

static int event_append(log4c_appender_t *appender,
			const log4c_logging_event_t *event)
{
	(void)appender;
	log_sink_write(sink, event->evt_rendered_msg,
		       strlen(event->evt_rendered_msg));
	if (!is_buffered)
		log_sink_flush(sink);
	return 0;
}

/* The stream appender of log4c prefixes each line with its own name. */
static const log4c_appender_type_t appender_type = {
	.name = "parsleyladder_stdout",
	.append = event_append,
};

bool log_level_parse(const char *name, enum log_level *level)
{
	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(levels[i].name, name) != 0)
			continue;
		*level = (enum log_level)i;
		return true;
	}
	return false;
}

void log_open(enum log_level level, const char *instance)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	snprintf(instance_name, sizeof(instance_name), "%s", instance);
	sink = log_sink_create(STDOUT_FILENO, LOG_BUFFER_BYTES);
	is_buffered = false;
	log4c_init();
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get(LOG_CATEGORY);
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get(LOG_CATEGORY);
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(LOG_CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, levels[level].priority);
}

void log_close(void)
{
	if (!category)
		return;
	category = NULL;
	log4c_fini();
	log_sink_destroy(sink);
	sink = NULL;
}

void log_set_buffered(bool is_on)
{
	is_buffered = is_on;
}

void log_flush(void)
{
	if (sink)
		log_sink_flush(sink);
}

uint64_t log_dropped_lines(void)
{
	return sink ? log_sink_dropped(sink) : 0;
}

uint64_t log_accepted_bytes(void)
{
	return sink ? log_sink_bytes(sink) : 0;
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	char pairs[LOG_LINE_BYTES - 200];
	struct timespec now;
	struct tm utc;
	char timestamp[32];
	va_list arguments;

	if (!category || !log4c_category_is_priority_enabled(
				 category, levels[level].priority))
		return;
	va_start(arguments, format);
	vsnprintf(pairs, sizeof(pairs), format, arguments);
	va_end(arguments);
	/* The wall clock is only printed; no decision depends on it. */
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
	log4c_category_log(category, levels[level].priority,
			   "time=%s.%03ldZ level=%s instance=%s event=%s%s%s",
			   timestamp, now.tv_nsec / 1000000, levels[level].name,
			   instance_name, event, pairs[0] ? " " : "", pairs);
}
