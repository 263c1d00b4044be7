#ifndef PARSLEYLADDER_PLATFORM_PLATFORM_H
#define PARSLEYLADDER_PLATFORM_PLATFORM_H

/**
 * Client of the platform's read-only configuration service over HTTP. Runs in
 * the default GLib main loop.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "configuration/configuration.h"

enum instance_state {
	INSTANCE_LIVE,
	INSTANCE_LEAVING,
};

struct listed_instance {
	char id[NAME_BYTES_MAX + 1];
	char address[IP_ADDRESS_TEXT_BYTES];
	char zone[NAME_BYTES_MAX + 1];
	enum instance_state state;
};

struct platform;

struct platform_options {
	const char *url; /* e.g. http://127.0.0.1:8500 */
	const struct clock *clock;
	uint64_t random_seed; /* for backoff jitter */
	uint32_t watch_wait_ms;
	/* Bound on an answer, beyond the time a watch waits; 0 = 5 s. */
	uint32_t answer_timeout_ms;
	/** A valid revision above all earlier ones; the callee owns a reference. */
	void (*on_revision)(void *context, struct configuration *configuration);
	/** A revision that was refused, with the reason; called once for each. */
	void (*on_refused)(void *context, uint64_t revision,
			   const struct error *error);
	void (*on_instances)(void *context,
			     const struct listed_instance *instances,
			     size_t instance_count);
	void *context;
};

struct platform *platform_create(const struct platform_options *options);
void platform_destroy(struct platform *platform);
/** Starts or stops watching; a stopped client makes no call. */
void platform_set_watching(struct platform *platform, bool is_watching);
/**
 * Tells which configuration is in force, which may have come from a peer:
 * parts with the same digest are not fetched again.
 */
void platform_set_current(struct platform *platform,
			  struct configuration *configuration);
/** Calls made so far, a waiting watch counted as one. */
uint64_t platform_call_count(const struct platform *platform);
void platform_print_json(const struct platform *platform, JsonBuilder *builder);

#endif
