#include <glib.h>

#include "packet/transport.h"
#include "steering/slowness.h"
#include "steering_state.h"

/*
 * After an outage of the store, a removed host may be published again two
 * seconds after the store has recovered. Its open flows go on meanwhile.
 */
#define REMOVED_GRACE_NS (2 * NS_PER_S)
/* Waiting for the processor may take this long at a host or a balancer. */
#define HANDSHAKE_LIMIT_MIN_NS (20 * NS_PER_MS)
void monitor_progress(struct steering *steering, struct known_host *host,
		      int64_t now_ns)
{
	steering->progress_ns = now_ns;
	if (!health_record_progress(&host->health, now_ns))
		return;
	steering->silence_changes++;
	steering->options.on_host_silence_changed(steering->options.context,
						  host, false);
}

/*
 * The host gets no new flows, but its open flows go on: it may be slow, or its
 * packets may be late. Probes tell whether it is down.
 */
void monitor_retransmission(struct steering *steering, struct known_host *host,
			    int64_t now_ns)
{
	if (health_record_retransmission(&host->health, now_ns))
		ejection_report(steering, host);
	probe_consider(steering, host, now_ns);
}

bool monitor_host_is_dead(const struct known_host *host, int64_t now_ns)
{
	return host->is_removed &&
	       now_ns - host->removed_since_ns > REMOVED_GRACE_NS &&
	       now_ns - host->health.progress_ns > REMOVED_GRACE_NS;
}

/*
 * A handshake that takes longer than this is overdue. Without measurements, and
 * at the latest, it is when the caller sends a copy of its opening packet.
 */
static int64_t handshake_limit_ns(const struct steering *steering)
{
	int64_t limit_ns = rtt_estimate_limit_ns(&steering->handshake);

	if (limit_ns == 0)
		return TRANSPORT_RETRANSMISSION_NS;
	return CLAMP(limit_ns, HANDSHAKE_LIMIT_MIN_NS,
		     TRANSPORT_RETRANSMISSION_NS);
}

void monitor_handshake(struct steering *steering,
		       const struct cached_flow *flow, int64_t now_ns)
{
	/* Which of several copies the host accepted is not known. */
	if (flow->has_copies)
		return;
	rtt_estimate_add(&steering->handshake, now_ns - flow->first_packet_ns);
	zone_loads_record_handshake(steering->zone_loads, flow->host,
				    now_ns - flow->first_packet_ns);
	path_record_response(&steering->path, flow->first_packet_ns, now_ns);
}

/*
 * A host at its limit of flows ignores opening packets and serves those that it
 * has, so this only makes it suspect; the probe tells whether it is down.
 */
void monitor_ignored_opening(struct steering *steering, struct known_host *host,
			     int64_t now_ns)
{
	host->health.is_handshake_overdue = true;
	probe_consider(steering, host, now_ns);
}

/*
 * Probes hosts whose handshakes are overdue. A crashed host answers an opening
 * packet with a reset, which only the caller sees; the caller retries at once,
 * perhaps through another balancer.
 */
void monitor_overdue_handshakes(struct steering *steering, int64_t now_ns)
{
	int64_t before_ns = now_ns - handshake_limit_ns(steering);
	struct cached_flow *flow;

	while ((flow = flow_cache_take_overdue(steering->flows, before_ns))) {
		if (!flow->host)
			continue;
		monitor_ignored_opening(steering, flow->host, now_ns);
	}
}

/* Resets the flows of removed hosts after their grace period. */
void monitor_dead_hosts(struct steering *steering, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	if (!steering->is_up_to_date ||
	    now_ns - steering->up_to_date_since_ns < REMOVED_GRACE_NS)
		return;
	g_hash_table_iter_init(&iterator, host_table_all(steering->hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		/* A drained host may serve for seconds after its removal. */
		if (host->flows.length > 0 && !host->published.is_draining &&
		    monitor_host_is_dead(host, now_ns))
			host_flows_reset(steering, host, STEERING_HOST_REMOVED);
	}
}

static void slowness_notify(void *context, struct known_host *host)
{
	struct steering *steering = context;

	steering->options.on_host_slowness_changed(steering->options.context,
						   host);
}

void monitor_slow_hosts(struct steering *steering, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_services(steering->hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		slow_hosts_mark(value, now_ns, slowness_notify, steering);
}
