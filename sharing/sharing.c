#include "sharing_state.h"

#include <string.h>

#include "common/json_member.h"

const char *const sharing_counter_names[SHARING_COUNTERS] = {
	[SHARING_POLLS_SENT] = "polls_sent",
	[SHARING_POLLS_RECEIVED] = "polls_answered",
	[SHARING_POLL_TIMEOUTS] = "polls_lost",
	[SHARING_UPDATES_APPLIED] = "news_taken",
	[SHARING_UPDATES_REJECTED] = "news_refused",
	[SHARING_UPDATES_PUSHED] = "news_pushed",
	[SHARING_LISTINGS_STARTED] = "listings",
	[SHARING_LISTINGS_REJECTED] = "listings_refused",
	[SHARING_LOOKUPS_SENT] = "finds",
	[SHARING_LOOKUP_RESPONSES] = "founds",
	[SHARING_MALFORMED] = "malformed",
	[SHARING_LEADER_CHANGES] = "leader_changes",
	[SHARING_SPEED_REPORTS_SENT] = "speed_reports_sent",
	[SHARING_SPEED_REPORTS_RECEIVED] = "speed_reports_received",
	[SHARING_SPEEDS_SENT] = "speeds_sent",
	[SHARING_SPEEDS_RECEIVED] = "speeds_received",
	[SHARING_BYTES_SENT] = "bytes_sent",
	[SHARING_DRAINS_SENT] = "zone_drains_sent",
	[SHARING_DRAINS_RECEIVED] = "zone_drains_received",
};

/*
 * After a start or a pause, members are not known well enough at first to divide
 * anything among them.
 */
#define MEMBERS_UNKNOWN_NS (5 * NS_PER_S)

struct sharing *sharing_create(const struct sharing_options *options)
{
	struct sharing *sharing = g_new0(struct sharing, 1);
	const struct member_entry self = {
		.address = options->address,
		.zone = zone_hash(options->zone),
		.capacity = options->capacity,
		.replica_age_ms = MEMBER_REPLICA_AGE_NONE,
	};

	sharing->options = *options;
	sharing->zone = self.zone;
	sharing->members = members_create(&self);
	sharing->random = g_rand_new_with_seed((guint32)options->random_seed);
	sharing->routes_transfer.bytes = g_byte_array_new();
	for (int i = 0; i < ROUTES_ENCODINGS; i++)
		sharing->encoded_routes[i].by_base = g_hash_table_new_full(
			NULL, NULL, NULL, (GDestroyNotify)g_byte_array_unref);
	sharing->followers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	zone_reports_create(&sharing->zone_reports);
	token_bucket_init(&sharing->lookup_limit, LOOKUPS_PER_S, LOOKUPS_PER_S,
			  clock_now_ns(options->clock));
	sharing->started_ns = clock_now_ns(options->clock);
	sharing->running_since_ns = sharing->started_ns;
	sharing->start_jitter = g_rand_double(sharing->random);
	return sharing;
}

void sharing_destroy(struct sharing *sharing)
{
	if (!sharing)
		return;
	members_destroy(sharing->members);
	member_history_destroy(sharing->member_history);
	g_rand_free(sharing->random);
	g_byte_array_unref(sharing->routes_transfer.bytes);
	host_listing_destroy(sharing->listing);
	for (size_t i = 0; i < RECENT_ROUTES_MAX; i++)
		routing_unref(sharing->recent_routes[i]);
	for (int i = 0; i < ROUTES_ENCODINGS; i++)
		g_hash_table_destroy(sharing->encoded_routes[i].by_base);
	g_hash_table_destroy(sharing->followers);
	zone_reports_clear(&sharing->zone_reports);
	g_free(sharing->seeds);
	g_free(sharing);
}

void sharing_set_seeds(struct sharing *sharing, const uint32_t *addresses,
		       size_t count)
{
	g_free(sharing->seeds);
	sharing->seeds = g_memdup2(addresses, count * sizeof(*addresses));
	sharing->seed_count = count;
	sharing->next_seed_gossip_ns = 0;
}

/* Highest-ranked member not in backoff; 0 if that is this balancer. */
static uint32_t leader_find(struct sharing *sharing, int64_t now_ns)
{
	const GPtrArray *ranked = members_ranked(sharing->members);

	for (guint i = 0; i < ranked->len; i++) {
		const struct member *member = g_ptr_array_index(ranked, i);

		if (member->address == sharing->options.address)
			return 0;
		if (now_ns >= member->backoff_until_ns)
			return member->address;
	}
	return 0;
}

/* The leader responds, but has sent no fresh update for too long. */
static bool leader_is_stale(const struct sharing *sharing, int64_t now_ns)
{
	int64_t since_ns =
		MAX(sharing->last_fresh_update_ns, sharing->leader_since_ns);

	return now_ns - since_ns > MEMBER_REPLICA_AGE_MAX_NS;
}

/* Only slow-start limits need the history. */
static void member_history_tick(struct sharing *sharing, int64_t now_ns)
{
	if (!steering_has_slow_start_limits(sharing->options.steering)) {
		g_clear_pointer(&sharing->member_history,
				member_history_destroy);
		return;
	}
	if (!sharing->member_history)
		sharing->member_history = member_history_create(now_ns);
	member_history_update(sharing->member_history,
			      members_ranked(sharing->members), now_ns);
}

bool sharing_find_rank(const struct sharing *sharing, const char *key,
		       uint32_t *members, uint32_t *rank)
{
	const struct member_history *history = sharing->member_history;
	int64_t now_ns = clock_now_ns(sharing->options.clock);

	if (!history || !sharing_is_synced(sharing) ||
	    now_ns - sharing->running_since_ns < MEMBERS_UNKNOWN_NS ||
	    !member_history_is_settled(history, now_ns))
		return false;
	*members = member_history_count(history);
	*rank = member_history_rank(history, key, sharing->options.address);
	return true;
}

void sharing_tick(struct sharing *sharing)
{
	int64_t now_ns = clock_now_ns(sharing->options.clock);
	bool is_stale = sharing->leader != 0 &&
			leader_is_stale(sharing, now_ns);

	members_expire(sharing->members, now_ns);
	drains_tick(sharing, now_ns);
	member_history_tick(sharing, now_ns);
	gossip_tick(sharing, now_ns);
	if (is_stale)
		members_mark_unresponsive(sharing->members, sharing->leader,
					  now_ns);
	follow_set_leader(sharing, leader_find(sharing, now_ns),
			  is_stale ? "leader_is_stale" : "rank");
	routes_tick(sharing, now_ns);
	zone_reports_tick(sharing, now_ns);
	follow_tick(sharing, now_ns);
	serve_tick(sharing, now_ns);
	store_reader_tick(sharing, now_ns);
	speeds_tick(sharing, now_ns);
}

void sharing_handle_datagram(struct sharing *sharing, uint32_t address,
			     const uint8_t *data, size_t length)
{
	int64_t now_ns = clock_now_ns(sharing->options.clock);
	struct sharing_message message;
	struct member_entry sender;
	struct error error;

	if (!sharing_message_decode(data, length, &message, &error)) {
		sharing->counters[SHARING_MALFORMED]++;
		return;
	}
	sender = (struct member_entry){
		.address = address,
		.zone = message.zone,
		.capacity = message.capacity,
		.replica_age_ms = MEMBER_REPLICA_AGE_NONE,
	};
	members_merge(sharing->members, &sender, now_ns);
	if (message.has_era || message.kind == SHARING_POLL ||
	    message.kind == SHARING_UPDATE)
		members_set_knows_eras(sharing->members, address,
				       message.has_era);
	switch (message.kind) {
	case SHARING_GOSSIP_REQUEST:
	case SHARING_GOSSIP_RESPONSE:
		gossip_handle(sharing, address, &message, now_ns);
		break;
	case SHARING_POLL:
		/* A member of the previous version knows of no other era. */
		if (!message.has_era)
			message.position.era = sharing_era(sharing);
		serve_handle_poll(sharing, address, &message, now_ns);
		zone_reports_handle_poll(sharing, address, now_ns);
		break;
	case SHARING_UPDATE:
		follow_handle_update(sharing, address, &message, now_ns);
		break;
	case SHARING_LOOKUP_REQUEST:
		lookup_handle_request(sharing, address, message.token);
		break;
	case SHARING_LOOKUP_RESPONSE:
		lookup_handle_response(sharing, &message, now_ns);
		break;
	case SHARING_ZONE_DRAINS:
		drains_handle(sharing, address, &message,
			      member_is_polled(sharing, address, now_ns),
			      now_ns);
		break;
	case SHARING_ZONE_LOADS:
		zone_reports_handle(sharing, address, &message, now_ns);
		break;
	case SHARING_HOST_SPEEDS:
		speeds_handle(sharing, address, &message, now_ns);
		break;
	case SHARING_KINDS:
		break;
	}
	sharing_message_clear(&message);
}

void sharing_handle_first_page(struct sharing *sharing, bool has_more)
{
	if (sharing_is_synced(sharing) || !has_more)
		return;
	sharing->has_multipage_listing = true;
	store_reader_tick(sharing, clock_now_ns(sharing->options.clock));
}

void sharing_push(struct sharing *sharing)
{
	int64_t now_ns = clock_now_ns(sharing->options.clock);

	/* First, so that no follower gets past the revision of a drain. */
	drains_push(sharing, now_ns);
	serve_push(sharing, now_ns);
}

void sharing_handle_resume(struct sharing *sharing)
{
	sharing->poll_sent_ns = 0;
	sharing->consecutive_poll_timeouts = 0;
	sharing->next_poll_ns = 0;
	sharing->last_fresh_update_ns = 0;
	sharing->leader_response_ns = 0;
	sharing->leader_since_ns = clock_now_ns(sharing->options.clock);
	sharing->running_since_ns = sharing->leader_since_ns;
}

bool sharing_is_store_reader(const struct sharing *sharing)
{
	return sharing->is_store_reader;
}

uint64_t sharing_announced_routes_version(const struct sharing *sharing)
{
	return sharing->announced_routes_version;
}

const struct histogram *
sharing_poll_response_times(const struct sharing *sharing)
{
	return &sharing->poll_response_us;
}

const uint64_t *sharing_counters(const struct sharing *sharing)
{
	return sharing->counters;
}

void sharing_print_json(const struct sharing *sharing, JsonBuilder *builder)
{
	char leader[IP_ADDRESS_TEXT_BYTES];

	json_member_integer(builder, "members",
			    members_count(sharing->members));
	json_member_integer(builder, "followers",
			    g_hash_table_size(sharing->followers));
	json_member_string(builder, "leader",
			   sharing_address_print(sharing->leader, leader));
	json_member_boolean(builder, "is_reading", sharing->is_store_reader);
	json_member_integer(builder, "announced_routes_version",
			    (int64_t)sharing->announced_routes_version);
	json_member_integer(builder, "incoming_routes_version",
			    (int64_t)sharing->routes_transfer.version);
	for (int i = 0; i < SHARING_COUNTERS; i++)
		json_member_integer(builder, sharing_counter_names[i],
				    (int64_t)sharing->counters[i]);
}
