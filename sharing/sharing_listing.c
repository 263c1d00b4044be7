#include "sharing_state.h"

#include <string.h>

#include "sharing/replica.h"

void poll_send(struct sharing *sharing, uint32_t address)
{
	struct sharing_message poll = {
		.kind = SHARING_POLL,
		.position = sharing->options.replica_status->position,
		.routes_version = routes_base_version(sharing, address),
	};

	if (address == sharing->listing_source) {
		poll.is_listing = true;
		g_strlcpy(poll.cursor, sharing->cursor, sizeof(poll.cursor));
	} else {
		g_strlcpy(poll.cursor, changes_cursor(sharing, address),
			  sizeof(poll.cursor));
		poll.chunk = routes_next_chunk(sharing, address);
	}
	poll.load_count = serve_loads_fill(sharing, false, poll.loads);
	sharing->reported_load_count = poll.load_count;
	memcpy(sharing->reported_loads, poll.loads, sizeof(poll.loads));
	if (drains_are_awaited(sharing))
		drains_report(sharing, address);
	sharing->counters[SHARING_POLLS_SENT]++;
	sharing_send(sharing, address, &poll);
}

void alternate_poll(struct sharing *sharing, int64_t now_ns)
{
	sharing->next_alternate_poll_ns =
		now_ns +
		(sharing_is_synced(sharing) && !drains_are_awaited(sharing)
			 ? POLL_INTERVAL_NS
			 : PAGE_RETRY_NS);
	poll_send(sharing, sharing->alternate);
}

bool alternate_is_active(const struct sharing *sharing, int64_t now_ns)
{
	return sharing->alternate != 0 && now_ns < sharing->alternate_until_ns;
}

bool member_is_polled(const struct sharing *sharing, uint32_t address,
		      int64_t now_ns)
{
	return address == sharing->leader ||
	       (address == sharing->alternate &&
		alternate_is_active(sharing, now_ns));
}

static void alternate_set(struct sharing *sharing, uint32_t address,
			  int64_t now_ns)
{
	sharing->alternate = address;
	sharing->alternate_response_ns = now_ns;
	sharing->alternate_until_ns = now_ns + ALTERNATE_DURATION_NS;
	alternate_poll(sharing, now_ns);
}

static void listing_clear(struct sharing *sharing)
{
	sharing->listing_source = 0;
	sharing->cursor[0] = '\0';
	g_clear_pointer(&sharing->listing, host_listing_destroy);
}

/* @era: 0 for the first listing, of which any will do. */
static void listing_begin(struct sharing *sharing, uint32_t source,
			  uint64_t era, int64_t now_ns)
{
	listing_clear(sharing);
	sharing->listing_source = source;
	sharing->listing_era = era;
	sharing->listing_progress_ns = now_ns;
	sharing->counters[SHARING_LISTINGS_STARTED]++;
}

/*
 * Selects a member whose replica is up to date, at random: after a restart of
 * the zone, a few members could not serve all others. While the store is
 * unavailable, no replica is up to date. Then the most recent one is used,
 * after several members had time to respond, as one of them may have been
 * partitioned from the rest.
 */
static void alternate_select(struct sharing *sharing, int64_t now_ns)
{
	uint32_t selected = members_pick_up_to_date(
		sharing->members, sharing->random, REPLICA_AGE_MAX_NS, now_ns);

	if (selected == 0 &&
	    now_ns - sharing->started_ns >= STALE_LISTING_DELAY_NS)
		selected = members_pick_most_recent(sharing->members);
	if (selected == 0)
		return;
	if (!sharing->options.replica_status->is_complete)
		listing_begin(sharing, selected, 0, now_ns);
	alternate_set(sharing, selected, now_ns);
}

void alternate_consider(struct sharing *sharing, uint32_t address,
			uint32_t replica_age_ms, int64_t now_ns)
{
	if (replica_age_ms * NS_PER_MS >= REPLICA_AGE_MAX_NS)
		return;
	if (!sharing->options.replica_status->is_complete) {
		if (!alternate_is_active(sharing, now_ns))
			alternate_select(sharing, now_ns);
		return;
	}
	if (sharing_is_stale(sharing, now_ns) && address != sharing->leader &&
	    !alternate_is_active(sharing, now_ns))
		alternate_set(sharing, address, now_ns);
}

void alternate_replace(struct sharing *sharing, int64_t now_ns)
{
	if (sharing->alternate != 0)
		members_set_replica_age(sharing->members, sharing->alternate,
					UINT32_MAX, now_ns);
	sharing->alternate = 0;
	listing_clear(sharing);
	routes_drop(sharing, "alternate_replaced");
	alternate_select(sharing, now_ns);
}

/* Until the replica is synced, an unresponsive alternate is replaced. */
static void alternate_check(struct sharing *sharing, int64_t now_ns)
{
	if (sharing_is_synced(sharing))
		return;
	if (alternate_is_active(sharing, now_ns) &&
	    now_ns - sharing->alternate_response_ns < LISTING_TIMEOUT_NS)
		return;
	alternate_replace(sharing, now_ns);
}

/*
 * A listing of a new era is given up if its source no longer responds; the next
 * update of that era starts another one.
 */
static bool is_listing_over(const struct sharing *sharing, int64_t now_ns)
{
	if (!sharing->options.replica_status->is_complete)
		return false;
	/* The listing from the store may have been applied first. */
	return sharing->listing_era <= sharing_era(sharing) ||
	       now_ns - sharing->listing_progress_ns >= LISTING_TIMEOUT_NS;
}

void listing_tick(struct sharing *sharing, int64_t now_ns)
{
	if (sharing->listing_source != 0 && is_listing_over(sharing, now_ns))
		listing_clear(sharing);
	alternate_check(sharing, now_ns);
	if (alternate_is_active(sharing, now_ns) &&
	    now_ns >= sharing->next_alternate_poll_ns)
		alternate_poll(sharing, now_ns);
}

void alternate_handle_response(struct sharing *sharing, int64_t now_ns)
{
	sharing->alternate_response_ns = now_ns;
	if (sharing_is_synced(sharing))
		return;
	sharing->alternate_until_ns = now_ns + ALTERNATE_DURATION_NS;
	sharing->next_alternate_poll_ns = now_ns + PAGE_RETRY_NS;
}

/* The last page was received. */
static void listing_finish(struct sharing *sharing,
			   const struct sharing_message *update, int64_t now_ns)
{
	struct replica_status *replica_status = sharing->options.replica_status;
	bool is_first = !replica_status->is_complete;

	/* In a new era, the routes come first: their version is not in it. */
	if (is_first || routes_version(sharing) >= update->routes_version) {
		host_listing_finish(sharing->listing,
				    steering_hosts(sharing->options.steering),
				    now_ns);
		replica_status->position = store_position_max(
			replica_status->position,
			host_listing_position(sharing->listing));
		replica_status->is_complete = true;
	}
	if (is_first)
		replica_status->listed_routes_version = update->routes_version;
	listing_clear(sharing);
}

bool listing_handle_update(struct sharing *sharing, uint32_t address,
			   const struct sharing_message *update, int64_t now_ns)
{
	/* A late response to an earlier poll carries another page. */
	if (address != sharing->listing_source ||
	    update->base_revision != page_id(sharing->cursor))
		return false;
	if (sharing->listing && host_listing_position(sharing->listing).era !=
					update->position.era) {
		listing_begin(sharing, address, sharing->listing_era, now_ns);
		return true;
	}
	if (!sharing->listing)
		sharing->listing = host_listing_create(update->position);
	sharing->listing_progress_ns = now_ns;
	replica_apply(steering_hosts(sharing->options.steering),
		      sharing->listing, update, now_ns);
	if (update->has_more)
		g_strlcpy(sharing->cursor, update->cursor,
			  sizeof(sharing->cursor));
	else
		listing_finish(sharing, update, now_ns);
	return true;
}

bool listing_handle_new_era(struct sharing *sharing, uint32_t address,
			    const struct sharing_message *update,
			    int64_t now_ns)
{
	if (update->is_listing)
		return listing_handle_update(sharing, address, update, now_ns);
	if (routes_version(sharing) < update->routes_version)
		return routes_handle_chunk(sharing, address, update, now_ns);
	if (sharing->listing_source != 0)
		return false;
	listing_begin(sharing, address, update->position.era, now_ns);
	return true;
}

void listing_give_up(struct sharing *sharing, uint32_t address)
{
	if (sharing->options.replica_status->is_complete &&
	    address == sharing->listing_source)
		listing_clear(sharing);
}
