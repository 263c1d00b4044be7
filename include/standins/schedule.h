#ifndef PARSLEYLADDER_STANDINS_SCHEDULE_H
#define PARSLEYLADDER_STANDINS_SCHEDULE_H

/**
 * Calls ordered by due time, run in the default GLib main loop.
 */

#include <stdint.h>

#include "common/clock.h"

struct schedule;

struct schedule_options {
	const struct clock *clock;
	/** Called after each group of calls that were due; may be NULL. */
	void (*on_batch_end)(void *context);
	void *context;
};

struct schedule *schedule_create(const struct schedule_options *options);
void schedule_destroy(struct schedule *schedule);
/**
 * Runs @run once at @due_ns, or at once if that has passed. Calls of the same
 * time run in the order of adding. @data is freed with g_free() afterwards.
 */
void schedule_add(struct schedule *schedule, int64_t due_ns,
		  void (*run)(void *context, void *data), void *context,
		  void *data);

#endif
