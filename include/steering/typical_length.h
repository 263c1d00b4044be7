#ifndef PARSLEYLADDER_STEERING_TYPICAL_LENGTH_H
#define PARSLEYLADDER_STEERING_TYPICAL_LENGTH_H

/**
 * Typical length of the responses of each route (address and port): the running
 * median of what callers acknowledged. Lengths differ between routes by two
 * orders of magnitude, so a response is short only relative to its route. A
 * median does not move much while a quarter of the responses are short errors.
 */

#include <stdint.h>

#include "packet/packet.h"

struct typical_lengths;

enum length_class {
	LENGTH_UNKNOWN, /* too few responses of the route are known */
	LENGTH_USUAL,
	LENGTH_SHORT, /* below a third of the typical length */
};

struct typical_lengths *typical_lengths_create(void);
/** Accepts NULL. */
void typical_lengths_destroy(struct typical_lengths *lengths);
/** Adds a response of the route that @flow belongs to. */
void typical_lengths_add(struct typical_lengths *lengths,
			 const struct flow_key *flow, uint32_t length_bytes,
			 int64_t now_ns);
enum length_class typical_lengths_classify(struct typical_lengths *lengths,
					   const struct flow_key *flow,
					   uint32_t length_bytes);

#endif
