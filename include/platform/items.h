#ifndef PARSLEYLADDER_PLATFORM_ITEMS_H
#define PARSLEYLADDER_PLATFORM_ITEMS_H

/**
 * Decodes the entries of the platform's store into the types of the balancer.
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

/**
 * Parses the value that the operator or a host wrote at @key. Always fills
 * @item; an invalid value makes it STORE_ITEM_IGNORED with a problem.
 */
void store_item_parse(const char *key, const char *value, size_t length,
		      struct store_position position, struct store_item *item);
/** Parses the deletion of the entry at @key. */
void store_item_parse_removal(const char *key, struct store_position position,
			      struct store_item *item);
/** An item that is ignored: one whose value is not of interest, or unreadable. */
void store_item_init(struct store_item *item, const char *key,
		     struct store_position position);
/** False for keys of other programs. */
bool store_key_is_used(const char *key);
void store_item_clear(struct store_item *item);

#endif
