#ifndef PARSLEYLADDER_SHARING_MEMBERS_H
#define PARSLEYLADDER_SHARING_MEMBERS_H

/**
 * Membership list: the known balancers, and the order in which those of one
 * zone are polled. Members are discovered through seeds and by gossip. Each
 * gossip message carries a bounded sample with the age of each entry, so the
 * traffic of a balancer does not grow with the number of balancers.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Maximum number of members. When it is reached, new members are ignored. Half
 * of the entries are reserved for the own zone.
 */
#define MEMBERS_MAX 1024
/** Maximum number of members in one gossip message. */
#define MEMBER_SAMPLE_MAX 24
/** An entry is dropped if no balancer has heard from it for this long. */
#define MEMBER_AGE_MAX_MS 10000

/** The member has no complete replica, or its age is unknown or too large. */
#define MEMBER_REPLICA_AGE_NONE UINT16_MAX

struct member_entry {
	uint32_t address; /* IPv4, host byte order */
	uint32_t zone; /* hash of its name, see zone_hash() */
	uint16_t capacity; /* share of a core, per mille */
	uint32_t age_ms; /* since any balancer last heard from it */
	uint32_t replica_age_ms; /* or MEMBER_REPLICA_AGE_NONE */
};

struct member {
	uint32_t address;
	uint32_t zone;
	uint16_t capacity;
	uint64_t tie_breaker; /* order of those with the same capacity */
	int64_t last_heard_ns; /* by any balancer */
	int64_t backoff_until_ns; /* not polled before */
	uint32_t consecutive_failures;
	/* When its replica was last known to be up to date; 0 for never. */
	int64_t confirmed_ns;
	/*
	 * It sends routes in the plain encoding only, so the extended one is
	 * not requested before.
	 */
	int64_t extended_routes_from_ns;
	/* Its messages carry the era, so it understands those that do. */
	bool knows_eras;
};

struct members;

/** The entry of @self always has age 0 and never expires. */
struct members *members_create(const struct member_entry *self);
void members_destroy(struct members *members);
/** Merges an entry that is @entry->age_ms old. */
void members_merge(struct members *members, const struct member_entry *entry,
		   int64_t now_ns);
struct member *members_find(struct members *members, uint32_t address);
/**
 * Does not poll the member for a while: it did not respond, its replica is
 * stale, or it lacks older changes.
 */
void members_mark_unresponsive(struct members *members, uint32_t address,
			       int64_t now_ns);
/** Ends the backoff of a member that responded. */
void members_mark_responsive(struct members *members, uint32_t address,
			     int64_t now_ns);
/**
 * Records the replica age that the member reported; UINT32_MAX if its replica
 * is incomplete.
 */
void members_set_replica_age(struct members *members, uint32_t address,
			     uint32_t replica_age_ms, int64_t now_ns);
/**
 * Picks a random member of the own zone whose replica is at most @age_max_ns
 * old; returns 0 if there is none.
 */
uint32_t members_pick_up_to_date(struct members *members, GRand *random,
				 int64_t age_max_ns, int64_t now_ns);
/** Member of the own zone with the most recent replica; 0 if there is none. */
uint32_t members_pick_most_recent(struct members *members);
/** Whether the messages of the member carry the era of their positions. */
void members_set_knows_eras(struct members *members, uint32_t address,
			    bool knows_eras);
bool members_knows_eras(struct members *members, uint32_t address);
/** Drops entries older than MEMBER_AGE_MAX_MS. */
void members_expire(struct members *members, int64_t now_ns);
/**
 * Members of the own zone by descending capacity, in the same order on each
 * balancer. Elements are struct member *; the array is valid until the next
 * call that changes the members.
 */
const GPtrArray *members_ranked(struct members *members);
/** Writes a random sample of up to MEMBER_SAMPLE_MAX members of @zone. */
size_t members_sample(struct members *members, uint32_t zone, int64_t now_ns,
		      GRand *random, struct member_entry *sample);
/** Picks another member of the own zone at random; 0 if there is none. */
uint32_t members_pick_random(struct members *members, GRand *random);
uint32_t members_count(const struct members *members);
uint32_t zone_hash(const char *zone);

#endif
