#include "steering/spillover.h"

#include <math.h>
#include <string.h>

/*
 * Part of the way to its target that the share moves in one step. Zones that
 * use the same spare capacity respond to each other with a delay of more than a
 * second, and oscillate if they go all the way.
 */
#define STEP_PART 0.5
#define PARTS_STEP_PART 0.25
/* Largest change of the share in one step. */
#define STEP_UP 0.3
#define STEP_DOWN 0.4
/*
 * Minimum time between steps: the interval of the reports, less the variation
 * of their arrival.
 */
#define STEP_INTERVAL_NS (400 * NS_PER_MS)
/* Smaller shares are not worth a flow to another zone. */
#define SHARE_MIN 0.01
/* A zone whose mean time is this many times the unloaded one is full. */
#define FULL_TIME_FACTOR 2.5
/*
 * Time in service relative to the lowest recent mean: hosts and requests
 * differ. What is above it is time in a queue.
 */
#define SERVICE_TIME_FACTOR 1.1
/* With 8 requests queued behind 2 slots, a request takes 5 times as long. */
#define QUEUE_TIME_FACTOR_MAX 5
/* Assumed for a zone with too few handshakes to tell. */
#define DELAY_DEFAULT_MS 10
/* How fast the capacity of a zone that was full is taken for whole again. */
#define CAPACITY_RECOVERY_PER_S 0.1
#define CAPACITY_FACTOR_MIN 0.25
/*
 * Requests per second below which a mean time shows no full zone: of so few,
 * a single long one is enough.
 */
#define FULL_RATE_MIN 25
/* Load to distribute if none is observed, relative to the slots. */
#define LEVEL_ASSUMED 0.05

const char *const spillover_reason_names[SPILLOVER_REASONS] = {
	[SPILLOVER_OFF] = "off",
	[SPILLOVER_ROOM] = "room",
	[SPILLOVER_NO_REPORTS] = "no_reports",
	[SPILLOVER_NO_GAIN] = "no_gain",
	[SPILLOVER_OTHERS_FULL] = "others_full",
	[SPILLOVER_SHORTER] = "shorter",
	[SPILLOVER_FULL] = "full",
	[SPILLOVER_NO_HOSTS] = "no_hosts",
};

/* A zone that may get flows. */
struct candidate {
	const struct spillover_zone *zone;
	double load; /* slots that others keep busy */
	double level; /* relative to its usable slots */
};

/* What is computed from the input before the decision. */
struct estimate {
	double own_load; /* slots that the own zone would have busy */
	double own_slots;
	double movable; /* the part of own_load that may leave */
	bool is_full;
	double time_ms; /* expected in the own zone if nothing left */
	double competing; /* excess load of other overloaded zones */
	struct candidate candidates[ZONE_LOAD_ZONES_MAX];
	size_t candidate_count; /* by ascending level */
};

/*
 * Part of the busy slots that are in service; the rest waits in a queue. The
 * load to move is the one in service: a queue vanishes with little of it.
 */
static double service_part(const struct spillover_input *input,
			   const struct spillover_zone *zone)
{
	double unloaded_ms = zone->unloaded_ms > 0 ? zone->unloaded_ms
						   : input->own.unloaded_ms;

	if (zone->time_ms <= 0 || unloaded_ms <= 0)
		return 1;
	return fmin(1, unloaded_ms * SERVICE_TIME_FACTOR / zone->time_ms);
}

static bool has_long_times(const struct spillover_zone *zone)
{
	return zone->unloaded_ms > 0 &&
	       zone->time_ms > FULL_TIME_FACTOR * zone->unloaded_ms &&
	       zone->busy_slots * 1000 >= FULL_RATE_MIN * zone->time_ms;
}

/* Time at the hosts for two slots with a common queue (M/M/2). */
static double queue_time_factor(double level)
{
	double factor = QUEUE_TIME_FACTOR_MAX;

	if (level < 1)
		factor = fmin(factor, 1 / (1 - level * level));
	return factor;
}

/*
 * Time at the hosts of the own zone if nothing left: as measured while nothing
 * does. A share in force shortens the measured time, which must not end it; the
 * time is then computed from the load, with the queue that was measured before.
 */
static double expected_time_ms(struct spillover *spillover,
			       const struct spillover_zone *own, double level)
{
	double queued = queue_time_factor(level) - 1;

	if (own->unloaded_ms <= 0 || own->time_ms <= 0)
		return own->time_ms;
	if (spillover->share < SHARE_MIN) {
		if (queued > 0)
			spillover->queue_factor =
				(own->time_ms / own->unloaded_ms - 1) / queued;
		return own->time_ms;
	}
	queued *= CLAMP(spillover->queue_factor, 0, 1);
	return fmax(own->time_ms, own->unloaded_ms * (1 + queued));
}

static bool is_known(const struct spillover_zone *zone)
{
	return zone->age_ms >= 0 && zone->usable_slots > 0;
}

static void candidate_insert(struct estimate *estimate,
			     const struct candidate *candidate)
{
	size_t i = estimate->candidate_count++;

	for (; i > 0 && estimate->candidates[i - 1].level > candidate->level;
	     i--)
		estimate->candidates[i] = estimate->candidates[i - 1];
	estimate->candidates[i] = *candidate;
}

static void candidates_collect(const struct spillover_input *input,
			       struct estimate *estimate)
{
	for (size_t i = 0; i < input->zone_count; i++) {
		const struct spillover_zone *zone = &input->zones[i];
		double part = service_part(input, zone);
		double own_load = zone->own_busy_slots * part;
		double load = zone->busy_slots * part;
		struct candidate candidate = { .zone = zone };

		estimate->own_load += own_load;
		estimate->movable += own_load;
		if (!is_known(zone))
			continue;
		estimate->competing += fmax(
			0, load - SPILLOVER_LEVEL_MIN * zone->usable_slots);
		candidate.load = fmax(0, load - own_load);
		candidate.level = candidate.load / zone->usable_slots;
		if (zone->is_reachable)
			candidate_insert(estimate, &candidate);
	}
}

static void estimate_make(struct spillover *spillover,
			  const struct spillover_input *input,
			  struct estimate *estimate)
{
	const struct spillover_zone *own = &input->own;
	double part = service_part(input, own);
	double elapsed_s = (double)(input->now_ns - spillover->stepped_ns) /
			   (double)NS_PER_S;
	double level;

	memset(estimate, 0, sizeof(*estimate));
	estimate->own_load = own->busy_slots * part;
	estimate->movable = own->own_busy_slots * part;
	candidates_collect(input, estimate);
	if (own->usable_slots <= 0)
		return;
	level = estimate->own_load / own->usable_slots;
	if (spillover->capacity_factor == 0)
		spillover->capacity_factor = 1;
	spillover->capacity_factor =
		fmin(1, spillover->capacity_factor +
				CAPACITY_RECOVERY_PER_S * elapsed_s);
	/* Full with fewer busy slots than it has: it carries no more. */
	if (has_long_times(own))
		spillover->capacity_factor =
			fmax(CAPACITY_FACTOR_MIN,
			     fmin(spillover->capacity_factor, level));
	estimate->own_slots = own->usable_slots * spillover->capacity_factor;
	spillover->level = estimate->own_load / estimate->own_slots;
	estimate->is_full = has_long_times(own) || spillover->level >= 1;
	estimate->time_ms = expected_time_ms(spillover, own, spillover->level);
}

/* Level of the own zone and of those candidates that are below it together. */
static double level_equalize(const struct estimate *estimate, double load,
			     double slots)
{
	for (size_t i = 0; i < estimate->candidate_count; i++) {
		const struct candidate *candidate = &estimate->candidates[i];

		if (slots > 0 && candidate->level >= load / slots)
			break;
		load += candidate->load;
		slots += candidate->zone->usable_slots;
	}
	return slots > 0 ? load / slots : 0;
}

/* Spare slots of the candidates below @level; sets their parts. */
static double parts_set(struct spillover *spillover,
			const struct estimate *estimate, double level)
{
	double sum = 0;

	spillover->part_count = 0;
	for (size_t i = 0; i < estimate->candidate_count; i++) {
		const struct candidate *candidate = &estimate->candidates[i];
		double spare =
			level * candidate->zone->usable_slots - candidate->load;

		if (spare <= 0)
			continue;
		spillover->parts[spillover->part_count++] =
			(struct spillover_part){ candidate->zone->zone, spare };
		sum += spare;
	}
	return sum;
}

/* Part of the zone in the flows that leave, 0 to 1. */
static double part_find(const struct spillover *spillover, uint32_t zone)
{
	double part = 0;
	double sum = 0;

	for (size_t i = 0; i < spillover->part_count; i++) {
		sum += spillover->parts[i].part;
		if (spillover->parts[i].zone == zone)
			part = spillover->parts[i].part;
	}
	return sum > 0 ? part / sum : 0;
}

/*
 * All flows leave, so they are distributed, whatever the levels are. The parts
 * move a part of the way only, for the same reason as the share.
 */
static void parts_set_for_all(struct spillover *spillover,
			      const struct estimate *estimate,
			      const struct spillover *before)
{
	struct spillover now;
	double slots = 0;
	double load = estimate->own_load;

	for (size_t i = 0; i < estimate->candidate_count; i++)
		slots += estimate->candidates[i].zone->usable_slots;
	load = fmax(load, slots * LEVEL_ASSUMED);
	parts_set(spillover, estimate,
		  fmax(level_equalize(estimate, load, 0), SPILLOVER_LEVEL_MAX));
	if (before->reason != SPILLOVER_NO_HOSTS)
		return;
	now = *spillover;
	spillover->part_count = estimate->candidate_count;
	for (size_t i = 0; i < estimate->candidate_count; i++) {
		uint32_t zone = estimate->candidates[i].zone->zone;

		spillover->parts[i].zone = zone;
		spillover->parts[i].part =
			PARTS_STEP_PART * part_find(&now, zone) +
			(1 - PARTS_STEP_PART) * part_find(before, zone);
	}
}

static bool is_shorter(const struct spillover_input *input,
		       const struct estimate *estimate,
		       const struct spillover_zone *zone)
{
	double time_ms = zone->time_ms > 0 ? zone->time_ms : zone->unloaded_ms;
	double delay_ms = DELAY_DEFAULT_MS;

	if (zone->delay_ms > 0)
		delay_ms = fmax(0, zone->delay_ms - input->own.delay_ms);
	if (time_ms <= 0)
		time_ms = input->own.unloaded_ms;
	return estimate->time_ms > 0 &&
	       time_ms + delay_ms + input->gain_min_ms < estimate->time_ms;
}

/* Keeps the candidates that are less busy than the own zone and not full. */
static void candidates_keep_spare(const struct spillover *spillover,
				  struct estimate *estimate)
{
	double level = fmin(spillover->level, SPILLOVER_LEVEL_MAX);
	size_t kept = 0;

	for (size_t i = 0; i < estimate->candidate_count; i++) {
		if (estimate->candidates[i].level < level)
			estimate->candidates[kept++] = estimate->candidates[i];
	}
	estimate->candidate_count = kept;
}

/* Keeps the candidates where the response comes earlier. */
static void candidates_keep_shorter(const struct spillover_input *input,
				    struct estimate *estimate)
{
	size_t kept = 0;

	for (size_t i = 0; i < estimate->candidate_count; i++) {
		if (is_shorter(input, estimate, estimate->candidates[i].zone))
			estimate->candidates[kept++] = estimate->candidates[i];
	}
	estimate->candidate_count = kept;
}

/*
 * As much leaves as brings the zones to the same level, but the own zone not
 * below the level at which flows begin to leave, and no other zone above the
 * highest one. Other overloaded zones use the same spare capacity, so each
 * takes its share of it.
 */
static double target_compute(struct spillover *spillover,
			     const struct estimate *estimate)
{
	double common = level_equalize(estimate, estimate->own_load,
				       estimate->own_slots);
	double own_level = fmax(common, SPILLOVER_LEVEL_MIN);
	double excess =
		estimate->own_load - SPILLOVER_LEVEL_MIN * estimate->own_slots;
	double spare = parts_set(spillover, estimate,
				 fmin(own_level, SPILLOVER_LEVEL_MAX));
	double leaving = estimate->own_load - own_level * estimate->own_slots;
	double target;

	if (excess <= 0 || estimate->movable <= 0)
		return 0;
	leaving = fmin(fmax(leaving, 0), spare);
	leaving =
		fmin(leaving, spare * excess / (excess + estimate->competing));
	target = fmin(leaving / estimate->movable, 1);
	return target < SHARE_MIN ? 0 : target;
}

static enum spillover_reason decide(struct spillover *spillover,
				    const struct spillover_input *input,
				    struct estimate *estimate)
{
	const struct spillover before = *spillover;

	spillover->target = 0;
	parts_set(spillover, estimate, SPILLOVER_LEVEL_MAX);
	if (!input->is_on)
		return SPILLOVER_OFF;
	if (input->own.age_ms < 0)
		return SPILLOVER_NO_REPORTS;
	if (input->own.usable_slots <= 0) {
		parts_set_for_all(spillover, estimate, &before);
		return estimate->candidate_count > 0 ? SPILLOVER_NO_HOSTS
						     : SPILLOVER_NO_REPORTS;
	}
	if (spillover->level < SPILLOVER_LEVEL_MIN)
		return SPILLOVER_ROOM;
	if (estimate->candidate_count == 0)
		return SPILLOVER_NO_REPORTS;
	candidates_keep_spare(spillover, estimate);
	if (estimate->candidate_count == 0)
		return SPILLOVER_OTHERS_FULL;
	if (!estimate->is_full)
		candidates_keep_shorter(input, estimate);
	if (estimate->candidate_count == 0)
		return SPILLOVER_NO_GAIN;
	spillover->target = target_compute(spillover, estimate);
	if (spillover->target == 0)
		return SPILLOVER_ROOM;
	return estimate->is_full ? SPILLOVER_FULL : SPILLOVER_SHORTER;
}

bool spillover_step(struct spillover *spillover,
		    const struct spillover_input *input)
{
	struct estimate estimate;
	double change;

	if (spillover->stepped_ns != 0 &&
	    input->now_ns - spillover->stepped_ns < STEP_INTERVAL_NS)
		return false;
	estimate_make(spillover, input, &estimate);
	spillover->reason = decide(spillover, input, &estimate);
	if (!input->is_on)
		spillover->part_count = 0;
	change = spillover->target - spillover->share;
	if (change > 0)
		change *= STEP_PART;
	spillover->share += fmax(fmin(change, STEP_UP), -STEP_DOWN);
	if (spillover->share < SHARE_MIN || !input->is_on)
		spillover->share = 0;
	spillover->stepped_ns = input->now_ns;
	return true;
}

uint32_t spillover_zone_at(const struct spillover *spillover, double point)
{
	double sum = 0;

	for (size_t i = 0; i < spillover->part_count; i++)
		sum += spillover->parts[i].part;
	point *= sum;
	for (size_t i = 0; i < spillover->part_count; i++) {
		point -= spillover->parts[i].part;
		if (point < 0)
			return spillover->parts[i].zone;
	}
	return 0;
}
