#include "sharing_state.h"

/*
 * A starting balancer lists from a synced member of its zone. If there is none,
 * the members list from the store one after the other, in order of rank:
 * hundreds of simultaneous listings would occupy its link for seconds.
 */
/* Time from the first gossip message until the first members list. */
#define START_RANK_WAIT_NS (50 * NS_PER_MS)
/* Number of members that may list at once, those of the highest rank. */
#define START_READERS 2
/* Each further rank waits this much more. */
#define START_RANK_STEP_NS (50 * NS_PER_MS)
/*
 * So few members can list at once: the store's listing fits in one page, and
 * one gossip message names all of them.
 */
#define START_SMALL_FLEET MEMBER_SAMPLE_MAX

/*
 * Until a member responds, a balancer knows no other, and only the first page
 * of the store's listing shows whether there are more. In that case few
 * balancers should list before the seeds are up, which may start 0.3 s after
 * the others. Large instances should list clearly before small ones, as they
 * finish sooner: the delay for a whole core is divided by the cube of the core
 * share, limited, and multiplied by a random factor.
 */
/* Delay for a whole core. */
#define START_ALONE_CORE_NS (3125 * NS_PER_US)
/* Limit of the delay before it is multiplied by the random factor. */
#define START_ALONE_MAX_NS (350 * NS_PER_MS)
/* The random factor is between 1 and this. */
#define START_ALONE_SPREAD 5
/* A balancer that is not synced by then reads the store in any case. */
#define START_WAIT_MAX_NS (1500 * NS_PER_MS)

/*
 * A balancer whose replica is not confirmed for this long reads the store
 * itself, at once if no leader has responded for as long. If a leader responds,
 * but has nothing newer, it also waits a time that depends on its rank.
 */
#define STALE_READ_DELAY_NS (2000 * NS_PER_MS)
/*
 * The first ranks follow each other quickly, as the store may reject some of
 * them.
 */
#define STALE_READ_FAST_RANKS 10
#define STALE_READ_FAST_STEP_NS (100 * NS_PER_MS)
/*
 * The others follow more slowly, so that not all balancers call the store
 * during an outage.
 */
#define STALE_READ_SLOW_STEP_NS (500 * NS_PER_MS)

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

static int64_t start_alone_wait_ns(const struct sharing *sharing)
{
	double share = MAX(sharing->options.capacity, 1) / 1000.0;
	double wait_ns = (double)START_ALONE_CORE_NS / (share * share * share);
	double factor = 1 + sharing->start_jitter * (START_ALONE_SPREAD - 1);

	return (int64_t)(MIN(wait_ns, (double)START_ALONE_MAX_NS) * factor);
}

/* How long to wait for a synced member. */
static int64_t start_wait_ns(struct sharing *sharing)
{
	int64_t rank = own_rank(sharing);
	int64_t wait_ns = sharing->options.member_wait_ms * NS_PER_MS;

	if (!sharing->has_multipage_listing &&
	    members_count(sharing->members) <= START_SMALL_FLEET)
		return wait_ns;
	if (sharing->first_gossip_ns == 0)
		return MAX(wait_ns, start_alone_wait_ns(sharing));
	return sharing->first_gossip_ns - sharing->started_ns +
	       START_RANK_WAIT_NS +
	       MAX(rank - START_READERS + 1, 0) * START_RANK_STEP_NS;
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

static int64_t stale_read_delay_ns(struct sharing *sharing, int64_t now_ns)
{
	int64_t rank = own_rank(sharing);

	if (now_ns - sharing->leader_response_ns > STALE_READ_DELAY_NS)
		return STALE_READ_DELAY_NS;
	return STALE_READ_DELAY_NS +
	       MIN(rank, STALE_READ_FAST_RANKS) * STALE_READ_FAST_STEP_NS +
	       MAX(rank - STALE_READ_FAST_RANKS, 0) * STALE_READ_SLOW_STEP_NS;
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
		   stale_read_delay_ns(sharing, now_ns)) {
		store_reader_set(sharing, true, "news_are_old");
	} else if (is_following(sharing, now_ns)) {
		store_reader_set(sharing, false, "follows");
	}
}
