#ifndef PARSLEYLADDER_STEERING_HOST_SPEEDS_H
#define PARSLEYLADDER_STEERING_HOST_SPEEDS_H

/**
 * Finds out how fast the hosts of a service are relative to each other, by the
 * response times that this balancer measures and those that others report. The
 * weight of a host is its slots times its speed, so that hosts of different
 * speeds are equally busy.
 *
 * Hosts of one service and one zone are compared with their median. The part of
 * a difference that is due to their different numbers of open flows does not
 * count, so a queue at a host is not taken for slowness, and a host does not look
 * faster because it gets fewer flows.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "steering/host_speed.h"
#include "steering/host_table.h"
#include "steering/response_baseline.h"

/** A speed that differs by less than this from 1 counts as 1 for others. */
#define HOST_SPEED_DIFFERENCE_MIN 0.1
/** Maximum number of samples in one report about a host. */
#define HOST_SPEED_REPORT_SAMPLES_MAX 1000

enum host_speed_counter {
	HOST_SPEED_SAMPLES, /* response times of own flows that count */
	HOST_SPEED_SAMPLES_SKIPPED, /* not comparable, or in slow start */
	HOST_SPEED_REPORTS, /* about a host, from other balancers */
	HOST_SPEED_RECEIVED, /* speeds of the leader that differ from 1 */
	HOST_SPEED_CHANGED_SUDDENLY, /* older samples were dropped */
	HOST_SPEED_LOWERED, /* notified changes, by direction */
	HOST_SPEED_RAISED,
	HOST_SPEED_EQUALIZED, /* to about 1 */
	HOST_SPEED_COUNTERS,
};

extern const char *const host_speed_counter_names[HOST_SPEED_COUNTERS];

/** Samples of one host that one balancer reports. */
struct host_speed_report {
	uint32_t token;
	uint16_t samples;
	uint16_t time_permille; /* mean time relative to the expected one */
};

/** A measured response time. */
struct host_response {
	struct response_kind kind; /* the zone is filled in */
	int64_t wait_ns; /* of the caller */
	int64_t network_ns; /* part of the wait that is due to the network */
};

struct host_speeds;

struct host_speeds_options {
	/** The speed of a host changed by a tenth or more; NULL for none. */
	void (*on_changed)(void *context, const struct known_host *host);
	void *context;
};

/** Disabled at first. */
struct host_speeds *
host_speeds_create(const struct host_speeds_options *options);
/** Accepts NULL. */
void host_speeds_destroy(struct host_speeds *speeds);
/** Hosts have no speeds while disabled. @hosts: id to struct known_host. */
void host_speeds_set_enabled(struct host_speeds *speeds, bool is_enabled,
			     GHashTable *hosts);
bool host_speeds_is_enabled(const struct host_speeds *speeds);
/** A caller got a response from the host. */
void host_speeds_record(struct host_speeds *speeds, struct known_host *host,
			const struct host_response *response, int64_t now_ns);
/**
 * Evaluates the speeds of all hosts, at most every 500 ms. @services: name to
 * GPtrArray of struct known_host.
 */
void host_speeds_update(struct host_speeds *speeds, GHashTable *services,
			int64_t now_ns);
/** Takes the samples that were not reported; false if there are none. */
bool host_speed_report_take(struct known_host *host,
			    struct host_speed_report *report);
/** Adds samples of another balancer; to be reported on if @is_relayed. */
void host_speeds_merge(struct host_speeds *speeds, struct known_host *host,
		       const struct host_speed_report *report, bool is_relayed,
		       int64_t now_ns);
/** The leader has told the speed of the host, 1000 for one like its peers. */
void host_speeds_receive(struct host_speeds *speeds, struct known_host *host,
			 uint16_t speed_permille, int64_t now_ns);
/** Speed in force, 1000 for a host like its peers. */
uint16_t host_speed_permille(const struct known_host *host);
/** True if the speed in force differs noticeably from that of the peers. */
bool host_speed_is_unequal(const struct known_host *host);
const uint64_t *host_speeds_counters(const struct host_speeds *speeds);

#endif
