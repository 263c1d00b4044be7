#include "peer/reader_election.h"

#include <xxhash.h>

#include "common/clock.h"

/* Any constant that differs from the seeds of other rendezvous orders. */
#define READER_SEED UINT64_C(0x7265616465727321)

#define START_JITTER_MS 1000
/*
 * An instance that has just started is alone until the first heartbeats come,
 * at most two intervals later; it must not count as alone before.
 */
#define ALONE_DELAY_MS 1000
#define ALONE_JITTER_MS 2000

static uint64_t weight(const struct member *member)
{
	return XXH3_64bits_withSeed(&member->id, sizeof(member->id),
				    READER_SEED);
}

bool reader_election_is_elected(const struct member_view *view)
{
	const struct member *self = &view->members[view->self];
	unsigned int rank = 0;

	for (size_t i = 0; i < view->member_count; i++) {
		const struct member *member = &view->members[i];

		if (member->zone == self->zone &&
		    member->state != MEMBER_LEAVING &&
		    weight(member) > weight(self))
			rank++;
	}
	return rank < READERS_PER_ZONE;
}

static int64_t start_delay_ns(struct reader_election *election, bool is_alone)
{
	int32_t delay_ms = 0;

	if (!election->has_peers)
		return 0;
	if (is_alone)
		delay_ms =
			ALONE_DELAY_MS +
			g_rand_int_range(election->random, 0, ALONE_JITTER_MS);
	else
		delay_ms =
			g_rand_int_range(election->random, 0, START_JITTER_MS);
	return delay_ms * NS_PER_MS;
}

void reader_election_update(struct reader_election *election,
			    const struct member_view *view, bool is_behind,
			    int64_t now_ns)
{
	bool is_wanted = is_behind || reader_election_is_elected(view);

	if (is_wanted && !election->is_wanted)
		election->start_ns =
			now_ns +
			start_delay_ns(election, view->member_count == 1);
	election->is_wanted = is_wanted;
	election->is_reader = is_wanted && now_ns >= election->start_ns;
}
