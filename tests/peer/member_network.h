#ifndef PARSLEYLADDER_TESTS_PEER_MEMBER_NETWORK_H
#define PARSLEYLADDER_TESTS_PEER_MEMBER_NETWORK_H

/**
 * Membership machines on a manual clock, joined by links with delay, jitter,
 * loss and cuts. Used by tests and the benchmark.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "peer/membership.h"

#define MEMBER_NETWORK_TICK_MS 100

struct member_network;

struct network_node {
	struct member_network *network;
	struct membership *membership; /* NULL while the process is dead */
	size_t index;
	uint32_t incarnation;
	bool is_paused; /* gets no ticks; heartbeats wait for it */
	GQueue *waiting; /* heartbeats that arrived during a pause */
	uint64_t views; /* calls of on_view */
};

struct member_network {
	struct manual_clock clock;
	size_t count;
	struct network_node *nodes;
	GQueue **slots; /* heartbeats by arrival, one queue for each ms */
	bool *is_cut; /* [from * count + to] */
	double loss;
	int64_t delay_ms;
	int64_t jitter_ms; /* added, evenly from 0 to this */
	uint64_t random_state;
	uint64_t sent;
};

/** Creates and starts @count members that know each other. */
struct member_network *member_network_create(size_t count, uint64_t seed);
void member_network_destroy(struct member_network *network);
/** Lets @ms pass in steps of 1 ms, with ticks in all running nodes. */
void member_network_run(struct member_network *network, int64_t ms);
/** Calls membership_set_active() in all nodes, as a process does. */
void member_network_activate(struct member_network *network);
void member_network_kill(struct member_network *network, size_t index);
void member_network_start(struct member_network *network, size_t index,
			  uint32_t incarnation);
void member_network_cut(struct member_network *network, size_t from, size_t to,
			bool is_cut);
uint64_t member_network_id(size_t node);
/** Entry of @of in the view of @node, or NULL. */
const struct member *member_network_find(const struct member_network *network,
					 size_t node, size_t of);
double member_network_random(struct member_network *network);

#endif
