#ifndef PARSLEYLADDER_STEERING_ZONE_LOAD_H
#define PARSLEYLADDER_STEERING_ZONE_LOAD_H

/**
 * Load of the hosts of each service in each availability zone. A balancer
 * observes the requests of its own flows: their rate, and the time until those
 * responses that callers acknowledge before their next request. The number of
 * busy slots is the rate times the mean time at the host (Little's law).
 *
 * The leader of a zone adds up what its followers observe, and exchanges these
 * sums with the leaders of the other zones. The totals of both are what
 * decisions are based on. Nothing is sent here; the clock is passed in.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/name.h"
#include "steering/host_table.h"
#include "steering/rtt_estimate.h"

/** Maximum number of zones with hosts of one service; others are ignored. */
#define ZONE_LOAD_ZONES_MAX 8
/** Maximum number of entries in one message. */
#define ZONE_LOAD_ENTRIES_MAX 16
/** Reported loads that are older are not used. */
#define ZONE_LOAD_AGE_MAX_NS (2 * NS_PER_S)
/** Busy slots are reported in parts of a slot. */
#define ZONE_LOAD_SLOT_PARTS 16

/** Reported load of the hosts of a service in a zone. */
struct zone_load_entry {
	uint32_t zone; /* hash of its name */
	uint32_t service; /* hash of its name; 0: only names the leader */
	uint32_t leader; /* of the zone, IPv4; 0 for none */
	uint32_t busy_parts; /* busy slots times ZONE_LOAD_SLOT_PARTS */
	uint32_t own_parts; /* the part placed by the sender's zone */
	uint16_t usable_slots; /* 0 if not known to the sender */
	uint16_t time_ms; /* mean at the host; 0 if not known */
	uint16_t unloaded_ms; /* lowest recent mean; 0 if not known */
	uint16_t age_ms;
};

/** Decaying averages of the requests that this balancer observes. */
struct load_average {
	double requests; /* begun, decayed */
	double responses; /* measured, decayed */
	double response_ns; /* sum of their times at the host, decayed */
	int64_t updated_ns;
	int64_t mean_ns; /* of the last responses; 0 for none */
	int64_t responded_ns;
};

/**
 * Lowest mean time of recent blocks of responses, an estimate of the time that
 * a request takes without a queue.
 */
struct load_floor {
	double weight; /* responses in the current block */
	double sum_ns;
	int64_t epoch_ns;
	int64_t current_ns; /* lowest of this epoch; 0 for none */
	int64_t previous_ns; /* lowest of the epoch before */
};

/** What the leader of a zone last reported. */
struct zone_contribution {
	uint32_t source; /* hash of the zone whose balancers placed the load */
	double busy_slots;
	int64_t measured_ns;
};

/** Load of the hosts of one service in one zone. */
struct zone_load {
	uint32_t zone;
	char name[NAME_BYTES_MAX + 1];

	/* Observed by this balancer. */
	struct load_average observed;
	struct load_floor floor;
	double slots; /* of its usable hosts, as this balancer sees them */

	/* Of the own zone's balancers; summed up by a leader. */
	double sum_busy_slots;
	double sum_rate; /* requests per second */

	/* Reported by leaders of other zones; used by a leader. */
	struct zone_contribution contributions[ZONE_LOAD_ZONES_MAX];
	size_t contribution_count;
	struct zone_load_entry reported; /* by the leader of this zone */
	int64_t reported_ns; /* when it was measured; 0 for never */

	/* Totals of all zones. */
	double usable_slots;
	double busy_slots;
	double own_busy_slots; /* placed by balancers of the own zone */
	double time_ms; /* mean at the host; 0 if not known */
	double unloaded_ms; /* lowest recent mean; 0 if not known */
	uint32_t leader;
	int64_t measured_ns; /* 0 for never */
};

struct service_load {
	uint32_t hash;
	char name[NAME_BYTES_MAX + 1];
	struct zone_load zones[ZONE_LOAD_ZONES_MAX];
	size_t zone_count;
	bool has_hosts; /* during a refresh */
	int64_t totals_ns; /* when the totals were last updated; 0 for never */
	/* Followers are sent the totals until then. */
	int64_t publish_until_ns;
};

/** Load of a service over all zones. */
struct service_load_sum {
	double busy_slots;
	double usable_slots;
	double lowest_level; /* of a zone: its busy over its usable slots */
	/* Weighted by the busy slots of the zones; 0 if not known. */
	double time_ms; /* mean at the host */
	double unloaded_ms; /* lowest recent mean */
	uint32_t zone_count; /* with a total that is recent enough */
	int64_t age_ms; /* of the oldest of them */
};

struct zone_loads;

/** @zone is the one of this balancer. */
struct zone_loads *zone_loads_create(const char *zone);
void zone_loads_destroy(struct zone_loads *loads);
/** Hash of the name of a zone or of a service; never 0. */
uint32_t zone_load_hash(const char *name);

/** A request to @host began. */
void zone_loads_record_request(struct zone_loads *loads,
			       const struct known_host *host, int64_t now_ns);
/** A caller waited @wait_ns for the response of @host. */
void zone_loads_record_response(struct zone_loads *loads,
				const struct known_host *host, int64_t wait_ns,
				int64_t now_ns);
/** A handshake with @host took @time_ns. */
void zone_loads_record_handshake(struct zone_loads *loads,
				 const struct known_host *host,
				 int64_t time_ns);
/** Smoothed handshake with hosts of the zone; 0 if it is not known. */
int64_t zone_loads_handshake_ns(const struct zone_loads *loads, uint32_t zone);
/** Counts the usable slots again if that was not done recently. */
void zone_loads_refresh(struct zone_loads *loads, struct host_table *hosts,
			int64_t now_ns);

/** Hash to struct service_load. */
GHashTable *zone_loads_services(struct zone_loads *loads);
/** Returns NULL if the service has no hosts. */
struct service_load *zone_loads_find(const struct zone_loads *loads,
				     const char *service);
/** Returns NULL if the service has no hosts in the zone. */
struct zone_load *service_load_find(struct service_load *service,
				    uint32_t zone);
uint32_t zone_loads_own_zone(const struct zone_loads *loads);
/** True if the totals of the zone are recent enough to be used. */
bool zone_load_is_fresh(const struct zone_load *load, int64_t now_ns);
/**
 * Slots of the own zone's hosts that would be busy if no flow had left the
 * zone, relative to its usable slots; 0 if nothing is known.
 */
double zone_loads_own_level(const struct zone_loads *loads,
			    const struct service_load *service);
/** Load of a service over all zones; false if no total is recent enough. */
bool zone_loads_service_sum(const struct zone_loads *loads, const char *service,
			    int64_t now_ns, struct service_load_sum *sum);

/** What a follower reports; returns the number of entries. */
size_t zone_loads_observed(const struct zone_loads *loads, int64_t now_ns,
			   struct zone_load_entry *entries, size_t max);
/** Entries of the follower at @address replace its earlier ones. */
void zone_loads_set_follower(struct zone_loads *loads, uint32_t address,
			     const struct zone_load_entry *entries,
			     size_t count, int64_t now_ns);
/** Entries of the leader of the zone @source. */
void zone_loads_set_zone(struct zone_loads *loads, uint32_t source,
			 const struct zone_load_entry *entries, size_t count,
			 int64_t now_ns);
/** Leader at @address: computes the sums of its zone and the totals. */
void zone_loads_sum(struct zone_loads *loads, uint32_t address, int64_t now_ns);
/** What a leader reports to leaders of other zones. */
size_t zone_loads_sums(const struct zone_loads *loads, int64_t now_ns,
		       struct zone_load_entry *entries, size_t max);
/** What a leader sends to its followers: services with a busy own zone. */
size_t zone_loads_totals(const struct zone_loads *loads, int64_t now_ns,
			 struct zone_load_entry *entries, size_t max);
/** Entries of the leader that this balancer follows. */
void zone_loads_set_totals(struct zone_loads *loads,
			   const struct zone_load_entry *entries, size_t count,
			   int64_t now_ns);

#endif
