#include <glib.h>

#include "steering_state.h"

/*
 * A draining host may stop listening before it ends. A host of a drained zone
 * gets no new flow, so only its open flows give a reason to probe it.
 */
static bool is_probed(const struct steering *steering,
		      const struct known_host *host)
{
	return steering->options.probe && !host->is_removed &&
	       host_is_routed(host) && !host->published.is_draining &&
	       (!host->is_zone_drained || host->open_flows > 0);
}

static void probe_start(struct steering *steering, struct known_host *host,
			int64_t now_ns)
{
	if (!token_bucket_take(&steering->probe_limit, now_ns, 1))
		return;
	health_probe_begin(&host->health, now_ns);
	steering->options.probe(steering->options.context, host);
}

/*
 * A host that was removed without draining is probed for callers only: it may
 * have ended just now, and they would wait until its grace period is over.
 */
static bool is_probed_for_callers(const struct steering *steering,
				  const struct known_host *host)
{
	return steering->options.probe && host->is_removed &&
	       host_is_routed(host) && !host->published.is_draining &&
	       health_has_new_waiting_caller(&host->health);
}

void probe_consider(struct steering *steering, struct known_host *host,
		    int64_t now_ns)
{
	if ((is_probed(steering, host) ||
	     is_probed_for_callers(steering, host)) &&
	    health_needs_probe(&host->health, now_ns))
		probe_start(steering, host, now_ns);
}

void monitor_probes(struct steering *steering, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(steering->hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		probe_consider(steering, host, now_ns);
	}
}

static bool is_control(const struct steering *steering,
		       const struct known_host *host)
{
	const struct host_health *health = &host->health;

	return is_probed(steering, host) && !health->is_probing &&
	       health->probe_timeouts == 0 && !health_is_silent(health) &&
	       !health_is_suspect(health);
}

/*
 * Probes another host, the one that responded last, to find out whether the
 * path to the hosts is open.
 */
static void control_probe_start(struct steering *steering, int64_t now_ns)
{
	struct known_host *control = NULL;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(steering->hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (is_control(steering, host) &&
		    (!control ||
		     host->health.progress_ns > control->health.progress_ns))
			control = host;
	}
	if (control)
		probe_start(steering, control, now_ns);
}

bool probe_check_path(struct steering *steering, int64_t since_ns)
{
	if (path_is_open(&steering->path, since_ns))
		return true;
	control_probe_start(steering, steering_now(steering));
	return false;
}

/* True if the address of a host that has ended was assigned to @other. */
static bool has_taken_address(const struct known_host *other,
			      const struct known_host *host)
{
	const struct host_announcement *own = &host->published;
	const struct host_announcement *published = &other->published;

	return !other->is_removed && host_is_routed(other) &&
	       published->port == own->port &&
	       ip_address_equal(&published->address, &own->address) &&
	       published->started_ms > own->started_ms &&
	       store_position_is_before(own->position, published->position);
}

/* Returns NULL if the host still has its address. */
static const struct known_host *
address_successor_find(const struct steering *steering,
		       const struct known_host *host)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(steering->hosts));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (has_taken_address(value, host))
			return value;
	}
	return NULL;
}

static void host_handle_down(struct steering *steering, struct known_host *host,
			     enum probe_result result, bool was_down)
{
	if (!was_down)
		steering->options.on_host_down(steering->options.context, host,
					       result);
	/* An isolated balancer cannot judge the health of its hosts. */
	if (!steering_is_isolated(steering))
		host_flows_reset(steering, host, STEERING_HOST_SILENT);
}

/* What the result of a probe says of the host that was probed. */
static enum probe_result result_interpret(const struct steering *steering,
					  const struct known_host *host,
					  enum probe_result result)
{
	const struct known_host *successor;

	if (result != PROBE_RESULT_UP && result != PROBE_RESULT_FULL)
		return result;
	successor = address_successor_find(steering, host);
	if (!successor)
		return result;
	steering->options.on_address_reassigned(steering->options.context, host,
						successor);
	return PROBE_RESULT_DOWN;
}

/* Start of the first of the probes that timed out in a row, with this one. */
static int64_t unanswered_since_ns(const struct host_health *health)
{
	return health->probe_timeouts > 0 ? health->unanswered_since_ns
					  : health->probed_ns;
}

/*
 * While a host is down, probes time out for long; that the path was open before
 * the last ones says nothing about them.
 */
static bool is_path_open(struct steering *steering,
			 const struct host_health *health, int64_t now_ns)
{
	return probe_check_path(steering, MAX(unanswered_since_ns(health),
					      now_ns - HEALTH_DOWN_AGE_MAX_NS));
}

void steering_probe_end(struct steering *steering, const char *id,
			enum probe_result result)
{
	struct known_host *host = host_table_find(steering->hosts, id);
	int64_t now_ns = steering_now(steering);
	struct host_health *health;
	bool has_path = false;
	bool was_silent;
	bool was_down;
	bool is_down;

	if (!host)
		return;
	health = &host->health;
	was_silent = health_is_silent(health);
	was_down = health->down_ns != 0;
	if (result != PROBE_RESULT_TIMEOUT && result != PROBE_RESULT_NONE)
		path_record_response(&steering->path, health->probed_ns,
				     now_ns);
	if (result == PROBE_RESULT_TIMEOUT)
		has_path = is_path_open(steering, health, now_ns);
	result = result_interpret(steering, host, result);
	is_down = health_probe_end(health, result, has_path, now_ns);
	if (!was_silent && health_is_silent(health))
		ejection_report(steering, host);
	if (is_down)
		host_handle_down(steering, host, result, was_down);
}
