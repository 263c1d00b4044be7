#ifndef PARSLEYLADDER_PLATFORM_READINESS_H
#define PARSLEYLADDER_PLATFORM_READINESS_H

/**
 * HTTP readiness check of the platform's routers, which ask twice a second
 * whether this instance accepts packets.
 */

#include <stdbool.h>

#include "common/error.h"

struct readiness;

struct readiness_options {
	const char *address; /* IP:PORT */
	bool (*is_ready)(void *context);
	void *context;
};

/**
 * Returns NULL and fills @error (ERROR_IO, or ERROR_SETTINGS if the address is
 * malformed).
 */
struct readiness *readiness_create(const struct readiness_options *options,
				   struct error *error);
void readiness_destroy(struct readiness *readiness);

#endif
