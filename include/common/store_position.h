#ifndef PARSLEYLADDER_COMMON_STORE_POSITION_H
#define PARSLEYLADDER_COMMON_STORE_POSITION_H

/**
 * Position in the history of the store. A store that comes back from a copy
 * gives out revisions again, so a revision alone does not say what came first:
 * each time it does, a new era begins. Positions are ordered by era, and within
 * an era by revision.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/**
 * What the copy lacks, those who wrote it write again within this time of the
 * restore.
 */
#define STORE_REWRITE_NS (2 * NS_PER_S)

struct store_position {
	/** 0 if the store does not tell its era, or a member does not. */
	uint64_t era;
	uint64_t revision;
};

/** Before all others. */
#define STORE_POSITION_NONE ((struct store_position){ 0 })

/** Negative, 0 or positive, as for qsort(). */
static inline int store_position_compare(struct store_position a,
					 struct store_position b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

static inline bool store_position_is_before(struct store_position a,
					    struct store_position b)
{
	return store_position_compare(a, b) < 0;
}

static inline bool store_position_is_equal(struct store_position a,
					   struct store_position b)
{
	return store_position_compare(a, b) == 0;
}

static inline bool store_position_is_none(struct store_position position)
{
	return store_position_is_equal(position, STORE_POSITION_NONE);
}

static inline struct store_position store_position_max(struct store_position a,
						       struct store_position b)
{
	return store_position_is_before(a, b) ? b : a;
}

static inline struct store_position store_position_min(struct store_position a,
						       struct store_position b)
{
	return store_position_is_before(a, b) ? a : b;
}

#endif
