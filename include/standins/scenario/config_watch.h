#ifndef PARSLEYLADDER_STANDINS_SCENARIO_CONFIG_WATCH_H
#define PARSLEYLADDER_STANDINS_SCENARIO_CONFIG_WATCH_H

/**
 * Measures how long a published revision takes to be in force on all running
 * balancers. Polls run in the main loop, so a command that blocks it delays
 * the moment that is noticed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct config_watch;
struct runner;

/** Watches the balancers that @runner has now. */
struct config_watch *config_watch_create(const struct runner *runner);
void config_watch_destroy(struct config_watch *watch);
/** A revision was sent to the platform at @start_us, monotonic time. */
void config_watch_published(struct config_watch *watch, uint64_t revision,
			    int64_t start_us);
/** Balancer @number, from 1, reported @revision; 0 while it has none. */
void config_watch_reported(struct config_watch *watch, unsigned int number,
			   uint64_t revision);
/** Seconds per revision that came into force, as doubles, unordered. */
const GArray *config_watch_times(const struct config_watch *watch);
/** Revisions that are not in force on all running balancers yet. */
unsigned int config_watch_pending(const struct config_watch *watch);
/** Reports of a lower revision than the same balancer had reported before. */
unsigned int config_watch_reverts(const struct config_watch *watch);

#endif
