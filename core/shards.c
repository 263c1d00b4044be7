#include "core/core_state.h"

/* After this long an unanswered pull no longer delays another one. */
#define PULL_GIVE_UP_NS (2 * NS_PER_S)
/* An owner that did not see a reason to pull gets the shard after this. */
#define PUSH_DELAY_NS NS_PER_S

static bool is_source(const struct member *member)
{
	return member->state == MEMBER_ACTIVE ||
	       member->state == MEMBER_LEAVING;
}

static void source_add(struct shard *shard, uint64_t member_id)
{
	for (guint i = 0; i < shard->sources->len; i++) {
		if (g_array_index(shard->sources, uint64_t, i) == member_id)
			return;
	}
	g_array_append_val(shard->sources, member_id);
	shard->pull_at_ns = 0;
}

static bool source_remove(struct shard *shard, uint64_t member_id)
{
	for (guint i = 0; i < shard->sources->len; i++) {
		if (g_array_index(shard->sources, uint64_t, i) != member_id)
			continue;
		g_array_remove_index_fast(shard->sources, i);
		return true;
	}
	return false;
}

static uint64_t self_id(const struct core *core)
{
	return core->options.self_id;
}

/* Whether a member of the old view still has the state that it had then. */
static bool is_surviving(const struct core *core, const struct member_view *old,
			 uint64_t member_id)
{
	const struct member *now = view_member(core->view, member_id);
	const struct member *before = old ? view_member(old, member_id) : NULL;

	return now && is_source(now) && before &&
	       before->incarnation == now->incarnation;
}

/* First of the old copies whose member is still in view, 0 if none is. */
static uint64_t surviving_copy(const struct core *core,
			       const struct member_view *old,
			       const struct shard_members *members)
{
	for (uint32_t i = 0; old && i < members->replica_count; i++) {
		uint64_t id = old->members[members->replicas[i]].id;

		if (is_surviving(core, old, id))
			return id;
	}
	return 0;
}

static void shard_resolve(struct core *core, struct shard *shard)
{
	if (shard->sources->len > 0 || shard->owner_id != self_id(core))
		return;
	shard->is_acting = true;
	shard->is_complete = true;
	shard->is_early = false;
	shard->is_orphan = false;
	shard->hint_id = 0;
}

/* This member has become the owner, or members have come back into view. */
static void shard_gain(struct core *core, struct shard *shard,
		       const struct member_view *old, uint64_t old_owner_id,
		       const struct shard_members *old_members)
{
	bool is_new_owner = old_owner_id != self_id(core);
	bool is_merging = false;

	for (size_t i = 0; i < core->view->member_count; i++) {
		const struct member *member = &core->view->members[i];
		const struct member *before = old ? view_member(old, member->id)
						  : NULL;

		if (i == core->view->self || !is_source(member))
			continue;
		if (!before || before->incarnation != member->incarnation)
			is_merging |= old && member->state == MEMBER_ACTIVE;
		else if (!is_new_owner)
			continue;
		source_add(shard, member->id);
	}
	if (!is_new_owner)
		return;
	shard->is_early = false;
	shard->lost_at_ns = 0;
	shard->hint_id = 0;
	/* Several members may have records of their own; none knows all. */
	if (is_merging)
		return;
	if (is_surviving(core, old, old_owner_id)) {
		shard->hint_id = old_owner_id;
		return;
	}
	shard->hint_id = surviving_copy(core, old, old_members);
	/* A replica that takes over has every record already. */
	if (shard->hint_id == self_id(core) && shard->is_complete) {
		shard->hint_id = 0;
		shard->is_acting = true;
		shard->is_early = true;
	}
}

static void shard_lose(struct core *core, struct shard *shard,
		       const struct member_view *old, uint64_t old_owner_id,
		       const struct shard_members *old_members)
{
	shard->is_early = false;
	shard->hint_id = 0;
	if (shard->owner_id == old_owner_id)
		return;
	if (old_owner_id == self_id(core)) {
		shard->lost_at_ns = core->now_ns;
		return;
	}
	if (old_owner_id == 0 || is_surviving(core, old, old_owner_id))
		return;
	shard->is_orphan = true;
	/* The new owner asks the first copy until it has one of its own. */
	if (shard->is_complete &&
	    surviving_copy(core, old, old_members) == self_id(core)) {
		shard->is_acting = true;
		shard->lost_at_ns = core->now_ns;
	}
}

static bool is_among(const struct core *core,
		     const struct shard_members *members)
{
	if (!members->has_owner)
		return false;
	if (members->owner == core->view->self)
		return true;
	for (uint32_t i = 0; i < members->replica_count; i++) {
		if (members->replicas[i] == core->view->self)
			return true;
	}
	return false;
}

static void held_update(struct core *core, struct shard *shard,
			const struct shard_members *joining)
{
	bool is_held = is_among(core, &shard->members) ||
		       is_among(core, joining);

	if (shard->is_held && !is_held)
		shard->unheld_since_ns = core->now_ns;
	if (!is_held && !shard->is_acting && !shard->is_orphan)
		shard->is_complete = false;
	shard->is_held = is_held;
}

static void shard_apply(struct core *core, uint32_t index,
			const struct member_view *old)
{
	struct shard *shard = &core->shards[index];
	struct shard_members old_members = shard->members;
	uint64_t old_owner_id = shard->owner_id;
	struct shard_members joining;

	shard_members_find(core->view, index, false, &shard->members);
	shard_members_find(core->view, index, true, &joining);
	shard->owner_id = shard->members.has_owner
				  ? core->view->members[shard->members.owner].id
				  : 0;
	if (shard->owner_id == self_id(core))
		shard_gain(core, shard, old, old_owner_id, &old_members);
	else
		shard_lose(core, shard, old, old_owner_id, &old_members);
	held_update(core, shard, &joining);
	if (!core_has_rule(core, CORE_RULE_SHARD_SYNC))
		g_array_set_size(shard->sources, 0);
	shard_resolve(core, shard);
	shard_ensure_copies(core, index);
}

void shards_apply(struct core *core, const struct member_view *old)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		shard_apply(core, i, old);
}

static bool unconfirm_visit(void *context, struct flow_entry *entry)
{
	(void)context;
	entry->flags |= FLOW_ENTRY_UNCONFIRMED;
	return !(entry->flags & FLOW_ENTRY_PIN);
}

void shards_rejoin(struct core *core)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct shard *shard = &core->shards[i];

		shard->is_acting = false;
		shard->is_early = false;
		shard->is_complete = false;
		shard->is_orphan = false;
		shard->hint_id = 0;
		shard->owner_id = 0;
		shard->copy_count = 0;
		g_array_set_size(shard->sources, 0);
	}
	flow_table_visit(core->flows, unconfirm_visit, core);
}

void shard_forget_member(struct core *core, uint64_t member_id)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct shard *shard = &core->shards[i];

		source_remove(shard, member_id);
		for (uint32_t j = 0; j < shard->copy_count; j++) {
			if (shard->copies[j] == member_id)
				shard->copies[j] =
					shard->copies[--shard->copy_count];
		}
	}
}

static void copy_want(struct core *core, struct shard *shard, uint32_t index,
		      uint64_t *wanted, uint32_t *count, uint32_t member)
{
	uint64_t id = core->view->members[member].id;

	if (member == core->view->self || *count == SHARD_COPIES_MAX)
		return;
	for (uint32_t i = 0; i < *count; i++) {
		if (wanted[i] == id)
			return;
	}
	wanted[(*count)++] = id;
	for (uint32_t i = 0; i < shard->copy_count; i++) {
		if (shard->copies[i] == id)
			return;
	}
	transfer_want(peer_get(core, id), index, TRANSFER_COPY);
}

/* The acting member keeps a copy at each present and coming holder. */
void shard_ensure_copies(struct core *core, uint32_t index)
{
	struct shard *shard = &core->shards[index];
	uint64_t wanted[SHARD_COPIES_MAX];
	uint32_t count = 0;

	if (!shard->is_acting || !core->view) {
		shard->copy_count = 0;
		return;
	}
	for (int is_joining = 0; is_joining <= 1; is_joining++) {
		struct shard_members members;

		shard_members_find(core->view, index, is_joining, &members);
		if (!members.has_owner)
			continue;
		copy_want(core, shard, index, wanted, &count, members.owner);
		for (uint32_t i = 0; i < members.replica_count; i++)
			copy_want(core, shard, index, wanted, &count,
				  members.replicas[i]);
	}
	for (uint32_t i = 0; i < count; i++)
		shard->copies[i] = wanted[i];
	shard->copy_count = count;
}

void shard_pull_handle(struct core *core, uint64_t sender_id, uint32_t index)
{
	struct shard *shard = &core->shards[index];

	/* A sender that this view does not name as owner waits. */
	if (!core->view || shard->owner_id != sender_id)
		return;
	/* Records on their way to this member belong to the answer. */
	if (shard->sources->len > 0) {
		if (core->now_ns < shard->lost_at_ns + PULL_GIVE_UP_NS)
			return;
		g_array_set_size(shard->sources, 0);
	}
	transfer_want(peer_get(core, sender_id), index, TRANSFER_RELEASE);
}

void shard_release_handle(struct core *core, uint64_t sender_id, uint32_t index)
{
	struct shard *shard = &core->shards[index];

	if (!source_remove(shard, sender_id))
		return;
	if (shard->hint_id == sender_id)
		shard->hint_id = 0;
	if (shard->owner_id != self_id(core)) {
		/* The copy may be the only one that the next owner can pull. */
		shard->is_orphan = true;
		return;
	}
	shard_resolve(core, shard);
	shard_ensure_copies(core, index);
}

static void shard_pull(struct core *core, uint32_t index)
{
	struct shard *shard = &core->shards[index];

	shard->pull_at_ns = core->now_ns + PULL_RESEND_NS;
	for (guint i = 0; i < shard->sources->len; i++) {
		uint64_t id = g_array_index(shard->sources, uint64_t, i);

		shard_set_add(&peer_get(core, id)->pulls, index);
	}
}

static void pulls_send(struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct peer *peer = value;
		struct core_message message = {
			.kind = CORE_MESSAGE_SHARD_PULL,
			.shards = peer->pulls,
		};

		if (shard_set_is_empty(&peer->pulls))
			continue;
		core->options.send(core->options.context, peer->id, &message,
				   MESSAGE_PRIORITY_SHARD);
		peer->pulls = (struct shard_set){ 0 };
	}
}

void shards_tick(struct core *core)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct shard *shard = &core->shards[i];

		if (shard->owner_id == self_id(core)) {
			if (shard->sources->len > 0 &&
			    core->now_ns >= shard->pull_at_ns)
				shard_pull(core, i);
			continue;
		}
		if (shard->sources->len > 0 &&
		    core->now_ns >= shard->lost_at_ns + PULL_GIVE_UP_NS)
			g_array_set_size(shard->sources, 0);
		if (shard->is_acting && shard->owner_id != 0 &&
		    core->now_ns >= shard->lost_at_ns + PUSH_DELAY_NS)
			transfer_want(peer_get(core, shard->owner_id), i,
				      TRANSFER_RELEASE);
	}
	pulls_send(core);
}

static bool lease_holds(const struct core *core, uint32_t member)
{
	const struct member *other = &core->view->members[member];

	return member == core->view->self || other->state != MEMBER_ACTIVE ||
	       other->lease_until_ns > core->now_ns;
}

static bool leases_hold(const struct core *core, const struct shard *shard)
{
	const struct shard_members *members = &shard->members;

	if (!core_has_rule(core, CORE_RULE_LEASE) || !members->has_owner)
		return true;
	for (uint32_t i = 0; i < members->replica_count; i++) {
		if (!lease_holds(core, members->replicas[i]))
			return false;
	}
	return !members->has_next || lease_holds(core, members->next);
}

bool shard_may_decide(const struct core *core, uint32_t index, uint8_t hops)
{
	const struct shard *shard = &core->shards[index];

	if (!shard->is_acting || !leases_hold(core, shard))
		return false;
	/* After an ownership change the new owner is asked first. */
	if (shard->owner_id != self_id(core))
		return hops >= 2;
	return shard->sources->len == 0 || shard->is_early;
}

bool shards_are_synchronized(const struct core *core)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		const struct shard *shard = &core->shards[i];

		if (shard->is_held && !shard->is_complete && !shard->is_acting)
			return false;
	}
	return true;
}
