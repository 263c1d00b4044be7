#include <string.h>

#include "core/core_state.h"

/* Long enough to exchange maps with members that served apart. */
#define MERGE_OPEN_NS (2 * NS_PER_S)

const struct member *view_member(const struct member_view *view, uint64_t id)
{
	size_t low = 0;
	size_t high = view->member_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (view->members[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	if (low < view->member_count && view->members[low].id == id)
		return &view->members[low];
	return NULL;
}

static size_t view_bytes(const struct member_view *view)
{
	return sizeof(*view) + view->member_count * sizeof(view->members[0]);
}

static bool is_new_member(const struct member_view *old,
			  const struct member *member)
{
	const struct member *before = old ? view_member(old, member->id) : NULL;

	return !before || before->incarnation != member->incarnation;
}

static void members_drop(struct core *core, const struct member_view *old)
{
	for (size_t i = 0; old && i < old->member_count; i++) {
		const struct member *member = &old->members[i];

		if (view_member(core->view, member->id))
			continue;
		load_drop_member(core, member->id);
		shard_forget_member(core, member->id);
		peer_reset(core, peer_get(core, member->id));
	}
}

static void members_add(struct core *core, const struct member_view *old)
{
	for (size_t i = 0; i < core->view->member_count; i++) {
		const struct member *member = &core->view->members[i];
		struct peer *peer;

		if (i == core->view->self || !is_new_member(old, member))
			continue;
		load_drop_member(core, member->id);
		shard_forget_member(core, member->id);
		peer = peer_get(core, member->id);
		if (peer->incarnation != member->incarnation)
			peer_restarted(core, peer);
		peer->incarnation = member->incarnation;
		/* It served with maps of its own, so both may be behind. */
		if (old && member->state == MEMBER_ACTIVE &&
		    core->is_self_active)
			core->all_open_until_ns = core->now_ns + MERGE_OPEN_NS;
	}
}

static void coordinators_find(struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_state *service = value;

		service->coordinator_id =
			coordinator_find(core->view, service->id);
		service->resend_interval_ns = MAP_RESEND_NS;
		service->resend_at_ns = 0;
	}
}

static void core_rejoin(struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	core->created_ns = core->now_ns;
	core->confirm_nonce++;
	core->confirm_at_ns = 0;
	shards_rejoin(core);
	answer_cache_clear(core->answers);
	g_hash_table_remove_all(core->peers);
	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct service_state *)value)->is_confirmed = false;
}

static void services_confirm(struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct service_state *)value)->is_confirmed = true;
}

static void active_count(struct core *core)
{
	const struct member_view *view = core->view;
	const struct member *self = &view->members[view->self];
	bool was_active = core->is_self_active;

	core->active_count = 0;
	for (size_t i = 0; i < view->member_count; i++) {
		if (view->members[i].state == MEMBER_ACTIVE)
			core->active_count++;
	}
	core->is_self_active = self->state == MEMBER_ACTIVE &&
			       !view->is_rejoining;
	/* Nobody was left to confirm maps, or somebody did. */
	if (core->is_self_active && !was_active)
		services_confirm(core);
}

static void digests_send(struct core *core, const struct member_view *old)
{
	if (!core->is_self_active)
		return;
	for (size_t i = 0; i < core->view->member_count; i++) {
		const struct member *member = &core->view->members[i];

		if (i != core->view->self && is_new_member(old, member))
			map_send_digest(core, member->id, true, 0);
	}
}

void view_apply(struct core *core, const struct member_view *view)
{
	struct member_view *old = core->view;

	if (old && old->version == view->version &&
	    old->member_count == view->member_count) {
		memcpy(old, view, view_bytes(view));
		return;
	}
	core->view = g_memdup2(view, view_bytes(view));
	if (view->is_rejoining && (!old || !old->is_rejoining) &&
	    core_has_rule(core, CORE_RULE_REJOIN))
		core_rejoin(core);
	members_drop(core, old);
	members_add(core, old);
	active_count(core);
	coordinators_find(core);
	shards_apply(core, old);
	digests_send(core, old);
	g_free(old);
}
