#ifndef PARSLEYLADDER_STEERING_SLOWNESS_H
#define PARSLEYLADDER_STEERING_SLOWNESS_H

/**
 * Finds hosts that respond much later than the others of their service (gray
 * failure): outlier detection by response time. A slow host gets no new flows
 * while others can take them. Its open flows stay: a response time measured
 * from the caller's packets alone is not proof enough to justify a reset.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "steering/host_table.h"

/**
 * Marks and unmarks the hosts of one service; calls @on_change for each host
 * whose mark changed.
 */
void slow_hosts_mark(const GPtrArray *hosts, int64_t now_ns,
		     void (*on_change)(void *context, struct known_host *host),
		     void *context);

#endif
