#include <string.h>

#include "core/core_state.h"

#define PIECE_RECORDS 100

struct snapshot {
	const struct core *core;
	GArray *records[SHARD_COUNT]; /* NULL if nothing is sent */
	bool has_records[SHARD_COUNT];
	bool has_pins[SHARD_COUNT];
};

void transfer_want(struct peer *peer, uint32_t shard, enum transfer transfer)
{
	enum transfer now = peer->transfers[shard];

	/* A transfer under way is completed before it is repeated. */
	if (now == TRANSFER_COPY_AND_RELEASE || now == TRANSFER_RELEASED)
		return;
	if (now == TRANSFER_COPY && transfer != TRANSFER_COPY)
		transfer = TRANSFER_COPY_AND_RELEASE;
	if (now == TRANSFER_RELEASE && transfer == TRANSFER_COPY)
		return;
	peer->transfers[shard] = (uint8_t)transfer;
	peer->has_transfers = true;
}

static bool snapshot_visit(void *context, struct flow_entry *entry)
{
	struct snapshot *snapshot = context;
	uint32_t shard = flow_hash_shard(entry->hash);
	GArray *records = snapshot->records[shard];
	struct flow_record record = {
		.flow_hash = entry->hash,
		.service_id = entry->service_id,
		.host_id = entry->host_id,
		.flags = entry->flags & FLOW_ENTRY_UDP ? FLOW_RECORD_UDP : 0,
	};

	if (!records)
		return true;
	if (entry->flags & FLOW_ENTRY_PIN) {
		record.flags = FLOW_RECORD_PIN;
		if (snapshot->has_pins[shard])
			g_array_append_val(records, record);
		return true;
	}
	if (!snapshot->has_records[shard])
		return true;
	if (!(entry->flags & FLOW_ENTRY_UNCONFIRMED) ||
	    snapshot->core->shards[shard].is_acting)
		g_array_append_val(records, record);
	return true;
}

static void piece_send(struct core *core, struct peer *peer,
		       struct stream_message *piece)
{
	stream_append(core, peer, STREAM_SHARDS, *piece);
	*piece = (struct stream_message){ .kind = CORE_MESSAGE_SHARD_STATE };
}

/* Adds the records of one shard, and sends each piece that is full. */
static void snapshot_send(struct core *core, struct peer *peer, uint32_t shard,
			  GArray *records, struct stream_message *piece)
{
	for (guint i = 0; i < records->len; i++) {
		if (!piece->records)
			piece->records = g_array_new(
				FALSE, FALSE, sizeof(struct flow_record));
		g_array_append_val(
			piece->records,
			g_array_index(records, struct flow_record, i));
		if (piece->records->len == PIECE_RECORDS &&
		    i + 1 < records->len)
			piece_send(core, peer, piece);
	}
	shard_set_add(&piece->shards, shard);
	if (piece->records && piece->records->len == PIECE_RECORDS)
		piece_send(core, peer, piece);
}

static bool is_copy_holder(const struct core *core, const struct peer *peer,
			   uint32_t index)
{
	const struct shard *shard = &core->shards[index];

	for (uint32_t i = 0; i < shard->copy_count; i++) {
		if (shard->copies[i] == peer->id)
			return true;
	}
	return false;
}

/* No record is created here from now on. */
static void shard_release(struct core *core, struct peer *peer, uint32_t index,
			  struct shard_set *released)
{
	struct shard *shard = &core->shards[index];

	shard->is_acting = false;
	shard->is_orphan = false;
	shard->copy_count = 0;
	shard_set_add(released, index);
	peer->transfers[index] = TRANSFER_RELEASED;
}

static void unacknowledged_add(struct snapshot *snapshot, const GArray *records)
{
	for (guint i = 0; records && i < records->len; i++) {
		struct flow_record record =
			g_array_index(records, struct flow_record, i);
		uint32_t shard = flow_hash_shard(record.flow_hash);

		if (snapshot->has_pins[shard] &&
		    !snapshot->has_records[shard] &&
		    !(record.flags & FLOW_RECORD_ENDED))
			g_array_append_val(snapshot->records[shard], record);
	}
}

/*
 * Records that a new owner may not have yet go ahead of the release in the
 * same stream, so that it need not wait for the other one.
 */
static void unacknowledged_collect(struct snapshot *snapshot,
				   const struct peer *peer)
{
	const GQueue *queue = &peer->streams[STREAM_RECORDS].out;

	for (const GList *link = queue->head; link; link = link->next)
		unacknowledged_add(
			snapshot,
			((const struct stream_message *)link->data)->records);
}

/* What a pull needs by now; the view may have changed since it came. */
static enum transfer transfer_revise(const struct core *core,
				     const struct peer *peer, uint32_t index)
{
	const struct shard *shard = &core->shards[index];
	enum transfer transfer = peer->transfers[index];

	if (transfer != TRANSFER_RELEASE &&
	    transfer != TRANSFER_COPY_AND_RELEASE)
		return transfer;
	if (shard->owner_id != peer->id)
		return TRANSFER_NONE;
	/* A peer that gets every record already needs no copy again. */
	if ((shard->is_acting || shard->is_orphan) &&
	    !is_copy_holder(core, peer, index))
		return TRANSFER_COPY_AND_RELEASE;
	return transfer;
}

static void snapshot_begin(struct core *core, struct peer *peer,
			   struct snapshot *snapshot)
{
	bool has_copies = false;

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		uint8_t transfer;

		peer->transfers[i] = (uint8_t)transfer_revise(core, peer, i);
		transfer = peer->transfers[i];
		snapshot->has_records[i] = transfer == TRANSFER_COPY ||
					   transfer ==
						   TRANSFER_COPY_AND_RELEASE;
		/* A new owner has to place a repeated SYN as before. */
		snapshot->has_pins[i] = transfer == TRANSFER_COPY_AND_RELEASE ||
					(transfer == TRANSFER_RELEASE &&
					 core->shards[i].is_acting);
		if (!snapshot->has_records[i] && !snapshot->has_pins[i])
			continue;
		snapshot->records[i] =
			g_array_new(FALSE, FALSE, sizeof(struct flow_record));
		has_copies = true;
	}
	if (!has_copies)
		return;
	flow_table_visit(core->flows, snapshot_visit, snapshot);
	unacknowledged_collect(snapshot, peer);
}

/* A release that was received may be asked for again. */
static void transfers_forget(struct peer *peer)
{
	const struct stream *stream = &peer->streams[STREAM_SHARDS];

	if (stream->out_acknowledged + 1 != stream->out_next)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		if (peer->transfers[i] == TRANSFER_RELEASED)
			peer->transfers[i] = TRANSFER_NONE;
	}
}

void transfers_run(struct core *core, struct peer *peer)
{
	struct stream_message piece = { .kind = CORE_MESSAGE_SHARD_STATE };
	struct stream_message release = { .kind = CORE_MESSAGE_SHARD_RELEASE };
	struct snapshot snapshot = { .core = core };

	transfers_forget(peer);
	if (!peer->has_transfers)
		return;
	peer->has_transfers = false;
	stream_flush_batch(core, peer);
	snapshot_begin(core, peer, &snapshot);
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		uint8_t transfer = peer->transfers[i];

		if (snapshot.records[i]) {
			snapshot_send(core, peer, i, snapshot.records[i],
				      &piece);
			g_array_free(snapshot.records[i], TRUE);
		}
		if (transfer == TRANSFER_COPY)
			peer->transfers[i] = TRANSFER_NONE;
		else if (transfer == TRANSFER_COPY_AND_RELEASE ||
			 transfer == TRANSFER_RELEASE)
			shard_release(core, peer, i, &release.shards);
	}
	if (!shard_set_is_empty(&piece.shards))
		piece_send(core, peer, &piece);
	if (!shard_set_is_empty(&release.shards))
		stream_append(core, peer, STREAM_SHARDS, release);
}
