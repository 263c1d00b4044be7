#include "sharing_state.h"

#include <string.h>

#include "sharing/replica.h"

static void leader_poll(struct sharing *sharing, int64_t now_ns)
{
	sharing->poll_sent_ns = now_ns;
	sharing->next_poll_ns = now_ns + (drains_are_awaited(sharing)
						  ? PAGE_RETRY_NS
						  : POLL_INTERVAL_NS);
	poll_send(sharing, sharing->leader);
}

void follow_set_leader(struct sharing *sharing, uint32_t leader,
		       const char *reason)
{
	int64_t now_ns = clock_now_ns(sharing->options.clock);

	if (sharing->leader == leader)
		return;
	sharing->leader = leader;
	sharing->leader_since_ns = now_ns;
	sharing->poll_sent_ns = 0;
	sharing->next_poll_ns = 0;
	sharing->consecutive_poll_timeouts = 0;
	sharing->last_fresh_update_ns = 0;
	/* A transfer from the alternate goes on. */
	if (sharing->routes_transfer.source != sharing->alternate ||
	    !alternate_is_active(sharing, now_ns))
		routes_drop(sharing, "leader_changed");
	sharing->counters[SHARING_LEADER_CHANGES]++;
	sharing->options.on_leader_changed(sharing->options.context, leader,
					   reason);
}

void follow_tick(struct sharing *sharing, int64_t now_ns)
{
	listing_tick(sharing, now_ns);
	if (sharing->leader == 0 || !sharing_is_synced(sharing))
		return;
	if (sharing->poll_sent_ns != 0 &&
	    now_ns - sharing->poll_sent_ns >= POLL_TIMEOUT_NS) {
		sharing->poll_sent_ns = 0;
		sharing->consecutive_poll_timeouts++;
		sharing->next_poll_ns = now_ns;
		sharing->counters[SHARING_POLL_TIMEOUTS]++;
		if (sharing->consecutive_poll_timeouts >= POLL_TIMEOUTS_MAX) {
			members_mark_unresponsive(sharing->members,
						  sharing->leader, now_ns);
			return;
		}
	}
	if (sharing->poll_sent_ns == 0 && now_ns >= sharing->next_poll_ns)
		leader_poll(sharing, now_ns);
}

static void loads_apply(struct sharing *sharing,
			const struct sharing_message *update)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct known_host *)value)->peer_flows = 0;
	for (size_t i = 0; i < update->load_count; i++) {
		struct known_host *host =
			host_table_find_token(table, update->loads[i].token);

		if (host)
			host->peer_flows = update->loads[i].flows;
	}
	/* The total includes what this balancer reported. */
	for (size_t i = 0; i < sharing->reported_load_count; i++) {
		const struct host_load *own = &sharing->reported_loads[i];
		struct known_host *host =
			host_table_find_token(table, own->token);

		if (host)
			host->peer_flows -= MIN(host->peer_flows, own->flows);
	}
}

/* True if @update leaves out no change after those that the replica has. */
static bool is_contiguous(const struct sharing *sharing, uint32_t address,
			  const struct sharing_message *update)
{
	const char *cursor = changes_cursor(sharing, address);
	const struct store_position base = {
		.era = update->position.era,
		.revision = update->base_revision,
	};

	return !store_position_is_before(
		       sharing->options.replica_status->position, base) ||
	       (*cursor != '\0' && update->base_revision == page_id(cursor));
}

/*
 * Records where the changes continue. Returns false without progress: the same
 * changes would come again at once.
 */
static bool changes_continue(struct sharing *sharing, uint32_t address,
			     const char *cursor)
{
	struct changes_position *position = &sharing->changes_position;

	if (strcmp(cursor, changes_cursor(sharing, address)) <= 0)
		return false;
	position->source = address;
	position->after = sharing->options.replica_status->position;
	g_strlcpy(position->cursor, cursor, sizeof(position->cursor));
	return true;
}

/* Returns true if the rest is to be requested at once. */
static bool host_changes_apply(struct sharing *sharing, uint32_t address,
			       const struct sharing_message *update,
			       int64_t now_ns)
{
	struct replica_status *replica_status = sharing->options.replica_status;
	bool has_routes = routes_version(sharing) >= update->routes_version;

	if (!replica_status->is_complete ||
	    !is_contiguous(sharing, address, update)) {
		sharing->counters[SHARING_UPDATES_REJECTED]++;
		return false;
	}
	replica_apply(steering_hosts(sharing->options.steering), NULL, update,
		      now_ns);
	if (has_routes)
		replica_status->position = store_position_max(
			replica_status->position, update->position);
	if (update->has_more)
		return changes_continue(sharing, address, update->cursor);
	if (has_routes)
		sharing->changes_position.source = 0;
	return false;
}

/* True if the replica has all that the member had when it sent @update. */
static bool update_is_applied(const struct sharing *sharing,
			      const struct sharing_message *update)
{
	const struct replica_status *replica_status =
		sharing->options.replica_status;

	return replica_status->is_complete && update->chunk == 0 &&
	       !update->has_more &&
	       !store_position_is_before(replica_status->position,
					 update->position) &&
	       routes_version(sharing) >= update->routes_version;
}

/* Returns true if the rest is to be requested at once. */
static bool update_apply(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *update, int64_t now_ns)
{
	bool is_complete = sharing->options.replica_status->is_complete;
	bool wants_more = false;

	/* During the first listing, only updates from its source apply. */
	if (!is_complete && address != sharing->listing_source)
		return false;
	if (update->is_listing) {
		wants_more =
			listing_handle_update(sharing, address, update, now_ns);
	} else if (update->chunk == 0 && !update->needs_listing) {
		wants_more =
			host_changes_apply(sharing, address, update, now_ns);
	}
	return routes_handle_chunk(sharing, address, update, now_ns) ||
	       wants_more;
}

static void leader_record_response(struct sharing *sharing, uint32_t address,
				   int64_t now_ns)
{
	if (sharing->poll_sent_ns != 0)
		histogram_record(&sharing->poll_response_us,
				 (uint64_t)(now_ns - sharing->poll_sent_ns) /
					 NS_PER_US);
	members_mark_responsive(sharing->members, address, now_ns);
	sharing->poll_sent_ns = 0;
	sharing->consecutive_poll_timeouts = 0;
	sharing->leader_response_ns = now_ns;
}

static void poll_again(struct sharing *sharing, bool is_leader, int64_t now_ns)
{
	if (is_leader)
		leader_poll(sharing, now_ns);
	else
		alternate_poll(sharing, now_ns);
}

/*
 * The era of the member is another one. What an earlier one gave out as news may
 * be lost, and the member may have missed what came since, so it is skipped
 * until it has listed.
 */
static void other_era_handle(struct sharing *sharing, uint32_t address,
			     bool is_leader,
			     const struct sharing_message *update,
			     int64_t now_ns)
{
	if (update->position.era < sharing_era(sharing)) {
		sharing->counters[SHARING_UPDATES_REJECTED]++;
		members_mark_unresponsive(sharing->members, address, now_ns);
		return;
	}
	sharing->counters[SHARING_UPDATES_APPLIED]++;
	if (listing_handle_new_era(sharing, address, update, now_ns))
		poll_again(sharing, is_leader, now_ns);
}

void follow_handle_update(struct sharing *sharing, uint32_t address,
			  const struct sharing_message *update, int64_t now_ns)
{
	bool is_leader = address == sharing->leader;
	bool is_alternate = address == sharing->alternate &&
			    alternate_is_active(sharing, now_ns);
	int64_t polled_ns = is_leader && sharing->poll_sent_ns != 0
				    ? sharing->poll_sent_ns
				    : now_ns;
	int64_t confirmed_ns =
		polled_ns - (int64_t)update->update_age_ms * NS_PER_MS;
	struct replica_status *replica_status = sharing->options.replica_status;

	if (!is_leader && !is_alternate) {
		sharing->counters[SHARING_UPDATES_REJECTED]++;
		return;
	}
	if (is_leader)
		leader_record_response(sharing, address, now_ns);
	if (is_alternate)
		alternate_handle_response(sharing, now_ns);
	if (update->update_age_ms == UINT32_MAX) {
		listing_give_up(sharing, address);
		if (is_alternate && !sharing_is_synced(sharing))
			alternate_replace(sharing, now_ns);
		return;
	}
	if (replica_status->is_complete &&
	    update->position.era != sharing_era(sharing)) {
		other_era_handle(sharing, address, is_leader, update, now_ns);
		return;
	}
	if (update->needs_listing && replica_status->is_complete) {
		/*
		 * The member started recently; others have older changes. What
		 * it has is applied all the same, without its revision.
		 */
		members_mark_unresponsive(sharing->members, address, now_ns);
		replica_apply(steering_hosts(sharing->options.steering), NULL,
			      update, now_ns);
		if (routes_handle_chunk(sharing, address, update, now_ns))
			poll_again(sharing, is_leader, now_ns);
		return;
	}
	sharing->counters[SHARING_UPDATES_APPLIED]++;
	replica_status->source = "peer";
	if (is_leader && now_ns - confirmed_ns <= MEMBER_REPLICA_AGE_MAX_NS)
		sharing->last_fresh_update_ns = now_ns;
	if (update_apply(sharing, address, update, now_ns)) {
		poll_again(sharing, is_leader, now_ns);
		return;
	}
	if (is_leader && update->load_count > 0)
		loads_apply(sharing, update);
	if (update_is_applied(sharing, update))
		replica_status->confirmed_ns =
			MAX(replica_status->confirmed_ns, confirmed_ns);
}
