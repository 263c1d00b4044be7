#include "sharing_state.h"

#include <string.h>

#include "sharing/replica.h"
#include "sharing/routing_codec.h"

static void poll_send_to(struct sharing *sharing, uint32_t address)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);
	struct sharing_message poll = {
		.kind = SHARING_POLL,
		.revision = sharing->options.knowledge->revision,
		.version = routing && !sharing->needs_all_routes
				   ? routing->version
				   : 0,
	};

	if (address == sharing->listing_source) {
		poll.is_listing = true;
		g_strlcpy(poll.cursor, sharing->cursor, sizeof(poll.cursor));
		sharing->page_asked_ns = clock_now_ns(sharing->options.clock);
	} else if (sharing->incoming_version != 0) {
		poll.chunk = sharing->incoming_next;
	}
	poll.load_count = serve_loads_fill(sharing, false, poll.loads);
	sharing->reported_count = poll.load_count;
	memcpy(sharing->reported, poll.loads, sizeof(poll.loads));
	sharing->counters[SHARING_POLLS_SENT]++;
	sharing_send(sharing, address, &poll);
}

static void poll_send(struct sharing *sharing, int64_t now_ns)
{
	sharing->poll_sent_ns = now_ns;
	sharing->next_poll_ns = now_ns + POLL_INTERVAL_NS;
	poll_send_to(sharing, sharing->leader);
}

static void helper_poll(struct sharing *sharing, int64_t now_ns)
{
	sharing->next_helper_poll_ns = now_ns + (sharing_is_informed(sharing)
							 ? POLL_INTERVAL_NS
							 : PAGE_REPEAT_NS);
	poll_send_to(sharing, sharing->helper);
}

bool follow_is_helped(const struct sharing *sharing, int64_t now_ns)
{
	return sharing->helper != 0 && now_ns < sharing->helper_until_ns;
}

static void helper_set(struct sharing *sharing, uint32_t address,
		       int64_t now_ns)
{
	sharing->helper = address;
	sharing->helper_heard_ns = now_ns;
	sharing->helper_until_ns = now_ns + HELPER_NS;
	helper_poll(sharing, now_ns);
}

static void incoming_drop(struct sharing *sharing)
{
	sharing->incoming_version = 0;
	g_byte_array_set_size(sharing->incoming, 0);
}

static void listing_drop(struct sharing *sharing)
{
	sharing->listing_source = 0;
	sharing->cursor[0] = '\0';
	g_clear_pointer(&sharing->listing, host_listing_destroy);
}

void follow_set_leader(struct sharing *sharing, uint32_t leader,
		       const char *reason)
{
	if (sharing->leader == leader)
		return;
	sharing->leader = leader;
	sharing->followed_ns = clock_now_ns(sharing->options.clock);
	sharing->poll_sent_ns = 0;
	sharing->next_poll_ns = 0;
	sharing->polls_lost = 0;
	sharing->fresh_news_ns = 0;
	/* The first routes come from the helper, not from the leader. */
	if (sharing_is_informed(sharing))
		incoming_drop(sharing);
	sharing->counters[SHARING_LEADER_CHANGES]++;
	sharing->options.on_leader(sharing->options.context, leader, reason);
}

static void listing_begin(struct sharing *sharing, uint32_t source,
			  int64_t now_ns)
{
	listing_drop(sharing);
	sharing->listing_source = source;
	sharing->page_asked_ns = now_ns;
	sharing->counters[SHARING_LISTINGS]++;
}

/*
 * A balancer that knows nothing asks one of the members for a listing that told
 * fresh news, drawn at random: if a zone restarts, few could not serve all of
 * it. While the store is away no news are fresh. Then the newest are taken, and
 * not before several members had time to answer, as one may have been cut off.
 */
static void listing_draw(struct sharing *sharing, int64_t now_ns)
{
	uint32_t drawn = members_draw_informed(sharing->members,
					       sharing->random,
					       KNOWLEDGE_AGE_MAX_NS, now_ns);

	if (drawn == 0 && now_ns - sharing->started_ns >= OLD_LISTING_AFTER_NS)
		drawn = members_newest(sharing->members);
	if (drawn == 0)
		return;
	if (!sharing->options.knowledge->is_complete)
		listing_begin(sharing, drawn, now_ns);
	helper_set(sharing, drawn, now_ns);
}

void follow_hear_age(struct sharing *sharing, uint32_t address,
		     uint32_t news_age_ms, int64_t now_ns)
{
	if (news_age_ms * NS_PER_MS >= KNOWLEDGE_AGE_MAX_NS)
		return;
	if (!sharing->options.knowledge->is_complete) {
		if (!follow_is_helped(sharing, now_ns))
			listing_draw(sharing, now_ns);
		return;
	}
	if (sharing_is_stale(sharing, now_ns) && address != sharing->leader &&
	    !follow_is_helped(sharing, now_ns))
		helper_set(sharing, address, now_ns);
}

/* The helper is silent, busy or knows nothing itself. */
static void helper_replace(struct sharing *sharing, int64_t now_ns)
{
	if (sharing->helper != 0)
		members_tell_age(sharing->members, sharing->helper, UINT32_MAX,
				 now_ns);
	sharing->helper = 0;
	listing_drop(sharing);
	incoming_drop(sharing);
	listing_draw(sharing, now_ns);
}

/* Until hosts and routes are known, a helper that falls silent is replaced. */
static void listing_tick(struct sharing *sharing, int64_t now_ns)
{
	/* Else the store was faster. */
	if (sharing->options.knowledge->is_complete)
		listing_drop(sharing);
	if (sharing_is_informed(sharing))
		return;
	if (follow_is_helped(sharing, now_ns) &&
	    now_ns - sharing->helper_heard_ns < PAGE_LOST_NS)
		return;
	helper_replace(sharing, now_ns);
}

void follow_tick(struct sharing *sharing, int64_t now_ns)
{
	listing_tick(sharing, now_ns);
	if (follow_is_helped(sharing, now_ns) &&
	    now_ns >= sharing->next_helper_poll_ns)
		helper_poll(sharing, now_ns);
	if (sharing->leader == 0 || !sharing_is_informed(sharing))
		return;
	if (sharing->poll_sent_ns != 0 &&
	    now_ns - sharing->poll_sent_ns >= POLL_TIMEOUT_NS) {
		sharing->poll_sent_ns = 0;
		sharing->polls_lost++;
		sharing->next_poll_ns = now_ns;
		sharing->counters[SHARING_POLLS_LOST]++;
		if (sharing->polls_lost >= POLLS_LOST_MAX) {
			members_avoid(sharing->members, sharing->leader,
				      now_ns);
			return;
		}
	}
	if (sharing->poll_sent_ns == 0 && now_ns >= sharing->next_poll_ns)
		poll_send(sharing, now_ns);
}

static void routing_finish(struct sharing *sharing)
{
	struct routing *routing =
		routing_decode(sharing->incoming->data, sharing->incoming->len,
			       steering_routing(sharing->options.steering));
	bool is_expected = routing &&
			   routing->version == sharing->incoming_version;

	incoming_drop(sharing);
	sharing->needs_all_routes = !is_expected;
	if (is_expected)
		sharing->options.on_routing(sharing->options.context, routing);
	else
		sharing->counters[SHARING_MALFORMED]++;
	routing_unref(routing);
}

/* Returns whether a further chunk is wanted at once. */
static bool routing_take(struct sharing *sharing,
			 const struct sharing_message *news)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);

	if (news->version != sharing->incoming_version)
		incoming_drop(sharing);
	if (news->version <= (routing ? routing->version : 0))
		return false;
	if (sharing->incoming_version == 0) {
		sharing->incoming_version = news->version;
		sharing->incoming_next = 1;
		return true;
	}
	if (news->chunk != sharing->incoming_next)
		return false;
	g_byte_array_append(sharing->incoming, news->chunk_data,
			    (guint)news->chunk_bytes);
	sharing->incoming_next++;
	if (sharing->incoming_next <= news->chunk_count &&
	    sharing->incoming->len < ROUTING_BYTES_MAX)
		return true;
	routing_finish(sharing);
	return false;
}

static void loads_take(struct sharing *sharing,
		       const struct sharing_message *news)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct known_host *)value)->peer_flows = 0;
	for (size_t i = 0; i < news->load_count; i++) {
		struct known_host *host =
			host_table_find_token(table, news->loads[i].token);

		if (host)
			host->peer_flows = news->loads[i].flows;
	}
	/* The total holds what this balancer reported. */
	for (size_t i = 0; i < sharing->reported_count; i++) {
		const struct zone_load *own = &sharing->reported[i];
		struct known_host *host =
			host_table_find_token(table, own->token);

		if (host)
			host->peer_flows -= MIN(host->peer_flows, own->flows);
	}
}

/* Returns whether another page is wanted. */
static bool listing_take(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *news, int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	struct knowledge *knowledge = sharing->options.knowledge;

	/* A late answer to an earlier poll is another page. */
	if (address != sharing->listing_source ||
	    news->base != listing_page_id(sharing->cursor))
		return false;
	if (!sharing->listing)
		sharing->listing = host_listing_create(news->revision);
	replica_apply(table, sharing->listing, news, now_ns);
	if (news->has_more) {
		g_strlcpy(sharing->cursor, news->cursor,
			  sizeof(sharing->cursor));
		return true;
	}
	host_listing_finish(sharing->listing, table, now_ns);
	knowledge->revision = MAX(knowledge->revision,
				  host_listing_revision(sharing->listing));
	knowledge->is_complete = true;
	listing_drop(sharing);
	return true;
}

/* Returns whether more is wanted at once. */
static bool changes_take(struct sharing *sharing,
			 const struct sharing_message *news, int64_t now_ns)
{
	struct knowledge *knowledge = sharing->options.knowledge;

	if (!knowledge->is_complete || news->base > knowledge->revision) {
		sharing->counters[SHARING_NEWS_REFUSED]++;
		return false;
	}
	replica_apply(steering_hosts(sharing->options.steering), NULL, news,
		      now_ns);
	knowledge->revision = MAX(knowledge->revision, news->revision);
	return news->has_more;
}

/* Age of the news when they arrived, in nanoseconds. */
static void freshness_take(struct sharing *sharing,
			   const struct sharing_message *news, bool is_leader,
			   int64_t now_ns, int64_t asked_ns)
{
	struct knowledge *knowledge = sharing->options.knowledge;
	int64_t told_ns = asked_ns - (int64_t)news->age_ms * NS_PER_MS;

	if (is_leader && now_ns - told_ns <= NEWS_AGE_MAX_NS)
		sharing->fresh_news_ns = now_ns;
	knowledge->confirmed_ns = MAX(knowledge->confirmed_ns, told_ns);
}

/* Returns whether more is wanted at once. */
static bool news_take(struct sharing *sharing, uint32_t address,
		      const struct sharing_message *news, int64_t now_ns)
{
	bool is_complete = sharing->options.knowledge->is_complete;
	bool wants_more = false;

	/* Hosts first, then routes, both from the member that was drawn. */
	if (!is_complete && address != sharing->listing_source)
		return false;
	if (news->is_listing) {
		wants_more = listing_take(sharing, address, news, now_ns);
	} else if (news->chunk == 0 && !news->needs_listing) {
		wants_more = changes_take(sharing, news, now_ns);
	}
	return routing_take(sharing, news) || wants_more;
}

static void leader_answer_note(struct sharing *sharing, uint32_t address,
			       int64_t now_ns)
{
	if (sharing->poll_sent_ns != 0)
		histogram_record(&sharing->answer_us,
				 (uint64_t)(now_ns - sharing->poll_sent_ns) /
					 NS_PER_US);
	members_trust(sharing->members, address, now_ns);
	sharing->poll_sent_ns = 0;
	sharing->polls_lost = 0;
	sharing->answered_ns = now_ns;
}

/* A helper is kept for as long as the first listing comes from it. */
static void helper_note(struct sharing *sharing, int64_t now_ns)
{
	sharing->helper_heard_ns = now_ns;
	if (sharing_is_informed(sharing))
		return;
	sharing->helper_until_ns = now_ns + HELPER_NS;
	sharing->next_helper_poll_ns = now_ns + PAGE_REPEAT_NS;
}

void follow_handle_news(struct sharing *sharing, uint32_t address,
			const struct sharing_message *news, int64_t now_ns)
{
	bool is_leader = address == sharing->leader;
	bool is_helper = address == sharing->helper &&
			 follow_is_helped(sharing, now_ns);
	int64_t asked_ns = is_leader && sharing->poll_sent_ns != 0
				   ? sharing->poll_sent_ns
				   : now_ns;

	if (!is_leader && !is_helper) {
		sharing->counters[SHARING_NEWS_REFUSED]++;
		return;
	}
	if (is_leader)
		leader_answer_note(sharing, address, now_ns);
	if (is_helper)
		helper_note(sharing, now_ns);
	if (news->age_ms == UINT32_MAX) {
		if (is_helper && !sharing_is_informed(sharing))
			helper_replace(sharing, now_ns);
		return;
	}
	if (news->needs_listing && sharing->options.knowledge->is_complete) {
		/* It has started lately; others know what came before. */
		members_avoid(sharing->members, address, now_ns);
		return;
	}
	sharing->counters[SHARING_NEWS_TAKEN]++;
	sharing->options.knowledge->source = "peer";
	sharing->awaits_routes = news->version > 0 &&
				 !steering_routing(sharing->options.steering);
	if (news_take(sharing, address, news, now_ns)) {
		if (is_leader)
			poll_send(sharing, now_ns);
		else
			helper_poll(sharing, now_ns);
		return;
	}
	if (!sharing->options.knowledge->is_complete)
		return;
	if (is_leader && news->load_count > 0)
		loads_take(sharing, news);
	freshness_take(sharing, news, is_leader, now_ns, asked_ns);
}
