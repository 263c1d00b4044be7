#ifndef PARSLEYLADDER_TESTS_CORE_CLUSTER_H
#define PARSLEYLADDER_TESTS_CORE_CLUSTER_H

/**
 * Several cores in one process on a manual clock, joined by a message queue
 * that loses, delays, duplicates and reorders. A small model of the membership
 * protocol gives each core its view.
 */

#include <glib.h>
#include <stdbool.h>

#include "common/clock.h"
#include "core/core_state.h"

#define CLUSTER_MEMBERS_MAX 8

struct random {
	uint64_t state;
};

uint64_t random_next(struct random *random);
/** Uniform in 0 to @bound - 1. */
uint32_t random_below(struct random *random, uint32_t bound);
bool random_chance(struct random *random, uint32_t permille);

struct heard {
	int64_t heard_ns; /* when the last heartbeat came, 0 for never */
	int64_t sent_ns; /* when it was sent */
	int64_t acknowledged_ns; /* own heartbeat that it acknowledged */
	uint32_t incarnation;
	enum member_state state;
};

struct cluster;

struct cluster_member {
	struct cluster *cluster;
	struct core *core;
	int index;
	uint64_t id;
	uint16_t zone;
	uint32_t incarnation;
	uint32_t generation; /* rises with each start */
	enum member_state state;
	bool is_running;
	bool is_rejoining;
	int64_t paused_until_ns;
	int64_t ticked_ns;
	int64_t beat_at_ns;
	uint64_t view_version;
	uint64_t view_hash;
	uint64_t sent_bytes[MESSAGE_PRIORITIES]; /* estimated wire form */
	struct heard heard[CLUSTER_MEMBERS_MAX];
	struct configuration *configuration; /* in force at this member */
};

struct cluster_options {
	int member_count;
	int zone_count;
	uint64_t seed;
	unsigned int rules;
	uint32_t loss_permille;
	uint32_t duplicate_permille;
	int64_t delay_max_ns;
	uint32_t exceptions_max;
	enum core_placement_mode placement_mode;
	/** Outcome of a packet; @member_id of the deciding member. */
	void (*on_action)(void *context, uint32_t flow,
			  const struct packet_facts *facts, int member,
			  const struct core_action *action);
	void *context;
};

struct cluster {
	struct cluster_options options;
	struct manual_clock clock;
	struct random random;
	struct cluster_member members[CLUSTER_MEMBERS_MAX];
	GSequence *events;
	uint64_t event_count;
	int side[CLUSTER_MEMBERS_MAX]; /* members of different sides are apart */
	uint64_t passes; /* packets passed on */
};

void cluster_init(struct cluster *cluster,
		  const struct cluster_options *options);
void cluster_clear(struct cluster *cluster);
void cluster_start(struct cluster *cluster, int index);
void cluster_kill(struct cluster *cluster, int index);
void cluster_pause(struct cluster *cluster, int index, int64_t duration_ns);
void cluster_leave(struct cluster *cluster, int index);
/** Applies a revision at a member after @delay_ns. */
void cluster_configure(struct cluster *cluster, int member,
		       struct configuration *configuration, int64_t delay_ns);
void cluster_run(struct cluster *cluster, int64_t duration_ns);
/** Gives a packet from the fabric to a member; the outcome comes later. */
void cluster_packet(struct cluster *cluster, int member, uint32_t flow,
		    const struct packet_facts *facts, int64_t delay_ns);
/** All running members are active, see each other and own what they should. */
bool cluster_is_settled(const struct cluster *cluster);
/** Runs until settled; false if that takes longer than @limit_ns. */
bool cluster_settle(struct cluster *cluster, int64_t limit_ns);

#endif
