#ifndef PARSLEYLADDER_PEER_READER_ELECTION_H
#define PARSLEYLADDER_PEER_READER_ELECTION_H

/**
 * Chooses the members that watch the platform, so that its limit on calls does
 * not grow with the number of instances.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "placement/member_view.h"

/** Readers of each availability zone: one, and one in case it fails. */
#define READERS_PER_ZONE 2

struct reader_election {
	GRand *random; /* not owned */
	bool has_peers; /* peers are configured, in view or not */
	bool is_wanted; /* should read, perhaps after the delay */
	bool is_reader;
	int64_t start_ns; /* when a wanted reader starts */
};

/**
 * True if this instance is among the first members of its availability zone in
 * rendezvous order. Leaving members do not count.
 */
bool reader_election_is_elected(const struct member_view *view);
/**
 * Updates is_reader. @is_behind tells that peers have not delivered a revision
 * for long, and that this instance reads whether elected or not. A start is
 * delayed at random, a stop is not.
 */
void reader_election_update(struct reader_election *election,
			    const struct member_view *view, bool is_behind,
			    int64_t now_ns);

#endif
