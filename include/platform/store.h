#ifndef PARSLEYLADDER_PLATFORM_STORE_H
#define PARSLEYLADDER_PLATFORM_STORE_H

/**
 * Client of the platform's store: lists the published items, then watches for
 * changes. Runs in the default GLib main loop.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/store_position.h"
#include "platform/items.h"

struct store;

struct store_options {
	const char *address; /* IP:PORT */
	const struct clock *clock;
	uint64_t random_seed; /* of the backoff jitter */
	uint32_t watch_wait_ms; /* longest time that a watch is held open */
	/*
	 * For a response, for a watch added to watch_wait_ms; a response that
	 * takes longer has this time between two parts.
	 */
	uint32_t response_timeout_ms;
	uint32_t batch_ms; /* pause after changes, to batch later ones */
	/** A complete listing as of @position starts. */
	void (*on_listing_begin)(void *context, struct store_position position);
	void (*on_listing_end)(void *context);
	/**
	 * The first page of a listing was received, and @has_more tells
	 * whether others follow; the callee may stop the client.
	 */
	void (*on_first_page)(void *context, bool has_more);
	/** An item was listed, or has changed. */
	void (*on_item)(void *context, const struct store_item *item);
	/**
	 * All changes up to @position have been reported, and there were no
	 * others at @confirmed_ns.
	 */
	void (*on_position_confirmed)(void *context,
				      struct store_position position,
				      int64_t confirmed_ns);
	/**
	 * The changes after @position cannot be had, for @reason; a listing
	 * follows.
	 */
	void (*on_changes_missed)(void *context, const char *reason,
				  struct store_position position);
	/**
	 * The store came back from a copy: its responses are of @era now, and
	 * the last one was of @position. A listing follows.
	 */
	void (*on_era_changed)(void *context, struct store_position position,
			       uint64_t era);
	/**
	 * Responses do not tell their era any more, so that of the last one,
	 * @era, is assumed; @value is the header, "" if there is none.
	 */
	void (*on_era_missing)(void *context, const char *value, uint64_t era);
	/**
	 * The first request ended, requests started to fail, or they succeed
	 * again.
	 */
	void (*on_reachability_changed)(void *context, bool is_reachable,
					const char *reason);
	void *context;
};

struct store *store_create(const struct store_options *options);
void store_destroy(struct store *store);
/** Opens a connection to the store, but sends no request. */
void store_connect(struct store *store);
/** Starts or stops the client; a stopped client sends no requests. */
void store_set_following(struct store *store, bool is_following);
/** Continues with the changes after @position instead of a listing. */
void store_set_position(struct store *store, struct store_position position);
uint64_t store_request_count(const struct store *store);
/** Time from a listing request to its response, in microseconds. */
const struct histogram *store_response_times(const struct store *store);

#endif
