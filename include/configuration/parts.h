#ifndef PARSLEYLADDER_CONFIGURATION_PARTS_H
#define PARSLEYLADDER_CONFIGURATION_PARTS_H

/**
 * Reading of single parts, used by configuration_create().
 */

#include "configuration/configuration.h"
#include "configuration/field_reader.h"

/** Content of the part "profiles". */
struct profiles_document {
	struct profile *profiles;
	size_t profile_count;
};

/** Content of a part "service/NAME". */
struct service_document {
	struct service service;
	char profile_name[NAME_BYTES_MAX + 1];
};

/**
 * Reads and checks one part on its own. On failure the document is to be freed
 * as well.
 */
bool profiles_document_read(const char *source, GBytes *part,
			    struct profiles_document *document,
			    struct error *error);
bool service_document_read(const char *source, GBytes *part,
			   struct service_document *document,
			   struct error *error);
void profiles_document_clear(struct profiles_document *document);
void service_document_clear(struct service_document *document);

/** Id of the service or "service/host" @text; never 0. */
uint32_t configuration_id_of(const char *text);

/** Checks that concern several parts. @labels name parts in errors, or NULL. */
bool configuration_check(const struct configuration *configuration,
			 GHashTable *labels, struct error *error);
/** Name of @part_name in errors. */
const char *part_label(GHashTable *labels, const char *part_name);

/** configuration_create() with names of parts for errors; NULL for none. */
struct configuration *configuration_create_labelled(uint64_t revision,
						    GHashTable *parts,
						    GHashTable *labels,
						    struct error *error);

#endif
