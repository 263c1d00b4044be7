#ifndef PARSLEYLADDER_STEERING_RESPONSE_SIZE_H
#define PARSLEYLADDER_STEERING_RESPONSE_SIZE_H

/**
 * Finds hosts that fail fast: a host that returns errors within a millisecond
 * looks idle and attracts flows. Its responses are much shorter than those of
 * its peers to the same routes. A failing host gets no new flows while others
 * can take them, except for trials; its open flows stay.
 *
 * The share of short responses of a host is compared with that of the hosts of
 * its service, by the responses that this balancer saw and those that others
 * report. The leader of the zone, which has the reports of all balancers, sends
 * its marks to the others.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "packet/packet.h"
#include "steering/host_table.h"
#include "steering/response_window.h"

/** Maximum number of responses in one report about a host. */
#define RESPONSE_SIZE_REPORT_MAX 1000

enum response_size_counter {
	RESPONSE_SIZE_RESPONSES, /* of own flows that count */
	RESPONSE_SIZE_SHORT,
	RESPONSE_SIZE_SKIPPED, /* the typical length is not known yet */
	RESPONSE_SIZE_REPORTS, /* about a host, from other balancers */
	RESPONSE_SIZE_RECEIVED, /* marks that the leader set or removed */
	RESPONSE_SIZE_MARKED, /* by the samples of this balancer */
	RESPONSE_SIZE_RECOVERED,
	RESPONSE_SIZE_RELEASED, /* too many hosts of the service failed */
	RESPONSE_SIZE_TRIALS, /* flows */
	RESPONSE_SIZE_COUNTERS,
};

extern const char *const response_size_counter_names[RESPONSE_SIZE_COUNTERS];

/** What is known of the responses of one host. */
struct response_size {
	struct response_window window;
	int64_t sampled_ns; /* last sample; 0 for none */
	/* Seen by this balancer, or to be passed on, and not reported yet. */
	uint32_t pending_responses;
	uint32_t pending_shorts;

	int64_t marked_ns; /* by the samples known here, 0 while not failing */
	struct response_count marked; /* responses that led to the mark */
	double peer_share; /* at that time */
	double recovery; /* evidence that a marked host has recovered */
	bool is_received; /* the leader has marked it */
	int64_t received_ns; /* last word of the leader, 0 for never */
	bool is_told; /* to the followers: the mark that they know */
	int64_t trial_ns; /* a marked host may get one new flow from then on */
};

/** Responses of one host that one balancer reports. */
struct response_size_report {
	uint16_t responses;
	uint16_t shorts;
};

struct response_sizes;

struct response_sizes_options {
	/** The is_failing mark of the host changed; NULL for none. */
	void (*on_changed)(void *context, struct known_host *host);
	void *context;
};

/** Disabled at first. */
struct response_sizes *
response_sizes_create(const struct response_sizes_options *options);
/** Accepts NULL. */
void response_sizes_destroy(struct response_sizes *sizes);
/** No host is marked while disabled. @hosts: id to struct known_host. */
void response_sizes_set_enabled(struct response_sizes *sizes, bool is_enabled,
				GHashTable *hosts);
bool response_sizes_is_enabled(const struct response_sizes *sizes);
/** A caller of @flow has acknowledged a whole response of the host. */
void response_sizes_record(struct response_sizes *sizes,
			   struct known_host *host, const struct flow_key *flow,
			   uint32_t length_bytes, int64_t now_ns);
/**
 * Marks and unmarks hosts, at most every 250 ms. @services: name to GPtrArray of
 * struct known_host.
 */
void response_sizes_update(struct response_sizes *sizes, GHashTable *services,
			   int64_t now_ns);
/** Takes the samples that were not reported; false if there are none. */
bool response_size_report_take(struct known_host *host,
			       struct response_size_report *report);
/** Adds samples of another balancer; to be reported on if @is_relayed. */
void response_sizes_merge(struct response_sizes *sizes, struct known_host *host,
			  const struct response_size_report *report,
			  bool is_relayed, int64_t now_ns);
/** The leader has told whether the host fails. */
void response_sizes_receive(struct response_sizes *sizes,
			    struct known_host *host, bool is_failing,
			    int64_t now_ns);
/** True if a failing host may get one new flow now. */
bool response_size_is_trial_due(const struct known_host *host, int64_t now_ns);
/** A failing host gets a new flow to find out whether it has recovered. */
void response_size_begin_trial(struct known_host *host, int64_t now_ns);
/** The host restarted or is freed: drops its samples and its mark. */
void response_size_clear(struct known_host *host);
/** Counts a flow that was placed as a trial of a failing host. */
void response_sizes_count_trial(struct response_sizes *sizes);
const uint64_t *response_sizes_counters(const struct response_sizes *sizes);

#endif
