#include "steering/response_size.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "steering/typical_length.h"

#define UPDATE_INTERVAL_NS (250 * NS_PER_MS)
/* A marked host recovers at a likelihood ratio of e^3 for its peers' share. */
#define RECOVERY_MIN 3
/* Shares from which a recovered host is told; ratios stay finite. */
#define MARKED_SHARE_MAX 0.95
/* Minimum number of compared hosts. */
#define COMPARED_MIN 3
/*
 * If more than 1 / FAILING_DIVISOR of the hosts of a service fail, the service or
 * its load is the cause, and none is marked.
 */
#define FAILING_DIVISOR 3
/*
 * After that, no host is marked for so long: hosts that were marked had no
 * samples, and would be marked again one by one. Typical lengths are learned
 * again within 16 s, and a part of the hosts must not look better meanwhile.
 */
#define RELEASE_NS (20 * NS_PER_S)
/* From the mark, or from a trial that failed, to the next trial. */
#define TRIAL_DELAY_NS (3 * NS_PER_S)
/* A trial without a response must not prevent the next one. */
#define TRIAL_TIMEOUT_NS (1 * NS_PER_S)
/* How long a mark of the leader applies without a newer word of it. */
#define RECEIVED_AGE_MAX_NS (10 * NS_PER_S)
/*
 * The leader tries a failing host. The followers try it in case that the leader
 * gets no flows, so rarely that 20 of them send one flow a second.
 */
#define FOLLOWER_TRIAL_NS (20 * NS_PER_S)

const char *const response_size_counter_names[RESPONSE_SIZE_COUNTERS] = {
	[RESPONSE_SIZE_RESPONSES] = "responses",
	[RESPONSE_SIZE_SHORT] = "short",
	[RESPONSE_SIZE_SKIPPED] = "skipped",
	[RESPONSE_SIZE_REPORTS] = "reports",
	[RESPONSE_SIZE_RECEIVED] = "received",
	[RESPONSE_SIZE_MARKED] = "marked",
	[RESPONSE_SIZE_RECOVERED] = "recovered",
	[RESPONSE_SIZE_RELEASED] = "released",
	[RESPONSE_SIZE_TRIALS] = "trials",
};

struct response_sizes {
	struct response_sizes_options options;
	bool is_enabled;
	struct typical_lengths *lengths;
	GHashTable *released; /* service to end of the release, int64_t */
	int64_t updated_ns; /* 0 for never */
	uint64_t counters[RESPONSE_SIZE_COUNTERS];
};

struct response_sizes *
response_sizes_create(const struct response_sizes_options *options)
{
	struct response_sizes *sizes = g_new0(struct response_sizes, 1);

	sizes->options = *options;
	sizes->lengths = typical_lengths_create();
	sizes->released =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sizes;
}

void response_sizes_destroy(struct response_sizes *sizes)
{
	if (!sizes)
		return;
	typical_lengths_destroy(sizes->lengths);
	g_hash_table_destroy(sizes->released);
	g_free(sizes);
}

void response_size_clear(struct known_host *host)
{
	g_clear_pointer(&host->sizes, g_free);
	host->is_failing = false;
}

void response_sizes_set_enabled(struct response_sizes *sizes, bool is_enabled,
				GHashTable *hosts)
{
	GHashTableIter iterator;
	gpointer value;

	if (sizes->is_enabled == is_enabled)
		return;
	sizes->is_enabled = is_enabled;
	g_hash_table_remove_all(sizes->released);
	g_hash_table_iter_init(&iterator, hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		response_size_clear(value);
}

bool response_sizes_is_enabled(const struct response_sizes *sizes)
{
	return sizes->is_enabled;
}

static struct response_size *size_get(struct known_host *host)
{
	if (!host->sizes)
		host->sizes = g_new0(struct response_size, 1);
	return host->sizes;
}

/*
 * Sequential test of a marked host: the logarithm of the likelihood ratio of
 * the share of its peers to the one at which it was marked, never below 0. A
 * host that fails only sometimes needs more good responses to recover than one
 * that failed always.
 */
static void recovery_add(struct response_size *size, uint32_t responses,
			 uint32_t shorts, int64_t now_ns)
{
	double failing = CLAMP(response_share(&size->marked), FAILING_SHARE_MIN,
			       MARKED_SHARE_MAX);
	double well = MIN(MAX(size->peer_share, FAILING_PEER_SHARE_MIN),
			  failing / FAILING_PEER_FACTOR);

	if (size->marked_ns == 0)
		return;
	size->recovery +=
		(responses - shorts) * log((1 - well) / (1 - failing)) -
		shorts * log(failing / well);
	size->recovery = MAX(size->recovery, 0);
	/* One trial at a time: the next one follows its response. */
	if (shorts > 0)
		size->trial_ns = now_ns + TRIAL_DELAY_NS;
	else if (now_ns - size->marked_ns >= TRIAL_DELAY_NS)
		size->trial_ns = MIN(size->trial_ns, now_ns);
}

static void samples_add(struct response_size *size, uint32_t responses,
			uint32_t shorts, int64_t now_ns)
{
	response_window_add(&size->window, responses, shorts, now_ns);
	size->sampled_ns = now_ns;
	recovery_add(size, responses, shorts, now_ns);
}

static void pending_add(struct response_size *size, uint32_t responses,
			uint32_t shorts)
{
	size->pending_responses += responses;
	size->pending_shorts += shorts;
}

void response_sizes_record(struct response_sizes *sizes,
			   struct known_host *host, const struct flow_key *flow,
			   uint32_t length_bytes, int64_t now_ns)
{
	enum length_class class;
	bool is_short;

	if (!sizes->is_enabled)
		return;
	class = typical_lengths_classify(sizes->lengths, flow, length_bytes);
	/* A failing host may get more requests than all others together. */
	if (!host->is_failing)
		typical_lengths_add(sizes->lengths, flow, length_bytes, now_ns);
	if (class == LENGTH_UNKNOWN) {
		sizes->counters[RESPONSE_SIZE_SKIPPED]++;
		return;
	}
	is_short = class == LENGTH_SHORT;
	sizes->counters[RESPONSE_SIZE_RESPONSES]++;
	sizes->counters[RESPONSE_SIZE_SHORT] += is_short;
	samples_add(size_get(host), 1, is_short, now_ns);
	pending_add(host->sizes, 1, is_short);
}

bool response_size_report_take(struct known_host *host,
			       struct response_size_report *report)
{
	struct response_size *size = host->sizes;

	if (!size || size->pending_responses == 0)
		return false;
	report->responses = (uint16_t)MIN(size->pending_responses,
					  RESPONSE_SIZE_REPORT_MAX);
	report->shorts = (uint16_t)MIN(size->pending_shorts, report->responses);
	size->pending_responses = 0;
	size->pending_shorts = 0;
	return true;
}

void response_sizes_merge(struct response_sizes *sizes, struct known_host *host,
			  const struct response_size_report *report,
			  bool is_relayed, int64_t now_ns)
{
	uint32_t responses = MIN(report->responses, RESPONSE_SIZE_REPORT_MAX);
	uint32_t shorts = MIN(report->shorts, responses);

	if (!sizes->is_enabled || responses == 0)
		return;
	sizes->counters[RESPONSE_SIZE_REPORTS]++;
	samples_add(size_get(host), responses, shorts, now_ns);
	if (is_relayed)
		pending_add(host->sizes, responses, shorts);
}

static bool is_received(const struct response_size *size, int64_t now_ns)
{
	return size->is_received &&
	       now_ns - size->received_ns <= RECEIVED_AGE_MAX_NS;
}

static void mark_apply(struct response_sizes *sizes, struct known_host *host,
		       int64_t now_ns)
{
	bool is_failing = host->sizes->marked_ns != 0 ||
			  is_received(host->sizes, now_ns);

	if (host->is_failing == is_failing)
		return;
	host->is_failing = is_failing;
	if (sizes->options.on_changed)
		sizes->options.on_changed(sizes->options.context, host);
}

static void unmark(struct response_size *size)
{
	/* The samples that led to the mark no longer apply. */
	memset(&size->window, 0, sizeof(size->window));
	size->marked_ns = 0;
	size->recovery = 0;
}

void response_sizes_receive(struct response_sizes *sizes,
			    struct known_host *host, bool is_failing,
			    int64_t now_ns)
{
	struct response_size *size = host->sizes;
	bool was_received = size && is_received(size, now_ns);

	if (!sizes->is_enabled || (!is_failing && !was_received))
		return;
	size = size_get(host);
	sizes->counters[RESPONSE_SIZE_RECEIVED] += is_failing != was_received;
	size->is_received = is_failing;
	size->received_ns = now_ns;
	if (is_failing && !was_received && size->marked_ns == 0)
		size->trial_ns = now_ns + FOLLOWER_TRIAL_NS;
	/* The leader has all samples, so its word that a host is well counts. */
	if (!is_failing)
		unmark(size);
	mark_apply(sizes, host, now_ns);
}

bool response_size_is_trial_due(const struct known_host *host, int64_t now_ns)
{
	return host->is_failing && now_ns >= host->sizes->trial_ns;
}

void response_size_begin_trial(struct known_host *host, int64_t now_ns)
{
	struct response_size *size = host->sizes;

	size->trial_ns = now_ns + (is_received(size, now_ns)
					   ? FOLLOWER_TRIAL_NS
					   : TRIAL_TIMEOUT_NS);
}

void response_sizes_count_trial(struct response_sizes *sizes)
{
	sizes->counters[RESPONSE_SIZE_TRIALS]++;
}

/* Hosts of one service. */
struct peer_group {
	const GPtrArray *hosts;
	guint compared; /* marked, or with enough responses */
	/* Of the hosts that are not marked, for each span. */
	double shares[RESPONSE_SPANS];
};

struct peer {
	struct response_count count;
	double share;
};

static int peer_compare(const void *left, const void *right)
{
	double a = ((const struct peer *)left)->share;
	double b = ((const struct peer *)right)->share;

	return a < b ? -1 : a > b;
}

/*
 * Share of short responses of the middle third of the hosts. Up to a third of
 * the hosts may fail without an effect on it, and it has more samples than a
 * median.
 */
static double middle_share(struct peer *peers, guint count)
{
	struct response_count sum = { 0 };
	guint margin = count / 3;

	qsort(peers, count, sizeof(*peers), peer_compare);
	for (guint i = margin; i < count - margin; i++) {
		sum.responses += peers[i].count.responses;
		sum.shorts += peers[i].count.shorts;
	}
	return response_share(&sum);
}

static double peer_share_find(const struct peer_group *group, int span)
{
	struct peer *peers = g_new(struct peer, group->hosts->len + 1);
	guint count = 0;
	double share;

	for (guint i = 0; i < group->hosts->len; i++) {
		const struct known_host *host =
			g_ptr_array_index(group->hosts, i);
		struct peer *peer = &peers[count];

		if (!host->sizes || host->is_removed || host->is_failing)
			continue;
		peer->count = host->sizes->window.spans[span];
		peer->share = response_share(&peer->count);
		count += peer->count.responses > 0;
	}
	share = middle_share(peers, count);
	g_free(peers);
	return share;
}

static bool is_compared(const struct known_host *host)
{
	const struct response_count *whole =
		&host->sizes->window.spans[RESPONSE_SPANS - 1];

	return !host->is_removed &&
	       (host->is_failing || whole->responses >= FAILING_RESPONSES_MIN);
}

static void group_sum(struct peer_group *group, int64_t now_ns)
{
	double whole_share;

	group->compared = 0;
	for (guint i = 0; i < group->hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(group->hosts, i);

		if (!host->sizes)
			continue;
		response_window_sum(&host->sizes->window, now_ns);
		group->compared += is_compared(host);
	}
	/* A short span has few responses, so its share may be low by chance. */
	whole_share = peer_share_find(group, RESPONSE_SPANS - 1);
	for (int i = 0; i < RESPONSE_SPANS; i++)
		group->shares[i] = MAX(peer_share_find(group, i), whole_share);
}

/* The first span that shows a failure; RESPONSE_SPANS if none does. */
static int failing_span(const struct response_size *size,
			const struct peer_group *group)
{
	int span = 0;

	while (span < RESPONSE_SPANS &&
	       !response_count_is_failing(&size->window.spans[span],
					  group->shares[span]))
		span++;
	return span;
}

/* A marked host counts until it has recovered: it has few recent responses. */
static bool has_high_share(const struct known_host *host)
{
	if (!host->sizes || host->is_removed)
		return false;
	if (host->is_failing)
		return host->sizes->recovery < RECOVERY_MIN;
	for (int i = 0; i < RESPONSE_SPANS; i++) {
		if (response_count_is_high(&host->sizes->window.spans[i]))
			return true;
	}
	return false;
}

static void mark_end(struct response_sizes *sizes, struct response_size *size,
		     bool can_fail)
{
	if (can_fail && size->recovery < RECOVERY_MIN)
		return;
	sizes->counters[can_fail ? RESPONSE_SIZE_RECOVERED
				 : RESPONSE_SIZE_RELEASED]++;
	unmark(size);
}

static void mark_begin(struct response_sizes *sizes, struct known_host *host,
		       const struct peer_group *group, int64_t now_ns)
{
	struct response_size *size = host->sizes;
	int span = failing_span(size, group);

	/* The samples of a host that the leader has marked are not recent. */
	if (span == RESPONSE_SPANS || host->is_failing || host->is_removed)
		return;
	size->marked_ns = now_ns;
	size->marked = size->window.spans[span];
	size->peer_share = group->shares[span];
	size->recovery = 0;
	size->trial_ns = now_ns + TRIAL_DELAY_NS;
	sizes->counters[RESPONSE_SIZE_MARKED]++;
}

/* True while too many hosts of the service fail, and for a time after that. */
static bool is_service_failing(struct response_sizes *sizes,
			       const char *service, bool is_failing,
			       int64_t now_ns)
{
	int64_t *end_ns = g_hash_table_lookup(sizes->released, service);

	if (is_failing) {
		if (!end_ns) {
			end_ns = g_new0(int64_t, 1);
			g_hash_table_insert(sizes->released, g_strdup(service),
					    end_ns);
		}
		*end_ns = now_ns + RELEASE_NS;
	}
	return end_ns && now_ns < *end_ns;
}

/* True if so many hosts fail that the service or its load is the cause. */
static bool has_common_cause(const struct peer_group *group)
{
	guint failing = 0;

	for (guint i = 0; i < group->hosts->len; i++)
		failing += has_high_share(g_ptr_array_index(group->hosts, i));
	return failing * FAILING_DIVISOR > group->compared;
}

static void service_update(struct response_sizes *sizes, const char *service,
			   const GPtrArray *hosts, int64_t now_ns)
{
	struct peer_group group = { .hosts = hosts };
	bool has_peers;
	bool can_fail;

	group_sum(&group, now_ns);
	has_peers = group.compared >= COMPARED_MIN;
	can_fail = !is_service_failing(
		sizes, service, has_peers && has_common_cause(&group), now_ns);
	for (guint i = 0; i < hosts->len; i++) {
		struct known_host *host = g_ptr_array_index(hosts, i);

		if (!host->sizes)
			continue;
		if (host->sizes->marked_ns != 0)
			mark_end(sizes, host->sizes, can_fail);
		else if (has_peers && can_fail)
			mark_begin(sizes, host, &group, now_ns);
		mark_apply(sizes, host, now_ns);
	}
}

void response_sizes_update(struct response_sizes *sizes, GHashTable *services,
			   int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	if (!sizes->is_enabled ||
	    (sizes->updated_ns != 0 &&
	     now_ns - sizes->updated_ns < UPDATE_INTERVAL_NS))
		return;
	sizes->updated_ns = now_ns;
	g_hash_table_iter_init(&iterator, services);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		service_update(sizes, key, value, now_ns);
}

const uint64_t *response_sizes_counters(const struct response_sizes *sizes)
{
	return sizes->counters;
}
