#include "core/core_state.h"

#define BATCH_RECORDS_MAX 200
#define REPEATS_MAX 4
#define STREAM_RESEND_MAX_NS (5 * NS_PER_S)

static void message_free(gpointer data)
{
	struct stream_message *message = data;

	if (message->records)
		g_array_free(message->records, TRUE);
	g_free(message);
}

static void waiting_clear(struct stream *stream)
{
	for (uint32_t i = 0; i < STREAM_WINDOW; i++) {
		if (stream->in_waiting[i])
			message_free(stream->in_waiting[i]);
		stream->in_waiting[i] = NULL;
	}
}

static int64_t resend_ns(uint64_t stream_id)
{
	return (stream_id & 1) == STREAM_RECORDS ? RECORDS_RESEND_NS
						 : STREAM_RESEND_NS;
}

/* Ids rise, and their lowest bit names the channel. */
static void outgoing_reset(struct core *core, struct stream *stream,
			   enum stream_channel channel)
{
	uint64_t old_id = stream->out_id;

	g_queue_clear_full(&stream->out, message_free);
	g_queue_init(&stream->out);
	stream->out_next = 1;
	stream->out_sent = 0;
	stream->out_acknowledged = 0;
	stream->resend_at_ns = 0;
	stream->resend_interval_ns = resend_ns(channel);
	stream->out_id =
		MAX((uint64_t)core->now_ns, old_id / 2 + 1) * 2 + channel;
}

void peer_free(void *data)
{
	struct peer *peer = data;

	for (int i = 0; i < STREAM_CHANNELS; i++) {
		g_queue_clear_full(&peer->streams[i].out, message_free);
		waiting_clear(&peer->streams[i]);
	}
	g_array_free(peer->batch, TRUE);
	g_array_free(peer->answers, TRUE);
	g_free(peer);
}

struct peer *peer_get(struct core *core, uint64_t member_id)
{
	struct peer *peer = g_hash_table_lookup(core->peers, &member_id);

	if (peer)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->id = member_id;
	peer->batch = g_array_new(FALSE, FALSE, sizeof(struct flow_record));
	peer->answers = g_array_new(FALSE, FALSE, sizeof(struct flow_record));
	for (int i = 0; i < STREAM_CHANNELS; i++)
		outgoing_reset(core, &peer->streams[i], i);
	g_hash_table_insert(core->peers, &peer->id, peer);
	return peer;
}

void peer_reset(struct core *core, struct peer *peer)
{
	for (int i = 0; i < STREAM_CHANNELS; i++)
		outgoing_reset(core, &peer->streams[i], i);
	g_array_set_size(peer->batch, 0);
	g_array_set_size(peer->answers, 0);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		peer->transfers[i] = TRANSFER_NONE;
	peer->has_transfers = false;
}

void peer_restarted(struct core *core, struct peer *peer)
{
	peer_reset(core, peer);
	for (int i = 0; i < STREAM_CHANNELS; i++) {
		waiting_clear(&peer->streams[i]);
		peer->streams[i].in_id = 0;
		peer->streams[i].in_sequence = 0;
		peer->streams[i].acknowledge_at_ns = 0;
	}
}

static void message_send(struct core *core, const struct peer *peer,
			 const struct stream *stream,
			 const struct stream_message *queued)
{
	struct core_message message = {
		.kind = queued->kind,
		.shards = queued->shards,
		.stream = stream->out_id,
		.sequence = queued->sequence,
	};

	if (queued->records) {
		message.records =
			(const struct flow_record *)queued->records->data;
		message.record_count = queued->records->len;
	}
	core->options.send(core->options.context, peer->id, &message,
			   queued->kind == CORE_MESSAGE_RECORDS
				   ? MESSAGE_PRIORITY_RECORDS
				   : MESSAGE_PRIORITY_SHARD);
}

static void stream_send_new(struct core *core, struct peer *peer,
			    struct stream *stream)
{
	for (GList *link = stream->out.head; link; link = link->next) {
		struct stream_message *message = link->data;

		if (message->sequence <= stream->out_sent)
			continue;
		if (message->sequence >
		    stream->out_acknowledged + STREAM_WINDOW)
			return;
		/* Later messages must not put off repeating a lost one. */
		if (stream->out_sent == stream->out_acknowledged)
			stream->resend_at_ns =
				core->now_ns + stream->resend_interval_ns;
		message_send(core, peer, stream, message);
		stream->out_sent = message->sequence;
	}
}

void stream_append(struct core *core, struct peer *peer,
		   enum stream_channel channel, struct stream_message message)
{
	struct stream *stream = &peer->streams[channel];

	message.sequence = stream->out_next++;
	g_queue_push_tail(&stream->out, g_memdup2(&message, sizeof(message)));
	/* Skips the walk over the queue while the window is full. */
	if (message.sequence <= stream->out_acknowledged + STREAM_WINDOW)
		stream_send_new(core, peer, stream);
}

void stream_flush_batch(struct core *core, struct peer *peer)
{
	while (peer->batch->len > 0) {
		guint count = MIN(peer->batch->len, BATCH_RECORDS_MAX);
		struct stream_message message = {
			.kind = CORE_MESSAGE_RECORDS,
			.records = g_array_new(FALSE, FALSE,
					       sizeof(struct flow_record)),
		};

		g_array_append_vals(message.records, peer->batch->data, count);
		g_array_remove_range(peer->batch, 0, count);
		core->counters.records_sent += count;
		stream_append(core, peer, STREAM_RECORDS, message);
	}
}

/*
 * The receiver keeps what comes out of order, so only the oldest messages are
 * repeated, less and less often while the budget may be short.
 */
static void stream_repeat(struct core *core, const struct peer *peer,
			  struct stream *stream)
{
	int count = 0;

	for (GList *link = stream->out.head; link && count < REPEATS_MAX;
	     link = link->next, count++) {
		const struct stream_message *message = link->data;

		if (message->sequence > stream->out_sent)
			break;
		message_send(core, peer, stream, message);
	}
	stream->resend_interval_ns =
		MIN(2 * stream->resend_interval_ns, STREAM_RESEND_MAX_NS);
	stream->resend_at_ns = core->now_ns + stream->resend_interval_ns;
}

static void acknowledge(struct core *core, const struct peer *peer,
			struct stream *stream)
{
	const struct core_message reply = {
		.kind = CORE_MESSAGE_STREAM_ACKNOWLEDGEMENT,
		.stream = stream->in_id,
		.sequence = stream->in_sequence,
	};

	stream->acknowledge_at_ns = 0;
	core->options.send(core->options.context, peer->id, &reply,
			   MESSAGE_PRIORITY_RECORDS);
}

void stream_tick(struct core *core, struct peer *peer)
{
	for (int i = 0; i < STREAM_CHANNELS; i++) {
		struct stream *stream = &peer->streams[i];

		if (stream->acknowledge_at_ns != 0 &&
		    core->now_ns >= stream->acknowledge_at_ns)
			acknowledge(core, peer, stream);
		if (stream->out.length == 0 ||
		    core->now_ns < stream->resend_at_ns)
			continue;
		stream_repeat(core, peer, stream);
	}
}

void stream_acknowledged(struct core *core, struct peer *peer,
			 const struct core_message *message)
{
	struct stream *stream = &peer->streams[message->stream & 1];
	struct stream_message *head;

	if (message->stream != stream->out_id ||
	    message->sequence <= stream->out_acknowledged ||
	    message->sequence >= stream->out_next)
		return;
	stream->out_acknowledged = message->sequence;
	stream->out_sent = MAX(stream->out_sent, message->sequence);
	while ((head = g_queue_peek_head(&stream->out)) &&
	       head->sequence <= message->sequence)
		message_free(g_queue_pop_head(&stream->out));
	stream->resend_interval_ns = resend_ns(stream->out_id);
	stream->resend_at_ns = core->now_ns + stream->resend_interval_ns;
	stream_send_new(core, peer, stream);
}

static struct stream_message *message_take(const struct core_message *from)
{
	struct stream_message *message = g_new0(struct stream_message, 1);

	message->kind = from->kind;
	message->shards = from->shards;
	message->sequence = from->sequence;
	message->records =
		g_array_new(FALSE, FALSE, sizeof(struct flow_record));
	if (from->record_count > 0)
		g_array_append_vals(message->records, from->records,
				    (guint)from->record_count);
	return message;
}

static void waiting_apply(struct core *core, struct peer *peer,
			  struct stream *stream)
{
	struct stream_message **slot;

	for (;;) {
		slot = &stream->in_waiting[(stream->in_sequence + 1) %
					   STREAM_WINDOW];
		if (!*slot)
			return;
		stream->in_sequence++;
		records_apply(core, peer->id, *slot);
		message_free(*slot);
		*slot = NULL;
	}
}

void stream_receive(struct core *core, struct peer *peer,
		    const struct core_message *message)
{
	struct stream *stream = &peer->streams[message->stream & 1];
	struct stream_message **slot;
	bool is_repeat;

	if (message->stream < stream->in_id || message->sequence == 0)
		return;
	if (message->stream > stream->in_id) {
		waiting_clear(stream);
		stream->in_id = message->stream;
		stream->in_sequence = 0;
	}
	is_repeat = message->sequence <= stream->in_sequence;
	slot = &stream->in_waiting[message->sequence % STREAM_WINDOW];
	if (message->sequence > stream->in_sequence &&
	    message->sequence <= stream->in_sequence + STREAM_WINDOW && !*slot)
		*slot = message_take(message);
	waiting_apply(core, peer, stream);
	if (message->kind != CORE_MESSAGE_RECORDS || is_repeat)
		acknowledge(core, peer, stream);
	else if (stream->acknowledge_at_ns == 0)
		stream->acknowledge_at_ns =
			core->now_ns + RECORDS_ACKNOWLEDGE_NS;
}
