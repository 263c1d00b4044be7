#include "sharing_state.h"

/*
 * A balancer that starts lists from a member of its zone that has a listing. If
 * none has, the members in rank list from the store one after the other: if
 * hundreds did at once, its link would be busy for seconds.
 */
#define START_RANK_WAIT_NS (50 * NS_PER_MS)
#define START_READERS 2
#define START_STEP_NS (50 * NS_PER_MS)
/*
 * While nobody answers, nobody knows of the others, and the first page tells
 * whether a listing is long. Then few should list before the seeds are up, which
 * may start 0.3 s after the others, and large instances clearly first, as they
 * are done sooner: the wait of a whole core is divided by the cube of the share,
 * bounded, and drawn from one to START_ALONE_SPREAD times that.
 */
#define START_ALONE_CORE_NS (3125 * NS_PER_US)
#define START_ALONE_MAX_NS (350 * NS_PER_MS)
#define START_ALONE_SPREAD 5
#define START_WAIT_MAX_NS (1500 * NS_PER_MS)
/*
 * A balancer without fresh news reads for itself. If others answer it, but
 * know nothing newer, the first ones in rank do so soon, as the store may
 * refuse some, and the others later, so that an outage is not met by all.
 */
#define ALONE_AFTER_NS (2000 * NS_PER_MS)
#define ALONE_RANKS 10
#define ALONE_STEP_NS (100 * NS_PER_MS)
#define ALONE_LATE_STEP_NS (500 * NS_PER_MS)

static guint own_rank(struct sharing *sharing)
{
	const GPtrArray *ranked = members_ranked(sharing->members);

	for (guint i = 0; i < ranked->len; i++) {
		const struct member *member = g_ptr_array_index(ranked, i);

		if (member->address == sharing->options.address)
			return i;
	}
	return 0;
}

static void store_reader_set(struct sharing *sharing, bool is_store_reader,
			     const char *reason)
{
	if (sharing->is_store_reader == is_store_reader)
		return;
	sharing->is_store_reader = is_store_reader;
	sharing->options.on_store_reader_changed(sharing->options.context,
						 is_store_reader, reason);
}

static int64_t alone_wait_ns(const struct sharing *sharing)
{
	double share = MAX(sharing->options.capacity, 1) / 1000.0;
	double wait_ns = (double)START_ALONE_CORE_NS / (share * share * share);
	double factor = 1 + sharing->start_jitter * (START_ALONE_SPREAD - 1);

	return (int64_t)(MIN(wait_ns, (double)START_ALONE_MAX_NS) * factor);
}

/* How long to wait for a member that has a listing. */
static int64_t start_wait_ns(struct sharing *sharing)
{
	int64_t rank = own_rank(sharing);
	int64_t wait_ns = sharing->options.member_wait_ms * NS_PER_MS;

	if (sharing->first_gossip_response_ns == 0 &&
	    !sharing->has_multipage_listing)
		return wait_ns;
	if (sharing->first_gossip_response_ns == 0)
		return MAX(wait_ns, alone_wait_ns(sharing));
	return sharing->first_gossip_response_ns - sharing->started_ns +
	       START_RANK_WAIT_NS +
	       MAX(rank - START_READERS + 1, 0) * START_STEP_NS;
}

static void start_tick(struct sharing *sharing, int64_t now_ns)
{
	int64_t waited_ns = now_ns - sharing->started_ns;

	if (waited_ns >= START_WAIT_MAX_NS)
		store_reader_set(sharing, true, "starts_late");
	else if (alternate_is_active(sharing, now_ns))
		store_reader_set(sharing, false, "lists_from_member");
	else if (waited_ns >= start_wait_ns(sharing))
		store_reader_set(sharing, true, "starts");
	else
		store_reader_set(sharing, false, "listing_is_long");
}

static int64_t alone_after_ns(struct sharing *sharing, int64_t now_ns)
{
	int64_t rank = own_rank(sharing);

	if (now_ns - sharing->answered_ns > ALONE_AFTER_NS)
		return ALONE_AFTER_NS;
	return ALONE_AFTER_NS + MIN(rank, ALONE_RANKS) * ALONE_STEP_NS +
	       MAX(rank - ALONE_RANKS, 0) * ALONE_LATE_STEP_NS;
}

static bool is_following(const struct sharing *sharing, int64_t now_ns)
{
	return sharing->last_fresh_update_ns != 0 &&
	       now_ns - sharing->last_fresh_update_ns <= POLL_INTERVAL_NS;
}

void store_reader_tick(struct sharing *sharing, int64_t now_ns)
{
	const struct replica_status *replica_status =
		sharing->options.replica_status;

	if (!sharing_is_synced(sharing)) {
		start_tick(sharing, now_ns);
	} else if (sharing->leader == 0) {
		store_reader_set(sharing, true, "leads");
	} else if (now_ns - replica_status->confirmed_ns >
		   alone_after_ns(sharing, now_ns)) {
		store_reader_set(sharing, true, "news_are_old");
	} else if (is_following(sharing, now_ns)) {
		store_reader_set(sharing, false, "follows");
	}
}
