#ifndef PARSLEYLADDER_PLATFORM_ANSWER_H
#define PARSLEYLADDER_PLATFORM_ANSWER_H

/**
 * Answers of the platform, checked. See docs/design.md, section 4.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "platform/platform.h"

/** Most parts of one revision. */
#define PLATFORM_PARTS_MAX 8192

struct platform_index {
	uint64_t revision;
	uint64_t digest;
	GHashTable *parts; /* name to guint64 * with the digest */
};

/**
 * Returns NULL and fills @error (ERROR_PLATFORM) if the text is malformed or
 * the digest is not that of the parts.
 */
struct platform_index *platform_index_parse(GBytes *body, struct error *error);
void platform_index_free(struct platform_index *index);

struct platform_instances {
	uint64_t index;
	struct listed_instance *instances;
	size_t instance_count;
};

/** Returns NULL and fills @error (ERROR_PLATFORM). */
struct platform_instances *platform_instances_parse(GBytes *body,
						    struct error *error);
void platform_instances_free(struct platform_instances *instances);

#endif
