#include <string.h>

#include "sharing_state.h"

/* Interval of the sums to leaders of other zones. */
#define ZONES_INTERVAL_NS (500 * NS_PER_MS)
/* A follower reports before each poll, but not more often than this. */
#define FOLLOWER_INTERVAL_NS (400 * NS_PER_MS)
/*
 * A follower is sent the totals in the first tick after its poll, so that they
 * contain the reports of followers that poll at the same time. It polls more
 * often while it receives routes or a listing, and is sent them no more often
 * than this then.
 */
#define TOTALS_INTERVAL_NS (400 * NS_PER_MS)
/*
 * A balancer that has become the leader has no complete sums before all its
 * followers have polled it, and reported their loads beside that.
 */
#define LEADING_MIN_NS (600 * NS_PER_MS)
/* A leader of another zone that did not report for this long is not known. */
#define ZONE_LEADER_AGE_MAX_NS ZONE_LOAD_AGE_MAX_NS
/* Messages with sums or totals at once. */
#define MESSAGES_MAX 4
#define ENTRIES_MAX (MESSAGES_MAX * ZONE_LOAD_ENTRIES_MAX)

void zone_reports_create(struct zone_reports *reports)
{
	reports->leaders = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	reports->totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void zone_reports_clear(struct zone_reports *reports)
{
	g_hash_table_destroy(reports->leaders);
	g_hash_table_destroy(reports->totals);
}

static struct zone_loads *zone_loads(const struct sharing *sharing)
{
	return steering_zone_loads(sharing->options.steering);
}

/*
 * True for the leader, and for a former one until its new leader responds. It
 * tries a dead leader again after a backoff, which must not end the totals.
 */
static bool is_leader(const struct sharing *sharing)
{
	if (sharing->leader == 0)
		return true;
	return sharing->zone_reports.leading_since_ns != 0 &&
	       sharing->leader_response_ns < sharing->leader_since_ns;
}

static bool is_leading(const struct sharing *sharing, int64_t now_ns)
{
	const struct zone_reports *reports = &sharing->zone_reports;

	return reports->leading_since_ns != 0 &&
	       now_ns - reports->leading_since_ns >= LEADING_MIN_NS;
}

static void entries_send(struct sharing *sharing, uint32_t address,
			 const struct zone_load_entry *entries, size_t count)
{
	struct sharing_message message = {
		.kind = SHARING_ZONE_LOADS,
		.zone_load_count = count,
	};

	memcpy(message.zone_loads, entries, count * sizeof(entries[0]));
	sharing_send(sharing, address, &message);
}

/* In as many messages as it takes, at least one. */
static void entries_send_all(struct sharing *sharing, uint32_t address,
			     const struct zone_load_entry *entries,
			     size_t count)
{
	size_t sent = 0;

	do {
		size_t part = MIN(count - sent, ZONE_LOAD_ENTRIES_MAX);

		entries_send(sharing, address, entries + sent, part);
		sent += part;
	} while (sent < count);
}

/* Returns NULL if there are too many zones. */
static struct zone_leader *zone_leader_get_or_add(struct sharing *sharing,
						  uint32_t zone)
{
	GHashTable *leaders = sharing->zone_reports.leaders;
	struct zone_leader *leader =
		g_hash_table_lookup(leaders, GUINT_TO_POINTER(zone));

	if (leader || g_hash_table_size(leaders) >= ZONE_LOAD_ZONES_MAX)
		return leader;
	leader = g_new0(struct zone_leader, 1);
	g_hash_table_insert(leaders, GUINT_TO_POINTER(zone), leader);
	return leader;
}

static bool is_leader_known(const struct zone_leader *leader, int64_t now_ns)
{
	return leader->address != 0 && leader->heard_ns != 0 &&
	       now_ns - leader->heard_ns <= ZONE_LEADER_AGE_MAX_NS;
}

/* Another balancer named the leader; what it says itself counts more. */
static void zone_leader_suggest(struct sharing *sharing,
				const struct zone_load_entry *entry,
				int64_t now_ns)
{
	struct zone_leader *leader;

	if (entry->leader == 0 || entry->zone == sharing->zone ||
	    entry->leader == sharing->options.address)
		return;
	leader = zone_leader_get_or_add(sharing, entry->zone);
	if (!leader || is_leader_known(leader, now_ns) ||
	    entry->leader == leader->address)
		return;
	/* If it does not report, members are asked again. */
	leader->address = entry->leader;
}

/* The zones that have hosts, besides the own one. */
static void zone_leaders_add_known(struct sharing *sharing)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator,
			       zone_loads_services(zone_loads(sharing)));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct service_load *service = value;

		for (size_t i = 0; i < service->zone_count; i++)
			if (service->zones[i].zone != sharing->zone)
				zone_leader_get_or_add(sharing,
						       service->zones[i].zone);
	}
}

/* A member of the zone, which tells who leads it; 0 if none is known. */
static uint32_t zone_member_pick(struct sharing *sharing, uint32_t zone,
				 int64_t now_ns)
{
	struct member_entry sample[MEMBER_SAMPLE_MAX];
	size_t count = members_sample(sharing->members, zone, now_ns,
				      sharing->random, sample);

	if (count == 0)
		return 0;
	return sample[g_rand_int_range(sharing->random, 0, (gint32)count)]
		.address;
}

static uint32_t seed_pick(struct sharing *sharing)
{
	uint32_t seed;

	if (sharing->seed_count == 0)
		return 0;
	seed = sharing->seeds[g_rand_int_range(sharing->random, 0,
					       (gint32)sharing->seed_count)];
	return seed == sharing->options.address ? 0 : seed;
}

/*
 * Sends the sums to the leader of the zone; while it is not known, to a member
 * of the zone and to a seed, which respond with the leaders they know.
 */
static void zone_report(struct sharing *sharing, uint32_t zone,
			struct zone_leader *leader,
			const struct zone_load_entry *entries, size_t count,
			int64_t now_ns)
{
	uint32_t targets[] = { leader->address, 0, 0 };

	if (!is_leader_known(leader, now_ns)) {
		/* Used once, unless it responds. */
		leader->address = 0;
		targets[1] = zone_member_pick(sharing, zone, now_ns);
		targets[2] = seed_pick(sharing);
	}
	if (targets[1] == targets[0])
		targets[1] = 0;
	if (targets[2] == targets[1] || targets[2] == targets[0])
		targets[2] = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (targets[i] != 0)
			entries_send_all(sharing, targets[i], entries, count);
	}
}

static void zones_report(struct sharing *sharing, int64_t now_ns)
{
	struct zone_reports *reports = &sharing->zone_reports;
	struct zone_load_entry entries[ENTRIES_MAX];
	GHashTableIter iterator;
	gpointer key;
	gpointer value;
	size_t count;

	if (now_ns < reports->next_report_ns)
		return;
	reports->next_report_ns = now_ns + ZONES_INTERVAL_NS;
	zone_leaders_add_known(sharing);
	count = zone_loads_sums(zone_loads(sharing), now_ns, entries,
				ENTRIES_MAX);
	g_hash_table_iter_init(&iterator, reports->leaders);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		zone_report(sharing, GPOINTER_TO_UINT(key), value, entries,
			    count, now_ns);
}

/* To the followers that have polled since the last tick. */
static void totals_send(struct sharing *sharing, int64_t now_ns)
{
	struct zone_load_entry entries[ENTRIES_MAX];
	size_t count = zone_loads_totals(zone_loads(sharing), now_ns, entries,
					 ENTRIES_MAX);
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, sharing->zone_reports.totals);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		struct follower_totals *totals = value;

		if (now_ns - totals->polled_ns > FOLLOWER_AGE_MAX_NS) {
			g_hash_table_iter_remove(&iterator);
			continue;
		}
		if (!totals->is_due ||
		    now_ns - totals->sent_ns < TOTALS_INTERVAL_NS)
			continue;
		totals->is_due = false;
		totals->sent_ns = now_ns;
		if (count > 0)
			entries_send_all(sharing, GPOINTER_TO_UINT(key),
					 entries, count);
	}
}

static void leader_tick(struct sharing *sharing, int64_t now_ns)
{
	struct zone_reports *reports = &sharing->zone_reports;

	if (reports->leading_since_ns == 0)
		reports->leading_since_ns = now_ns;
	if (!is_leading(sharing, now_ns))
		return;
	zone_loads_sum(zone_loads(sharing), sharing->options.address, now_ns);
	zones_report(sharing, now_ns);
	totals_send(sharing, now_ns);
}

static bool is_poll_due(const struct sharing *sharing, int64_t now_ns)
{
	return sharing->poll_sent_ns == 0 && now_ns >= sharing->next_poll_ns;
}

static void follower_tick(struct sharing *sharing, int64_t now_ns)
{
	struct zone_reports *reports = &sharing->zone_reports;
	struct zone_load_entry entries[ZONE_LOAD_ENTRIES_MAX];
	size_t count;

	reports->leading_since_ns = 0;
	if (now_ns < reports->next_report_ns || !is_poll_due(sharing, now_ns))
		return;
	reports->next_report_ns = now_ns + FOLLOWER_INTERVAL_NS;
	count = zone_loads_observed(zone_loads(sharing), now_ns, entries,
				    ZONE_LOAD_ENTRIES_MAX);
	if (count > 0)
		entries_send(sharing, sharing->leader, entries, count);
}

void zone_reports_tick(struct sharing *sharing, int64_t now_ns)
{
	if (!sharing_is_synced(sharing))
		return;
	if (is_leader(sharing))
		leader_tick(sharing, now_ns);
	else
		follower_tick(sharing, now_ns);
}

void zone_reports_handle_poll(struct sharing *sharing, uint32_t address,
			      int64_t now_ns)
{
	GHashTable *table = sharing->zone_reports.totals;
	struct follower_totals *totals =
		g_hash_table_lookup(table, GUINT_TO_POINTER(address));

	if (!totals) {
		if (g_hash_table_size(table) >= MEMBERS_MAX)
			return;
		totals = g_new0(struct follower_totals, 1);
		g_hash_table_insert(table, GUINT_TO_POINTER(address), totals);
	}
	totals->polled_ns = now_ns;
	totals->is_due = true;
}

/* Tells a leader of another zone which leaders this balancer knows. */
static void leaders_send(struct sharing *sharing, uint32_t address,
			 int64_t now_ns)
{
	struct zone_load_entry entries[ZONE_LOAD_ENTRIES_MAX] = { 0 };
	GHashTableIter iterator;
	size_t count = 0;
	gpointer key;
	gpointer value;

	entries[count].zone = sharing->zone;
	entries[count++].leader = is_leader(sharing) ? sharing->options.address
						     : sharing->leader;
	g_hash_table_iter_init(&iterator, sharing->zone_reports.leaders);
	while (count < ZONE_LOAD_ENTRIES_MAX &&
	       g_hash_table_iter_next(&iterator, &key, &value)) {
		const struct zone_leader *leader = value;

		if (!is_leader_known(leader, now_ns) ||
		    leader->address == address)
			continue;
		entries[count].zone = GPOINTER_TO_UINT(key);
		entries[count++].leader = leader->address;
	}
	entries_send(sharing, address, entries, count);
}

static bool is_naming_leaders(const struct sharing_message *message)
{
	return message->zone_load_count > 0 &&
	       message->zone_loads[0].service == 0;
}

/* Followers do not name a leader: totals of a former leader may come late. */
static bool has_leader(const struct sharing_message *message)
{
	return message->zone_load_count > 0 &&
	       message->zone_loads[0].leader != 0;
}

/* The sums of another zone. */
static void zone_handle(struct sharing *sharing, uint32_t address,
			const struct sharing_message *message, int64_t now_ns)
{
	struct zone_leader *leader;

	if (!is_leader(sharing)) {
		leaders_send(sharing, address, now_ns);
		return;
	}
	leader = zone_leader_get_or_add(sharing, message->zone);
	if (!leader)
		return;
	/* It asks through a seed, and may look for other leaders, too. */
	if (!is_leader_known(leader, now_ns) || leader->address != address)
		leaders_send(sharing, address, now_ns);
	leader->address = address;
	leader->heard_ns = now_ns;
	zone_loads_set_zone(zone_loads(sharing), message->zone,
			    message->zone_loads, message->zone_load_count,
			    now_ns);
}

void zone_reports_handle(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *message, int64_t now_ns)
{
	for (size_t i = 0; i < message->zone_load_count; i++)
		zone_leader_suggest(sharing, &message->zone_loads[i], now_ns);
	if (is_naming_leaders(message))
		return;
	if (message->zone != sharing->zone)
		zone_handle(sharing, address, message, now_ns);
	else if (address == sharing->leader)
		zone_loads_set_totals(zone_loads(sharing), message->zone_loads,
				      message->zone_load_count, now_ns);
	else if (!has_leader(message))
		zone_loads_set_follower(zone_loads(sharing), address,
					message->zone_loads,
					message->zone_load_count, now_ns);
}
