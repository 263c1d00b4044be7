#include "core/core_state.h"

/* One bucket in ten of an even-load service may always get exceptions. */
#define PERMANENT_INTERVAL 10
/* Long enough for other holders of exceptions to have a bucket reopened. */
#define EXTRA_OPEN_NS (10 * NS_PER_S)

bool map_version_is_greater(const struct map_version *a,
			    const struct map_version *b)
{
	if (a->revision != b->revision)
		return a->revision > b->revision;
	if (a->sequence != b->sequence)
		return a->sequence > b->sequence;
	return a->coordinator_id > b->coordinator_id;
}

bool bucket_is_permanent(const struct service_state *service, uint32_t bucket)
{
	return service->service->profile->spread == SPREAD_EVEN_LOAD &&
	       bucket % PERMANENT_INTERVAL == 0;
}

/* Flags that the old table has for bucket @index of a table of @count. */
static uint8_t flags_inherit(const struct service_state *service,
			     uint32_t index, uint32_t count)
{
	uint8_t flags = 0;

	if (service->bucket_count == 0)
		return 0;
	if (count >= service->bucket_count)
		return service->buckets[index % service->bucket_count].flags;
	for (uint32_t i = index; i < service->bucket_count; i += count)
		flags |= service->buckets[i].flags;
	return flags;
}

static uint8_t flags_next(const struct core *core, uint8_t old, bool is_open)
{
	if (is_open && !core_has_rule(core, CORE_RULE_COMMIT))
		return BUCKET_OPEN | BUCKET_MAP_OPEN | BUCKET_READY;
	if (is_open)
		return BUCKET_OPEN | BUCKET_MAP_OPEN |
		       (old & (BUCKET_READY | BUCKET_GRACE));
	/*
	 * A bucket that closes stays open until the commit, but takes no new
	 * exceptions. If it opens again, that needs a commit of its own.
	 */
	return old & BUCKET_OPEN;
}

void map_adopt(struct core *core, struct service_state *service,
	       const struct core_message *proposal)
{
	uint32_t count = proposal->bucket_count;
	struct bucket *buckets = g_new0(struct bucket, count);

	service->has_extra_open = false;
	for (uint32_t i = 0; i < count; i++) {
		uint8_t old = flags_inherit(service, i, count);
		struct bucket *bucket = &buckets[i];

		bucket->base =
			host_state_get(core, proposal->base[i], service->id);
		bucket->target =
			host_state_get(core, proposal->target[i], service->id);
		bucket->flags = flags_next(core, old, proposal->open[i]);
		if ((bucket->flags & BUCKET_OPEN) && !proposal->open[i])
			service->has_extra_open = true;
	}
	g_free(service->vetoes);
	service->vetoes = NULL;
	service->is_vetoed = false;
	g_free(service->buckets);
	service->buckets = buckets;
	service->bucket_count = count;
	service->version = proposal->version;
	service->is_committed = false;
}

void map_commit(struct core *core, struct service_state *service,
		bool keeps_extra)
{
	bool is_grace_over = core->now_ns >= service->grace_until_ns;

	for (uint32_t i = 0; i < service->bucket_count; i++) {
		struct bucket *bucket = &service->buckets[i];

		if (is_grace_over)
			bucket->flags &= ~BUCKET_GRACE;
		if (!(bucket->flags & BUCKET_MAP_OPEN)) {
			if (!keeps_extra)
				bucket->flags = 0;
		} else if (!(bucket->flags & BUCKET_READY)) {
			bucket->flags |= BUCKET_READY | BUCKET_GRACE;
		}
	}
	service->grace_until_ns = core->now_ns + COMMIT_GRACE_NS;
	service->is_committed = true;
	if (!keeps_extra)
		service->has_extra_open = false;
	service->extra_until_ns = core->now_ns + EXTRA_OPEN_NS;
	service->committed_revision =
		MAX(service->committed_revision, service->version.revision);
}

void map_message(const struct service_state *service,
		 struct core_message *message)
{
	uint32_t count = service->bucket_count;
	uint32_t *base = g_new(uint32_t, count);
	uint32_t *target = g_new(uint32_t, count);
	uint8_t *open = g_new(uint8_t, count);

	for (uint32_t i = 0; i < count; i++) {
		base[i] = service->buckets[i].base->id;
		target[i] = service->buckets[i].target->id;
		open[i] = (service->buckets[i].flags & BUCKET_MAP_OPEN) != 0;
	}
	*message = (struct core_message){
		.kind = CORE_MESSAGE_MAP_PROPOSAL,
		.service_id = service->id,
		.version = service->version,
		.is_committed = service->is_committed,
		.bucket_count = count,
		.base = base,
		.target = target,
		.open = open,
	};
}

void map_message_clear(struct core_message *message)
{
	g_free((void *)message->base);
	g_free((void *)message->target);
	g_free((void *)message->open);
}

void map_send(struct core *core, const struct service_state *service,
	      uint64_t member_id)
{
	struct core_message message;

	map_message(service, &message);
	core->options.send(core->options.context, member_id, &message,
			   MESSAGE_PRIORITY_MAP);
	map_message_clear(&message);
}
