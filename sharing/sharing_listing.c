#include "sharing_state.h"

#include <string.h>

#include "sharing/replica.h"

void poll_send(struct sharing *sharing, uint32_t address)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);
	struct sharing_message poll = {
		.kind = SHARING_POLL,
		.revision = sharing->options.replica_status->revision,
		.routes_version = routing && !sharing->needs_all_routes
					  ? routing->version
					  : 0,
	};

	if (address == sharing->listing_source) {
		poll.is_listing = true;
		g_strlcpy(poll.cursor, sharing->cursor, sizeof(poll.cursor));
	} else if (sharing->incoming_routes_version != 0) {
		poll.chunk = sharing->incoming_routes_next_chunk;
	}
	poll.load_count = serve_loads_fill(sharing, false, poll.loads);
	sharing->reported_load_count = poll.load_count;
	memcpy(sharing->reported_loads, poll.loads, sizeof(poll.loads));
	sharing->counters[SHARING_POLLS_SENT]++;
	sharing_send(sharing, address, &poll);
}

void alternate_poll(struct sharing *sharing, int64_t now_ns)
{
	sharing->next_alternate_poll_ns =
		now_ns +
		(sharing_is_synced(sharing) ? POLL_INTERVAL_NS : PAGE_RETRY_NS);
	poll_send(sharing, sharing->alternate);
}

bool alternate_is_active(const struct sharing *sharing, int64_t now_ns)
{
	return sharing->alternate != 0 && now_ns < sharing->alternate_until_ns;
}

static void alternate_set(struct sharing *sharing, uint32_t address,
			  int64_t now_ns)
{
	sharing->alternate = address;
	sharing->alternate_heard_ns = now_ns;
	sharing->alternate_until_ns = now_ns + ALTERNATE_DURATION_NS;
	alternate_poll(sharing, now_ns);
}

static void listing_drop(struct sharing *sharing)
{
	sharing->listing_source = 0;
	sharing->cursor[0] = '\0';
	g_clear_pointer(&sharing->listing, host_listing_destroy);
}

static void listing_begin(struct sharing *sharing, uint32_t source)
{
	listing_drop(sharing);
	sharing->listing_source = source;
	sharing->counters[SHARING_LISTINGS_APPLIED]++;
}

/*
 * A balancer that knows nothing asks one of the members for a listing that told
 * fresh news, drawn at random: if a zone restarts, few could not serve all of
 * it. While the store is away no news are fresh. Then the newest are taken, and
 * not before several members had time to answer, as one may have been cut off.
 */
static void listing_draw(struct sharing *sharing, int64_t now_ns)
{
	uint32_t drawn = members_pick_up_to_date(
		sharing->members, sharing->random, REPLICA_AGE_MAX_NS, now_ns);

	if (drawn == 0 &&
	    now_ns - sharing->started_ns >= STALE_LISTING_DELAY_NS)
		drawn = members_pick_most_recent(sharing->members);
	if (drawn == 0)
		return;
	if (!sharing->options.replica_status->is_complete)
		listing_begin(sharing, drawn);
	alternate_set(sharing, drawn, now_ns);
}

void alternate_consider(struct sharing *sharing, uint32_t address,
			uint32_t replica_age_ms, int64_t now_ns)
{
	if (replica_age_ms * NS_PER_MS >= REPLICA_AGE_MAX_NS)
		return;
	if (!sharing->options.replica_status->is_complete) {
		if (!alternate_is_active(sharing, now_ns))
			listing_draw(sharing, now_ns);
		return;
	}
	if (sharing_is_stale(sharing, now_ns) && address != sharing->leader &&
	    !alternate_is_active(sharing, now_ns))
		alternate_set(sharing, address, now_ns);
}

/* The helper is silent, busy or knows nothing itself. */
void alternate_replace(struct sharing *sharing, int64_t now_ns)
{
	if (sharing->alternate != 0)
		members_set_replica_age(sharing->members, sharing->alternate,
					UINT32_MAX, now_ns);
	sharing->alternate = 0;
	listing_drop(sharing);
	routes_drop(sharing);
	listing_draw(sharing, now_ns);
}

/* Until hosts and routes are known, a helper that falls silent is replaced. */
static void alternate_check(struct sharing *sharing, int64_t now_ns)
{
	if (sharing_is_synced(sharing))
		return;
	if (alternate_is_active(sharing, now_ns) &&
	    now_ns - sharing->alternate_heard_ns < LISTING_TIMEOUT_NS)
		return;
	alternate_replace(sharing, now_ns);
}

void listing_tick(struct sharing *sharing, int64_t now_ns)
{
	/* Else the store was faster. */
	if (sharing->options.replica_status->is_complete)
		listing_drop(sharing);
	alternate_check(sharing, now_ns);
	if (alternate_is_active(sharing, now_ns) &&
	    now_ns >= sharing->next_alternate_poll_ns)
		alternate_poll(sharing, now_ns);
}

/* A helper is kept for as long as the first listing comes from it. */
void alternate_handle_response(struct sharing *sharing, int64_t now_ns)
{
	sharing->alternate_heard_ns = now_ns;
	if (sharing_is_synced(sharing))
		return;
	sharing->alternate_until_ns = now_ns + ALTERNATE_DURATION_NS;
	sharing->next_alternate_poll_ns = now_ns + PAGE_RETRY_NS;
}

bool listing_handle_update(struct sharing *sharing, uint32_t address,
			   const struct sharing_message *update, int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	struct replica_status *replica_status = sharing->options.replica_status;

	/* A late answer to an earlier poll is another page. */
	if (address != sharing->listing_source ||
	    update->base_revision != listing_page_id(sharing->cursor))
		return false;
	if (!sharing->listing)
		sharing->listing = host_listing_create(update->revision);
	replica_apply(table, sharing->listing, update, now_ns);
	if (update->has_more) {
		g_strlcpy(sharing->cursor, update->cursor,
			  sizeof(sharing->cursor));
		return true;
	}
	host_listing_finish(sharing->listing, table, now_ns);
	replica_status->revision = MAX(replica_status->revision,
				       host_listing_revision(sharing->listing));
	replica_status->is_complete = true;
	listing_drop(sharing);
	return true;
}
