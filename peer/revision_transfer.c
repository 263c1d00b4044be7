/* Fetches a revision from members that are ahead. */

#include <xxhash.h>

#include "common/log.h"
#include "peer/revision_sync_state.h"

/** Announcements older than this come from a member that may have failed. */
#define ANNOUNCEMENT_MS 3000
/*
 * The time for an answer doubles with each failure, because a part of 1 MB
 * takes 256 s at the default budget, and members that answer share theirs.
 * Answers that come late are used all the same.
 */
#define REQUEST_TIMEOUT_MS 1000
#define REQUEST_DOUBLINGS_MAX 8
/** Failed requests after which a transfer pauses. */
#define ATTEMPTS_MAX 10
#define PAUSE_AFTER_ATTEMPTS_MS 30000
/** Time for the next heartbeat, if a member's revision is not as announced. */
#define REANNOUNCE_MS 500
#define REANNOUNCE_DOUBLINGS_MAX 4

void transfer_init(struct transfer *transfer)
{
	transfer->parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)g_bytes_unref);
	g_queue_init(&transfer->missing);
}

static void transfer_reset(struct transfer *transfer)
{
	g_queue_clear(&transfer->missing);
	revision_index_free(transfer->index);
	transfer->index = NULL;
	transfer->state = TRANSFER_NONE;
}

void transfer_clear(struct transfer *transfer)
{
	transfer_reset(transfer);
	g_hash_table_unref(transfer->parts);
}

/** Ends the transfer, successful or not. */
static void transfer_end(struct transfer *transfer)
{
	transfer_reset(transfer);
	g_hash_table_remove_all(transfer->parts);
	transfer->wants_complete = false;
	transfer->attempt = 0;
}

static uint64_t revision_held(const struct revision_sync *sync)
{
	return sync->current ? sync->current->revision : 0;
}

static bool is_heard(const struct announcement *announcement, int64_t now_ns)
{
	return now_ns - announcement->heard_ns < ANNOUNCEMENT_MS * NS_PER_MS;
}

static bool is_ahead(const struct revision_sync *sync,
		     const struct announcement *announcement, int64_t now_ns)
{
	return is_heard(announcement, now_ns) &&
	       announcement->revision > revision_held(sync) &&
	       announcement->revision != sync->refused_revision;
}

uint64_t transfer_announced_revision(const struct revision_sync *sync,
				     int64_t now_ns)
{
	uint64_t revision = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, sync->announcements);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct announcement *announcement = value;

		if (is_ahead(sync, announcement, now_ns))
			revision = MAX(revision, announcement->revision);
	}
	return revision;
}

static bool is_in_own_zone(const struct revision_sync *sync, uint64_t member_id)
{
	const struct member_view *view = sync->view;
	const struct member *member =
		view ? revision_sync_member(view, member_id) : NULL;

	return member && member->zone == view->members[view->self].zone;
}

/**
 * Merit of asking a member: links within the availability zone are cheaper and
 * faster, and a member that has just failed to answer comes last. The random
 * part spreads the requests.
 */
static uint64_t merit(const struct revision_sync *sync, uint64_t member_id)
{
	uint64_t value = g_rand_int(sync->random);

	if (is_in_own_zone(sync, member_id))
		value |= UINT64_C(1) << 32;
	if (sync->transfer.attempt == 0 ||
	    member_id != sync->transfer.source_id)
		value |= UINT64_C(1) << 33;
	return value;
}

/** Chooses whom to ask for @revision; false if nobody has it. */
static bool choose_source(struct revision_sync *sync, uint64_t revision,
			  int64_t now_ns)
{
	uint64_t best_merit = 0;
	uint64_t best_id = 0;
	bool is_found = false;
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, sync->announcements);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		const struct announcement *announcement = value;
		uint64_t member_id = *(uint64_t *)key;
		uint64_t member_merit;

		if (!is_heard(announcement, now_ns) ||
		    announcement->revision != revision)
			continue;
		member_merit = merit(sync, member_id);
		if (is_found && member_merit <= best_merit)
			continue;
		is_found = true;
		best_merit = member_merit;
		best_id = member_id;
		sync->transfer.digest = announcement->digest;
	}
	sync->transfer.source_id = best_id;
	return is_found;
}

static void set_deadline(struct revision_sync *sync, int64_t now_ns)
{
	unsigned int doublings =
		MIN(sync->transfer.attempt, REQUEST_DOUBLINGS_MAX);

	sync->transfer.deadline_ns =
		now_ns + (REQUEST_TIMEOUT_MS * NS_PER_MS << doublings);
}

static void request_index(struct revision_sync *sync, int64_t now_ns)
{
	struct transfer *transfer = &sync->transfer;
	struct peer_message request = {
		.kind = PEER_MESSAGE_REVISION_REQUEST,
		.revision = transfer->revision,
		.base_revision = transfer->wants_complete ? 0
							  : revision_held(sync),
	};

	transfer->state = TRANSFER_INDEX;
	set_deadline(sync, now_ns);
	sync->counters[REVISION_SYNC_INDEXES_REQUESTED]++;
	sync->options.send(sync->options.context, transfer->source_id,
			   &request);
}

static void request_part(struct revision_sync *sync, int64_t now_ns)
{
	struct transfer *transfer = &sync->transfer;
	char *name = g_queue_peek_head(&transfer->missing);
	struct peer_message request = {
		.kind = PEER_MESSAGE_PART_REQUEST,
		.revision = transfer->revision,
		.part_name = name,
		.part_digest = revision_index_digest_of(transfer->index, name),
	};

	transfer->state = TRANSFER_PART;
	set_deadline(sync, now_ns);
	sync->counters[REVISION_SYNC_PARTS_REQUESTED]++;
	sync->options.send(sync->options.context, transfer->source_id,
			   &request);
}

/** Asks the source for what comes next. */
static void request_next(struct revision_sync *sync, int64_t now_ns)
{
	if (sync->transfer.index)
		request_part(sync, now_ns);
	else
		request_index(sync, now_ns);
}

static void transfer_start(struct revision_sync *sync, uint64_t revision,
			   int64_t now_ns)
{
	transfer_reset(&sync->transfer);
	if (revision != sync->transfer.revision) {
		sync->transfer.wants_complete = false;
		sync->transfer.attempt = 0;
	}
	sync->transfer.revision = revision;
	if (choose_source(sync, revision, now_ns))
		request_index(sync, now_ns);
}

static void transfer_pause(struct revision_sync *sync, int64_t now_ns)
{
	log_event(LOG_LEVEL_WARNING, "revision_transfer_paused",
		  "revision=%" G_GUINT64_FORMAT, sync->transfer.revision);
	transfer_end(&sync->transfer);
	sync->resume_ns = now_ns + PAUSE_AFTER_ATTEMPTS_MS * NS_PER_MS;
}

/**
 * The request failed: asks another member. If there is only the same one, a
 * timeout has delayed the next request enough, but after a bad answer
 * (@is_answered) the transfer starts anew with a backoff.
 */
static void transfer_retry(struct revision_sync *sync, bool is_answered,
			   int64_t now_ns)
{
	struct transfer *transfer = &sync->transfer;
	uint64_t failed_id = transfer->source_id;
	unsigned int doublings;

	sync->counters[REVISION_SYNC_RETRIES]++;
	if (++transfer->attempt >= ATTEMPTS_MAX) {
		transfer_pause(sync, now_ns);
		return;
	}
	if (choose_source(sync, transfer->revision, now_ns) &&
	    (!is_answered || transfer->source_id != failed_id)) {
		request_next(sync, now_ns);
		return;
	}
	transfer_reset(transfer);
	doublings = MIN(transfer->attempt - 1, REANNOUNCE_DOUBLINGS_MAX);
	sync->resume_ns = now_ns + (REANNOUNCE_MS * NS_PER_MS << doublings);
}

void transfer_step(struct revision_sync *sync, int64_t now_ns)
{
	struct transfer *transfer = &sync->transfer;
	uint64_t announced = transfer_announced_revision(sync, now_ns);

	if (transfer->state != TRANSFER_NONE &&
	    transfer->revision <= revision_held(sync))
		transfer_end(transfer);
	if (transfer->state != TRANSFER_NONE) {
		if (now_ns >= transfer->deadline_ns)
			transfer_retry(sync, false, now_ns);
		return;
	}
	if (announced > 0 && now_ns >= sync->resume_ns)
		transfer_start(sync, announced, now_ns);
}

/** All parts are there: validates the revision and adopts it. */
static void transfer_finish(struct revision_sync *sync)
{
	struct transfer *transfer = &sync->transfer;
	uint64_t revision = transfer->revision;
	struct error error = { 0 };
	struct configuration *configuration = configuration_create_after(
		sync->current, revision, transfer->parts, &error);

	transfer_end(transfer);
	if (configuration) {
		sync->counters[REVISION_SYNC_APPLIED]++;
		revision_sync_adopt(sync, configuration);
		return;
	}
	sync->counters[REVISION_SYNC_REFUSED]++;
	sync->refused_revision = revision;
	sync->options.on_refused(sync->options.context, revision, &error);
}

static void transfer_continue(struct revision_sync *sync, int64_t now_ns)
{
	if (g_queue_is_empty(&sync->transfer.missing))
		transfer_finish(sync);
	else
		request_part(sync, now_ns);
}

static void take_held_part(struct revision_sync *sync, const char *name)
{
	GBytes *part = sync->current
			       ? g_hash_table_lookup(sync->current->parts, name)
			       : NULL;

	if (part)
		g_hash_table_insert(sync->transfer.parts, g_strdup(name),
				    g_bytes_ref(part));
}

static gboolean is_not_wanted(gpointer name, gpointer part, gpointer context)
{
	const struct transfer *transfer = context;

	return revision_index_digest_of(transfer->index, name) !=
	       configuration_part_digest(part);
}

/** Lists the parts of the index that are neither held nor fetched. */
static void list_missing(struct revision_sync *sync)
{
	struct transfer *transfer = &sync->transfer;
	GHashTableIter iterator;
	gpointer name;
	gpointer digest;

	g_hash_table_foreach_remove(transfer->parts, is_not_wanted, transfer);
	g_hash_table_iter_init(&iterator, transfer->index->digests);
	while (g_hash_table_iter_next(&iterator, &name, &digest)) {
		if (g_hash_table_contains(transfer->parts, name))
			continue;
		if (sync->index &&
		    revision_index_digest_of(sync->index, name) ==
			    *(uint64_t *)digest)
			take_held_part(sync, name);
		else
			g_queue_push_tail(&transfer->missing, name);
	}
}

static bool is_applicable(const struct revision_sync *sync,
			  const struct peer_message *message)
{
	return message->base_revision == 0 ||
	       message->base_revision == revision_held(sync);
}

void transfer_handle_index(struct revision_sync *sync, uint64_t sender_id,
			   const struct peer_message *message)
{
	struct transfer *transfer = &sync->transfer;
	int64_t now_ns = clock_now_ns(sync->options.clock);
	struct revision_index *index;

	if (transfer->state != TRANSFER_INDEX ||
	    sender_id != transfer->source_id || !is_applicable(sync, message))
		return;
	if (message->revision != transfer->revision) {
		/* The sender has moved on; its next heartbeat tells where. */
		transfer_reset(transfer);
		sync->resume_ns = now_ns + REANNOUNCE_MS * NS_PER_MS;
		return;
	}
	index = revision_index_apply(
		message->base_revision == 0 ? NULL : sync->index,
		message->revision, message->parts, message->part_count);
	if (index->digest != transfer->digest) {
		revision_index_free(index);
		sync->counters[REVISION_SYNC_MISMATCHES]++;
		transfer->wants_complete = true;
		transfer_retry(sync, true, now_ns);
		return;
	}
	transfer->index = index;
	transfer->attempt = 0;
	list_missing(sync);
	transfer_continue(sync, now_ns);
}

void transfer_handle_part(struct revision_sync *sync, uint64_t sender_id,
			  const struct peer_message *message)
{
	struct transfer *transfer = &sync->transfer;
	int64_t now_ns = clock_now_ns(sync->options.clock);
	const char *name = g_queue_peek_head(&transfer->missing);

	if (transfer->state != TRANSFER_PART || !message->part_name ||
	    g_strcmp0(message->part_name, name) != 0 ||
	    message->part_digest !=
		    revision_index_digest_of(transfer->index, name))
		return;
	if (message->part_bytes == 0 ||
	    message->part_bytes > CONFIGURATION_PART_BYTES_MAX ||
	    XXH3_64bits(message->part_data, message->part_bytes) !=
		    message->part_digest) {
		sync->counters[REVISION_SYNC_MISMATCHES]++;
		if (sender_id == transfer->source_id)
			transfer_retry(sync, true, now_ns);
		return;
	}
	g_hash_table_insert(
		transfer->parts, g_strdup(name),
		g_bytes_new(message->part_data, message->part_bytes));
	g_queue_pop_head(&transfer->missing);
	transfer->attempt = 0;
	transfer_continue(sync, now_ns);
}
