#ifndef PARSLEYLADDER_STEERING_REMOVAL_LOG_H
#define PARSLEYLADDER_STEERING_REMOVAL_LOG_H

/**
 * Removals of hosts whose announcement this balancer never got. They outweigh
 * announcements that come late, and are passed on to members that have the
 * host.
 */

#include <glib.h>
#include <stdint.h>

#include "common/store_position.h"

struct host_removal {
	struct store_position position;
	int64_t since_ns; /* when this balancer learned of it */
};

struct removal_log;

struct removal_log *removal_log_create(void);
void removal_log_destroy(struct removal_log *log);
/** Keeps the newest removal of each host. */
void removal_log_add(struct removal_log *log, const char *id,
		     struct store_position position, int64_t now_ns);
/** Position of the removal of a host; none if none is recorded. */
struct store_position removal_log_find(const struct removal_log *log,
				       const char *id);
/** The host is known now. */
void removal_log_drop(struct removal_log *log, const char *id);
void removal_log_clear(struct removal_log *log);
/**
 * Drops removals that were learned of at or before @before_ns; returns the
 * newest position of these, none if there are none.
 */
struct store_position removal_log_expire(struct removal_log *log,
					 int64_t before_ns);
/** All removals: id to struct host_removal. */
GHashTable *removal_log_all(const struct removal_log *log);

#endif
