#ifndef PARSLEYLADDER_CONFIGURATION_DIFF_H
#define PARSLEYLADDER_CONFIGURATION_DIFF_H

/**
 * What a change from one revision to another does.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/error.h"
#include "configuration/configuration.h"

enum change_kind {
	CHANGE_PROFILE_ADDED,
	CHANGE_PROFILE_REMOVED,
	CHANGE_PROFILE_CHANGED,
	CHANGE_SERVICE_ADDED,
	CHANGE_SERVICE_REMOVED,
	CHANGE_SERVICE_CHANGED, /* team or profile */
	CHANGE_ADDRESS_ADDED,
	CHANGE_ADDRESS_REMOVED,
	CHANGE_ADDRESS_MOVED, /* to another service or team */
	CHANGE_HOST_ADDED,
	CHANGE_HOST_REMOVED,
	CHANGE_HOST_DRAINED,
	CHANGE_HOST_RESUMED, /* from draining to serving */
	CHANGE_HOST_CHANGED,
	CHANGE_KINDS,
};

struct configuration_change {
	enum change_kind kind;
	char *service; /* NULL for a profile */
	char *name; /* of the profile or host, or the address; else NULL */
	char *detail; /* NULL if there is none */
	bool breaks_flows; /* open flows lose their backend server */
};

struct configuration_diff {
	struct configuration_change *changes;
	size_t change_count;
	size_t counts[CHANGE_KINDS];
};

struct configuration_diff *
configuration_diff_create(const struct configuration *old,
			  const struct configuration *new);
void configuration_diff_destroy(struct configuration_diff *diff);
/**
 * False and @error (ERROR_CONFIGURATION) if an address moves to another service
 * or team. Flows that are open on it would change owner at once; an address is
 * to be absent from one revision in between.
 *
 * This is for the check before publishing. A process must not refuse a revision
 * so, since one that missed the revision in between would never catch up.
 */
bool configuration_diff_check(const struct configuration_diff *diff,
			      struct error *error);
/** One line for each change; g_free() the result. */
char *configuration_diff_print(const struct configuration_diff *diff);

#endif
