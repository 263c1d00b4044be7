#ifndef PARSLEYLADDER_PARSLEYLADDER_BALANCER_H
#define PARSLEYLADDER_PARSLEYLADDER_BALANCER_H

/**
 * The balancer process: creates the packages, joins them, and runs until a
 * graceful shutdown has finished.
 */

#include "common/clock.h"
#include "common/error.h"
#include "configuration/settings.h"

struct balancer;

/** Returns NULL and fills @error. @settings must outlive the balancer. */
struct balancer *balancer_create(const struct settings *settings,
				 const struct clock *clock,
				 struct error *error);
void balancer_destroy(struct balancer *balancer);
/** Runs the loop until SIGTERM or SIGINT and the shutdown that follows. */
void balancer_run(struct balancer *balancer);

#endif
