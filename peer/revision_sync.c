#include "peer/revision_sync.h"

#include <stdlib.h>

#include "common/log.h"
#include "peer/revision_sync_state.h"

/**
 * A member that peers have not brought up to date for this long reads from the
 * platform: a complete configuration takes minutes at the control budget.
 */
#define BEHIND_MAX_MS 10000

static const char *const counter_names[REVISION_SYNC_COUNTERS] = {
	[REVISION_SYNC_INDEXES_REQUESTED] = "indexes_requested",
	[REVISION_SYNC_PARTS_REQUESTED] = "parts_requested",
	[REVISION_SYNC_RETRIES] = "retries",
	[REVISION_SYNC_MISMATCHES] = "mismatches",
	[REVISION_SYNC_APPLIED] = "applied",
	[REVISION_SYNC_REFUSED] = "refused",
	[REVISION_SYNC_CONFLICTS] = "conflicts",
	[REVISION_SYNC_INDEXES_SENT] = "indexes_sent",
	[REVISION_SYNC_PARTS_SENT] = "parts_sent",
};

static void free_index(gpointer index)
{
	revision_index_free(index);
}

struct revision_sync *
revision_sync_create(const struct revision_sync_options *options)
{
	struct revision_sync *sync = g_new0(struct revision_sync, 1);

	sync->options = *options;
	sync->random = g_rand_new_with_seed((guint32)options->random_seed);
	sync->announcements = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	g_queue_init(&sync->history);
	transfer_init(&sync->transfer);
	sync->election.random = sync->random;
	sync->election.has_peers = options->peer_count > 0;
	return sync;
}

void revision_sync_destroy(struct revision_sync *sync)
{
	if (!sync)
		return;
	transfer_clear(&sync->transfer);
	g_queue_clear_full(&sync->history, free_index);
	revision_index_free(sync->index);
	configuration_unref(sync->current);
	g_hash_table_unref(sync->announcements);
	g_rand_free(sync->random);
	g_free(sync->view);
	g_free(sync);
}

void revision_sync_set_current(struct revision_sync *sync,
			       struct configuration *configuration)
{
	if (sync->current && configuration->revision <= sync->current->revision)
		return;
	if (sync->index)
		g_queue_push_head(&sync->history, sync->index);
	while (sync->history.length > REVISION_HISTORY)
		revision_index_free(g_queue_pop_tail(&sync->history));
	configuration_ref(configuration);
	configuration_unref(sync->current);
	sync->current = configuration;
	sync->index = revision_index_create(configuration);
	transfer_step(sync, clock_now_ns(sync->options.clock));
}

void revision_sync_adopt(struct revision_sync *sync,
			 struct configuration *configuration)
{
	revision_sync_set_current(sync, configuration);
	sync->options.on_configuration(sync->options.context, configuration);
}

static int compare_ids(const void *key, const void *element)
{
	uint64_t id = *(const uint64_t *)key;
	const struct member *member = element;

	return (id > member->id) - (id < member->id);
}

const struct member *revision_sync_member(const struct member_view *view,
					  uint64_t member_id)
{
	return bsearch(&member_id, view->members, view->member_count,
		       sizeof(view->members[0]), compare_ids);
}

static gboolean is_not_in_view(gpointer member_id, gpointer announcement,
			       gpointer view)
{
	(void)announcement;
	return !revision_sync_member(view, *(uint64_t *)member_id);
}

void revision_sync_set_view(struct revision_sync *sync,
			    const struct member_view *view)
{
	/* Views that differ in leases only come with each heartbeat. */
	if (sync->view && sync->view->version == view->version)
		return;
	g_free(sync->view);
	sync->view = g_memdup2(
		view,
		sizeof(*view) + view->member_count * sizeof(view->members[0]));
	g_hash_table_foreach_remove(sync->announcements, is_not_in_view,
				    sync->view);
	revision_sync_tick(sync);
}

static void check_conflict(struct revision_sync *sync, uint64_t sender_id,
			   const struct heartbeat *heartbeat)
{
	if (!sync->current || heartbeat->revision != sync->current->revision ||
	    heartbeat->revision_digest == sync->current->digest)
		return;
	if (sync->counters[REVISION_SYNC_CONFLICTS]++ == 0)
		log_event(LOG_LEVEL_ERROR, "revision_conflict",
			  "revision=%" G_GUINT64_FORMAT
			  " member=%016" G_GINT64_MODIFIER "x",
			  heartbeat->revision, sender_id);
}

void revision_sync_handle_heartbeat(struct revision_sync *sync,
				    uint64_t sender_id,
				    const struct heartbeat *heartbeat)
{
	struct announcement *announcement =
		g_hash_table_lookup(sync->announcements, &sender_id);

	if (sender_id == sync->options.self_id)
		return;
	if (!announcement) {
		announcement = g_new0(struct announcement, 1);
		g_hash_table_insert(sync->announcements,
				    g_memdup2(&sender_id, sizeof(sender_id)),
				    announcement);
	}
	announcement->revision = heartbeat->revision;
	announcement->digest = heartbeat->revision_digest;
	announcement->heard_ns = clock_now_ns(sync->options.clock);
	check_conflict(sync, sender_id, heartbeat);
	if (!sync->current || heartbeat->revision > sync->current->revision)
		transfer_step(sync, announcement->heard_ns);
}

void revision_sync_handle_message(struct revision_sync *sync,
				  uint64_t sender_id,
				  const struct peer_message *message)
{
	switch (message->kind) {
	case PEER_MESSAGE_REVISION_REQUEST:
		revision_sync_answer_index(sync, sender_id, message);
		break;
	case PEER_MESSAGE_REVISION_INDEX:
		transfer_handle_index(sync, sender_id, message);
		break;
	case PEER_MESSAGE_PART_REQUEST:
		revision_sync_answer_part(sync, sender_id, message);
		break;
	case PEER_MESSAGE_PART:
		transfer_handle_part(sync, sender_id, message);
		break;
	default:
		break;
	}
}

static bool is_long_behind(struct revision_sync *sync, int64_t now_ns)
{
	if (transfer_announced_revision(sync, now_ns) == 0) {
		sync->behind_since_ns = 0;
		return false;
	}
	if (sync->behind_since_ns == 0)
		sync->behind_since_ns = now_ns;
	return now_ns - sync->behind_since_ns >= BEHIND_MAX_MS * NS_PER_MS;
}

void revision_sync_tick(struct revision_sync *sync)
{
	int64_t now_ns = clock_now_ns(sync->options.clock);
	bool was_reader = sync->election.is_reader;

	transfer_step(sync, now_ns);
	if (!sync->view)
		return;
	reader_election_update(&sync->election, sync->view,
			       is_long_behind(sync, now_ns), now_ns);
	if (sync->election.is_reader != was_reader)
		sync->options.on_reader(sync->options.context,
					sync->election.is_reader);
}

bool revision_sync_is_reader(const struct revision_sync *sync)
{
	return sync->election.is_reader;
}

void revision_sync_print_json(const struct revision_sync *sync,
			      JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "revision");
	json_builder_add_int_value(
		builder, sync->current ? (gint64)sync->current->revision : 0);
	json_builder_set_member_name(builder, "is_reader");
	json_builder_add_boolean_value(builder, sync->election.is_reader);
	json_builder_set_member_name(builder, "fetching_revision");
	json_builder_add_int_value(builder,
				   sync->transfer.state == TRANSFER_NONE
					   ? 0
					   : (gint64)sync->transfer.revision);
	for (int i = 0; i < REVISION_SYNC_COUNTERS; i++) {
		json_builder_set_member_name(builder, counter_names[i]);
		json_builder_add_int_value(builder, (gint64)sync->counters[i]);
	}
}
