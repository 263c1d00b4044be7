#include <string.h>
#include <xxhash.h>

#include "core/core_state.h"
#include "placement/target.h"

#define RESEND_INTERVAL_MAX_NS (4 * NS_PER_S)
#define CLOSING_INTERVAL_MIN_NS (10 * NS_PER_S)
/* Exceptions live for hours, so attempts to close their buckets back off. */
#define CLOSING_INTERVAL_MAX_NS (300 * NS_PER_S)
/* A table with fewer buckets for each host is doubled. */
#define BUCKETS_PER_HOST_MIN 64

struct draft {
	uint32_t count;
	uint32_t *base; /* indexes into the hosts of the service */
	uint32_t *target;
	uint32_t *base_id;
	uint32_t *target_id;
	uint8_t *open;
	struct maglev_host *hosts;
	bool has_closing;
};

static void draft_clear(struct draft *draft)
{
	g_free(draft->base);
	g_free(draft->target);
	g_free(draft->base_id);
	g_free(draft->target_id);
	g_free(draft->open);
	g_free(draft->hosts);
}

static void draft_hosts(struct core *core, const struct service_state *service,
			struct draft *draft)
{
	uint64_t weights = 0;

	draft->hosts = g_new0(struct maglev_host, service->host_count + 1);
	for (size_t i = 0; i < service->host_count; i++) {
		draft->hosts[i].id = service->hosts[i]->id;
		draft->hosts[i].weight =
			host_weight(core, service, service->hosts[i]);
		weights += draft->hosts[i].weight;
	}
	/* With nobody accepting, known flows still need a table. */
	for (size_t i = 0; weights == 0 && i < service->host_count; i++)
		draft->hosts[i].weight = 1;
}

static uint32_t host_index(const struct service_state *service,
			   const struct host_entry *state)
{
	for (uint32_t i = 0; i < service->host_count; i++) {
		if (service->hosts[i] == state)
			return i;
	}
	return MAGLEV_NO_HOST;
}

static uint32_t draft_size(const struct service_state *service)
{
	uint32_t count = service->bucket_count;

	if (count == 0)
		return maglev_table_size(service->host_count);
	/* A multiple of the old size leaves each flow's base unchanged. */
	while (count < BUCKETS_PER_HOST_MIN * service->host_count)
		count *= 2;
	return count;
}

static void draft_open(const struct service_state *service, struct draft *draft,
		       bool is_closing)
{
	for (uint32_t i = 0; i < draft->count; i++) {
		uint8_t flags = 0;

		if (service->buckets)
			flags = service->buckets[i % service->bucket_count]
					.flags;
		draft->open[i] = draft->base[i] != draft->target[i] ||
				 bucket_is_permanent(service, i) ||
				 service->is_rebalancing;
		if (draft->open[i] || !(flags & BUCKET_OPEN))
			continue;
		if (is_closing)
			draft->has_closing = true;
		else
			draft->open[i] = 1;
	}
}

/* Baseline: the plain table, whatever flows exist. */
static void draft_make_plain(const struct service_state *service,
			     struct draft *draft)
{
	maglev_build(draft->hosts, service->host_count, draft->base,
		     draft->count);
	for (uint32_t i = 0; i < draft->count; i++) {
		draft->base_id[i] = draft->hosts[draft->base[i]].id;
		draft->target_id[i] = draft->base_id[i];
	}
}

/*
 * Base for a view that lacks members: it depends on the published hosts only,
 * so that both sides of a partition choose the same one.
 */
static uint32_t partial_base(const struct service_state *service,
			     uint32_t bucket)
{
	uint32_t best = 0;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < service->host_count; i++) {
		const struct host_entry *state = service->hosts[i];
		uint64_t score = rendezvous_score(state->id, bucket);

		/* Serving hosts come before draining ones. */
		score = score / 2 + (state->host->state == HOST_SERVING
					     ? UINT64_C(1) << 63
					     : 0);
		if (score > best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

/* Base of a bucket whose base host is not published any more. */
static uint32_t base_replace(const struct core *core,
			     const struct service_state *service,
			     const struct draft *draft, uint32_t bucket)
{
	/* Both sides of a partition that may have begun know the old target. */
	if (service->buckets) {
		const struct host_entry *old =
			service->buckets[bucket % service->bucket_count].target;

		if (old->host && old->host->state == HOST_SERVING)
			return host_index(service, old);
	}
	return core->view->is_partial ? partial_base(service, bucket)
				      : draft->target[bucket];
}

static void draft_make(struct core *core, const struct service_state *service,
		       struct draft *draft, bool is_closing)
{
	uint32_t count = draft_size(service);

	*draft = (struct draft){ .count = count };
	draft->base = g_new(uint32_t, count);
	draft->target = g_new(uint32_t, count);
	draft->base_id = g_new(uint32_t, count);
	draft->target_id = g_new(uint32_t, count);
	draft->open = g_new0(uint8_t, count);
	draft_hosts(core, service, draft);
	if (core->options.placement_mode == CORE_PLACEMENT_TABLE_ONLY) {
		draft_make_plain(service, draft);
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct bucket *old = NULL;

		if (service->bucket_count > 0)
			old = &service->buckets[i % service->bucket_count];
		draft->base[i] = old ? host_index(service, old->base)
				     : MAGLEV_NO_HOST;
		draft->target[i] = old ? host_index(service, old->target)
				       : MAGLEV_NO_HOST;
	}
	targets_choose(draft->hosts, service->host_count, draft->base,
		       draft->target, count);
	for (uint32_t i = 0; i < count; i++) {
		/* Only an unpublished base changes; its flows have ended. */
		if (draft->base[i] == MAGLEV_NO_HOST)
			draft->base[i] = base_replace(core, service, draft, i);
		draft->base_id[i] = draft->hosts[draft->base[i]].id;
		draft->target_id[i] = draft->hosts[draft->target[i]].id;
	}
	draft_open(service, draft, is_closing);
}

static bool draft_differs(const struct service_state *service,
			  const struct draft *draft)
{
	if (draft->count != service->bucket_count)
		return true;
	for (uint32_t i = 0; i < draft->count; i++) {
		const struct bucket *bucket = &service->buckets[i];
		bool is_open = bucket->flags & BUCKET_MAP_OPEN;

		if (bucket->base->id != draft->base_id[i] ||
		    bucket->target->id != draft->target_id[i] ||
		    is_open != (draft->open[i] != 0))
			return true;
	}
	return false;
}

static bool has_acknowledged(const struct service_state *service, uint64_t id)
{
	for (guint i = 0; i < service->acknowledged->len; i++) {
		if (g_array_index(service->acknowledged, uint64_t, i) == id)
			return true;
	}
	return false;
}

static bool is_acknowledged_by_all(const struct core *core,
				   const struct service_state *service)
{
	for (size_t i = 0; i < core->view->member_count; i++) {
		if (i != core->view->self &&
		    !has_acknowledged(service, core->view->members[i].id))
			return false;
	}
	return true;
}

static void vetoes_merge(struct service_state *service, const uint8_t *vetoes)
{
	if (!service->vetoes)
		service->vetoes = g_new0(uint8_t, service->bucket_count);
	for (uint32_t i = 0; i < service->bucket_count; i++) {
		if (!vetoes[i])
			continue;
		service->vetoes[i] = 1;
		service->is_vetoed = true;
	}
}

/* Vetoed buckets are open in the next draft. */
static void vetoes_apply(struct service_state *service)
{
	for (uint32_t i = 0; service->vetoes && i < service->bucket_count;
	     i++) {
		if (service->vetoes[i])
			service->buckets[i].flags |= BUCKET_OPEN;
	}
	g_free(service->vetoes);
	service->vetoes = NULL;
	service->is_vetoed = false;
}

static void proposals_send(struct core *core, struct service_state *service)
{
	for (size_t i = 0; i < core->view->member_count; i++) {
		uint64_t id = core->view->members[i].id;

		if (i != core->view->self && !has_acknowledged(service, id))
			map_send(core, service, id);
	}
	service->resend_at_ns = core->now_ns + service->resend_interval_ns;
	service->resend_interval_ns =
		MIN(2 * service->resend_interval_ns, RESEND_INTERVAL_MAX_NS);
}

static void draft_propose(struct core *core, struct service_state *service,
			  const struct draft *draft)
{
	struct core_message message = {
		.kind = CORE_MESSAGE_MAP_PROPOSAL,
		.service_id = service->id,
		.version = { core_revision(core), 1, core->options.self_id },
		.bucket_count = draft->count,
		.base = draft->base_id,
		.target = draft->target_id,
		.open = draft->open,
	};
	uint8_t *vetoes;

	if (service->bucket_count > 0 &&
	    service->version.revision == message.version.revision)
		message.version.sequence = service->version.sequence + 1;
	g_free(service->vetoes);
	service->vetoes = NULL;
	service->is_vetoed = false;
	service->is_changed = false;
	map_adopt(core, service, &message);
	service->is_confirmed = true;
	vetoes = map_vetoes(core, service);
	vetoes_merge(service, vetoes);
	g_free(vetoes);
	g_array_set_size(service->acknowledged, 0);
	service->resend_interval_ns = MAP_RESEND_NS;
	proposals_send(core, service);
}

static void commit_send(struct core *core, struct service_state *service)
{
	struct core_message message = { .kind = CORE_MESSAGE_MAP_COMMIT,
					.service_id = service->id,
					.version = service->version };

	for (size_t i = 0; i < core->view->member_count; i++) {
		if (i != core->view->self)
			core->options.send(core->options.context,
					   core->view->members[i].id, &message,
					   MESSAGE_PRIORITY_MAP);
	}
}

static uint64_t weights_hash(const struct core *core,
			     const struct service_state *service)
{
	uint64_t hash = core_revision(core);

	for (size_t i = 0; i < service->host_count; i++) {
		uint32_t pair[2] = { service->hosts[i]->id,
				     host_weight(core, service,
						 service->hosts[i]) };

		hash = XXH3_64bits_withSeed(pair, sizeof(pair), hash);
	}
	return hash;
}

static bool closing_is_due(struct core *core, struct service_state *service)
{
	if (service->closing_interval_ns == 0) {
		service->closing_interval_ns = CLOSING_INTERVAL_MIN_NS;
		service->closing_at_ns =
			core->now_ns + service->closing_interval_ns;
	}
	/* Members out of view could hold exceptions. */
	if (core->view->is_partial || core->now_ns < service->closing_at_ns)
		return false;
	service->closing_interval_ns =
		MIN(2 * service->closing_interval_ns, CLOSING_INTERVAL_MAX_NS);
	service->closing_at_ns = core->now_ns + service->closing_interval_ns;
	return true;
}

static void map_revise(struct core *core, struct service_state *service,
		       bool is_forced, bool is_closing)
{
	struct draft draft;

	draft_make(core, service, &draft, is_closing);
	if (is_forced || draft_differs(service, &draft))
		draft_propose(core, service, &draft);
	draft_clear(&draft);
}

static void outstanding_tick(struct core *core, struct service_state *service)
{
	if (service->is_vetoed) {
		vetoes_apply(service);
		map_revise(core, service, true, false);
		return;
	}
	if (is_acknowledged_by_all(core, service)) {
		map_commit(core, service, false);
		commit_send(core, service);
	} else if (core->now_ns >= service->resend_at_ns) {
		proposals_send(core, service);
	}
}

void coordinator_tick(struct core *core, struct service_state *service)
{
	uint64_t hash;
	bool is_forced;

	if (service->host_count == 0)
		return;
	hash = weights_hash(core, service);
	if (rebalance_review(core, service))
		service->is_changed = true;
	is_forced = service->is_changed || service->bucket_count == 0 ||
		    service->address_revision > service->version.revision ||
		    (service->is_committed && service->is_vetoed) ||
		    (!service->is_committed &&
		     service->version.coordinator_id != core->options.self_id);
	if (is_forced || hash != service->weights_hash) {
		service->weights_hash = hash;
		if (service->bucket_count > 0)
			vetoes_apply(service);
		map_revise(core, service, is_forced, false);
	} else if (service->is_committed && closing_is_due(core, service)) {
		map_revise(core, service, false, true);
	}
	if (!service->is_committed)
		outstanding_tick(core, service);
}

void coordinator_acknowledge(struct core *core, struct service_state *service,
			     uint64_t member_id,
			     const struct core_message *message)
{
	if (service->coordinator_id != core->options.self_id ||
	    service->bucket_count == 0 ||
	    message->bucket_count != service->bucket_count || !message->open ||
	    map_version_is_greater(&service->version, &message->version) ||
	    map_version_is_greater(&message->version, &service->version))
		return;
	vetoes_merge(service, message->open);
	if (!has_acknowledged(service, member_id))
		g_array_append_val(service->acknowledged, member_id);
}
