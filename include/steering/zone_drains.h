#ifndef PARSLEYLADDER_STEERING_ZONE_DRAINS_H
#define PARSLEYLADDER_STEERING_ZONE_DRAINS_H

/**
 * Requests of the operator to drain availability zones: hosts of a drained zone
 * get no new flow, their open flows continue. For each zone, the position of
 * the last change and whether the zone is drained. The state of two balancers
 * is merged by zone: the later position wins, and at the same one the
 * withdrawal, so the result depends neither on the order nor on repetitions.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/name.h"
#include "common/store_position.h"

/** Maximum number of zones with an entry. */
#define ZONE_DRAINS_MAX 64
/**
 * Maximum length of their names together, so that all entries fit in one
 * datagram between balancers.
 */
#define ZONE_DRAINS_NAMES_BYTES_MAX 700

struct zone_drain {
	char zone[NAME_BYTES_MAX + 1];
	struct store_position position; /* of the last change */
	bool is_active; /* false: the request was withdrawn */
	/*
	 * A listing of a new era lacks the request, which may be published
	 * again: the zone stays drained until then. 0 otherwise.
	 */
	int64_t kept_until_ns;
	int64_t changed_ns; /* when this balancer learned of the change */
	bool is_listed; /* seen in the store since the listing began */
};

struct zone_drains_options {
	/** A zone is drained now, or no longer. */
	void (*on_changed)(void *context, const struct zone_drain *drain);
	void *context;
};

struct zone_drains;

struct zone_drains *
zone_drains_create(const struct zone_drains_options *options);
/** Accepts NULL. */
void zone_drains_destroy(struct zone_drains *drains);

/**
 * Applies a change that was read from the store. Returns false if there is no
 * room for another zone.
 */
bool zone_drains_set(struct zone_drains *drains, const char *zone,
		     struct store_position position, bool is_active,
		     int64_t now_ns);
/**
 * The store has an entry for the zone that cannot be used: what is known of the
 * zone stays in force, even if a listing is in progress.
 */
void zone_drains_ignore(struct zone_drains *drains, const char *zone);
/**
 * A listing of the store as of @position starts; an earlier one that did not
 * end is given up. One of a new era has no effect until it is complete.
 */
void zone_drains_listing_begin(struct zone_drains *drains,
			       struct store_position position);
/**
 * The listing is complete: requests that it did not contain are withdrawn,
 * unless they were published after its position. In a new era their zones stay
 * drained for STORE_REWRITE_NS.
 */
void zone_drains_listing_end(struct zone_drains *drains, int64_t now_ns);
/** State of another balancer. */
struct zone_drains_state {
	uint64_t era; /* of all positions */
	const struct zone_drain *entries; /* by zone */
	size_t count;
	/* A zone without an entry was not drained at it; none if unknown. */
	struct store_position listed_position;
};

/**
 * Merges the state of another balancer. State of a new era replaces what is
 * known, like a listing.
 */
void zone_drains_merge(struct zone_drains *drains,
		       const struct zone_drains_state *state, int64_t now_ns);
/** Ends what a new era put off; to be called with each tick. */
void zone_drains_end_waits(struct zone_drains *drains, int64_t now_ns);

/** True if its zone is drained now. */
bool zone_drain_is_in_force(const struct zone_drain *drain);
bool zone_drains_is_active(const struct zone_drains *drains, const char *zone);
/** Era of all entries; 0 before the first listing. */
uint64_t zone_drains_era(const struct zone_drains *drains);
/** All entries, by zone. Valid until the next change. */
const struct zone_drain *zone_drains_entries(const struct zone_drains *drains,
					     size_t *count);
/**
 * Position of the newest complete listing of which all entries could be used;
 * none if there is none. A zone without an entry was not drained at it.
 */
struct store_position
zone_drains_listed_position(const struct zone_drains *drains);
uint32_t zone_drains_active_count(const struct zone_drains *drains);

#endif
