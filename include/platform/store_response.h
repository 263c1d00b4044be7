#ifndef PARSLEYLADDER_PLATFORM_STORE_RESPONSE_H
#define PARSLEYLADDER_PLATFORM_STORE_RESPONSE_H

/**
 * Decodes the responses of the platform's store.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "platform/items.h"

struct store_response {
	/*
	 * struct store_item; of several versions of the configuration, the
	 * highest valid one, after all others.
	 */
	GArray *items;
	struct store_position position; /* of the store when it responded */
	bool has_more; /* the next page starts after the last key */
	/* As it is in the store, which may be any bytes; NULL for no items. */
	GBytes *last_key;
};

/**
 * Parses a response of the store in this era. Returns NULL and fills @error
 * (ERROR_PLATFORM) if the body is malformed.
 */
struct store_response *store_response_parse(GBytes *body, uint64_t era,
					    struct error *error);
void store_response_free(struct store_response *response);

#endif
