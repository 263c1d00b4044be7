#include "core/core_state.h"

/* A flow that was passed on this often is worth an answer. */
#define ANSWER_PASSES 3
#define ANSWERS_MAX 64
/* Answers are the first to give way when the budget is short. */
#define ANSWER_BUDGET_BYTES 8192

void answers_count_pass(struct core *core, const struct decision *decision,
			uint32_t host_id)
{
	struct flow_record record = {
		.flow_hash = decision->hash,
		.service_id = decision->service->id,
		.host_id = host_id,
	};
	struct peer *peer;

	if (decision->hops == 0 || decision->kind != PACKET_DATA ||
	    decision->sender_id == core->options.self_id || !core->view ||
	    recent_filter_add(core->passes, decision->hash) < ANSWER_PASSES ||
	    !view_member(core->view, decision->sender_id))
		return;
	peer = peer_get(core, decision->sender_id);
	if (peer->answers->len < ANSWERS_MAX)
		g_array_append_val(peer->answers, record);
}

void answers_handle(struct core *core, uint64_t sender_id,
		    const struct core_message *message)
{
	for (size_t i = 0; i < message->record_count; i++) {
		const struct flow_record *record = &message->records[i];
		const struct shard *shard =
			&core->shards[flow_hash_shard(record->flow_hash)];

		if (shard->owner_id == sender_id)
			answer_cache_set(core->answers, record->flow_hash,
					 record->host_id,
					 core->now_ns + ANSWER_LIFETIME_NS);
	}
}

void answers_send(struct core *core, struct peer *peer)
{
	struct core_message message = {
		.kind = CORE_MESSAGE_ANSWERS,
		.records = (const struct flow_record *)peer->answers->data,
		.record_count = peer->answers->len,
	};

	if (peer->answers->len == 0)
		return;
	if (!core->options.budget_bytes ||
	    core->options.budget_bytes(core->options.context) >=
		    ANSWER_BUDGET_BYTES)
		core->options.send(core->options.context, peer->id, &message,
				   MESSAGE_PRIORITY_ANSWER);
	g_array_set_size(peer->answers, 0);
}
