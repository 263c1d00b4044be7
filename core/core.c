#include "core/core.h"

#include <string.h>

#include "core/core_state.h"

#define ANSWER_SLOTS 65536

static const char *const reason_names[CORE_REASONS] = {
	[CORE_REASON_CLOSED_BUCKET] = "closed_bucket",
	[CORE_REASON_RECORD] = "record",
	[CORE_REASON_CACHED_ANSWER] = "cached_answer",
	[CORE_REASON_OWNER_BASE] = "owner_base",
	[CORE_REASON_OWNER_PLACED] = "owner_placed",
	[CORE_REASON_PASS_TO_OWNER] = "pass_to_owner",
	[CORE_REASON_PASS_TO_REPLICA] = "pass_to_replica",
	[CORE_REASON_NO_SERVICE] = "no_service",
	[CORE_REASON_ADDRESS_QUARANTINED] = "address_quarantined",
	[CORE_REASON_SERVICE_LIMIT] = "service_limit",
	[CORE_REASON_TEAM_LIMIT] = "team_limit",
	[CORE_REASON_NO_HOST] = "no_host",
	[CORE_REASON_TABLE_FULL] = "table_full",
	[CORE_REASON_HOST_GONE] = "host_gone",
	[CORE_REASON_HOP_LIMIT] = "hop_limit",
	[CORE_REASON_NO_OWNER] = "no_owner",
};

static const char *const action_names[CORE_ACTIONS] = {
	[CORE_FORWARD] = "forward",
	[CORE_PASS_ON] = "pass_on",
	[CORE_REFUSE] = "refuse",
	[CORE_DROP] = "drop",
};

const char *core_reason_name(enum core_reason reason)
{
	return reason < CORE_REASONS ? reason_names[reason] : "unknown";
}

const char *core_action_name(enum core_action_kind kind)
{
	return kind < CORE_ACTIONS ? action_names[kind] : "unknown";
}

struct core *core_create(const struct core_options *options)
{
	struct core *core = g_new0(struct core, 1);

	core->options = *options;
	core->rules = CORE_RULES_ALL;
	core->now_ns = clock_now_ns(options->clock);
	core->created_ns = core->now_ns;
	core->ticked_ns = core->now_ns;
	core->active_count = 1;
	core->services = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, service_state_free);
	core->hosts = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	core->teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	core->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    peer_free);
	core->flows = flow_table_create(options->exceptions_max);
	core->answers = answer_cache_create(ANSWER_SLOTS);
	core->loads = load_table_create();
	core->syns = g_new0(struct recent_filter, 1);
	core->ends = g_new0(struct recent_filter, 1);
	core->passes = g_new0(struct recent_filter, 1);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		core->shards[i].sources =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return core;
}

void core_destroy(struct core *core)
{
	if (!core)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		g_array_free(core->shards[i].sources, TRUE);
	g_hash_table_destroy(core->services);
	g_hash_table_destroy(core->hosts);
	g_hash_table_destroy(core->teams);
	g_hash_table_destroy(core->peers);
	flow_table_destroy(core->flows);
	answer_cache_destroy(core->answers);
	load_table_destroy(core->loads);
	g_free(core->syns);
	g_free(core->ends);
	g_free(core->passes);
	g_free(core->bindings);
	g_free(core->view);
	if (core->configuration)
		configuration_unref(core->configuration);
	g_free(core);
}

void core_set_rules(struct core *core, unsigned int rules)
{
	core->rules = rules;
}

bool core_apply_configuration(struct core *core,
			      struct configuration *configuration)
{
	struct configuration *old = core->configuration;

	if (old && configuration->revision <= old->revision) {
		core->counters.stale_revisions++;
		return false;
	}
	core->now_ns = clock_now_ns(core->options.clock);
	core->configuration = configuration_ref(configuration);
	hosts_apply(core, !old);
	services_apply(core, !old);
	records_drop_unpublished(core);
	hosts_collect(core);
	if (old)
		configuration_unref(old);
	return true;
}

void core_set_view(struct core *core, const struct member_view *view)
{
	core->now_ns = clock_now_ns(core->options.clock);
	view_apply(core, view);
}

void core_handle_message(struct core *core, uint64_t sender_id,
			 const struct core_message *message)
{
	core->now_ns = clock_now_ns(core->options.clock);
	core->counters.messages_received++;
	switch (message->kind) {
	case CORE_MESSAGE_LOAD:
		load_handle(core, sender_id, message);
		break;
	case CORE_MESSAGE_MAP_PROPOSAL:
	case CORE_MESSAGE_MAP_ACKNOWLEDGEMENT:
	case CORE_MESSAGE_MAP_COMMIT:
	case CORE_MESSAGE_MAP_REQUEST:
	case CORE_MESSAGE_MAP_DIGEST:
		map_handle(core, sender_id, message);
		break;
	case CORE_MESSAGE_RECORDS:
	case CORE_MESSAGE_SHARD_STATE:
	case CORE_MESSAGE_SHARD_RELEASE:
		if (core->view && view_member(core->view, sender_id))
			stream_receive(core, peer_get(core, sender_id),
				       message);
		break;
	case CORE_MESSAGE_STREAM_ACKNOWLEDGEMENT:
		if (core->view && view_member(core->view, sender_id))
			stream_acknowledged(core, peer_get(core, sender_id),
					    message);
		break;
	case CORE_MESSAGE_SHARD_PULL:
		for (uint32_t i = 0; i < SHARD_COUNT; i++) {
			if (shard_set_has(&message->shards, i))
				shard_pull_handle(core, sender_id, i);
		}
		break;
	case CORE_MESSAGE_ANSWERS:
		answers_handle(core, sender_id, message);
		break;
	default:
		core->counters.messages_unknown++;
		break;
	}
}

static bool has_active_peer(const struct core *core)
{
	for (size_t i = 0; core->view && i < core->view->member_count; i++) {
		if (i != core->view->self &&
		    core->view->members[i].state == MEMBER_ACTIVE)
			return true;
	}
	return false;
}

static void peers_tick(struct core *core)
{
	bool is_flush = core->now_ns >= core->flush_at_ns;
	GHashTableIter iterator;
	gpointer value;

	if (is_flush)
		core->flush_at_ns = core->now_ns + RECORD_FLUSH_NS;
	g_hash_table_iter_init(&iterator, core->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct peer *peer = value;

		if (is_flush) {
			stream_flush_batch(core, peer);
			answers_send(core, peer);
		}
		transfers_run(core, peer);
		stream_tick(core, peer);
	}
}

void core_tick(struct core *core)
{
	core->now_ns = clock_now_ns(core->options.clock);
	/* The view shows a pause only after the membership's next tick. */
	if (core->now_ns - core->ticked_ns > PAUSE_NS)
		core->suspect_until_ns =
			core->now_ns + 6 * CORE_TICK_MS * NS_PER_MS;
	core->ticked_ns = core->now_ns;
	if (has_active_peer(core))
		core->created_ns = core->now_ns;
	if (core->options.placement_mode != CORE_PLACEMENT_TABLE_ONLY) {
		records_sweep(core);
		peers_tick(core);
		shards_tick(core);
	}
	map_tick(core);
	loads_tick(core);
}

static bool has_all_maps(const struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct service_state *service = value;

		if (service->host_count > 0 &&
		    (service->bucket_count == 0 || !service->is_confirmed))
			return false;
	}
	return true;
}

bool core_is_synchronized(const struct core *core)
{
	if (!core->view || !core->configuration)
		return false;
	if (core->is_self_active)
		return true;
	if (!has_active_peer(core))
		return clock_now_ns(core->options.clock) >=
		       core->created_ns + COLD_START_NS;
	return has_all_maps(core) && shards_are_synchronized(core);
}

uint64_t core_revision(const struct core *core)
{
	return core->configuration ? core->configuration->revision : 0;
}

void core_set_host_silent(struct core *core, uint32_t host_id, bool is_silent)
{
	struct host_entry *state = host_state_find(core, host_id);

	if (state)
		state->is_silent = is_silent;
}

void core_leave(struct core *core)
{
	core->is_leaving = true;
}

static bool are_streams_empty(const struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->has_transfers || peer->batch->len > 0)
			return false;
		for (int i = 0; i < STREAM_CHANNELS; i++) {
			if (peer->streams[i].out.length > 0)
				return false;
		}
	}
	return true;
}

bool core_has_left(const struct core *core)
{
	if (!core->is_leaving)
		return false;
	if (!has_active_peer(core))
		return true;
	if (core->is_self_active || !are_streams_empty(core))
		return false;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		if (core->shards[i].is_acting)
			return false;
	}
	return true;
}
