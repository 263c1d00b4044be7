#include "placement/rendezvous.h"

#include <xxhash.h>

#define NONE UINT32_MAX

uint64_t rendezvous_score(uint64_t member_id, uint64_t key)
{
	uint64_t input[2] = { member_id, key };

	return XXH3_64bits(input, sizeof(input));
}

static bool is_eligible(const struct member *member, bool is_joining_counted)
{
	return member->state == MEMBER_ACTIVE ||
	       (is_joining_counted && member->state == MEMBER_JOINING);
}

static bool is_chosen(const struct shard_members *members, uint32_t index)
{
	if (index == members->owner)
		return true;
	for (uint32_t i = 0; i < members->replica_count; i++) {
		if (members->replicas[i] == index)
			return true;
	}
	return false;
}

static bool has_zone(const struct member_view *view,
		     const struct shard_members *members, uint16_t zone)
{
	if (view->members[members->owner].zone == zone)
		return true;
	for (uint32_t i = 0; i < members->replica_count; i++) {
		if (view->members[members->replicas[i]].zone == zone)
			return true;
	}
	return false;
}

/* Highest score among members not chosen yet, in a new zone if asked. */
static uint32_t best_member(const struct member_view *view, uint32_t shard,
			    bool is_joining_counted,
			    const struct shard_members *members,
			    bool is_new_zone)
{
	uint64_t best_score = 0;
	uint32_t best = NONE;

	for (uint32_t i = 0; i < view->member_count; i++) {
		const struct member *member = &view->members[i];
		uint64_t score;

		if (!is_eligible(member, is_joining_counted) ||
		    (members->has_owner && is_chosen(members, i)))
			continue;
		if (is_new_zone && has_zone(view, members, member->zone))
			continue;
		score = rendezvous_score(member->id, shard);
		if (best == NONE || score > best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

void shard_members_find(const struct member_view *view, uint32_t shard,
			bool is_joining_counted, struct shard_members *members)
{
	*members = (struct shard_members){ 0 };
	members->owner =
		best_member(view, shard, is_joining_counted, members, false);
	if (members->owner == NONE)
		return;
	members->has_owner = true;
	members->next =
		best_member(view, shard, is_joining_counted, members, false);
	members->has_next = members->next != NONE;
	while (members->replica_count < SHARD_REPLICAS_MAX) {
		uint32_t replica = best_member(view, shard, is_joining_counted,
					       members, true);

		if (replica == NONE)
			replica = best_member(view, shard, is_joining_counted,
					      members, false);
		if (replica == NONE)
			return;
		members->replicas[members->replica_count++] = replica;
	}
}

uint64_t coordinator_find(const struct member_view *view, uint32_t service_id)
{
	uint64_t best_score = 0;
	uint64_t best_id = 0;

	for (size_t i = 0; i < view->member_count; i++) {
		const struct member *member = &view->members[i];
		uint64_t score;

		if (member->state != MEMBER_ACTIVE)
			continue;
		/* The offset keeps service ids apart from shard numbers. */
		score = rendezvous_score(member->id,
					 (UINT64_C(1) << 32) + service_id);
		if (best_id == 0 || score > best_score) {
			best_id = member->id;
			best_score = score;
		}
	}
	return best_id;
}
