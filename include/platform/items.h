#ifndef PARSLEYLADDER_PLATFORM_ITEMS_H
#define PARSLEYLADDER_PLATFORM_ITEMS_H

/**
 * Decodes the responses of the platform's store into the types of the balancer.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "steering/host_table.h"
#include "steering/routing.h"

enum store_item_kind {
	STORE_ITEM_HOST,
	STORE_ITEM_HOST_REMOVED, /* only id and position of @host are set */
	STORE_ITEM_ROUTING,
	STORE_ITEM_ZONE_DRAIN, /* the operator drains @zone */
	STORE_ITEM_ZONE_DRAIN_REMOVED, /* the request was withdrawn */
	STORE_ITEM_IGNORED, /* unused key, or invalid value */
};

/** Key prefixes of the hosts, and of what the operator publishes. */
#define STORE_HOST_PREFIX "servers/"
#define STORE_OPERATOR_PREFIX "op/"
#define STORE_CONFIGURATION_KEY STORE_OPERATOR_PREFIX "config"

struct store_item {
	enum store_item_kind kind;
	char *key; /* what is no text in it is replaced */
	struct store_position position;
	/* Of an entry that names no host, only id and position are valid. */
	struct host_announcement host;
	struct routing *routing; /* owned by the item */
	/*
	 * Of a request to drain a zone, also if its value is invalid; "" for
	 * other items, and if the name is invalid.
	 */
	char zone[NAME_BYTES_MAX + 1];
	char *problem; /* why the value is invalid, or NULL */
};

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
/**
 * Parses the value that the operator or a host wrote at @key. Always fills
 * @item; an invalid value makes it STORE_ITEM_IGNORED with a problem.
 */
void store_item_parse(const char *key, const char *value, size_t length,
		      struct store_position position, struct store_item *item);
void store_item_clear(struct store_item *item);

#endif
