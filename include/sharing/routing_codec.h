#ifndef PARSLEYLADDER_SHARING_ROUTING_CODEC_H
#define PARSLEYLADDER_SHARING_ROUTING_CODEC_H

/**
 * Encodes one version of the routes for other balancers as flat msgpack
 * records: completely, or as the changes from an earlier version.
 */

#include <glib.h>

#include "steering/routing.h"

/** Largest encoded routes, in bytes. */
#define ROUTING_BYTES_MAX (4 * 1024 * 1024)

/** Digest of all rules; costs as much as encoding them. */
uint64_t routing_digest(const struct routing *routing);
/**
 * Encodes the changes from @base to @routing, whose digest is @digest, or all
 * of @routing if @base is NULL. The caller frees the result.
 */
GByteArray *routing_encode(const struct routing *routing, uint64_t digest,
			   const struct routing *base);
/**
 * Returns the decoded routes, with @base as the current ones; NULL if the bytes
 * are not valid, are changes from another version than that of @base, or the
 * result does not match the digest. @base may be NULL.
 */
struct routing *routing_decode(const uint8_t *data, size_t length,
			       const struct routing *base);

#endif
