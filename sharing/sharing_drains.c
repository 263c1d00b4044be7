#include "sharing_state.h"

#include "sharing/zone_drains_codec.h"

/*
 * Drained zones are not part of the updates, whose format members of the
 * previous version share. The state is small, so a message always carries all
 * of it. Leader and follower exchange it until they report the same digest, and
 * are silent from then on.
 */

/*
 * Times that the state is sent to a follower that never replied, one time a
 * poll; a reply may be lost.
 */
#define UNANSWERED_MAX 3
/* Interval after that: a member of the previous version never replies. */
#define UNANSWERED_INTERVAL_NS (5 * NS_PER_S)
/*
 * Interval at which a follower with the same state gets a newer revision: a
 * follower that becomes store reader watches from there.
 */
#define REVISION_INTERVAL_NS (5 * NS_PER_S)

static void state_fill(const struct sharing *sharing,
		       struct sharing_message *message)
{
	const struct replica_status *replica_status =
		sharing->options.replica_status;
	const struct zone_drains *drains =
		steering_zone_drains(sharing->options.steering);
	const struct zone_drain *entries;
	size_t count;

	entries = zone_drains_entries(drains, &count);
	message->kind = SHARING_ZONE_DRAINS;
	message->position.era = zone_drains_era(drains);
	message->listed_position = zone_drains_listed_position(drains);
	/* It is of a former era until what is known of the new one is complete. */
	if (replica_status->zone_drains_position.era == message->position.era) {
		message->is_complete = replica_status->has_zone_drains;
		message->position = replica_status->zone_drains_position;
	}
	message->drains = g_array_new(FALSE, FALSE, sizeof(struct zone_drain));
	if (count > 0)
		g_array_append_vals(message->drains, entries, (guint)count);
}

static void state_send(struct sharing *sharing, uint32_t address,
		       struct sharing_message *state)
{
	sharing->counters[SHARING_DRAINS_SENT]++;
	state->has_era = members_knows_eras(sharing->members, address);
	sharing_send(sharing, address, state);
}

static void follower_send(struct sharing *sharing, uint32_t address,
			  struct follower_drains *follower,
			  struct sharing_message *state, int64_t now_ns)
{
	follower->sent_digest = zone_drains_digest(state);
	follower->sent_ns = now_ns;
	follower->unanswered++;
	state_send(sharing, address, state);
}

/* True if the state is to be sent with the response to a poll. */
static bool is_due(const struct follower_drains *follower,
		   const struct sharing_message *state, int64_t now_ns)
{
	uint64_t digest = zone_drains_digest(state);
	int64_t since_ns = now_ns - follower->sent_ns;

	if (follower->digest == digest &&
	    follower->position.era == state->position.era)
		return state->is_complete &&
		       store_position_is_before(follower->position,
						state->position) &&
		       since_ns >= REVISION_INTERVAL_NS;
	return follower->sent_digest != digest || follower->digest != 0 ||
	       follower->unanswered < UNANSWERED_MAX ||
	       since_ns >= UNANSWERED_INTERVAL_NS;
}

void drains_serve(struct sharing *sharing, uint32_t address,
		  struct follower_drains *follower, int64_t now_ns)
{
	struct sharing_message state = { 0 };

	state_fill(sharing, &state);
	if (is_due(follower, &state, now_ns))
		follower_send(sharing, address, follower, &state, now_ns);
	sharing_message_clear(&state);
}

void drains_push(struct sharing *sharing, int64_t now_ns)
{
	struct sharing_message state = { 0 };
	GHashTableIter iterator;
	uint64_t digest;
	gpointer key;
	gpointer value;

	state_fill(sharing, &state);
	digest = zone_drains_digest(&state);
	g_hash_table_iter_init(&iterator, sharing->followers);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		struct follower_drains *follower =
			&((struct follower *)value)->drains;

		/* What was lost is sent again with the next poll. */
		if (follower->digest != digest &&
		    follower->sent_digest != digest)
			follower_send(sharing, GPOINTER_TO_UINT(key), follower,
				      &state, now_ns);
	}
	sharing_message_clear(&state);
}

static void state_merge(struct sharing *sharing,
			const struct sharing_message *message, int64_t now_ns)
{
	struct zone_drains *drains =
		steering_zone_drains(sharing->options.steering);
	const struct zone_drains_state state = {
		.era = message->position.era,
		.entries = (const struct zone_drain *)message->drains->data,
		.count = message->drains->len,
		.listed_position = message->listed_position,
	};
	struct replica_status *replica_status = sharing->options.replica_status;
	const char *source = replica_status->source;
	uint64_t era = zone_drains_era(drains);

	/* In a new era, only a complete state says which zones are drained. */
	if (state.era < era || (state.era > era && !message->is_complete))
		return;
	/* The source of the hosts and routes stays the same. */
	replica_status->source = "peer";
	zone_drains_merge(drains, &state, now_ns);
	replica_status->source = source;
	if (!message->is_complete)
		return;
	replica_status->has_zone_drains = true;
	replica_status->zone_drains_position = store_position_max(
		replica_status->zone_drains_position, message->position);
}

/*
 * A member of the previous version does not tell the era of its state, which
 * this balancer sent it.
 */
static void follower_record(struct sharing *sharing,
			    struct follower_drains *follower,
			    const struct sharing_message *message)
{
	follower->digest = zone_drains_digest(message);
	follower->position = message->position;
	if (!message->has_era)
		follower->position.era = zone_drains_era(
			steering_zone_drains(sharing->options.steering));
	follower->unanswered = 0;
}

static void reply_send(struct sharing *sharing, uint32_t address)
{
	struct sharing_message reply = { .is_reply = true };

	state_fill(sharing, &reply);
	state_send(sharing, address, &reply);
	sharing_message_clear(&reply);
}

void drains_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, bool is_polled,
		   int64_t now_ns)
{
	struct follower *follower = g_hash_table_lookup(
		sharing->followers, GUINT_TO_POINTER(address));

	sharing->counters[SHARING_DRAINS_RECEIVED]++;
	state_merge(sharing, message, now_ns);
	if (follower)
		follower_record(sharing, &follower->drains, message);
	/* Two members may poll each other; replies to replies never end. */
	if (!message->is_reply && is_polled)
		reply_send(sharing, address);
}

void drains_report(struct sharing *sharing, uint32_t address)
{
	reply_send(sharing, address);
}

void drains_tick(struct sharing *sharing, int64_t now_ns)
{
	if (sharing->complete_since_ns == 0 &&
	    sharing->options.replica_status->is_complete)
		sharing->complete_since_ns = now_ns;
}

struct store_position sharing_watch_position(const struct sharing *sharing)
{
	const struct replica_status *replica_status =
		sharing->options.replica_status;

	if (!sharing_can_watch_store(sharing))
		return STORE_POSITION_NONE;
	return store_position_min(replica_status->position,
				  replica_status->zone_drains_position);
}
