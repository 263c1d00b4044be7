#include "core/core_state.h"

/* A closed flow is kept this long for retransmissions of its last packets. */
#define CLOSING_DS 100
/* Callers repeat a SYN after 1, 3, 7, 15, 31 and 63 s. */
#define PIN_DS 700
/* Records of hosts that this member's configuration does not have yet. */
#define UNKNOWN_HOST_DS 600
#define UNHELD_NS (30 * NS_PER_S)
/* Copies outlive the owner's record, which sees more of the flow. */
#define COPY_IDLE_FACTOR 4
#define SWEEP_SLOTS 8192

static bool entry_is_usable_host(const struct core *core,
				 const struct flow_entry *entry)
{
	const struct host_entry *state = host_state_find(core, entry->host_id);

	return state && state->host;
}

static bool unpublished_visit(void *context, struct flow_entry *entry)
{
	struct core *core = context;

	/* A host never seen here may be in a revision still to come. */
	return !host_state_find(core, entry->host_id) ||
	       (entry_is_usable_host(core, entry) &&
		service_state_find(core, entry->service_id));
}

void records_drop_unpublished(struct core *core)
{
	flow_table_visit(core->flows, unpublished_visit, core);
}

void record_replicate(struct core *core, const struct flow_entry *entry,
		      uint8_t flags)
{
	const struct shard *shard = &core->shards[flow_hash_shard(entry->hash)];
	struct flow_record record = {
		.flow_hash = entry->hash,
		.service_id = entry->service_id,
		.host_id = entry->host_id,
		.flags = flags,
	};

	if (entry->flags & FLOW_ENTRY_UDP)
		record.flags |= FLOW_RECORD_UDP;
	if (!core_has_rule(core, CORE_RULE_REPLICATION))
		return;
	for (uint32_t i = 0; i < shard->copy_count; i++)
		g_array_append_val(peer_get(core, shard->copies[i])->batch,
				   record);
}

static void record_store(struct core *core, const struct flow_record *record,
			 bool is_state)
{
	struct flow_entry *entry =
		flow_table_find(core->flows, record->flow_hash);

	if (record->host_id == 0)
		return;
	if (record->flags & FLOW_RECORD_ENDED) {
		if (entry && !(entry->flags & FLOW_ENTRY_PIN))
			flow_table_remove(core->flows, record->flow_hash);
		return;
	}
	if ((record->flags & FLOW_RECORD_PIN) && entry)
		return;
	/* State is older than what came as a record. */
	if (entry && is_state && !(entry->flags & FLOW_ENTRY_UNCONFIRMED) &&
	    !(entry->flags & FLOW_ENTRY_PIN))
		return;
	if (!entry)
		entry = flow_table_add(core->flows, record->flow_hash,
				       record->host_id);
	if (!entry)
		return;
	entry->service_id = record->service_id;
	entry->host_id = record->host_id;
	entry->seen_ds = core_now_ds(core);
	entry->flags = record->flags & FLOW_RECORD_UDP ? FLOW_ENTRY_UDP : 0;
	if (record->flags & FLOW_RECORD_PIN)
		entry->flags = FLOW_ENTRY_PIN;
	else if (core->shards[flow_hash_shard(record->flow_hash)].is_acting)
		/* After a partition the copies lack what the other side sent. */
		record_replicate(core, entry, 0);
}

static bool confirmed_visit(void *context, struct flow_entry *entry)
{
	const struct shard_set *refreshed = context;

	return !shard_set_has(refreshed, flow_hash_shard(entry->hash)) ||
	       !(entry->flags & FLOW_ENTRY_UNCONFIRMED);
}

static void state_apply(struct core *core, uint64_t sender_id,
			const struct stream_message *message)
{
	struct shard_set refreshed = { 0 };

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct shard *shard = &core->shards[i];

		if (!shard_set_has(&message->shards, i))
			continue;
		if (!shard->is_complete && core->view && !core->is_self_active)
			shard_set_add(&refreshed, i);
		shard->is_complete = true;
		/*
		 * A copy that decides in place of a failed owner may lack a
		 * record that this member has.
		 */
		if (shard->owner_id == sender_id)
			shard->is_orphan = false;
	}
	/* What the owner did not send has ended during the pause. */
	if (!shard_set_is_empty(&refreshed))
		flow_table_visit(core->flows, confirmed_visit, &refreshed);
}

static void release_apply(struct core *core, uint64_t sender_id,
			  const struct stream_message *message)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		if (shard_set_has(&message->shards, i))
			shard_release_handle(core, sender_id, i);
	}
}

void records_apply(struct core *core, uint64_t sender_id,
		   const struct stream_message *message)
{
	bool is_state = message->kind == CORE_MESSAGE_SHARD_STATE;

	for (guint i = 0; i < message->records->len; i++)
		record_store(
			core,
			&g_array_index(message->records, struct flow_record, i),
			is_state);
	if (is_state)
		state_apply(core, sender_id, message);
	else if (message->kind == CORE_MESSAGE_SHARD_RELEASE)
		release_apply(core, sender_id, message);
}

static uint32_t idle_ds(const struct core *core, const struct flow_entry *entry)
{
	const struct service_state *service =
		service_state_find(core, entry->service_id);

	return service ? service->service->profile->idle_timeout_s * 10
		       : UNKNOWN_HOST_DS;
}

static bool entry_is_kept(const struct core *core,
			  const struct flow_entry *entry)
{
	const struct shard *shard = &core->shards[flow_hash_shard(entry->hash)];
	uint32_t age_ds = core_now_ds(core) - entry->seen_ds;

	if (entry->flags & FLOW_ENTRY_PIN)
		return age_ds < PIN_DS;
	if (!host_state_find(core, entry->host_id))
		return age_ds < UNKNOWN_HOST_DS;
	if (shard->is_acting) {
		if (entry->flags & FLOW_ENTRY_CLOSING)
			return age_ds < CLOSING_DS;
		return age_ds <= idle_ds(core, entry);
	}
	if (!shard->is_held && !shard->is_orphan &&
	    core->now_ns > shard->unheld_since_ns + UNHELD_NS)
		return false;
	return age_ds <= COPY_IDLE_FACTOR * idle_ds(core, entry);
}

static bool sweep_visit(void *context, struct flow_entry *entry)
{
	struct core *core = context;

	if (entry_is_kept(core, entry))
		return true;
	if (!(entry->flags & FLOW_ENTRY_PIN) &&
	    core->shards[flow_hash_shard(entry->hash)].is_acting)
		record_replicate(core, entry, FLOW_RECORD_ENDED);
	return false;
}

void records_sweep(struct core *core)
{
	flow_table_sweep(core->flows, &core->sweep_cursor, SWEEP_SLOTS,
			 sweep_visit, core);
}
