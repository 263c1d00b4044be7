#include "cluster.h"

#include <string.h>
#include <xxhash.h>

#define TICK_NS (CORE_TICK_MS * NS_PER_MS)
#define BEAT_NS (500 * NS_PER_MS)
#define LEASE_NS (1500 * NS_PER_MS)
#define SILENCE_NS (2200 * NS_PER_MS)

enum event_kind {
	EVENT_TICK,
	EVENT_BEAT,
	EVENT_MESSAGE,
	EVENT_PACKET,
	EVENT_CONFIGURE,
};

struct event {
	int64_t at_ns;
	uint64_t number;
	enum event_kind kind;
	int from;
	int to;
	uint32_t generation; /* start of the member that it is meant for */
	struct heard beat;
	struct core_message message;
	struct packet_facts facts;
	uint8_t hops;
	uint64_t sender_id;
	uint32_t flow;
	struct configuration *configuration;
};

uint64_t random_next(struct random *random)
{
	uint64_t z = random->state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint32_t random_below(struct random *random, uint32_t bound)
{
	return (uint32_t)(random_next(random) % bound);
}

bool random_chance(struct random *random, uint32_t permille)
{
	return random_below(random, 1000) < permille;
}

static void message_copy(struct core_message *to,
			 const struct core_message *from)
{
	uint32_t count = from->bucket_count;

	*to = *from;
	to->base = g_memdup2(from->base, count * sizeof(*from->base));
	to->target = g_memdup2(from->target, count * sizeof(*from->target));
	to->open = g_memdup2(from->open, count);
	to->loads =
		g_memdup2(from->loads, from->load_count * sizeof(*from->loads));
	to->digests = g_memdup2(from->digests,
				from->digest_count * sizeof(*from->digests));
	to->records = g_memdup2(from->records,
				from->record_count * sizeof(*from->records));
}

static void event_free(void *data)
{
	struct event *event = data;

	g_free((void *)event->message.base);
	g_free((void *)event->message.target);
	g_free((void *)event->message.open);
	g_free((void *)event->message.loads);
	g_free((void *)event->message.digests);
	g_free((void *)event->message.records);
	g_free(event);
}

static gint event_compare(gconstpointer left, gconstpointer right,
			  gpointer context)
{
	const struct event *a = left;
	const struct event *b = right;

	if (a->at_ns != b->at_ns)
		return a->at_ns < b->at_ns ? -1 : 1;
	return a->number < b->number ? -1 : 1;
}

static struct event *event_new(struct cluster *cluster, enum event_kind kind,
			       int to, int64_t delay_ns)
{
	struct event *event = g_new0(struct event, 1);

	event->kind = kind;
	event->to = to;
	event->at_ns = cluster->clock.now_ns + delay_ns;
	event->number = cluster->event_count++;
	event->generation = cluster->members[to].generation;
	g_sequence_insert_sorted(cluster->events, event, event_compare, NULL);
	return event;
}

static int64_t delay_draw(struct cluster *cluster)
{
	return (int64_t)(random_next(&cluster->random) %
			 (uint64_t)cluster->options.delay_max_ns);
}

static bool is_connected(const struct cluster *cluster, int a, int b)
{
	return cluster->side[a] == cluster->side[b];
}

static int member_index(const struct cluster *cluster, uint64_t id)
{
	for (int i = 0; i < cluster->options.member_count; i++) {
		if (cluster->members[i].id == id)
			return i;
	}
	return -1;
}

/* Sizes of peer/message_codec, headers and encryption left out. */
static uint64_t message_bytes(const struct core_message *message)
{
	return 24 + 13 * message->record_count + 6 * message->load_count +
	       17 * message->digest_count +
	       (message->base ? message->bucket_count : 0);
}

static void member_send(void *context, uint64_t member_id,
			const struct core_message *message,
			enum message_priority priority)
{
	struct cluster_member *member = context;
	struct cluster *cluster = member->cluster;
	int to = member_index(cluster, member_id);
	int copies = 1;

	member->sent_bytes[priority] += message_bytes(message);
	if (random_chance(&cluster->random, cluster->options.loss_permille))
		copies = 0;
	else if (random_chance(&cluster->random,
			       cluster->options.duplicate_permille))
		copies = 2;
	for (int i = 0; i < copies; i++) {
		struct event *event = event_new(cluster, EVENT_MESSAGE, to,
						delay_draw(cluster));

		event->from = member->index;
		message_copy(&event->message, message);
	}
}

void cluster_init(struct cluster *cluster,
		  const struct cluster_options *options)
{
	*cluster = (struct cluster){ .options = *options,
				     .random = { options->seed } };
	manual_clock_init(&cluster->clock, 1000 * NS_PER_S);
	cluster->events = g_sequence_new(event_free);
	for (int i = 0; i < options->member_count; i++) {
		struct cluster_member *member = &cluster->members[i];

		member->cluster = cluster;
		member->index = i;
		/* Ascending, as a view is sorted by id. */
		member->id = 1000 + 7 * (uint64_t)i;
		member->zone = (uint16_t)(i % options->zone_count);
	}
}

void cluster_clear(struct cluster *cluster)
{
	for (int i = 0; i < cluster->options.member_count; i++)
		core_destroy(cluster->members[i].core);
	g_sequence_free(cluster->events);
}

void cluster_start(struct cluster *cluster, int index)
{
	struct cluster_member *member = &cluster->members[index];
	struct core_options options = {
		.self_id = member->id,
		.zone = member->zone,
		.clock = &cluster->clock.clock,
		.exceptions_max = cluster->options.exceptions_max,
		.placement_mode = cluster->options.placement_mode,
		.send = member_send,
		.context = member,
	};

	core_destroy(member->core);
	member->core = core_create(&options);
	core_set_rules(member->core, cluster->options.rules);
	member->incarnation++;
	member->generation++;
	member->state = MEMBER_JOINING;
	member->is_running = true;
	member->is_rejoining = false;
	member->paused_until_ns = 0;
	member->ticked_ns = cluster->clock.now_ns;
	member->beat_at_ns = 0;
	member->view_hash = 0;
	memset(member->heard, 0, sizeof(member->heard));
	if (member->configuration)
		core_apply_configuration(member->core, member->configuration);
	event_new(cluster, EVENT_TICK, index, 0);
}

void cluster_kill(struct cluster *cluster, int index)
{
	cluster->members[index].is_running = false;
}

void cluster_pause(struct cluster *cluster, int index, int64_t duration_ns)
{
	cluster->members[index].paused_until_ns =
		cluster->clock.now_ns + duration_ns;
}

static void beats_send(struct cluster *cluster, struct cluster_member *member)
{
	if (cluster->clock.now_ns < member->beat_at_ns)
		return;
	member->beat_at_ns = cluster->clock.now_ns + BEAT_NS;
	for (int i = 0; i < cluster->options.member_count; i++) {
		struct event *event;

		if (i == member->index || !cluster->members[i].is_running)
			continue;
		event = event_new(cluster, EVENT_BEAT, i, delay_draw(cluster));
		event->from = member->index;
		event->beat = (struct heard){
			.sent_ns = cluster->clock.now_ns,
			.acknowledged_ns = member->heard[i].sent_ns,
			.incarnation = member->incarnation,
			.state = member->state,
		};
	}
}

static bool is_heard(const struct cluster *cluster,
		     const struct cluster_member *member, int other)
{
	const struct heard *heard = &member->heard[other];

	return heard->heard_ns > 0 &&
	       cluster->clock.now_ns - heard->heard_ns < SILENCE_NS;
}

static struct member self_entry(const struct cluster_member *member)
{
	return (struct member){ .id = member->id,
				.incarnation = member->incarnation,
				.zone = member->zone,
				.state = member->state };
}

static void view_update(struct cluster *cluster, struct cluster_member *member)
{
	struct member_view *view = g_malloc0(
		sizeof(*view) + CLUSTER_MEMBERS_MAX * sizeof(struct member));
	uint64_t hash = member->is_rejoining;

	for (int i = 0; i < cluster->options.member_count; i++) {
		struct member *entry = &view->members[view->member_count];
		const struct heard *heard = &member->heard[i];

		if (i == member->index) {
			view->self = view->member_count;
			*entry = self_entry(member);
		} else if (is_heard(cluster, member, i)) {
			*entry = self_entry(&cluster->members[i]);
			entry->incarnation = heard->incarnation;
			entry->state = heard->state;
		} else {
			if (cluster->members[i].is_running)
				view->is_partial = true;
			continue;
		}
		hash = XXH3_64bits_withSeed(entry, sizeof(*entry), hash);
		entry->lease_until_ns = heard->acknowledged_ns + LEASE_NS;
		view->member_count++;
	}
	hash += view->is_partial;
	view->is_rejoining = member->is_rejoining;
	if (hash != member->view_hash)
		member->view_version++;
	member->view_hash = hash;
	view->version = member->view_version;
	core_set_view(member->core, view);
	g_free(view);
}

static void member_tick(struct cluster *cluster, struct cluster_member *member)
{
	if (cluster->clock.now_ns - member->ticked_ns > NS_PER_S) {
		member->incarnation++;
		member->state = MEMBER_JOINING;
		member->is_rejoining = true;
	}
	member->ticked_ns = cluster->clock.now_ns;
	view_update(cluster, member);
	core_tick(member->core);
	if (member->state == MEMBER_JOINING &&
	    core_is_synchronized(member->core)) {
		member->state = MEMBER_ACTIVE;
		member->is_rejoining = false;
		member->beat_at_ns = 0;
		view_update(cluster, member);
	}
	beats_send(cluster, member);
}

static void packet_decide(struct cluster *cluster, struct event *event)
{
	struct cluster_member *member = &cluster->members[event->to];
	struct core_action action;
	struct event *passed;
	int to;

	core_handle_packet(member->core, &event->facts, event->hops,
			   event->sender_id, &action);
	if (action.kind != CORE_PASS_ON) {
		cluster->options.on_action(cluster->options.context,
					   event->flow, &event->facts,
					   event->to, &action);
		return;
	}
	cluster->passes++;
	to = member_index(cluster, action.member_id);
	passed = event_new(cluster, EVENT_PACKET, to, delay_draw(cluster));
	passed->from = event->to;
	passed->facts = event->facts;
	passed->flow = event->flow;
	passed->hops = event->hops + 1;
	passed->sender_id = event->hops ? event->sender_id : member->id;
}

static void beat_handle(struct cluster *cluster, const struct event *event)
{
	struct heard *heard = &cluster->members[event->to].heard[event->from];

	/* Heartbeats are numbered, so an older one is ignored. */
	if (event->beat.sent_ns < heard->sent_ns)
		return;
	*heard = event->beat;
	heard->heard_ns = cluster->clock.now_ns;
}

static void configure_handle(struct cluster_member *member,
			     const struct event *event)
{
	if (member->configuration &&
	    member->configuration->revision >= event->configuration->revision)
		return;
	member->configuration = event->configuration;
	core_apply_configuration(member->core, event->configuration);
}

static void event_run(struct cluster *cluster, struct event *event)
{
	struct cluster_member *member = &cluster->members[event->to];

	switch (event->kind) {
	case EVENT_TICK:
		member_tick(cluster, member);
		event_new(cluster, EVENT_TICK, event->to, TICK_NS);
		break;
	case EVENT_BEAT:
		if (is_connected(cluster, event->from, event->to))
			beat_handle(cluster, event);
		break;
	case EVENT_MESSAGE:
		if (is_connected(cluster, event->from, event->to))
			core_handle_message(member->core,
					    cluster->members[event->from].id,
					    &event->message);
		break;
	case EVENT_PACKET:
		if (event->hops == 0 ||
		    is_connected(cluster, event->from, event->to))
			packet_decide(cluster, event);
		break;
	case EVENT_CONFIGURE:
		configure_handle(member, event);
		break;
	}
}

/* Returns false if the event waits for the end of a pause. */
static bool event_is_due(struct cluster *cluster, GSequenceIter *iterator,
			 struct event *event)
{
	const struct cluster_member *member = &cluster->members[event->to];

	if (cluster->clock.now_ns >= member->paused_until_ns)
		return true;
	event->at_ns = member->paused_until_ns;
	g_sequence_sort_changed(iterator, event_compare, NULL);
	return false;
}

static bool is_alive(const struct cluster *cluster, const struct event *event)
{
	const struct cluster_member *member = &cluster->members[event->to];

	return member->is_running && (event->kind == EVENT_CONFIGURE ||
				      event->generation == member->generation);
}

void cluster_run(struct cluster *cluster, int64_t duration_ns)
{
	int64_t end_ns = cluster->clock.now_ns + duration_ns;

	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(cluster->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_ns > end_ns)
			break;
		cluster->clock.now_ns =
			MAX(cluster->clock.now_ns, event->at_ns);
		if (!is_alive(cluster, event)) {
			g_sequence_remove(first);
			continue;
		}
		if (!event_is_due(cluster, first, event))
			continue;
		event_run(cluster, event);
		g_sequence_remove(first);
	}
	cluster->clock.now_ns = end_ns;
}

void cluster_configure(struct cluster *cluster, int member,
		       struct configuration *configuration, int64_t delay_ns)
{
	struct event *event =
		event_new(cluster, EVENT_CONFIGURE, member, delay_ns);

	event->configuration = configuration;
}

void cluster_leave(struct cluster *cluster, int index)
{
	struct cluster_member *member = &cluster->members[index];

	member->state = MEMBER_LEAVING;
	member->beat_at_ns = 0;
	core_leave(member->core);
}

void cluster_packet(struct cluster *cluster, int member, uint32_t flow,
		    const struct packet_facts *facts, int64_t delay_ns)
{
	struct event *event =
		event_new(cluster, EVENT_PACKET, member, delay_ns);

	event->facts = *facts;
	event->flow = flow;
}

static bool member_is_settled(const struct cluster *cluster,
			      const struct cluster_member *member)
{
	const struct core *core = member->core;
	GHashTableIter iterator;
	gpointer value;

	if (member->state != MEMBER_ACTIVE ||
	    cluster->clock.now_ns < member->paused_until_ns)
		return false;
	for (int i = 0; i < cluster->options.member_count; i++) {
		const struct cluster_member *other = &cluster->members[i];
		const struct member *seen =
			core->view ? view_member(core->view, other->id) : NULL;

		if (other->is_running != (seen != NULL) ||
		    (seen && seen->state != MEMBER_ACTIVE))
			return false;
	}
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		if (core->shards[i].is_acting !=
			    (core->shards[i].owner_id == member->id) ||
		    core->shards[i].sources->len > 0)
			return false;
	}
	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (!((struct service_state *)value)->is_committed)
			return false;
	}
	return true;
}

bool cluster_is_settled(const struct cluster *cluster)
{
	for (int i = 0; i < cluster->options.member_count; i++) {
		if (cluster->members[i].is_running &&
		    !member_is_settled(cluster, &cluster->members[i]))
			return false;
	}
	return true;
}

bool cluster_settle(struct cluster *cluster, int64_t limit_ns)
{
	int64_t end_ns = cluster->clock.now_ns + limit_ns;

	while (cluster->clock.now_ns < end_ns) {
		if (cluster_is_settled(cluster))
			return true;
		cluster_run(cluster, 100 * NS_PER_MS);
	}
	return cluster_is_settled(cluster);
}
