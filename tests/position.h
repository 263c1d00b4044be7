#ifndef PARSLEYLADDER_TESTS_POSITION_H
#define PARSLEYLADDER_TESTS_POSITION_H

#include "common/store_position.h"

/** Position in a store that does not tell its era. */
static inline struct store_position position_at(uint64_t revision)
{
	return (struct store_position){ .revision = revision };
}

static inline struct store_position position_in(uint64_t era, uint64_t revision)
{
	return (struct store_position){ .era = era, .revision = revision };
}

#endif
