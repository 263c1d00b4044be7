#ifndef PARSLEYLADDER_PARSLEYLADDER_BALANCER_H
#define PARSLEYLADDER_PARSLEYLADDER_BALANCER_H

/**
 * The balancer process: connects the edge, the steering core, the store and the
 * other balancers.
 */

#include "common/clock.h"
#include "common/error.h"

struct balancer;

/**
 * Reads the settings file at @path, opens the log and all sockets. Returns
 * NULL and fills @error.
 */
struct balancer *balancer_create(const char *path, const struct clock *clock,
				 struct error *error);
void balancer_destroy(struct balancer *balancer);
/** Runs the loop until SIGTERM or SIGINT and the shutdown that follows. */
void balancer_run(struct balancer *balancer);

#endif
