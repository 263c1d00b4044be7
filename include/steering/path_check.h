#ifndef PARSLEYLADDER_STEERING_PATH_CHECK_H
#define PARSLEYLADDER_STEERING_PATH_CHECK_H

/**
 * Whether packets pass promptly between callers, this balancer and its hosts.
 * If the balancer's own link is congested or cut, all its hosts seem to be
 * unreachable, and it cannot tell which of them is.
 */

#include <stdbool.h>
#include <stdint.h>

struct path_check {
	/* Start of the latest round trip without a delay; 0 for none yet. */
	int64_t prompt_since_ns;
};

/** A packet sent at @sent_ns was answered. */
void path_record_response(struct path_check *path, int64_t sent_ns,
			  int64_t now_ns);
/** True if something sent at @since_ns or later was answered promptly. */
bool path_is_open(const struct path_check *path, int64_t since_ns);

#endif
