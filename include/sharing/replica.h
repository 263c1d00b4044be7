#ifndef PARSLEYLADDER_SHARING_REPLICA_H
#define PARSLEYLADDER_SHARING_REPLICA_H

/**
 * Passes hosts from the table of one balancer to that of another: the changes
 * after a revision, or a complete listing page by page.
 */

#include "sharing/sharing_message.h"
#include "steering/host_table.h"

/**
 * Adds the hosts that changed after @after, oldest first, as far as they fit.
 * Sets the revision that the receiver has then: @revision, or the last one
 * that fitted, with has_more.
 */
void replica_fill_changes(struct host_table *table, uint64_t after,
			  uint64_t revision, int64_t now_ns,
			  struct sharing_message *message);
/** Adds the published hosts whose ids follow @cursor, as far as they fit. */
void replica_fill_listing(struct host_table *table, const char *cursor,
			  uint64_t revision, int64_t now_ns,
			  struct sharing_message *message);
/** Takes over the hosts of @message, a page of @listing if that is not NULL. */
void replica_apply(struct host_table *table, struct host_listing *listing,
		   const struct sharing_message *message, int64_t now_ns);

#endif
