#include "steering/slowness.h"

#include "common/clock.h"

/* An average is meaningful only with several responses, the last one recent. */
#define RESPONSE_AGE_MAX_NS (2 * NS_PER_S)
/* Minimum number of measured hosts for a comparison. */
#define COMPARED_MIN 3
/*
 * The queue of a healthy host is bounded: it refuses requests rather than
 * respond this late.
 */
#define SLOW_MIN_NS (400 * NS_PER_MS)
#define SLOW_FACTOR 5
/* Hysteresis: a slow host recovers below this multiple of the median. */
#define RECOVERY_FACTOR 2
/*
 * If more than 1 / SLOW_SHARE_DIVISOR of the hosts of a service are slow, load
 * is the cause, and none is marked.
 */
#define SLOW_SHARE_DIVISOR 3

static bool is_measured(const struct known_host *host, int64_t now_ns)
{
	return !host->is_removed &&
	       host->health.responses >= HEALTH_RESPONSES_MAX &&
	       now_ns - host->health.responded_ns <= RESPONSE_AGE_MAX_NS;
}

static int time_compare(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left;
	int64_t b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

/* Returns 0 if too few hosts can be compared. */
static int64_t median_find(const GPtrArray *hosts, int64_t now_ns)
{
	int64_t *times = g_new(int64_t, hosts->len + 1);
	guint count = 0;
	int64_t median = 0;

	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);

		if (is_measured(host, now_ns))
			times[count++] = host->health.response_ns;
	}
	qsort(times, count, sizeof(*times), time_compare);
	if (count >= COMPARED_MIN)
		median = times[count / 2];
	g_free(times);
	return median;
}

static bool is_slow_now(const struct known_host *host, int64_t median_ns,
			int64_t now_ns)
{
	int64_t response_ns = host->health.response_ns;
	int64_t factor = host->health.is_slow ? RECOVERY_FACTOR : SLOW_FACTOR;

	if (!is_measured(host, now_ns) || median_ns == 0)
		return false;
	if (!host->health.is_slow && response_ns < SLOW_MIN_NS)
		return false;
	return response_ns >= factor * median_ns;
}

void slow_hosts_mark(const GPtrArray *hosts, int64_t now_ns,
		     void (*on_change)(void *context, struct known_host *host),
		     void *context)
{
	int64_t median_ns = median_find(hosts, now_ns);
	guint slow_count = 0;

	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);

		slow_count += is_slow_now(host, median_ns, now_ns);
	}
	for (guint i = 0; i < hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(hosts, i);
		bool is_slow = slow_count * SLOW_SHARE_DIVISOR <= hosts->len &&
			       is_slow_now(host, median_ns, now_ns);

		if (is_slow == host->health.is_slow)
			continue;
		host->health.is_slow = is_slow;
		/*
		 * A slow host gets no new flows while others can take them, so
		 * its old response times no longer apply.
		 */
		if (!is_slow)
			host->health.responses = 0;
		on_change(context, host);
	}
}
