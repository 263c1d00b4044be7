#include "sharing/member_history.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "sharing/members.h"

#define UPDATE_INTERVAL_NS (200 * NS_PER_MS)
/*
 * How long a member counts that is no longer known. A restarted or replaced
 * balancer is back or forgotten by then.
 */
#define RETENTION_NS (300 * NS_PER_S)
/*
 * The history has settled once it grew by at most an eighth for this long. 87
 * balancers in 4 zones that start within 2 s know all members after 4 s, 300 in
 * 5 zones 93 % after 5 s (manual clock of tests/sharing).
 */
#define SETTLE_NS (3 * NS_PER_S)

struct member_history {
	GHashTable *seen_ns; /* address to int64_t: when it was last known */
	int64_t updated_ns; /* 0 for never */
	int64_t growth_ns; /* when the history last grew by more */
	uint32_t growth_count; /* members at that time */
};

struct member_history *member_history_create(int64_t now_ns)
{
	struct member_history *history = g_new0(struct member_history, 1);

	history->seen_ns = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	history->growth_ns = now_ns;
	return history;
}

void member_history_destroy(struct member_history *history)
{
	if (!history)
		return;
	g_hash_table_destroy(history->seen_ns);
	g_free(history);
}

static void member_see(struct member_history *history, uint32_t address,
		       int64_t now_ns)
{
	gpointer key = GUINT_TO_POINTER(address);
	int64_t *seen_ns = g_hash_table_lookup(history->seen_ns, key);

	if (!seen_ns) {
		seen_ns = g_new(int64_t, 1);
		g_hash_table_insert(history->seen_ns, key, seen_ns);
	}
	*seen_ns = now_ns;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer before_ns)
{
	(void)key;
	return *(const int64_t *)value < *(const int64_t *)before_ns;
}

void member_history_update(struct member_history *history,
			   const GPtrArray *members, int64_t now_ns)
{
	int64_t before_ns = now_ns - RETENTION_NS;
	uint32_t count;

	if (history->updated_ns != 0 &&
	    now_ns - history->updated_ns < UPDATE_INTERVAL_NS)
		return;
	history->updated_ns = now_ns;
	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		member_see(history, member->address, now_ns);
	}
	count = g_hash_table_size(history->seen_ns);
	/*
	 * A balancer that suddenly knows less than half of the members has
	 * rather been cut off than lost them. It must not take their parts.
	 */
	if (members->len * 2 >= count)
		g_hash_table_foreach_remove(history->seen_ns, is_expired,
					    &before_ns);
	if (count * 8 > history->growth_count * 9) {
		history->growth_count = count;
		history->growth_ns = now_ns;
	}
	history->growth_count =
		MIN(history->growth_count, g_hash_table_size(history->seen_ns));
}

bool member_history_is_settled(const struct member_history *history,
			       int64_t now_ns)
{
	return now_ns - history->growth_ns >= SETTLE_NS;
}

uint32_t member_history_count(const struct member_history *history)
{
	return g_hash_table_size(history->seen_ns);
}

static uint64_t member_order(uint64_t seed, uint32_t address)
{
	return XXH3_64bits_withSeed(&address, sizeof(address), seed);
}

uint32_t member_history_rank(const struct member_history *history,
			     const char *key, uint32_t address)
{
	uint64_t seed = XXH3_64bits(key, strlen(key));
	uint64_t own = member_order(seed, address);
	GHashTableIter iterator;
	uint32_t rank = 0;
	gpointer other;

	g_hash_table_iter_init(&iterator, history->seen_ns);
	while (g_hash_table_iter_next(&iterator, &other, NULL))
		rank += member_order(seed, GPOINTER_TO_UINT(other)) < own;
	return rank;
}
