#ifndef PARSLEYLADDER_TESTS_CORE_EXPLORER_STATE_H
#define PARSLEYLADDER_TESTS_CORE_EXPLORER_STATE_H

#include "cluster.h"
#include "explorer.h"
#include "fixture.h"

#define MEMBERS 6
#define ZONES 3
#define SERVICES 2
#define STEPS_A_SECOND 20
#define FLOWS_A_STEP 8
#define SYN_TRIES 5
#define DATA_PERMILLE 20
#define END_PERMILLE 30
#define SYN_ACK_LOSS_PERMILLE 50
#define IMPATIENT_PERMILLE 50
/* Flows older than this survive the loss of one member. */
#define FLOW_SAFE_NS (2 * NS_PER_S)
#define DRAIN_BOUND_NS (3 * NS_PER_S)

enum flow_state {
	FLOW_OPENING,
	FLOW_ESTABLISHED,
	FLOW_ENDED,
	FLOW_REFUSED,
};

struct explorer_flow {
	int64_t syn_at_ns; /* when the SYN is repeated */
	int64_t established_ns;
	uint32_t host_id;
	enum flow_state state;
	uint8_t service;
	uint8_t side; /* which part of a partition its path leads to */
	uint8_t tries;
	bool is_impatient;
	bool is_broken;
	bool is_probed;
	bool is_excused; /* opened too shortly before a fault */
};

struct explorer {
	const struct explorer_options *options;
	struct explorer_result *result;
	struct cluster cluster;
	struct random random;
	struct fixture fixture;
	GPtrArray *revisions;
	struct configuration *latest;
	GHashTable *drained; /* host id to int64_t publication time */
	GArray *flows;
	int64_t started_ns;
	int64_t fault_ns; /* last fault */
	int64_t calm_ns; /* when the cluster had settled after it */
	bool is_split;
	int split_side[MEMBERS];
	int64_t split_until_ns;
	int restarting; /* member that comes back, -1 for none */
	int64_t restart_ns;
	int64_t next_change_ns;
	int next_host;
	uint32_t silent_host;
	int draining_service; /* -1 for none */
	int draining_host;
	int64_t drain_ns;
};

static inline struct explorer_flow *explorer_flow(struct explorer *explorer,
						  uint32_t index)
{
	return &g_array_index(explorer->flows, struct explorer_flow, index);
}

int64_t explorer_elapsed_ns(const struct explorer *explorer);
void violation_report(struct explorer *explorer, enum violation violation,
		      uint32_t flow, int member, const char *detail);
void explorer_events_start(struct explorer *explorer);
void explorer_events_step(struct explorer *explorer);
/** Ends all faults and waits until the cluster has settled. */
void explorer_events_end(struct explorer *explorer);
void explorer_events_clear(struct explorer *explorer);

#endif
