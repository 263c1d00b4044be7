#ifndef PARSLEYLADDER_PARSLEYLADDER_PEERING_H
#define PARSLEYLADDER_PARSLEYLADDER_PEERING_H

/**
 * Joins the transport, the message codec, the membership and the core.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "configuration/settings.h"
#include "core/core.h"
#include "peer/membership.h"
#include "peer/message_codec.h"
#include "peer/transport.h"

struct peering;

struct peering_options {
	const struct settings *settings;
	const struct clock *clock;
	uint64_t random_seed;
	void (*on_view)(void *context, const struct member_view *view);
	void (*on_heartbeat)(void *context, uint64_t sender_id,
			     const struct heartbeat *heartbeat);
	void (*on_core_message)(void *context, uint64_t sender_id,
				const struct core_message *message);
	/** Messages that exchange revisions between members. */
	void (*on_revision_message)(void *context, uint64_t sender_id,
				    const struct peer_message *message);
	void *context;
};

/** Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_SETTINGS). */
struct peering *peering_create(const struct peering_options *options,
			       struct error *error);
void peering_destroy(struct peering *peering);
void peering_send_core(struct peering *peering, uint64_t member_id,
		       const struct core_message *message,
		       enum message_priority priority);
void peering_send(struct peering *peering, uint64_t member_id,
		  const struct peer_message *message,
		  enum message_priority priority);
uint64_t peering_budget_bytes(struct peering *peering);
struct membership *peering_membership(struct peering *peering);
/** Name of an instance of the settings, or "unknown". */
const char *peering_member_name(const struct peering *peering,
				uint64_t member_id);
void peering_print_json(const struct peering *peering, JsonBuilder *builder);

#endif
