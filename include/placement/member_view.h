#ifndef PARSLEYLADDER_PLACEMENT_MEMBER_VIEW_H
#define PARSLEYLADDER_PLACEMENT_MEMBER_VIEW_H

/**
 * What this instance believes about the balancers of its deployment. Made by
 * peer/membership, read by the decision core.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Largest number of members in one view. */
#define MEMBER_VIEW_MAX 1024

enum member_state {
	MEMBER_JOINING, /* reachable, but does not hold its state yet */
	MEMBER_ACTIVE,
	MEMBER_LEAVING, /* announced a graceful shutdown */
};

struct member {
	uint64_t id;
	uint32_t incarnation; /* rises with each start and each rejoin */
	uint16_t zone; /* index into the deployment's zones */
	enum member_state state;
	/*
	 * Until when this instance may own what @id would take over: the send
	 * time of the last heartbeat that @id acknowledged, plus the lease
	 * time. In nanoseconds of the instance's clock.
	 */
	int64_t lease_until_ns;
};

/** Members that are not failed, self included, sorted by id. */
struct member_view {
	uint64_t version; /* rises with each change but of leases */
	size_t member_count;
	size_t self; /* index of this instance */
	bool is_rejoining; /* a pause was detected and not yet repaired */
	bool is_partial; /* the platform lists live members not in view */
	struct member members[];
};

#endif
