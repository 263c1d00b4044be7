#include "core/core_state.h"

#define DIGEST_INTERVAL_NS (2 * NS_PER_S)
#define DIGEST_SERVICES_MAX 128

struct veto_scan {
	const struct service_state *service;
	uint8_t *vetoes;
};

static bool veto_visit(void *context, struct flow_entry *entry)
{
	struct veto_scan *scan = context;
	uint32_t index;
	const struct bucket *bucket;

	if (entry->service_id != scan->service->id ||
	    (entry->flags & FLOW_ENTRY_PIN))
		return true;
	index = (uint32_t)entry->hash % scan->service->bucket_count;
	bucket = &scan->service->buckets[index];
	if (!(bucket->flags & BUCKET_MAP_OPEN) &&
	    bucket->base->id != entry->host_id)
		scan->vetoes[index] = 1;
	return true;
}

/* Buckets that the map closes while this member holds exceptions in them. */
uint8_t *map_vetoes(struct core *core, struct service_state *service)
{
	struct veto_scan scan = {
		.service = service,
		.vetoes = g_new0(uint8_t, service->bucket_count),
	};

	if (service->has_extra_open && core_has_rule(core, CORE_RULE_VETO))
		flow_table_visit(core->flows, veto_visit, &scan);
	return scan.vetoes;
}

static void version_send(struct core *core, uint64_t member_id,
			 enum core_message_kind kind,
			 const struct service_state *service)
{
	struct core_message message = { .kind = kind,
					.service_id = service->id,
					.version = service->version };

	core->options.send(core->options.context, member_id, &message,
			   MESSAGE_PRIORITY_MAP);
}

static void acknowledgement_send(struct core *core,
				 struct service_state *service,
				 uint64_t member_id)
{
	uint8_t *vetoes = map_vetoes(core, service);
	struct core_message message = {
		.kind = CORE_MESSAGE_MAP_ACKNOWLEDGEMENT,
		.service_id = service->id,
		.version = service->version,
		.bucket_count = service->bucket_count,
		.open = vetoes,
	};

	core->options.send(core->options.context, member_id, &message,
			   MESSAGE_PRIORITY_MAP);
	g_free(vetoes);
}

static bool sender_is_active(const struct core *core, uint64_t sender_id)
{
	const struct member *member =
		core->view ? view_member(core->view, sender_id) : NULL;

	return member && member->state == MEMBER_ACTIVE;
}

/* A map of a later revision cannot be adopted yet, but its openings can. */
static void openings_adopt(struct service_state *service,
			   const struct core_message *message)
{
	for (uint32_t i = 0; i < message->bucket_count; i++) {
		if (message->open[i] && service->bucket_count > 0)
			service->buckets[i % service->bucket_count].flags |=
				BUCKET_OPEN;
	}
}

static void proposal_commit(struct core *core, struct service_state *service)
{
	if (service->is_committed)
		return;
	map_commit(core, service, service->has_extra_open);
}

static void proposal_handle(struct core *core, uint64_t sender_id,
			    struct service_state *service,
			    const struct core_message *message)
{
	if (message->bucket_count == 0 || !message->base || !message->target ||
	    !message->open)
		return;
	if (message->version.revision > core_revision(core)) {
		openings_adopt(service, message);
		return;
	}
	if (service->bucket_count == 0 ||
	    map_version_is_greater(&message->version, &service->version)) {
		map_adopt(core, service, message);
		/* The coordinator takes up what its former map had open. */
		if (service->has_extra_open)
			service->is_changed = true;
	} else if (map_version_is_greater(&service->version,
					  &message->version)) {
		map_send(core, service, sender_id);
		return;
	}
	if (core->is_self_active && sender_is_active(core, sender_id))
		service->is_confirmed = true;
	if (message->is_committed)
		proposal_commit(core, service);
	acknowledgement_send(core, service, sender_id);
}

static void commit_handle(struct core *core, uint64_t sender_id,
			  struct service_state *service,
			  const struct core_message *message)
{
	if (service->bucket_count == 0 ||
	    map_version_is_greater(&message->version, &service->version)) {
		version_send(core, sender_id, CORE_MESSAGE_MAP_REQUEST,
			     service);
		return;
	}
	if (!service->is_committed &&
	    !map_version_is_greater(&service->version, &message->version))
		map_commit(core, service, false);
}

static void digest_handle(struct core *core, uint64_t sender_id,
			  const struct map_digest *digest, uint32_t nonce)
{
	struct service_state *service =
		service_state_find(core, digest->service_id);

	if (!service)
		return;
	if (service->bucket_count == 0 ||
	    map_version_is_greater(&digest->version, &service->version)) {
		version_send(core, sender_id, CORE_MESSAGE_MAP_REQUEST,
			     service);
		return;
	}
	if (map_version_is_greater(&service->version, &digest->version)) {
		map_send(core, service, sender_id);
		return;
	}
	if ((core->is_self_active || nonce == core->confirm_nonce) &&
	    sender_is_active(core, sender_id))
		service->is_confirmed = true;
	if (digest->is_committed)
		proposal_commit(core, service);
}

void map_handle(struct core *core, uint64_t sender_id,
		const struct core_message *message)
{
	struct service_state *service;

	if (message->kind == CORE_MESSAGE_MAP_DIGEST) {
		for (size_t i = 0; i < message->digest_count; i++)
			digest_handle(core, sender_id, &message->digests[i],
				      message->nonce);
		return;
	}
	if (message->kind == CORE_MESSAGE_MAP_REQUEST &&
	    message->service_id == 0) {
		if (core->is_self_active)
			map_send_digest(core, sender_id, true, message->nonce);
		return;
	}
	service = service_state_find(core, message->service_id);
	if (!service)
		return;
	switch (message->kind) {
	case CORE_MESSAGE_MAP_PROPOSAL:
		proposal_handle(core, sender_id, service, message);
		break;
	case CORE_MESSAGE_MAP_ACKNOWLEDGEMENT:
		coordinator_acknowledge(core, service, sender_id, message);
		break;
	case CORE_MESSAGE_MAP_COMMIT:
		commit_handle(core, sender_id, service, message);
		break;
	case CORE_MESSAGE_MAP_REQUEST:
		if (service->bucket_count > 0)
			map_send(core, service, sender_id);
		break;
	default:
		break;
	}
}

static void digest_flush(struct core *core, uint64_t member_id, GArray *digests,
			 uint32_t nonce)
{
	struct core_message message = {
		.kind = CORE_MESSAGE_MAP_DIGEST,
		.nonce = nonce,
		.digests = (const struct map_digest *)digests->data,
		.digest_count = digests->len,
	};

	if (digests->len > 0)
		core->options.send(core->options.context, member_id, &message,
				   MESSAGE_PRIORITY_MAP);
	g_array_set_size(digests, 0);
}

void map_send_digest(struct core *core, uint64_t member_id,
		     bool is_coordinated_only, uint32_t nonce)
{
	GArray *digests = g_array_new(FALSE, FALSE, sizeof(struct map_digest));
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct service_state *service = value;
		struct map_digest digest = { service->id, service->version,
					     service->is_committed };

		if (service->bucket_count == 0 ||
		    (is_coordinated_only &&
		     service->coordinator_id != core->options.self_id))
			continue;
		g_array_append_val(digests, digest);
		if (digests->len == DIGEST_SERVICES_MAX)
			digest_flush(core, member_id, digests, nonce);
	}
	digest_flush(core, member_id, digests, nonce);
	g_array_free(digests, TRUE);
}

static void extras_close(struct core *core, struct service_state *service)
{
	if (service->is_committed && service->has_extra_open &&
	    core->now_ns >= service->extra_until_ns)
		map_commit(core, service, false);
}

/* A member that is not active yet asks whether its maps are current. */
static void confirmations_request(struct core *core)
{
	struct core_message message = {
		.kind = CORE_MESSAGE_MAP_REQUEST,
		.nonce = core->confirm_nonce,
	};

	if (core->is_self_active || core->now_ns < core->confirm_at_ns)
		return;
	core->confirm_at_ns = core->now_ns + MAP_RESEND_NS;
	for (size_t i = 0; i < core->view->member_count; i++) {
		const struct member *member = &core->view->members[i];

		if (i != core->view->self && member->state == MEMBER_ACTIVE)
			core->options.send(core->options.context, member->id,
					   &message, MESSAGE_PRIORITY_MAP);
	}
}

void map_tick(struct core *core)
{
	bool is_digest_due = core->now_ns >= core->digest_at_ns;
	GHashTableIter iterator;
	gpointer value;

	if (!core->view || !core->configuration)
		return;
	confirmations_request(core);
	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_state *service = value;

		extras_close(core, service);
		if (core->is_self_active &&
		    service->coordinator_id == core->options.self_id)
			coordinator_tick(core, service);
	}
	if (!is_digest_due || !core->is_self_active)
		return;
	core->digest_at_ns = core->now_ns + DIGEST_INTERVAL_NS;
	for (size_t i = 0; i < core->view->member_count; i++) {
		if (i != core->view->self)
			map_send_digest(core, core->view->members[i].id, true,
					0);
	}
}
