#ifndef PARSLEYLADDER_PEER_REVISION_INDEX_H
#define PARSLEYLADDER_PEER_REVISION_INDEX_H

/**
 * Names and digests of the parts of one revision, and the changes between two.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "configuration/configuration.h"
#include "peer/message_codec.h"

struct revision_index {
	uint64_t revision;
	uint64_t digest;
	GHashTable *digests; /* part name to guint64 * */
};

struct revision_index *
revision_index_create(const struct configuration *configuration);
void revision_index_free(struct revision_index *index);
/**
 * Lists what differs from @base, or all if that is NULL; a removed part has
 * digest 0. Free the result with g_free(); the names belong to the indexes.
 */
struct part_reference *
revision_index_changes(const struct revision_index *base,
		       const struct revision_index *index, size_t *count);
/** Index of @revision made of @base, which may be NULL, and @changes. */
struct revision_index *
revision_index_apply(const struct revision_index *base, uint64_t revision,
		     const struct part_reference *changes, size_t count);
/** Digest of a part, 0 if there is no such part. */
uint64_t revision_index_digest_of(const struct revision_index *index,
				  const char *part_name);

#endif
