#ifndef PARSLEYLADDER_PEER_REVISION_SYNC_STATE_H
#define PARSLEYLADDER_PEER_REVISION_SYNC_STATE_H

/** State of the revision exchange. Internal to the package. */

#include <glib.h>

#include "peer/reader_election.h"
#include "peer/revision_index.h"
#include "peer/revision_sync.h"

/** Former revisions to which a member can answer with the changes only. */
#define REVISION_HISTORY 16

enum revision_sync_counter {
	REVISION_SYNC_INDEXES_REQUESTED,
	REVISION_SYNC_PARTS_REQUESTED,
	REVISION_SYNC_RETRIES,
	REVISION_SYNC_MISMATCHES, /* index or part with another digest */
	REVISION_SYNC_APPLIED,
	REVISION_SYNC_REFUSED,
	REVISION_SYNC_CONFLICTS, /* peer has this revision, but differs */
	REVISION_SYNC_INDEXES_SENT,
	REVISION_SYNC_PARTS_SENT,
	REVISION_SYNC_COUNTERS,
};

/** What the last heartbeat of a member announced. */
struct announcement {
	uint64_t revision;
	uint64_t digest;
	int64_t heard_ns;
};

enum transfer_state {
	TRANSFER_NONE,
	TRANSFER_INDEX, /* an index was requested */
	TRANSFER_PART, /* a part was requested */
};

/** The revision that is being fetched. */
struct transfer {
	enum transfer_state state;
	uint64_t revision;
	uint64_t digest;
	uint64_t source_id;
	struct revision_index *index; /* NULL until it has come */
	GHashTable *parts; /* so far; kept over retries */
	GQueue missing; /* names in @index */
	bool wants_complete; /* the changes did not fit, so ask for all */
	unsigned int attempt; /* failed requests in a row */
	int64_t deadline_ns; /* of the request */
};

struct revision_sync {
	struct revision_sync_options options;
	GRand *random;
	struct member_view *view;
	struct configuration *current;
	struct revision_index *index; /* of @current */
	GQueue history; /* struct revision_index, newest first */
	GHashTable *announcements; /* member id to struct announcement */
	struct transfer transfer;
	int64_t resume_ns; /* no new transfer before */
	int64_t behind_since_ns; /* 0 if not behind */
	uint64_t refused_revision;
	struct reader_election election;
	uint64_t counters[REVISION_SYNC_COUNTERS];
};

/** Member @member_id of @view, or NULL. */
const struct member *revision_sync_member(const struct member_view *view,
					  uint64_t member_id);
/** Answers REVISION_REQUEST and PART_REQUEST. */
void revision_sync_answer_index(struct revision_sync *sync, uint64_t sender_id,
				const struct peer_message *request);
void revision_sync_answer_part(struct revision_sync *sync, uint64_t sender_id,
			       const struct peer_message *request);

void transfer_init(struct transfer *transfer);
void transfer_clear(struct transfer *transfer);
/** Starts, retries or ends what is due at @now_ns. */
void transfer_step(struct revision_sync *sync, int64_t now_ns);
void transfer_handle_index(struct revision_sync *sync, uint64_t sender_id,
			   const struct peer_message *message);
void transfer_handle_part(struct revision_sync *sync, uint64_t sender_id,
			  const struct peer_message *message);
/** Greatest revision that a member heard lately announces, 0 for none. */
uint64_t transfer_announced_revision(const struct revision_sync *sync,
				     int64_t now_ns);
/** Adopts a revision that came from a peer. */
void revision_sync_adopt(struct revision_sync *sync,
			 struct configuration *configuration);

#endif
