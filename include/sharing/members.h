#ifndef PARSLEYLADDER_SHARING_MEMBERS_H
#define PARSLEYLADDER_SHARING_MEMBERS_H

/**
 * Balancers that are known to exist, and the order in which those of one zone
 * are asked for news. Members are found through seeds and by gossip: each
 * message carries a bounded sample with the age of each entry, so the bytes of
 * a balancer do not grow with the fleet.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most members that are kept; of other zones, the oldest are dropped. */
#define MEMBERS_MAX 1024
/** Members of one message. */
#define MEMBER_SAMPLE_MAX 24
/** An entry that nobody has heard of for this long is dropped, in ms. */
#define MEMBER_AGE_MAX_MS 10000

/** A member is not known to have a listing, or its news are too old to tell. */
#define MEMBER_REPLICA_AGE_NONE UINT16_MAX

struct member_entry {
	uint32_t address; /* IPv4, host byte order */
	uint32_t zone; /* hash of its name, see zone_hash() */
	uint16_t capacity; /* share of a core, per mille */
	uint32_t age_ms; /* since it was heard of */
	uint32_t replica_age_ms; /* of what it knows, MEMBER_REPLICA_AGE_NONE */
};

struct member {
	uint32_t address;
	uint32_t zone;
	uint16_t capacity;
	uint64_t rank; /* order of those with the same capacity */
	int64_t last_heard_ns; /* when somebody last heard it */
	int64_t backoff_until_ns; /* it did not answer */
	uint32_t consecutive_failures; /* in a row */
	/* When what it knows was last known to be current; 0 for never. */
	int64_t confirmed_ns;
};

struct members;

/** @self is never aged. */
struct members *members_create(const struct member_entry *self);
void members_destroy(struct members *members);
/** Takes over what was heard @entry->age_ms ago. */
void members_merge(struct members *members, const struct member_entry *entry,
		   int64_t now_ns);
struct member *members_find(struct members *members, uint32_t address);
/** The member did not answer: others are asked for a while. */
void members_mark_unresponsive(struct members *members, uint32_t address,
			       int64_t now_ns);
/** The member answered. */
void members_mark_responsive(struct members *members, uint32_t address,
			     int64_t now_ns);
/** The member told how old its news are; UINT32_MAX if it has no listing. */
void members_set_replica_age(struct members *members, uint32_t address,
			     uint32_t replica_age_ms, int64_t now_ns);
/**
 * Draws a member of the own zone whose news are at most @age_max_ns old; 0 if
 * none is known.
 */
uint32_t members_pick_up_to_date(struct members *members, GRand *random,
				 int64_t age_max_ns, int64_t now_ns);
/** The member of the own zone with the newest news; 0 if none has any. */
uint32_t members_pick_most_recent(struct members *members);
/** Drops entries that are too old. */
void members_expire(struct members *members, int64_t now_ns);
/**
 * Members of the own zone, best first: the ones with the most capacity, each
 * balancer in the same order. Elements are struct member *; the array
 * is valid until the next call that changes the members.
 */
const GPtrArray *members_ranked(struct members *members);
/** Writes up to MEMBER_SAMPLE_MAX members of @zone, drawn at random. */
size_t members_sample(struct members *members, uint32_t zone, int64_t now_ns,
		      GRand *random, struct member_entry *sample);
/** Draws another member of the own zone; 0 if there is none. */
uint32_t members_pick_random(struct members *members, GRand *random);
uint32_t members_count(const struct members *members);
uint32_t zone_hash(const char *zone);

#endif
