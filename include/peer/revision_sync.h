#ifndef PARSLEYLADDER_PEER_REVISION_SYNC_H
#define PARSLEYLADDER_PEER_REVISION_SYNC_H

/**
 * Exchange of revisions between balancers, and the choice of those that watch
 * the platform. A pure state machine: heartbeats, messages, views and time in;
 * messages and configurations out.
 *
 * Heartbeats announce revision and digest. A member that is behind asks one of
 * the members that are ahead for the changed digests and then for the parts
 * that it lacks, one after another.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "configuration/configuration.h"
#include "peer/message_codec.h"
#include "placement/member_view.h"

struct revision_sync;

struct revision_sync_options {
	uint64_t self_id;
	const struct clock *clock;
	uint64_t random_seed;
	size_t peer_count; /* peers in the settings, reachable or not */
	/** Sends a message with priority MESSAGE_PRIORITY_REVISION. */
	void (*send)(void *context, uint64_t member_id,
		     const struct peer_message *message);
	/**
	 * A valid revision above the one in force; the callee owns a reference.
	 * revision_sync_set_current() was already done.
	 */
	void (*on_configuration)(void *context,
				 struct configuration *configuration);
	/** A revision that was refused, with the reason. */
	void (*on_refused)(void *context, uint64_t revision,
			   const struct error *error);
	/** revision_sync_is_reader() has changed. */
	void (*on_reader)(void *context, bool is_reader);
	void *context;
};

struct revision_sync *
revision_sync_create(const struct revision_sync_options *options);
void revision_sync_destroy(struct revision_sync *sync);
/** Configuration in force, from the platform or from files. */
void revision_sync_set_current(struct revision_sync *sync,
			       struct configuration *configuration);
/** Copies @view; one with the version of the last is ignored. */
void revision_sync_set_view(struct revision_sync *sync,
			    const struct member_view *view);
void revision_sync_handle_heartbeat(struct revision_sync *sync,
				    uint64_t sender_id,
				    const struct heartbeat *heartbeat);
/** Handles REVISION_* and PART_* messages and ignores others. */
void revision_sync_handle_message(struct revision_sync *sync,
				  uint64_t sender_id,
				  const struct peer_message *message);
/** Runs timers. Call it every 100 ms or more often. */
void revision_sync_tick(struct revision_sync *sync);
/** True if this instance is to watch the platform. */
bool revision_sync_is_reader(const struct revision_sync *sync);
void revision_sync_print_json(const struct revision_sync *sync,
			      JsonBuilder *builder);

#endif
