#ifndef PARSLEYLADDER_STEERING_REMOVAL_LOG_H
#define PARSLEYLADDER_STEERING_REMOVAL_LOG_H

/**
 * Removals of hosts whose announcement this balancer never got. They outweigh
 * announcements that come late, and are passed on to members that have the
 * host.
 */

#include <glib.h>
#include <stdint.h>

struct host_removal {
	uint64_t revision;
	int64_t since_ns; /* when this balancer learned of it */
};

struct removal_log;

struct removal_log *removal_log_create(void);
void removal_log_destroy(struct removal_log *log);
/** Keeps the newest revision of each host. */
void removal_log_add(struct removal_log *log, const char *id, uint64_t revision,
		     int64_t now_ns);
/** Revision of the removal of a host, 0 if none is recorded. */
uint64_t removal_log_find(const struct removal_log *log, const char *id);
/** The host is known now. */
void removal_log_drop(struct removal_log *log, const char *id);
/**
 * Drops removals that were learned of at or before @before_ns; returns the
 * newest revision of these, 0 for none.
 */
uint64_t removal_log_expire(struct removal_log *log, int64_t before_ns);
/** All removals: id to struct host_removal. */
GHashTable *removal_log_all(const struct removal_log *log);

#endif
