#include "steering/choose.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "common/clock.h"

/* A host in its slow start takes about 1.6 times as long for a request. */
#define SLOW_START_WEIGHT 0.6
/*
 * A zone takes all its flows while it has 1 / 1.4 of its capacity, and hands
 * over the share that it lacks below that.
 */
#define OVERPROVISIONING 1.4
/* How long the slots of an ended host count as lost capacity of its zone. */
#define LOST_CAPACITY_NS (10 * NS_PER_S)

static const char *const reason_names[CHOICE_REASONS] = {
	[CHOICE_LOCAL] = "local",     [CHOICE_FAILOVER] = "failover",
	[CHOICE_REMOTE] = "remote",   [CHOICE_TRIAL] = "trial",
	[CHOICE_DOUBTED] = "doubted", [CHOICE_LAST_RESORT] = "last_resort",
	[CHOICE_NONE] = "no_host",
};

/** Least loaded host of one class; equal ones are drawn at random. */
struct candidate {
	struct known_host *host;
	double load;
	uint32_t equal_count;
};

struct search {
	const struct choice_request *request;
	struct candidate local;
	struct candidate remote;
	struct candidate doubted;
	struct candidate silent;
	struct known_host *trial;
	double usable_slots; /* of the own zone */
	double nominal_slots;
};

const char *choice_reason_name(enum choice_reason reason)
{
	return reason_names[reason];
}

static double host_weight(const struct known_host *host, int64_t now_ns)
{
	double slots = MAX(host->published.slots, 1);

	return now_ns < host->warm_ns ? slots * SLOW_START_WEIGHT : slots;
}

static void candidate_offer(struct candidate *candidate,
			    const struct choice_request *request,
			    struct known_host *host)
{
	double load = (host->open_flows + host->peer_flows + 1) /
		      host_weight(host, request->now_ns);

	if (candidate->host && load > candidate->load)
		return;
	if (!candidate->host || load < candidate->load)
		candidate->equal_count = 0;
	candidate->equal_count++;
	if (candidate->equal_count > 1 &&
	    g_rand_int_range(request->random, 0,
			     (gint32)candidate->equal_count) != 0)
		return;
	candidate->host = host;
	candidate->load = load;
}

static bool is_accepting(const struct known_host *host)
{
	return !host->is_gone && !host->is_token_shared &&
	       !host->published.is_draining;
}

static void host_consider(struct search *search, struct known_host *host)
{
	const struct choice_request *request = search->request;
	bool is_local = request->is_any_zone ||
			strcmp(host->published.zone, request->zone) == 0;
	bool is_lost = host->is_gone &&
		       request->now_ns - host->gone_since_ns > LOST_CAPACITY_NS;

	if (is_local && !is_lost)
		search->nominal_slots += host->published.slots;
	if (!is_accepting(host))
		return;
	if (evidence_is_silent(&host->evidence)) {
		if (evidence_is_trial_due(&host->evidence, request->now_ns) &&
		    host != request->avoided)
			search->trial = host;
		candidate_offer(&search->silent, request, host);
		return;
	}
	if (evidence_is_doubted(&host->evidence) || host->evidence.is_slow ||
	    host == request->avoided) {
		candidate_offer(&search->doubted, request, host);
		return;
	}
	candidate_offer(is_local ? &search->local : &search->remote, request,
			host);
	if (is_local)
		search->usable_slots += host->published.slots;
}

static bool is_failover_drawn(const struct search *search)
{
	double served = search->usable_slots * OVERPROVISIONING;

	if (!search->remote.host || served >= search->nominal_slots)
		return false;
	return g_rand_double(search->request->random) * search->nominal_slots >=
	       served;
}

static void choice_set(struct choice *choice, struct known_host *host,
		       enum choice_reason reason)
{
	choice->host = host;
	choice->reason = reason;
}

void placement_choose(const struct choice_request *request,
		      struct choice *choice)
{
	struct search search = { .request = request };

	choice_set(choice, NULL, CHOICE_NONE);
	for (guint i = 0; request->hosts && i < request->hosts->len; i++)
		host_consider(&search, g_ptr_array_index(request->hosts, i));
	/* A copy of an opening packet is no packet to try a host with. */
	if (search.trial && !request->avoided) {
		evidence_try(&search.trial->evidence, request->now_ns);
		choice_set(choice, search.trial, CHOICE_TRIAL);
	} else if (search.local.host && !is_failover_drawn(&search)) {
		choice_set(choice, search.local.host, CHOICE_LOCAL);
	} else if (search.remote.host) {
		choice_set(choice, search.remote.host,
			   search.local.host ? CHOICE_FAILOVER : CHOICE_REMOTE);
	} else if (search.doubted.host) {
		choice_set(choice, search.doubted.host, CHOICE_DOUBTED);
	} else if (search.silent.host) {
		choice_set(choice, search.silent.host, CHOICE_LAST_RESORT);
	}
}
