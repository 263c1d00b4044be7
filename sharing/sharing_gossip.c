#include "sharing_state.h"

/* Interval to the seeds while no member is known. */
#define GOSSIP_SEED_FIRST_NS (50 * NS_PER_MS)
/* Interval to the seeds until the replica is synced. */
#define GOSSIP_SEED_START_NS (100 * NS_PER_MS)
/* Interval to the seeds once the replica is synced. */
#define GOSSIP_SEED_INTERVAL_NS (3 * NS_PER_S)
/* Interval to members until the host listing is complete. */
#define GOSSIP_START_NS (40 * NS_PER_MS)
/* Number of members per interval until the host listing is complete. */
#define GOSSIP_START_COUNT 3
/* Interval to members after that. */
#define GOSSIP_INTERVAL_NS (1 * NS_PER_S)
/* Interval while the replica is stale, to find a member with a newer one. */
#define GOSSIP_STALE_NS (300 * NS_PER_MS)
/* Number of members per interval while the replica is stale. */
#define GOSSIP_STALE_COUNT 2
/*
 * Number of members notified of the first listing, and of a replica that is no
 * longer stale. Each may poll this balancer at once, and notifies as many in
 * turn.
 */
#define ANNOUNCE_COUNT 4

static void gossip_send(struct sharing *sharing, uint32_t address,
			uint32_t zone, enum sharing_message_kind kind,
			int64_t now_ns)
{
	struct sharing_message message = {
		.kind = kind,
		.replica_age_ms = sharing_replica_age_ms(sharing, now_ns),
	};

	message.member_count = members_sample(sharing->members, zone, now_ns,
					      sharing->random, message.members);
	sharing_send(sharing, address, &message);
}

static int64_t seed_interval_ns(const struct sharing *sharing,
				bool to_all_seeds)
{
	if (to_all_seeds)
		return GOSSIP_SEED_FIRST_NS;
	return sharing_is_synced(sharing) ? GOSSIP_SEED_INTERVAL_NS
					  : GOSSIP_SEED_START_NS;
}

static void seeds_send_gossip(struct sharing *sharing, bool to_all_seeds,
			      int64_t now_ns)
{
	size_t chosen = 0;

	if (sharing->seed_count == 0 || now_ns < sharing->next_seed_gossip_ns)
		return;
	sharing->next_seed_gossip_ns =
		now_ns + seed_interval_ns(sharing, to_all_seeds);
	chosen = (size_t)g_rand_int_range(sharing->random, 0,
					  (gint32)sharing->seed_count);
	for (size_t i = 0; i < sharing->seed_count; i++) {
		if (sharing->seeds[i] == sharing->options.address ||
		    (!to_all_seeds && i != chosen))
			continue;
		gossip_send(sharing, sharing->seeds[i], sharing->zone,
			    SHARING_GOSSIP_REQUEST, now_ns);
	}
}

static void members_send_gossip(struct sharing *sharing, uint32_t count,
				enum sharing_message_kind kind, int64_t now_ns)
{
	for (uint32_t i = 0; i < count; i++) {
		uint32_t other =
			members_pick_random(sharing->members, sharing->random);

		if (other != 0)
			gossip_send(sharing, other, sharing->zone, kind,
				    now_ns);
	}
}

/* In a small zone, a random choice could miss the one member that waits. */
static void members_send_announcement(struct sharing *sharing, int64_t now_ns)
{
	const GPtrArray *ranked = members_ranked(sharing->members);

	if (ranked->len > ANNOUNCE_COUNT + 1) {
		members_send_gossip(sharing, ANNOUNCE_COUNT,
				    SHARING_GOSSIP_RESPONSE, now_ns);
		return;
	}
	for (guint i = 0; i < ranked->len; i++) {
		const struct member *member = g_ptr_array_index(ranked, i);

		if (member->address != sharing->options.address)
			gossip_send(sharing, member->address, sharing->zone,
				    SHARING_GOSSIP_RESPONSE, now_ns);
	}
}

/*
 * Tells the seeds and a few members that this balancer has an up-to-date
 * replica, when it has its first one and whenever it was stale before. Members
 * whose replica is stale, as their leader's may be, poll this balancer then.
 */
static void replica_announce(struct sharing *sharing, int64_t now_ns)
{
	if (!sharing_is_synced(sharing))
		return;
	if (sharing_is_stale(sharing, now_ns)) {
		sharing->is_replica_announced = false;
		return;
	}
	if (sharing->is_replica_announced)
		return;
	sharing->is_replica_announced = true;
	/* Starting balancers contact the seeds first, which pass it on. */
	sharing->next_seed_gossip_ns = 0;
	seeds_send_gossip(sharing, true, now_ns);
	members_send_announcement(sharing, now_ns);
}

void gossip_tick(struct sharing *sharing, int64_t now_ns)
{
	bool is_alone = members_ranked(sharing->members)->len < 2;

	seeds_send_gossip(sharing, is_alone, now_ns);
	replica_announce(sharing, now_ns);
	if (now_ns < sharing->next_gossip_ns)
		return;
	if (!sharing->options.replica_status->is_complete) {
		sharing->next_gossip_ns = now_ns + GOSSIP_START_NS;
		members_send_gossip(sharing, GOSSIP_START_COUNT,
				    SHARING_GOSSIP_REQUEST, now_ns);
	} else if (sharing_is_stale(sharing, now_ns)) {
		sharing->next_gossip_ns = now_ns + GOSSIP_STALE_NS;
		members_send_gossip(sharing, GOSSIP_STALE_COUNT,
				    SHARING_GOSSIP_REQUEST, now_ns);
	} else {
		sharing->next_gossip_ns = now_ns + GOSSIP_INTERVAL_NS;
		members_send_gossip(sharing, 1, SHARING_GOSSIP_REQUEST, now_ns);
	}
}

void gossip_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, int64_t now_ns)
{
	for (size_t i = 0; i < message->member_count; i++)
		members_merge(sharing->members, &message->members[i], now_ns);
	members_set_replica_age(sharing->members, address,
				message->replica_age_ms, now_ns);
	alternate_consider(sharing, address, message->replica_age_ms, now_ns);
	if (sharing->first_gossip_ns == 0)
		sharing->first_gossip_ns = now_ns;
	if (message->kind == SHARING_GOSSIP_REQUEST)
		gossip_send(sharing, address, message->zone,
			    SHARING_GOSSIP_RESPONSE, now_ns);
}
