/* Answers to members that are behind. */

#include "peer/revision_sync_state.h"

static const struct revision_index *find_base(const struct revision_sync *sync,
					      uint64_t revision)
{
	for (GList *link = sync->history.head; link; link = link->next) {
		const struct revision_index *index = link->data;

		if (index->revision == revision)
			return index;
	}
	return NULL;
}

void revision_sync_answer_index(struct revision_sync *sync, uint64_t sender_id,
				const struct peer_message *request)
{
	const struct revision_index *base =
		find_base(sync, request->base_revision);
	struct peer_message answer = { .kind = PEER_MESSAGE_REVISION_INDEX };

	if (!sync->current)
		return;
	answer.revision = sync->current->revision;
	answer.base_revision = base ? base->revision : 0;
	answer.parts =
		revision_index_changes(base, sync->index, &answer.part_count);
	sync->counters[REVISION_SYNC_INDEXES_SENT]++;
	sync->options.send(sync->options.context, sender_id, &answer);
	g_free(answer.parts);
}

void revision_sync_answer_part(struct revision_sync *sync, uint64_t sender_id,
			       const struct peer_message *request)
{
	struct peer_message answer = {
		.kind = PEER_MESSAGE_PART,
		.revision = request->revision,
		.part_name = request->part_name,
		.part_digest = request->part_digest,
	};
	GBytes *part;

	if (!sync->current || !request->part_name)
		return;
	/* No bytes tell that the part is not held here any more. */
	part = g_hash_table_lookup(sync->current->parts, request->part_name);
	if (part && revision_index_digest_of(sync->index, request->part_name) ==
			    request->part_digest)
		answer.part_data = g_bytes_get_data(part, &answer.part_bytes);
	sync->counters[REVISION_SYNC_PARTS_SENT]++;
	sync->options.send(sync->options.context, sender_id, &answer);
}
