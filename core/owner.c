#include "core/core_state.h"

/* Below this budget a record might not reach its replicas in time. */
#define RECORD_BUDGET_BYTES 1024

static bool is_cut_off(const struct core *core, const struct host_entry *state)
{
	return core_has_rule(core, CORE_RULE_DRAIN_CUT_OFF) &&
	       state->drain_since_ns != 0 &&
	       core->now_ns >= state->drain_since_ns + DRAIN_CUT_OFF_NS;
}

static void entry_forget(struct core *core, struct flow_entry *entry)
{
	if (!(entry->flags & FLOW_ENTRY_PIN))
		record_replicate(core, entry, FLOW_RECORD_ENDED);
	flow_table_remove(core->flows, entry->hash);
}

static void entry_touch(struct core *core, const struct decision *decision,
			struct flow_entry *entry)
{
	if (decision->is_dry)
		return;
	if (decision->kind == PACKET_END)
		entry->flags |= FLOW_ENTRY_CLOSING;
	else if (decision->kind == PACKET_NEW)
		entry->flags &= ~FLOW_ENTRY_CLOSING;
	else
		entry->flags |= FLOW_ENTRY_ESTABLISHED;
	/* Only repeated SYNs prolong the memory of a base placement. */
	if (!(entry->flags & FLOW_ENTRY_PIN) || decision->kind == PACKET_NEW)
		entry->seen_ds = core_now_ds(core);
}

/* Returns false if the packet has to be treated as one of an unknown flow. */
static bool known_decide(struct core *core, struct decision *decision,
			 struct flow_entry *entry)
{
	struct host_entry *state = host_state_find(core, entry->host_id);
	bool is_new = decision->kind == PACKET_NEW;
	bool is_recorded;

	if (!state) {
		/* Its host is in a revision that has not arrived yet. */
		decision_end(decision, CORE_DROP, CORE_REASON_HOST_GONE);
		return true;
	}
	if (is_new && state->host && is_cut_off(core, state) &&
	    (entry->flags & FLOW_ENTRY_ESTABLISHED) &&
	    !(entry->flags & FLOW_ENTRY_CLOSING)) {
		decision_end(decision, CORE_DROP, CORE_REASON_NO_HOST);
		return true;
	}
	if (!state->host || (is_new && is_cut_off(core, state))) {
		if (!is_new && !(entry->flags & FLOW_ENTRY_PIN)) {
			decision_end(decision, CORE_REFUSE,
				     CORE_REASON_HOST_GONE);
			return true;
		}
		is_recorded = !(entry->flags & FLOW_ENTRY_PIN);
		if (!decision->is_dry)
			entry_forget(core, entry);
		/*
		 * Copies still have the old host, so that a packet that follows
		 * at once would go there. The repeated SYN is placed anew.
		 */
		if (is_recorded && state->host)
			decision_end(decision, CORE_DROP, CORE_REASON_NO_HOST);
		return is_recorded && state->host;
	}
	entry_touch(core, decision, entry);
	decision_forward(core, decision, state,
			 entry->flags & FLOW_ENTRY_PIN ? CORE_REASON_OWNER_BASE
						       : CORE_REASON_RECORD);
	return true;
}

static void pin_add(struct core *core, const struct decision *decision,
		    const struct host_entry *state)
{
	struct flow_entry *entry;

	if (decision->is_dry || decision->is_udp ||
	    !core_has_rule(core, CORE_RULE_PIN))
		return;
	entry = flow_table_add(core->flows, decision->hash, state->id);
	if (!entry)
		return;
	entry->host_id = state->id;
	entry->service_id = decision->service->id;
	entry->flags = FLOW_ENTRY_PIN;
	entry->seen_ds = core_now_ds(core);
}

static void place_on_base(struct core *core, struct decision *decision)
{
	struct host_entry *base = decision->bucket->base;

	if (decision->kind == PACKET_NEW)
		pin_add(core, decision, base);
	decision_forward(core, decision, base, CORE_REASON_OWNER_BASE);
}

static bool has_budget(struct core *core)
{
	if (!core->options.budget_bytes ||
	    core->options.budget_bytes(core->options.context) >=
		    RECORD_BUDGET_BYTES)
		return true;
	core->counters.budget_short++;
	return false;
}

static void place_on(struct core *core, struct decision *decision,
		     struct host_entry *state)
{
	struct flow_entry *entry;

	if (decision->is_dry) {
		decision_forward(core, decision, state,
				 CORE_REASON_OWNER_PLACED);
		return;
	}
	entry = flow_table_add(core->flows, decision->hash, state->id);
	if (!entry) {
		if (host_accepts(decision->bucket->base))
			place_on_base(core, decision);
		else
			decision_end(decision, CORE_REFUSE,
				     CORE_REASON_TABLE_FULL);
		return;
	}
	entry->service_id = decision->service->id;
	entry->host_id = state->id;
	entry->flags = decision->is_udp ? FLOW_ENTRY_UDP : 0;
	entry->seen_ds = core_now_ds(core);
	record_replicate(core, entry, 0);
	core->counters.exceptions_placed++;
	state->placed++;
	decision_forward(core, decision, state, CORE_REASON_OWNER_PLACED);
}

/* Whether a new flow may be placed off base in this bucket. */
static bool exceptions_are_allowed(const struct core *core,
				   const struct bucket *bucket)
{
	if (!core_has_rule(core, CORE_RULE_COMMIT))
		return true;
	return (bucket->flags & BUCKET_READY) &&
	       (bucket->flags & BUCKET_MAP_OPEN);
}

/* A SYN of the time before the commit may be repeated until then. */
static bool is_in_grace(const struct core *core,
			const struct decision *decision)
{
	const struct bucket *bucket = decision->bucket;
	const struct host_entry *base = bucket->base;

	if (!base->host)
		return false;
	if (base->drain_since_ns != 0)
		return core->now_ns < base->drain_since_ns + DRAIN_GRACE_NS;
	/* Silence is an observation that may be wrong, so it does not count. */
	return (bucket->flags & BUCKET_GRACE) &&
	       core->now_ns < decision->service->grace_until_ns;
}

static void uncommitted_place(struct core *core, struct decision *decision)
{
	struct host_entry *base = decision->bucket->base;

	/*
	 * Others may still take the bucket for closed, so that only base is
	 * sure to be found. The caller repeats a SYN that is dropped.
	 */
	if (base->host && !is_cut_off(core, base))
		place_on_base(core, decision);
	else
		decision_end(decision, CORE_DROP, CORE_REASON_NO_OWNER);
}

static void new_place(struct core *core, struct decision *decision)
{
	struct bucket *bucket = decision->bucket;
	struct host_entry *chosen;

	if (!decision->is_dry)
		core->counters.new_flows_open++;
	if (core->options.placement_mode == CORE_PLACEMENT_OWNER_ONLY) {
		chosen = host_choose(core, decision->service, bucket,
				     decision->hash);
		if (chosen)
			place_on(core, decision, chosen);
		else
			decision_end(decision, CORE_REFUSE,
				     CORE_REASON_NO_HOST);
		return;
	}
	if (is_in_grace(core, decision)) {
		place_on_base(core, decision);
		return;
	}
	chosen = host_choose(core, decision->service, bucket, decision->hash);
	if (!chosen && (!bucket->base->host || is_cut_off(core, bucket->base)))
		decision_end(decision, CORE_REFUSE, CORE_REASON_NO_HOST);
	else if (!exceptions_are_allowed(core, bucket))
		uncommitted_place(core, decision);
	else if (!chosen || chosen == bucket->base ||
		 (host_accepts(bucket->base) && !has_budget(core)))
		place_on_base(core, decision);
	else
		place_on(core, decision, chosen);
}

static void data_place(struct core *core, struct decision *decision)
{
	struct bucket *bucket = decision->bucket;
	struct host_entry *chosen;

	if (decision->is_udp && !host_accepts(bucket->base) &&
	    exceptions_are_allowed(core, bucket)) {
		chosen = host_choose(core, decision->service, bucket,
				     decision->hash);
		if (chosen && chosen != bucket->base) {
			place_on(core, decision, chosen);
			return;
		}
	}
	if (bucket->base->host)
		place_on_base(core, decision);
	else
		decision_end(decision, CORE_REFUSE, CORE_REASON_HOST_GONE);
}

void owner_decide(struct core *core, struct decision *decision)
{
	struct flow_entry *entry = flow_table_find(core->flows, decision->hash);

	if (entry && entry->service_id == decision->service->id &&
	    known_decide(core, decision, entry))
		return;
	if (decision->kind == PACKET_NEW)
		new_place(core, decision);
	else
		data_place(core, decision);
}
