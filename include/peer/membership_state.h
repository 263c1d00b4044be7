#ifndef PARSLEYLADDER_PEER_MEMBERSHIP_STATE_H
#define PARSLEYLADDER_PEER_MEMBERSHIP_STATE_H

/** State of the membership machine. Internal to the package. */

#include "peer/membership_peer.h"

struct membership {
	struct membership_options options;
	uint32_t incarnation;
	enum member_state state;
	struct peer *peers; /* sorted by id */
	size_t peer_count;
	size_t configured_count;
	struct member_view *view;
	int64_t last_tick_ns;
	int64_t rejoin_ns; /* when the present rejoin began */
	bool is_rejoining;
	bool is_cut_off;
	bool is_view_changed;
	bool is_lease_changed;
	uint64_t revision;
	uint64_t revision_digest;
	uint64_t random_state;
	uint64_t sent;
	uint64_t received;
	uint64_t stale;
	uint64_t unknown_sender;
	uint64_t zone_mismatches;
	uint64_t failures;
	uint64_t pauses;
	uint64_t incarnation_conflicts;
};

/** Index of the peer @id, or where it would be inserted. */
size_t membership_position(const struct membership *membership, uint64_t id);
size_t membership_view_bytes(size_t member_count);
void membership_build_view(struct membership *membership);
/** Builds the view and announces it if anything changed. */
void membership_publish(struct membership *membership);

#endif
