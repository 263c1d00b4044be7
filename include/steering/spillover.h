#ifndef PARSLEYLADDER_STEERING_SPILLOVER_H
#define PARSLEYLADDER_STEERING_SPILLOVER_H

/**
 * Decides which share of the new flows of a service leaves the own availability
 * zone, and which part of it each other zone gets. The share follows from the
 * reported loads, not from the share in force: all balancers of a zone that
 * decide on the same reports arrive at the same one. Its changes are bounded,
 * as reports are half a second old and open flows stay where they are.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "steering/zone_load.h"

/** Nothing leaves while less of the own zone's slots are busy. */
#define SPILLOVER_LEVEL_MIN 0.8
/** No flow goes to a zone that is busier, as it refuses its own callers then. */
#define SPILLOVER_LEVEL_MAX 0.95

enum spillover_reason {
	SPILLOVER_OFF, /* by the settings */
	SPILLOVER_ROOM, /* the own zone has spare capacity */
	SPILLOVER_NO_REPORTS, /* the load of the zones is not known */
	SPILLOVER_NO_GAIN, /* the response would not come earlier */
	SPILLOVER_OTHERS_FULL, /* no other zone has spare capacity */
	SPILLOVER_SHORTER, /* flows leave: the response comes earlier */
	SPILLOVER_FULL, /* flows leave: the own zone is full */
	SPILLOVER_NO_HOSTS, /* flows leave: the own zone has no usable slot */
	SPILLOVER_REASONS,
};

extern const char *const spillover_reason_names[SPILLOVER_REASONS];

/** Load of the hosts of a service in one zone, as far as it is known. */
struct spillover_zone {
	uint32_t zone; /* hash of its name */
	const char *name;
	double usable_slots;
	double busy_slots;
	double own_busy_slots; /* placed by balancers of the own zone */
	double time_ms; /* mean at the host; 0 if not known */
	double unloaded_ms; /* without a queue; 0 if not known */
	double delay_ms; /* of the network; 0 if not known */
	int64_t age_ms; /* of the report; -1 without one that can be used */
	bool is_reachable; /* has usable hosts, as this balancer sees it */
};

struct spillover_input {
	struct spillover_zone own;
	struct spillover_zone zones[ZONE_LOAD_ZONES_MAX];
	size_t zone_count;
	double gain_min_ms;
	bool is_on;
	int64_t now_ns;
};

/** Relative share of a zone in the flows that leave. */
struct spillover_part {
	uint32_t zone;
	double part;
};

/** State for one service; all zero at first. */
struct spillover {
	double share; /* of the new flows, in force */
	double target; /* the share moves towards it */
	enum spillover_reason reason;
	double level; /* busy part of the own zone if nothing left */
	/*
	 * Lower than 1 if the own zone was full with fewer busy slots than it
	 * has.
	 */
	double capacity_factor;
	/* Time in queues relative to the expected one, while nothing left. */
	double queue_factor;
	int64_t stepped_ns; /* 0 for never */
	/* Also set while nothing leaves; none if no load is known. */
	struct spillover_part parts[ZONE_LOAD_ZONES_MAX];
	size_t part_count;
};

/**
 * Decides again; to be called for each report, and regularly while there is
 * none. Returns false if it is too early for another change of the share.
 */
bool spillover_step(struct spillover *spillover,
		    const struct spillover_input *input);
/** Zone at @point, 0 to 1, of the cumulated parts; 0 if there are none. */
uint32_t spillover_zone_at(const struct spillover *spillover, double point);

#endif
