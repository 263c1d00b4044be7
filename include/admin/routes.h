#ifndef PARSLEYLADDER_ADMIN_ROUTES_H
#define PARSLEYLADDER_ADMIN_ROUTES_H

/**
 * Paths of the administration API and the forms of its responses; internal to
 * admin/.
 */

#include <libsoup/soup.h>

#include "admin/admin.h"

/** Responds to an authorized GET or HEAD request. */
void routes_handle(const struct admin_options *options,
		   SoupServerMessage *message, const char *path,
		   GHashTable *query);

/** Responds with the JSON value that @builder holds. */
void response_set_json(SoupServerMessage *message, int status,
		       JsonBuilder *builder);
void response_set_text(SoupServerMessage *message, const char *text,
		       size_t length);
/**
 * Responds with {"error":KIND,"detail":TEXT}; @status 0 stands for the
 * status of the kind.
 */
void response_set_error(SoupServerMessage *message, int status,
			const struct error *error);

#endif
