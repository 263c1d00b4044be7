#ifndef PARSLEYLADDER_SHARING_REPLICA_H
#define PARSLEYLADDER_SHARING_REPLICA_H

/**
 * Replicates the host table of one balancer to another: the changes after a
 * position, or a complete listing in pages.
 */

#include "sharing/sharing_message.h"
#include "steering/host_table.h"

/** Positions after @after, up to @last; both are of one era. */
struct position_range {
	struct store_position after;
	struct store_position last;
};

/**
 * Adds the hosts that changed in @range, oldest first, until the message is
 * full. Sets the position that the receiver reaches by applying it: the last
 * one, or, with has_more set, one up to which nothing is left out. Then the
 * cursor is set, too: the same call with it adds the changes that follow.
 * @cursor is empty for the first ones.
 */
void replica_fill_changes(struct host_table *table,
			  const struct position_range *range,
			  const char *cursor, int64_t now_ns,
			  struct sharing_message *message);
/** Adds the published hosts whose ids follow @cursor until it is full. */
void replica_fill_listing(struct host_table *table, const char *cursor,
			  struct store_position position, int64_t now_ns,
			  struct sharing_message *message);
/** Applies the hosts of @message, a page of @listing if that is not NULL. */
void replica_apply(struct host_table *table, struct host_listing *listing,
		   const struct sharing_message *message, int64_t now_ns);

#endif
