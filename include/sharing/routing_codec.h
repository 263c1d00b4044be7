#ifndef PARSLEYLADDER_SHARING_ROUTING_CODEC_H
#define PARSLEYLADDER_SHARING_ROUTING_CODEC_H

/**
 * One version of the routes as flat msgpack records, for other balancers:
 * complete, or as the changes against an earlier version.
 */

#include <glib.h>

#include "steering/routing.h"

/** Largest encoded routes, in bytes. */
#define ROUTING_BYTES_MAX (4 * 1024 * 1024)

/** Names the rules; costs as much as encoding all of them. */
uint64_t routing_digest(const struct routing *routing);
/**
 * Encodes what changes from @base to @routing, whose digest is @digest; all of
 * it if @base is NULL. The caller frees the result.
 */
GByteArray *routing_encode(const struct routing *routing, uint64_t digest,
			   const struct routing *base);
/**
 * Returns the routes that the bytes make of @base, the ones in force here; NULL
 * if the bytes are not valid, are changes against another version than that of
 * @base, or make other routes than those that were encoded. @base may be NULL.
 */
struct routing *routing_decode(const uint8_t *data, size_t length,
			       const struct routing *base);

#endif
