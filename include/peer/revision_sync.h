#ifndef PARSLEYLADDER_PEER_REVISION_SYNC_H
#define PARSLEYLADDER_PEER_REVISION_SYNC_H

/**
 * Exchange of configuration revisions between members, and the election of the
 * members that read the platform. A pure state machine: messages, views and
 * time in; messages and revisions out.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "configuration/configuration.h"
#include "peer/message_codec.h"
#include "placement/member_view.h"

struct revision_sync;

struct revision_sync_options {
	uint64_t self_id;
	const struct clock *clock;
	uint64_t random_seed; /* for jitter */
	void (*send)(void *context, uint64_t member_id,
		     const struct peer_message *message);
	/** A valid revision above the current one; takes over a reference. */
	void (*on_revision)(void *context, struct configuration *configuration);
	void (*on_refused)(void *context, uint64_t revision,
			   const struct error *error);
	void *context;
};

struct revision_sync *
revision_sync_create(const struct revision_sync_options *options);
void revision_sync_destroy(struct revision_sync *sync);
/** Copies what it needs of @view. */
void revision_sync_set_view(struct revision_sync *sync,
			    const struct member_view *view);
/** The configuration in force changed, whatever its source. */
void revision_sync_set_current(struct revision_sync *sync,
			       struct configuration *configuration);
/** A heartbeat of @sender_id announced its revision. */
void revision_sync_handle_announcement(struct revision_sync *sync,
				       uint64_t sender_id, uint64_t revision,
				       uint64_t digest);
/** A REVISION_* or PART_* message. */
void revision_sync_handle_message(struct revision_sync *sync,
				  uint64_t sender_id,
				  const struct peer_message *message);
/** Runs timers. Call it every 50 ms. */
void revision_sync_tick(struct revision_sync *sync);
/** True while this member has to watch the platform. */
bool revision_sync_is_reader(const struct revision_sync *sync);
void revision_sync_print_json(const struct revision_sync *sync,
			      JsonBuilder *builder);

#endif
