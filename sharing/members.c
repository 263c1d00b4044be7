#include "sharing/members.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

/* Backoff after the first failure, doubled by each further one, and limit. */
#define BACKOFF_MIN_MS 1500
#define BACKOFF_MAX_MS 12000

struct members {
	struct member_entry self;
	GHashTable *by_address; /* owns struct member */
	GPtrArray *ranked; /* of the own zone */
	bool is_ranked;
};

uint32_t zone_hash(const char *zone)
{
	return XXH32(zone, strlen(zone), 0);
}

/* Includes the zone, so that no address ranks first in all zones. */
static uint64_t rank_hash(const struct member_entry *entry)
{
	const uint32_t key[] = { entry->address, entry->zone };

	return XXH3_64bits(key, sizeof(key));
}

struct members *members_create(const struct member_entry *self)
{
	struct members *members = g_new0(struct members, 1);

	members->self = *self;
	members->by_address = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	members->ranked = g_ptr_array_new();
	members_merge(members, self, 0);
	return members;
}

void members_destroy(struct members *members)
{
	if (!members)
		return;
	g_ptr_array_unref(members->ranked);
	g_hash_table_destroy(members->by_address);
	g_free(members);
}

struct member *members_find(struct members *members, uint32_t address)
{
	return g_hash_table_lookup(members->by_address,
				   GUINT_TO_POINTER(address));
}

static bool has_room(const struct members *members,
		     const struct member_entry *entry)
{
	uint32_t reserve = entry->zone == members->self.zone ? 0
							     : MEMBERS_MAX / 2;

	return g_hash_table_size(members->by_address) < MEMBERS_MAX - reserve;
}

static struct member *member_add(struct members *members,
				 const struct member_entry *entry)
{
	struct member *member;

	if (entry->address == 0 || !has_room(members, entry))
		return NULL;
	member = g_new0(struct member, 1);
	member->address = entry->address;
	g_hash_table_insert(members->by_address,
			    GUINT_TO_POINTER(entry->address), member);
	return member;
}

void members_merge(struct members *members, const struct member_entry *entry,
		   int64_t now_ns)
{
	struct member *member = members_find(members, entry->address);
	int64_t last_heard_ns = now_ns - entry->age_ms * NS_PER_MS;

	if (entry->age_ms >= MEMBER_AGE_MAX_MS)
		return;
	if (!member)
		member = member_add(members, entry);
	if (member && entry->replica_age_ms < MEMBER_REPLICA_AGE_NONE)
		member->confirmed_ns =
			MAX(member->confirmed_ns,
			    now_ns - entry->replica_age_ms * NS_PER_MS);
	if (!member || (member->last_heard_ns >= last_heard_ns &&
			member->tie_breaker != 0))
		return;
	member->last_heard_ns = last_heard_ns;
	if (member->tie_breaker != 0 && member->zone == entry->zone &&
	    member->capacity == entry->capacity)
		return;
	member->zone = entry->zone;
	member->capacity = entry->capacity;
	member->tie_breaker = rank_hash(entry) | 1;
	members->is_ranked = false;
}

void members_mark_unresponsive(struct members *members, uint32_t address,
			       int64_t now_ns)
{
	struct member *member = members_find(members, address);
	uint32_t delay_ms;

	if (!member)
		return;
	delay_ms = BACKOFF_MIN_MS << MIN(member->consecutive_failures, 3);
	member->consecutive_failures++;
	member->backoff_until_ns =
		now_ns + MIN(delay_ms, BACKOFF_MAX_MS) * NS_PER_MS;
}

void members_mark_responsive(struct members *members, uint32_t address,
			     int64_t now_ns)
{
	struct member *member = members_find(members, address);

	if (!member)
		return;
	member->last_heard_ns = now_ns;
	member->consecutive_failures = 0;
	member->backoff_until_ns = 0;
}

void members_set_replica_age(struct members *members, uint32_t address,
			     uint32_t replica_age_ms, int64_t now_ns)
{
	struct member *member = members_find(members, address);

	if (!member)
		return;
	member->confirmed_ns = 0;
	if (replica_age_ms != UINT32_MAX)
		member->confirmed_ns = now_ns - replica_age_ms * NS_PER_MS;
}

void members_set_knows_eras(struct members *members, uint32_t address,
			    bool knows_eras)
{
	struct member *member = members_find(members, address);

	if (member)
		member->knows_eras = knows_eras;
}

bool members_knows_eras(struct members *members, uint32_t address)
{
	const struct member *member = members_find(members, address);

	return member && member->knows_eras;
}

static bool is_other(const struct members *members, const struct member *member)
{
	return member->address != members->self.address;
}

/* Reservoir sampling: each suitable member is as likely as any other. */
uint32_t members_pick_up_to_date(struct members *members, GRand *random,
				 int64_t age_max_ns, int64_t now_ns)
{
	const GPtrArray *ranked = members_ranked(members);
	uint32_t picked = 0;
	gint32 seen = 0;

	for (guint i = 0; i < ranked->len; i++) {
		const struct member *member = g_ptr_array_index(ranked, i);

		if (!is_other(members, member) || member->confirmed_ns == 0 ||
		    now_ns - member->confirmed_ns > age_max_ns)
			continue;
		if (g_rand_int_range(random, 0, ++seen) == 0)
			picked = member->address;
	}
	return picked;
}

uint32_t members_pick_most_recent(struct members *members)
{
	const GPtrArray *ranked = members_ranked(members);
	const struct member *newest = NULL;

	for (guint i = 0; i < ranked->len; i++) {
		const struct member *member = g_ptr_array_index(ranked, i);

		if (!is_other(members, member) || member->confirmed_ns == 0)
			continue;
		if (!newest || member->confirmed_ns > newest->confirmed_ns)
			newest = member;
	}
	return newest ? newest->address : 0;
}

void members_expire(struct members *members, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, members->by_address);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct member *member = value;

		if (member->address == members->self.address ||
		    now_ns - member->last_heard_ns <
			    MEMBER_AGE_MAX_MS * NS_PER_MS)
			continue;
		g_hash_table_iter_remove(&iterator);
		members->is_ranked = false;
	}
}

static int rank_compare(const void *left, const void *right)
{
	const struct member *a = *(struct member *const *)left;
	const struct member *b = *(struct member *const *)right;

	if (a->capacity != b->capacity)
		return a->capacity > b->capacity ? -1 : 1;
	return a->tie_breaker < b->tie_breaker
		       ? -1
		       : a->tie_breaker > b->tie_breaker;
}

const GPtrArray *members_ranked(struct members *members)
{
	GHashTableIter iterator;
	gpointer value;

	if (members->is_ranked)
		return members->ranked;
	g_ptr_array_set_size(members->ranked, 0);
	g_hash_table_iter_init(&iterator, members->by_address);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct member *member = value;

		if (member->zone == members->self.zone)
			g_ptr_array_add(members->ranked, value);
	}
	g_ptr_array_sort(members->ranked, rank_compare);
	members->is_ranked = true;
	return members->ranked;
}

static void entry_fill(const struct members *members,
		       const struct member *member, int64_t now_ns,
		       struct member_entry *entry)
{
	int64_t age_ns = now_ns - member->last_heard_ns;

	if (member->address == members->self.address)
		age_ns = 0;
	entry->address = member->address;
	entry->zone = member->zone;
	entry->capacity = member->capacity;
	entry->age_ms = (uint32_t)(age_ns / NS_PER_MS);
	entry->replica_age_ms = MEMBER_REPLICA_AGE_NONE;
	if (member->confirmed_ns != 0)
		entry->replica_age_ms = (uint32_t)MIN(
			(now_ns - member->confirmed_ns) / NS_PER_MS,
			MEMBER_REPLICA_AGE_NONE);
}

/* Reservoir sampling: each member is as likely as any other. */
size_t members_sample(struct members *members, uint32_t zone, int64_t now_ns,
		      GRand *random, struct member_entry *sample)
{
	GHashTableIter iterator;
	gpointer value;
	size_t seen = 0;

	g_hash_table_iter_init(&iterator, members->by_address);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct member *member = value;
		size_t slot = seen;

		if (member->zone != zone)
			continue;
		if (seen >= MEMBER_SAMPLE_MAX)
			slot = (size_t)g_rand_int_range(random, 0,
							(gint32)seen + 1);
		seen++;
		if (slot < MEMBER_SAMPLE_MAX)
			entry_fill(members, member, now_ns, &sample[slot]);
	}
	return MIN(seen, MEMBER_SAMPLE_MAX);
}

uint32_t members_pick_random(struct members *members, GRand *random)
{
	const GPtrArray *ranked = members_ranked(members);
	const struct member *member;

	if (ranked->len < 2)
		return 0;
	do {
		guint index =
			(guint)g_rand_int_range(random, 0, (gint32)ranked->len);

		member = g_ptr_array_index(ranked, index);
	} while (member->address == members->self.address);
	return member->address;
}

uint32_t members_count(const struct members *members)
{
	return g_hash_table_size(members->by_address);
}
