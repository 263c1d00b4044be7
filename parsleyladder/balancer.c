#include "parsleyladder/balancer.h"

#include <glib-unix.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <xxhash.h>

#include "balancer_private.h"
#include "common/log.h"

/* Without a packet for this long, the fabric has stopped sending here. */
#define FABRIC_IDLE_NS (1 * NS_PER_S)
/* The process was paused if its main loop did not run for this long. */
#define PAUSE_MIN_NS (1 * NS_PER_S)
/*
 * Packets are dropped for this long after a pause; a full receive buffer is
 * emptied in a few milliseconds.
 */
#define RESUME_DISCARD_NS (50 * NS_PER_MS)
/* The replica counts as up to date for this long after a confirmation. */
#define UP_TO_DATE_NS (4 * NS_PER_S)
/*
 * Besides on SIGHUP, the settings file is checked for changes after this many
 * ticks.
 */
#define SETTINGS_CHECK_TICKS 20
#define TICKS_PER_S (1000 / STEERING_TICK_MS)

static void flow_reset(void *context, const struct cached_flow *flow,
		       enum steering_reason reason)
{
	struct balancer *balancer = context;

	forwarder_reset(balancer->forwarder, &flow->key, flow->acknowledged);
	flow_log_reset(balancer, flow, reason);
}

static void token_lookup(void *context, uint32_t token)
{
	struct balancer *balancer = context;

	sharing_lookup_token(balancer->sharing, token);
	edge_flush(balancer->sharing_edge);
}

/*
 * Detects that the process was paused; returns false if received packets are to
 * be dropped. Packets that were queued in the socket during a pause are stale:
 * callers have retransmitted them, and the replica is out of date too.
 */
static bool pause_detect(void *context)
{
	struct balancer *balancer = context;
	int64_t now_ns = clock_now_ns(balancer->clock);
	int64_t gap_ns = now_ns - balancer->last_iteration_ns;

	if (gap_ns > PAUSE_MIN_NS) {
		balancer->discard_until_ns = now_ns + RESUME_DISCARD_NS;
		steering_set_up_to_date(balancer->steering, false);
		sharing_handle_resume(balancer->sharing);
		log_event(LOG_LEVEL_WARNING, "pause_ended",
			  "paused_ms=%" PRId64, gap_ns / NS_PER_MS);
	}
	balancer->last_iteration_ns = now_ns;
	return now_ns >= balancer->discard_until_ns;
}

static bool is_ready(void *context)
{
	struct balancer *balancer = context;

	balancer_ready_update(balancer);
	return balancer->is_ready;
}

static bool shutdown_is_finished(const struct balancer *balancer)
{
	int64_t now_ns = clock_now_ns(balancer->clock);
	int64_t since_ns = now_ns - balancer->stopping_since_ns;

	if (since_ns >= balancer->settings->stop_deadline_ms * NS_PER_MS)
		return true;
	return since_ns >= FABRIC_IDLE_NS &&
	       now_ns - balancer->last_packet_ns >= FABRIC_IDLE_NS;
}

static void last_packet_update(struct balancer *balancer)
{
	uint64_t packets = forwarder_packets(balancer->forwarder);

	if (packets == balancer->last_packet_count)
		return;
	balancer->last_packet_count = packets;
	balancer->last_packet_ns = clock_now_ns(balancer->clock);
}

/* Applies the settings that can change at runtime; others need a restart. */
static void settings_apply(struct balancer *balancer,
			   const struct settings *settings)
{
	g_strfreev(balancer->settings->seeds);
	balancer->settings->seeds = g_strdupv(settings->seeds);
	balancer_seeds_set(balancer);
	g_strfreev(balancer->settings->availability_zones);
	balancer->settings->availability_zones =
		g_strdupv(settings->availability_zones);
	balancer->settings->decision_lines_per_s =
		settings->decision_lines_per_s;
	balancer->settings->stop_deadline_ms = settings->stop_deadline_ms;
	log_limits_init(balancer);
	steering_set_host_speed_weights(balancer->steering,
					settings->host_speed_weights);
	steering_set_failing_host_ejection(balancer->steering,
					   settings->failing_host_ejection);
	balancer_policies_set(balancer, settings);
	balancer_spillover_set(balancer, settings);
	balancer_slow_start_set(balancer, settings);
	steering_set_admission(balancer->steering,
			       settings->admission_by_priority);
}

static void settings_reload(struct balancer *balancer, const char *cause)
{
	struct error error = { 0 };
	struct settings *settings =
		settings_load(balancer->settings_path, &error);
	const struct settings *previous = balancer->file_settings;
	char *changed;

	if (!settings) {
		log_event(LOG_LEVEL_ERROR, "settings_refused",
			  "cause=%s reason=\"%s\"", cause, error.detail);
		return;
	}
	changed = settings_diff(previous ? previous : balancer->settings,
				settings);
	if (*changed != '\0') {
		log_event(LOG_LEVEL_INFO, "settings_reloaded",
			  "cause=%s changed=%s", cause, changed);
		settings_apply(balancer, settings);
		settings_destroy(balancer->file_settings);
		balancer->file_settings = settings;
	} else {
		settings_destroy(settings);
	}
	g_free(changed);
}

static void sharing_step(struct balancer *balancer)
{
	sharing_tick(balancer->sharing);
	edge_flush(balancer->sharing_edge);
	balancer_sync_check(balancer);
}

/* Faster than tick(): callers wait until the first listing is complete. */
static gboolean start_tick(gpointer context)
{
	struct balancer *balancer = context;

	sharing_step(balancer);
	if (!sharing_is_synced(balancer->sharing) ||
	    !sharing_knows_zone_drains(balancer->sharing))
		return G_SOURCE_CONTINUE;
	balancer->start_timer = 0;
	return G_SOURCE_REMOVE;
}

static gboolean tick(gpointer context)
{
	struct balancer *balancer = context;
	int64_t now_ns;

	pause_detect(balancer);
	now_ns = clock_now_ns(balancer->clock);
	steering_set_up_to_date(
		balancer->steering,
		balancer->replica_status.is_complete &&
			now_ns - balancer->replica_status.confirmed_ns <
				UP_TO_DATE_NS);
	steering_tick(balancer->steering);
	sharing_step(balancer);
	forwarder_flush(balancer->forwarder);
	last_packet_update(balancer);
	balancer_ready_update(balancer);
	if (balancer->ticks++ % TICKS_PER_S == 0)
		log_limits_report(balancer);
	if (balancer->ticks % SETTINGS_CHECK_TICKS == 0)
		settings_reload(balancer, "change");
	log_flush();
	if (balancer->is_stopping && shutdown_is_finished(balancer))
		g_main_loop_quit(balancer->loop);
	return G_SOURCE_CONTINUE;
}

static gboolean shutdown_begin(gpointer context)
{
	struct balancer *balancer = context;

	if (balancer->is_stopping)
		return G_SOURCE_CONTINUE;
	balancer->is_stopping = true;
	balancer->stopping_since_ns = clock_now_ns(balancer->clock);
	log_event(LOG_LEVEL_INFO, "balancer_leaving", "deadline_ms=%u",
		  balancer->settings->stop_deadline_ms);
	return G_SOURCE_CONTINUE;
}

static gboolean reload_requested(gpointer context)
{
	settings_reload(context, "signal");
	return G_SOURCE_CONTINUE;
}

static void steering_open(struct balancer *balancer)
{
	const struct steering_options options = {
		.clock = balancer->clock,
		.zone = balancer->settings->zone,
		.flows_max = balancer->settings->flows_max,
		.flow_age_max_s = balancer->settings->flow_age_max_s,
		.random_seed = balancer->random_seed,
		.reset = flow_reset,
		.probe = host_probe_start,
		.lookup_token = token_lookup,
		.on_host_deferred = host_log_deferred,
		.on_host_changed = host_log_changed,
		.on_host_ended = host_log_ended,
		.on_host_silence_changed = host_log_silence_changed,
		.on_host_down = host_log_down,
		.on_address_reassigned = host_log_reassigned,
		.on_host_slowness_changed = host_log_slowness_changed,
		.on_zone_drain_changed = balancer_drain_changed,
		.on_spillover_changed = spillover_log_changed,
		.on_host_speed_changed = host_log_speed_changed,
		.on_host_failing_changed = host_log_failing_changed,
		.find_rank = balancer_rank_find,
		.on_slow_start_limit_changed = host_log_slow_start,
		.on_admission_changed = admission_log_changed,
		.context = balancer,
	};

	balancer->steering = steering_create(&options);
	steering_set_host_speed_weights(balancer->steering,
					balancer->settings->host_speed_weights);
	steering_set_failing_host_ejection(
		balancer->steering, balancer->settings->failing_host_ejection);
}

static bool forwarder_open(struct balancer *balancer, struct error *error)
{
	const struct forwarder_options options = {
		.settings = balancer->settings,
		.clock = balancer->clock,
		.steering = balancer->steering,
		.on_batch_begin = pause_detect,
		.on_decision = flow_log_decision,
		.context = balancer,
	};

	balancer->forwarder = forwarder_create(&options, error);
	return balancer->forwarder != NULL;
}

static bool readiness_open(struct balancer *balancer, struct error *error)
{
	const struct readiness_options options = {
		.address = balancer->settings->readiness_endpoint,
		.is_ready = is_ready,
		.context = balancer,
	};

	balancer->readiness = readiness_create(&options, error);
	return balancer->readiness != NULL;
}

struct balancer *balancer_create(const char *path, const struct clock *clock,
				 struct error *error)
{
	struct balancer *balancer;
	struct settings *settings = settings_load(path, error);

	if (!settings)
		return NULL;
	balancer = g_new0(struct balancer, 1);
	balancer->settings = settings;
	balancer->settings_path = g_strdup(path);
	balancer->clock = clock;
	log_open(settings->log_level, settings->instance_id);
	log_set_buffered(true);
	/* Random choices must differ between instances that start together. */
	balancer->random_seed = XXH3_64bits(settings->instance_id,
					    strlen(settings->instance_id)) ^
				(uint64_t)g_get_real_time();
	balancer->loop = g_main_loop_new(NULL, FALSE);
	log_limits_init(balancer);
	balancer->probes = g_hash_table_new(NULL, NULL);
	balancer->replica_status.source = "none";
	steering_open(balancer);
	balancer_policies_set(balancer, settings);
	balancer_spillover_set(balancer, settings);
	balancer_slow_start_set(balancer, settings);
	steering_set_admission(balancer->steering,
			       settings->admission_by_priority);
	if (!balancer_sharing_open(balancer, error))
		goto fail;
	if (!forwarder_open(balancer, error))
		goto fail;
	if (!readiness_open(balancer, error))
		goto fail;
	balancer_store_open(balancer);
	if (!balancer_admin_open(balancer, error))
		goto fail;
	return balancer;
fail:
	balancer_destroy(balancer);
	return NULL;
}

void balancer_destroy(struct balancer *balancer)
{
	if (!balancer)
		return;
	balancer_admin_close(balancer);
	host_probes_cancel(balancer);
	balancer_store_close(balancer);
	readiness_destroy(balancer->readiness);
	forwarder_destroy(balancer->forwarder);
	balancer_sharing_close(balancer);
	steering_destroy(balancer->steering);
	g_main_loop_unref(balancer->loop);
	log_close();
	settings_destroy(balancer->file_settings);
	settings_destroy(balancer->settings);
	g_free(balancer->settings_path);
	g_free(balancer);
}

void balancer_run(struct balancer *balancer)
{
	guint sources[] = {
		g_timeout_add(STEERING_TICK_MS, tick, balancer),
		g_unix_signal_add(SIGTERM, shutdown_begin, balancer),
		g_unix_signal_add(SIGINT, shutdown_begin, balancer),
		g_unix_signal_add(SIGHUP, reload_requested, balancer),
	};

	balancer->last_iteration_ns = clock_now_ns(balancer->clock);
	balancer->last_packet_ns = balancer->last_iteration_ns;
	log_event(LOG_LEVEL_INFO, "balancer_started",
		  "zone=%s packets=%s control=%s store=%s",
		  balancer->settings->zone, balancer->settings->packet_endpoint,
		  balancer->settings->control_endpoint,
		  balancer->settings->store_endpoint);
	/* Members are asked first; if none responds, the store is. */
	store_connect(balancer->store);
	sharing_step(balancer);
	balancer->start_timer =
		g_timeout_add(SHARING_START_TICK_MS, start_tick, balancer);
	g_main_loop_run(balancer->loop);
	for (size_t i = 0; i < G_N_ELEMENTS(sources); i++)
		g_source_remove(sources[i]);
	if (balancer->start_timer != 0)
		g_source_remove(balancer->start_timer);
	log_event(LOG_LEVEL_INFO, "balancer_stopped", "packets=%" PRIu64,
		  forwarder_packets(balancer->forwarder));
}
