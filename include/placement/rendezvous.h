#ifndef PARSLEYLADDER_PLACEMENT_RENDEZVOUS_H
#define PARSLEYLADDER_PLACEMENT_RENDEZVOUS_H

/**
 * Rendezvous order of members: who owns a shard, who has its copies, who
 * coordinates the map of a service.
 */

#include <stdbool.h>
#include <stdint.h>

#include "placement/member_view.h"

#define SHARD_COUNT 256
#define SHARD_REPLICAS_MAX 2
/** Replicas and the member next in order, whose leases the owner needs. */
#define SHARD_LEASES_MAX (SHARD_REPLICAS_MAX + 1)

static inline uint8_t flow_hash_shard(uint64_t flow_hash)
{
	return (uint8_t)(flow_hash >> 56);
}

/** Members of one shard, as indexes into the view. */
struct shard_members {
	bool has_owner;
	uint32_t owner;
	uint32_t replica_count;
	uint32_t replicas[SHARD_REPLICAS_MAX];
	bool has_next;
	uint32_t next; /* would own the shard if the owner failed */
};

uint64_t rendezvous_score(uint64_t member_id, uint64_t key);
/**
 * Finds the members of @shard among the active members of @view, and among
 * the joining ones too if @is_joining_counted.
 */
void shard_members_find(const struct member_view *view, uint32_t shard,
			bool is_joining_counted, struct shard_members *members);
/** Id of the active member that coordinates @service_id, 0 if there is none. */
uint64_t coordinator_find(const struct member_view *view, uint32_t service_id);

#endif
