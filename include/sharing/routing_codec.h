#ifndef PARSLEYLADDER_SHARING_ROUTING_CODEC_H
#define PARSLEYLADDER_SHARING_ROUTING_CODEC_H

/**
 * Encodes one version of the routes for other balancers as flat msgpack
 * records: completely, or as the changes from an earlier version.
 *
 * The extended encoding has the attributes of the routes and the limits of the
 * services, too. The plain one stays as it is, byte for byte: balancers of the
 * previous version know no other.
 */

#include <glib.h>

#include "steering/routing.h"

/** Largest encoded routes, in bytes. */
#define ROUTING_BYTES_MAX (4 * 1024 * 1024)

enum routes_encoding {
	ROUTES_PLAIN,
	ROUTES_EXTENDED,
	ROUTES_ENCODINGS,
};

/** Digest of all that is encoded; costs as much as encoding it. */
uint64_t routing_digest(const struct routing *routing,
			enum routes_encoding encoding);
/**
 * Encodes the changes from @base to @routing, whose digest is @digest, or all
 * of @routing if @base is NULL. Partial routes have no extended encoding, and
 * are no base for one. The caller frees the result.
 */
GByteArray *routing_encode(const struct routing *routing,
			   enum routes_encoding encoding, uint64_t digest,
			   const struct routing *base);
/**
 * Returns the decoded routes, with @current as the current ones; NULL if the
 * bytes are not valid, are changes from another version than that of @current,
 * or the result does not match the digest. @current may be NULL. Routes of the
 * plain encoding are partial, and keep the attributes of @current.
 */
struct routing *routing_decode(const uint8_t *data, size_t length,
			       enum routes_encoding encoding,
			       const struct routing *current);

#endif
