#include <glib.h>

#include "steering_state.h"

/* Isolated: at least so many hosts are silent, and no host responds. */
#define ISOLATION_HOSTS_MIN 3
/*
 * The fabric may have moved a flow that was idle for longer to another
 * balancer, which can judge its host better. So it is dropped from the cache,
 * not reset.
 */
#define RESET_PACKET_AGE_NS (5 * NS_PER_S)

static void flow_reset(struct steering *steering, struct cached_flow *flow,
		       enum steering_reason reason)
{
	steering->reason_counts[reason]++;
	steering->options.reset(steering->options.context, flow, reason);
	flow_cache_remove(steering->flows, flow);
}

void host_flows_reset(struct steering *steering, struct known_host *host,
		      enum steering_reason reason)
{
	int64_t recent_ns = steering_now(steering) - RESET_PACKET_AGE_NS;
	GList *link = host->flows.head;

	while (link) {
		struct cached_flow *flow = link->data;

		link = link->next;
		if (flow->state != FLOW_OPEN)
			continue;
		if (flow->last_packet_ns >= recent_ns)
			flow_reset(steering, flow, reason);
		else
			flow_cache_remove(steering->flows, flow);
	}
}

void ejection_report(struct steering *steering, struct known_host *host)
{
	steering->silence_changes++;
	steering->options.on_host_silence_changed(steering->options.context,
						  host, true);
}

bool steering_is_isolated(const struct steering *steering)
{
	GHashTableIter iterator;
	uint32_t silent = 0;
	gpointer value;

	if (steering_now(steering) - steering->progress_ns < HEALTH_SILENCE_NS)
		return false;
	g_hash_table_iter_init(&iterator, host_table_all(steering->hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;

		silent += host_is_routed(host) &&
			  health_is_silent(&host->health);
	}
	return silent >= ISOLATION_HOSTS_MIN;
}
