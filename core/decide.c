#include "core/core_state.h"
#include "packet/pass_header.h"

/* A copy lets the owner see the flow this often within the idle timeout. */
#define REFRESH_DIVISOR 4

void decision_end(struct decision *decision, enum core_action_kind kind,
		  enum core_reason reason)
{
	decision->action->kind = kind;
	decision->action->reason = reason;
}

static void flow_count(struct core *core, const struct decision *decision,
		       struct host_entry *state)
{
	if (decision->is_dry || decision->is_udp)
		return;
	if (decision->kind == PACKET_NEW &&
	    !recent_filter_has(core->syns, decision->hash)) {
		recent_filter_add(core->syns, decision->hash);
		recent_filter_remove(core->ends, decision->hash);
		load_count(core, state, 1);
		decision->service->new_flows++;
	} else if (decision->kind == PACKET_END &&
		   !recent_filter_has(core->ends, decision->hash)) {
		recent_filter_add(core->ends, decision->hash);
		recent_filter_remove(core->syns, decision->hash);
		load_count(core, state, -1);
	}
}

void decision_forward(struct core *core, struct decision *decision,
		      struct host_entry *state, enum core_reason reason)
{
	decision->action->host = state->host;
	decision_end(decision, CORE_FORWARD, reason);
	if (decision->kind != PACKET_DATA)
		flow_count(core, decision, state);
	else if (decision->hops > 0 && !decision->is_dry)
		answers_count_pass(core, decision, state->id);
}

void decision_pass(struct core *core, struct decision *decision,
		   uint64_t member_id, enum core_reason reason)
{
	if (decision->hops >= PASS_HOPS_MAX) {
		decision_end(decision, CORE_DROP, CORE_REASON_HOP_LIMIT);
	} else if (member_id == 0 || member_id == core->options.self_id) {
		decision_end(decision, CORE_DROP, CORE_REASON_NO_OWNER);
	} else {
		decision->action->member_id = member_id;
		decision_end(decision, CORE_PASS_ON, reason);
	}
}

static bool is_owner_only(const struct core *core)
{
	return core->options.placement_mode == CORE_PLACEMENT_OWNER_ONLY;
}

bool core_is_suspended(const struct core *core)
{
	return core_has_rule(core, CORE_RULE_REJOIN) &&
	       (core->now_ns - core->ticked_ns > PAUSE_NS ||
		core->now_ns < core->suspect_until_ns ||
		(core->view && core->view->is_rejoining));
}

/* Whether maps of this member may be behind, so that owners are asked. */
static bool is_everything_open(const struct core *core,
			       const struct service_state *service)
{
	return core->now_ns < core->all_open_until_ns ||
	       (!service->is_confirmed &&
		core_has_rule(core, CORE_RULE_REJOIN)) ||
	       core_is_suspended(core);
}

/* A record or a cached answer; returns false if there is none to use. */
static bool copy_decide(struct core *core, struct decision *decision)
{
	const struct shard *shard = &core->shards[decision->shard];
	struct flow_entry *entry = flow_table_find(core->flows, decision->hash);
	struct host_entry *state;
	uint32_t idle_ds;

	if (!entry ||
	    (entry->flags & (FLOW_ENTRY_PIN | FLOW_ENTRY_UNCONFIRMED)) ||
	    entry->service_id != decision->service->id ||
	    !(shard->is_held || shard->is_acting))
		return false;
	state = host_state_find(core, entry->host_id);
	if (!state || !state->host)
		return false;
	idle_ds = decision->service->service->profile->idle_timeout_s * 10;
	if (core_now_ds(core) - entry->seen_ds > idle_ds / REFRESH_DIVISOR) {
		if (!decision->is_dry)
			entry->seen_ds = core_now_ds(core);
		return false;
	}
	decision_forward(core, decision, state, CORE_REASON_RECORD);
	return true;
}

static bool answer_decide(struct core *core, struct decision *decision)
{
	uint32_t host_id =
		answer_cache_get(core->answers, decision->hash, core->now_ns);
	struct host_entry *state = host_id ? host_state_find(core, host_id)
					   : NULL;

	if (!state || !state->host ||
	    state->service_id != decision->service->id)
		return false;
	decision_forward(core, decision, state, CORE_REASON_CACHED_ANSWER);
	return true;
}

static uint64_t local_replica(const struct core *core,
			      const struct shard *shard)
{
	for (uint32_t i = 0; i < shard->members.replica_count; i++) {
		const struct member *member =
			&core->view->members[shard->members.replicas[i]];

		if (member->id == core->options.self_id)
			return 0;
		if (member->zone == core->options.zone)
			return member->id;
	}
	return 0;
}

static void owner_pass(struct core *core, struct decision *decision)
{
	const struct shard *shard = &core->shards[decision->shard];
	uint64_t replica;

	if (shard->owner_id == core->options.self_id) {
		/* Another member decides until it has handed the shard over. */
		uint64_t member_id = shard->hint_id;

		if (member_id == 0 && shard->sources->len == 1)
			member_id = g_array_index(shard->sources, uint64_t, 0);
		decision_pass(core, decision, member_id,
			      CORE_REASON_PASS_TO_OWNER);
		return;
	}
	replica = 0;
	if (decision->kind == PACKET_DATA && decision->hops == 0 &&
	    core->view && !is_owner_only(core))
		replica = local_replica(core, shard);
	if (replica != 0)
		decision_pass(core, decision, replica,
			      CORE_REASON_PASS_TO_REPLICA);
	else
		decision_pass(core, decision, shard->owner_id,
			      CORE_REASON_PASS_TO_OWNER);
}

static void open_decide(struct core *core, struct decision *decision)
{
	const struct shard *shard = &core->shards[decision->shard];
	/*
	 * A member that is not in view has passed the packet on: it sees a
	 * merge that this member does not see yet.
	 */
	bool is_current = !core_is_suspended(core) &&
			  (decision->hops == 0 || !core->view ||
			   view_member(core->view, decision->sender_id));

	if (!decision->is_dry && decision->kind != PACKET_DATA)
		answer_cache_remove(core->answers, decision->hash);
	if (is_current &&
	    shard_may_decide(core, decision->shard, decision->hops)) {
		owner_decide(core, decision);
		return;
	}
	if (is_current && shard->owner_id == core->options.self_id) {
		/* What is known here need not wait for the other sources. */
		struct flow_entry *entry =
			flow_table_find(core->flows, decision->hash);

		if (entry &&
		    !(entry->flags &
		      (FLOW_ENTRY_UNCONFIRMED | FLOW_ENTRY_PIN)) &&
		    shard->sources->len > 0) {
			owner_decide(core, decision);
			return;
		}
	}
	if (is_current && !is_owner_only(core) &&
	    decision->kind == PACKET_DATA &&
	    (copy_decide(core, decision) || answer_decide(core, decision)))
		return;
	owner_pass(core, decision);
}

static bool is_base_closed_to(const struct core *core,
			      const struct decision *decision)
{
	const struct host_entry *base = decision->bucket->base;

	return !base->host ||
	       (decision->kind == PACKET_NEW && base->drain_since_ns != 0 &&
		core_has_rule(core, CORE_RULE_DRAIN_CUT_OFF) &&
		core->now_ns >= base->drain_since_ns + DRAIN_CUT_OFF_NS);
}

static void table_decide(struct core *core, struct decision *decision)
{
	struct host_entry *base = decision->bucket->base;

	if (base->host)
		decision_forward(core, decision, base,
				 CORE_REASON_CLOSED_BUCKET);
	else
		decision_end(decision, CORE_REFUSE, CORE_REASON_HOST_GONE);
}

static void bucket_decide(struct core *core, struct decision *decision)
{
	struct service_state *service = decision->service;

	if (service->bucket_count == 0) {
		decision_pass(core, decision, service->coordinator_id,
			      CORE_REASON_PASS_TO_OWNER);
		return;
	}
	decision->bucket = &service->buckets[(uint32_t)decision->hash %
					     service->bucket_count];
	if (core->options.placement_mode == CORE_PLACEMENT_TABLE_ONLY)
		table_decide(core, decision);
	else if (!is_owner_only(core) && decision->hops == 0 &&
		 !(decision->bucket->flags & BUCKET_OPEN) &&
		 !is_base_closed_to(core, decision) &&
		 !is_everything_open(core, service))
		decision_forward(core, decision, decision->bucket->base,
				 CORE_REASON_CLOSED_BUCKET);
	else
		open_decide(core, decision);
}

static bool is_admitted(struct core *core, struct decision *decision)
{
	enum core_reason reason;

	if (decision->kind != PACKET_NEW || decision->hops > 0 ||
	    decision->is_dry || recent_filter_has(core->syns, decision->hash) ||
	    limits_admit(core, decision->service, &reason))
		return true;
	/* A repeated SYN of a recorded flow was admitted before. */
	if (flow_table_find(core->flows, decision->hash))
		return true;
	decision_end(decision, CORE_REFUSE, reason);
	return false;
}

static void key_decide(struct core *core, const struct flow_key *key,
		       struct decision *decision)
{
	const struct address_binding *binding = binding_find(core, key);

	if (!binding) {
		decision_end(decision, CORE_DROP, CORE_REASON_NO_SERVICE);
		return;
	}
	decision->service = binding->service;
	decision->action->service = binding->service->service;
	if (binding_is_quarantined(core, binding)) {
		decision_end(decision, CORE_DROP,
			     CORE_REASON_ADDRESS_QUARANTINED);
		return;
	}
	decision->is_udp = key->protocol == PACKET_PROTOCOL_UDP;
	decision->hash = flow_key_hash(key, core->options.flow_hash_seed);
	decision->shard = flow_hash_shard(decision->hash);
	if (is_admitted(core, decision))
		bucket_decide(core, decision);
}

static enum packet_kind packet_kind(const struct packet_facts *facts)
{
	if (facts->is_icmp_error || facts->key.protocol != PACKET_PROTOCOL_TCP)
		return PACKET_DATA;
	if (facts->tcp_flags & (TCP_FLAG_FIN | TCP_FLAG_RST))
		return PACKET_END;
	if ((facts->tcp_flags & (TCP_FLAG_SYN | TCP_FLAG_ACK)) == TCP_FLAG_SYN)
		return PACKET_NEW;
	return PACKET_DATA;
}

void core_handle_packet(struct core *core, const struct packet_facts *facts,
			uint8_t hops, uint64_t sender_id,
			struct core_action *action)
{
	struct decision decision = {
		.hops = hops,
		.sender_id = sender_id,
		.action = action,
		.kind = packet_kind(facts),
	};

	*action = (struct core_action){ .kind = CORE_DROP };
	core->now_ns = clock_now_ns(core->options.clock);
	key_decide(core, &facts->key, &decision);
	core->counters.actions[action->kind]++;
	core->counters.reasons[action->reason]++;
}

void core_explain(struct core *core, const struct flow_key *key,
		  struct core_action *action)
{
	struct decision decision = {
		.action = action,
		.kind = PACKET_DATA,
		.is_dry = true,
	};

	*action = (struct core_action){ .kind = CORE_DROP };
	core->now_ns = clock_now_ns(core->options.clock);
	key_decide(core, key, &decision);
}
