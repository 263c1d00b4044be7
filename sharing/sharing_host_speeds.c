/*
 * A balancer sees few requests of each host. The followers of a zone report
 * their samples to the leader, which sends them the speeds that result from all
 * samples, and mark the hosts that fail.
 */

#include <string.h>

#include "sharing_state.h"

#define REPORT_INTERVAL_NS (1 * NS_PER_S)
/* The same once a host gave a short response: it may be failing. */
#define SHORT_REPORT_INTERVAL_NS (250 * NS_PER_MS)
/* Changed marks are sent at once, at most so often and so many. */
#define MARKS_INTERVAL_NS (200 * NS_PER_MS)
#define MARKS_MAX 8
#define SPEEDS_INTERVAL_NS (2 * NS_PER_S)
/*
 * Intervals in which the speeds of all hosts are sent. A follower keeps a speed
 * for 10 s, so that one lost message does not matter.
 */
#define SPEEDS_ROUND_INTERVALS 3
/*
 * A balancer that has just started knows the speeds of few hosts, and must not
 * replace what the followers know from the leader before it.
 */
#define START_NS (8 * NS_PER_S)
/* After the last host has returned to the speed of its peers. */
#define EQUAL_SENT_NS (10 * NS_PER_S)

static struct host_speeds *speeds_get(const struct sharing *sharing)
{
	return steering_host_speeds(sharing->options.steering);
}

static struct response_sizes *sizes_get(const struct sharing *sharing)
{
	return steering_response_sizes(sharing->options.steering);
}

static bool is_enabled(const struct sharing *sharing)
{
	return host_speeds_is_enabled(speeds_get(sharing)) ||
	       response_sizes_is_enabled(sizes_get(sharing));
}

static bool is_own_zone(const struct sharing *sharing,
			const struct known_host *host)
{
	return !host->is_removed &&
	       strcmp(host->published.zone, sharing->options.zone) == 0;
}

static gint token_compare(gconstpointer left, gconstpointer right)
{
	uint32_t a = (*(struct known_host *const *)left)->token;
	uint32_t b = (*(struct known_host *const *)right)->token;

	return a < b ? -1 : a > b;
}

static bool has_pending_samples(const struct known_host *host)
{
	return (host->speed && host->speed->pending_samples > 0) ||
	       (host->sizes && host->sizes->pending_responses > 0);
}

static bool has_pending_shorts(const struct known_host *host)
{
	return host->sizes && host->sizes->pending_shorts > 0;
}

static bool is_notable(const struct known_host *host)
{
	return host_speed_is_unequal(host) || host->is_failing;
}

static bool has_changed_mark(const struct known_host *host)
{
	return host->sizes && host->sizes->is_told != host->is_failing;
}

static void samples_take(struct known_host *host,
			 struct host_sample_report *report)
{
	memset(report, 0, sizeof(*report));
	host_speed_report_take(host, &report->speed);
	response_size_report_take(host, &report->sizes);
	report->speed.token = host->token;
}

/* Hosts of the own zone for which @is_wanted, by token. */
static GPtrArray *hosts_find(const struct sharing *sharing,
			     bool (*is_wanted)(const struct known_host *host))
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	GPtrArray *hosts = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (is_wanted(value) && is_own_zone(sharing, value))
			g_ptr_array_add(hosts, value);
	}
	g_ptr_array_sort(hosts, token_compare);
	return hosts;
}

/* Index of the first host whose token is not below @token; 0 if all are. */
static guint token_find(const GPtrArray *hosts, uint32_t token)
{
	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);

		if (host->token >= token)
			return i;
	}
	return 0;
}

/* Hosts that do not fit into the report come first in the next one. */
static void report_send(struct sharing *sharing)
{
	struct sharing_message message = { .kind = SHARING_HOST_SPEEDS };
	GPtrArray *hosts = hosts_find(sharing, has_pending_samples);
	guint first = token_find(hosts, sharing->next_reported_token);
	guint count = MIN(hosts->len, SPEED_REPORTS_MAX);

	for (guint i = 0; i < count; i++) {
		struct known_host *host =
			g_ptr_array_index(hosts, (first + i) % hosts->len);

		samples_take(host, &message.speed_reports[i]);
		sharing->next_reported_token = host->token + 1;
	}
	message.speed_report_count = count;
	/* An empty range. */
	message.first_token = 1;
	if (count > 0) {
		sharing_send(sharing, sharing->leader, &message);
		sharing->counters[SHARING_SPEED_REPORTS_SENT]++;
	}
	g_ptr_array_unref(hosts);
}

/* What a leader has measured itself is in its own speeds. */
static void pending_drop(struct sharing *sharing)
{
	GPtrArray *hosts = hosts_find(sharing, has_pending_samples);
	struct host_sample_report report;

	for (guint i = 0; i < hosts->len; i++)
		samples_take(g_ptr_array_index(hosts, i), &report);
	g_ptr_array_unref(hosts);
}

/*
 * Encodes the speeds of the hosts from @next_token on, and advances it behind
 * the last one; it is 0 after the last part.
 */
static GByteArray *part_encode(struct sharing *sharing, const GPtrArray *hosts,
			       uint32_t *next_token)
{
	struct sharing_message message = { .kind = SHARING_HOST_SPEEDS,
					   .first_token = *next_token,
					   .last_token = UINT32_MAX };

	for (guint i = 0; i < hosts->len; i++) {
		const struct known_host *host = g_ptr_array_index(hosts, i);
		struct host_speed_entry *entry;

		if (host->token < *next_token)
			continue;
		if (message.speed_count == HOST_SPEEDS_MAX) {
			message.last_token =
				message.speeds[HOST_SPEEDS_MAX - 1].token;
			break;
		}
		entry = &message.speeds[message.speed_count++];
		entry->token = host->token;
		entry->speed_permille = host_speed_permille(host);
		entry->is_failing = host->is_failing;
	}
	*next_token = message.last_token + 1;
	return sharing_encode(sharing, &message);
}

static void part_send(struct sharing *sharing, uint32_t address,
		      const GByteArray *bytes)
{
	sharing_send_bytes(sharing, address, bytes);
	sharing->counters[SHARING_SPEEDS_SENT]++;
}

static bool has_speeds_to_send(const struct sharing *sharing, int64_t now_ns)
{
	if (sharing->speeds_received_ns == 0 &&
	    now_ns - sharing->started_ns < START_NS)
		return false;
	return sharing->unequal_ns != 0 &&
	       now_ns - sharing->unequal_ns < EQUAL_SENT_NS;
}

static void bytes_send_to_all(struct sharing *sharing, const GByteArray *bytes)
{
	GHashTableIter iterator;
	gpointer key;

	g_hash_table_iter_init(&iterator, sharing->followers);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		part_send(sharing, GPOINTER_TO_UINT(key), bytes);
}

static void part_send_to_all(struct sharing *sharing, const GPtrArray *hosts)
{
	GByteArray *bytes =
		part_encode(sharing, hosts, &sharing->next_speed_token);

	bytes_send_to_all(sharing, bytes);
	g_byte_array_unref(bytes);
}

/* A message about this host alone: its range has only the token of the host. */
static void mark_send(struct sharing *sharing, struct known_host *host)
{
	struct sharing_message message = { .kind = SHARING_HOST_SPEEDS,
					   .first_token = host->token,
					   .last_token = host->token,
					   .speed_count = 1 };
	GByteArray *bytes;

	message.speeds[0].token = host->token;
	message.speeds[0].speed_permille = host_speed_permille(host);
	message.speeds[0].is_failing = host->is_failing;
	bytes = sharing_encode(sharing, &message);
	bytes_send_to_all(sharing, bytes);
	g_byte_array_unref(bytes);
	host->sizes->is_told = host->is_failing;
}

static void marks_send(struct sharing *sharing, int64_t now_ns)
{
	GPtrArray *hosts;

	if (now_ns < sharing->next_marks_ns)
		return;
	hosts = hosts_find(sharing, has_changed_mark);
	for (guint i = 0; i < MIN(hosts->len, MARKS_MAX); i++)
		mark_send(sharing, g_ptr_array_index(hosts, i));
	if (hosts->len > 0)
		sharing->next_marks_ns = now_ns + MARKS_INTERVAL_NS;
	g_ptr_array_unref(hosts);
}

static GPtrArray *unequal_hosts_find(struct sharing *sharing, int64_t now_ns)
{
	GPtrArray *hosts = hosts_find(sharing, is_notable);

	if (hosts->len > 0)
		sharing->unequal_ns = now_ns;
	return hosts;
}

static void speeds_send(struct sharing *sharing, int64_t now_ns)
{
	GPtrArray *hosts = unequal_hosts_find(sharing, now_ns);
	guint parts =
		MAX((hosts->len + HOST_SPEEDS_MAX - 1) / HOST_SPEEDS_MAX, 1);
	guint count =
		(parts + SPEEDS_ROUND_INTERVALS - 1) / SPEEDS_ROUND_INTERVALS;

	if (has_speeds_to_send(sharing, now_ns)) {
		for (guint i = 0; i < count; i++)
			part_send_to_all(sharing, hosts);
	}
	g_ptr_array_unref(hosts);
}

static void speeds_send_all(struct sharing *sharing, uint32_t address,
			    const GPtrArray *hosts)
{
	uint32_t next_token = 0;

	do {
		GByteArray *bytes = part_encode(sharing, hosts, &next_token);

		part_send(sharing, address, bytes);
		g_byte_array_unref(bytes);
	} while (next_token != 0);
}

void speeds_handle_poll(struct sharing *sharing, uint32_t address,
			struct follower *follower, int64_t now_ns)
{
	GPtrArray *hosts;

	if (follower->has_speeds || !is_enabled(sharing))
		return;
	follower->has_speeds = true;
	hosts = unequal_hosts_find(sharing, now_ns);
	if (has_speeds_to_send(sharing, now_ns))
		speeds_send_all(sharing, address, hosts);
	g_ptr_array_unref(hosts);
}

static bool is_report_due(const struct sharing *sharing, int64_t now_ns)
{
	int64_t age_ns = now_ns - sharing->speed_reported_ns;
	GPtrArray *hosts;
	bool has_shorts;

	if (age_ns >= REPORT_INTERVAL_NS || age_ns < SHORT_REPORT_INTERVAL_NS)
		return age_ns >= REPORT_INTERVAL_NS;
	hosts = hosts_find(sharing, has_pending_shorts);
	has_shorts = hosts->len > 0;
	g_ptr_array_unref(hosts);
	return has_shorts;
}

void speeds_tick(struct sharing *sharing, int64_t now_ns)
{
	if (!is_enabled(sharing))
		return;
	if (is_report_due(sharing, now_ns)) {
		sharing->speed_reported_ns = now_ns;
		if (sharing->leader != 0)
			report_send(sharing);
		else
			pending_drop(sharing);
	}
	marks_send(sharing, now_ns);
	if (now_ns >= sharing->next_speeds_ns) {
		sharing->next_speeds_ns = now_ns + SPEEDS_INTERVAL_NS;
		if (g_hash_table_size(sharing->followers) > 0)
			speeds_send(sharing, now_ns);
	}
}

/* A balancer that has a leader itself passes the samples on to it. */
static void reports_merge(struct sharing *sharing,
			  const struct sharing_message *message, int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);

	sharing->counters[SHARING_SPEED_REPORTS_RECEIVED]++;
	for (size_t i = 0; i < message->speed_report_count; i++) {
		const struct host_sample_report *report =
			&message->speed_reports[i];
		struct known_host *host =
			host_table_find_token(table, report->speed.token);

		if (!host || !is_own_zone(sharing, host))
			continue;
		host_speeds_merge(speeds_get(sharing), host, &report->speed,
				  sharing->leader != 0, now_ns);
		response_sizes_merge(sizes_get(sharing), host, &report->sizes,
				     sharing->leader != 0, now_ns);
	}
}

static bool is_told_failing(const struct sharing_message *message,
			    uint32_t token)
{
	for (size_t i = 0; i < message->speed_count; i++) {
		if (message->speeds[i].token == token)
			return message->speeds[i].is_failing;
	}
	return false;
}

static void speeds_apply(struct sharing *sharing,
			 const struct sharing_message *message, int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	GHashTableIter iterator;
	gpointer value;

	sharing->counters[SHARING_SPEEDS_RECEIVED]++;
	sharing->speeds_received_ns = now_ns;
	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		if (host->token < message->first_token ||
		    host->token > message->last_token ||
		    !is_own_zone(sharing, host))
			continue;
		host_speeds_receive(speeds_get(sharing), host, 1000, now_ns);
		response_sizes_receive(sizes_get(sharing), host,
				       is_told_failing(message, host->token),
				       now_ns);
	}
	for (size_t i = 0; i < message->speed_count; i++) {
		const struct host_speed_entry *entry = &message->speeds[i];
		struct known_host *host =
			host_table_find_token(table, entry->token);

		if (host && is_own_zone(sharing, host))
			host_speeds_receive(speeds_get(sharing), host,
					    entry->speed_permille, now_ns);
	}
}

void speeds_handle(struct sharing *sharing, uint32_t address,
		   const struct sharing_message *message, int64_t now_ns)
{
	if (!is_enabled(sharing) || message->zone != sharing->zone)
		return;
	if (message->speed_report_count > 0)
		reports_merge(sharing, message, now_ns);
	else if (address == sharing->leader)
		speeds_apply(sharing, message, now_ns);
}
