#ifndef PARSLEYLADDER_SHARING_MEMBER_HISTORY_H
#define PARSLEYLADDER_SHARING_MEMBER_HISTORY_H

/**
 * Members of the own zone that were known in the last minutes. Balancers that
 * divide something among them without messages take the members from here: a
 * member that is missing from the list for a moment, or that cannot be reached,
 * may still use its part.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct member_history;

struct member_history *member_history_create(int64_t now_ns);
/** Accepts NULL. */
void member_history_destroy(struct member_history *history);
/** Adds the members that are known now, as members_ranked() returns them. */
void member_history_update(struct member_history *history,
			   const GPtrArray *members, int64_t now_ns);
/**
 * True if hardly any member was added lately. At first, a balancer knows only
 * some of the members.
 */
bool member_history_is_settled(const struct member_history *history,
			       int64_t now_ns);
uint32_t member_history_count(const struct member_history *history);
/**
 * Number of members before the one at @address in an order that depends on
 * @key, and is the same on each balancer (rendezvous hash).
 */
uint32_t member_history_rank(const struct member_history *history,
			     const char *key, uint32_t address);

#endif
