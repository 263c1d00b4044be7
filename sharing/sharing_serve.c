#include "sharing_state.h"

#include <string.h>

#include "sharing/replica.h"
#include "sharing/routing_codec.h"

static void encoded_routes_clear(struct sharing *sharing)
{
	for (int i = 0; i < ROUTES_ENCODINGS; i++)
		g_hash_table_remove_all(sharing->encoded_routes[i].by_base);
}

/* Keeps the versions that followers may have, to send only the changes. */
static void recent_routes_add(struct sharing *sharing, struct routing *routing)
{
	struct routing **recent = sharing->recent_routes;

	if (recent[0] == routing)
		return;
	/* Partial routes of the same version were completed. */
	if (recent[0] && recent[0]->version == routing->version) {
		routing_unref(recent[0]);
	} else {
		routing_unref(recent[RECENT_ROUTES_MAX - 1]);
		for (size_t i = RECENT_ROUTES_MAX - 1; i > 0; i--)
			recent[i] = recent[i - 1];
	}
	recent[0] = routing_ref(routing);
	encoded_routes_clear(sharing);
}

/* Base for changes in the encoding; NULL if all routes are to be sent. */
static const struct routing *recent_routes_find(const struct sharing *sharing,
						uint64_t version,
						enum routes_encoding encoding)
{
	for (size_t i = 0; i < RECENT_ROUTES_MAX; i++) {
		const struct routing *recent = sharing->recent_routes[i];

		if (recent && recent->version == version)
			return encoding == ROUTES_EXTENDED && recent->is_partial
				       ? NULL
				       : recent;
	}
	return NULL;
}

/* Encodes the changes since @base_version, or all routes if it is not kept. */
static const GByteArray *encoded_routes_get(struct sharing *sharing,
					    uint64_t base_version,
					    enum routes_encoding encoding)
{
	const struct routing *newest = sharing->recent_routes[0];
	const struct routing *base =
		recent_routes_find(sharing, base_version, encoding);
	struct encoded_routes *encoded = &sharing->encoded_routes[encoding];
	gpointer key = GSIZE_TO_POINTER(base ? base->version : 0);
	GByteArray *bytes = g_hash_table_lookup(encoded->by_base, key);

	if (bytes)
		return bytes;
	if (g_hash_table_size(encoded->by_base) == 0)
		encoded->digest = routing_digest(newest, encoding);
	bytes = routing_encode(newest, encoding, encoded->digest, base);
	g_hash_table_insert(encoded->by_base, key, bytes);
	return bytes;
}

/* Adds a chunk of the routes for a follower that has @base_version. */
static void chunk_fill(struct sharing *sharing, uint64_t base_version,
		       uint32_t chunk, struct sharing_message *update)
{
	struct routing *routing = steering_routing(sharing->options.steering);
	enum routes_encoding encoding =
		chunk > ROUTES_EXTENDED_CHUNKS ? ROUTES_EXTENDED : ROUTES_PLAIN;
	const GByteArray *bytes;
	size_t offset;

	if (!routing)
		return;
	update->routes_version = routing->version;
	recent_routes_add(sharing, routing);
	if (chunk == 0 || (encoding == ROUTES_EXTENDED && routing->is_partial))
		return;
	bytes = encoded_routes_get(sharing, base_version, encoding);
	offset = chunk - 1;
	if (encoding == ROUTES_EXTENDED)
		offset -= ROUTES_EXTENDED_CHUNKS;
	offset *= ROUTES_CHUNK_BYTES;
	if (offset >= bytes->len)
		return;
	update->chunk = chunk;
	update->chunk_count =
		(bytes->len + ROUTES_CHUNK_BYTES - 1) / ROUTES_CHUNK_BYTES;
	update->chunk_data = bytes->data + offset;
	update->chunk_bytes = MIN(bytes->len - offset, ROUTES_CHUNK_BYTES);
}

/* Adds the hosts that changed after the position of the follower. */
static void changes_fill(struct sharing *sharing, struct store_position after,
			 const char *cursor, int64_t now_ns,
			 struct sharing_message *update)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	const struct position_range range = {
		.after = after,
		.last = sharing->options.replica_status->position,
	};

	/* Some removals may have been forgotten. */
	update->needs_listing = store_position_is_before(
		after, host_table_oldest_position(table));
	replica_fill_changes(table, &range, cursor, now_ns, update);
	if (*cursor != '\0')
		update->base_revision = page_id(cursor);
}

/* The hosts that a follower lacks. */
struct hosts_request {
	struct store_position after;
	bool is_listing;
	const char *cursor; /* "" for from the start */
};

static void hosts_fill(struct sharing *sharing,
		       const struct hosts_request *request, int64_t now_ns,
		       struct sharing_message *update)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	const struct replica_status *replica_status =
		sharing->options.replica_status;
	struct store_position own = replica_status->position;

	update->position = request->after;
	if (!replica_status->is_complete)
		return;
	if (request->is_listing) {
		replica_fill_listing(table, request->cursor, own, now_ns,
				     update);
		update->base_revision = page_id(request->cursor);
	} else if (request->after.era != own.era) {
		/* Revisions of another era say nothing here. */
		update->position = own;
		update->needs_listing = true;
	} else if (!store_position_is_before(own, request->after)) {
		changes_fill(sharing, request->after, request->cursor, now_ns,
			     update);
	}
}

static void update_send(struct sharing *sharing, uint32_t address,
			struct sharing_message *update, int64_t now_ns)
{
	update->kind = SHARING_UPDATE;
	update->update_age_ms = sharing_replica_age_ms(sharing, now_ns);
	sharing_send(sharing, address, update);
	sharing_message_clear(update);
}

static struct follower *follower_update(struct sharing *sharing,
					uint32_t address,
					const struct sharing_message *message,
					int64_t now_ns)
{
	struct follower *follower = g_hash_table_lookup(
		sharing->followers, GUINT_TO_POINTER(address));

	if (!follower) {
		if (g_hash_table_size(sharing->followers) >= MEMBERS_MAX)
			return NULL;
		follower = g_new0(struct follower, 1);
		g_hash_table_insert(sharing->followers,
				    GUINT_TO_POINTER(address), follower);
	}
	follower->position = message->position;
	follower->knows_eras = message->has_era;
	follower->routes_version = message->routes_version;
	follower->polled_ns = now_ns;
	follower->load_count = message->load_count;
	memcpy(follower->loads, message->loads,
	       message->load_count * sizeof(message->loads[0]));
	return follower;
}

static bool is_listing_served(const struct follower *follower, int64_t now_ns)
{
	return follower->listing_ns != 0 &&
	       now_ns - follower->listing_ns < LISTING_TIMEOUT_NS;
}

/* True if the sender of @poll may start or continue a listing. */
static bool listing_admit(struct sharing *sharing, struct follower *follower,
			  const struct sharing_message *poll, int64_t now_ns)
{
	uint32_t served = 0;
	GHashTableIter iterator;
	gpointer value;

	if (!poll->is_listing)
		return true;
	if (!follower)
		return false;
	if (!is_listing_served(follower, now_ns)) {
		g_hash_table_iter_init(&iterator, sharing->followers);
		while (g_hash_table_iter_next(&iterator, NULL, &value))
			served += is_listing_served(value, now_ns);
		if (served >= LISTINGS_SERVED_MAX)
			return false;
	}
	follower->listing_ns = now_ns;
	return true;
}

static void listing_reject(struct sharing *sharing, uint32_t address,
			   bool knows_eras)
{
	struct sharing_message update = {
		.kind = SHARING_UPDATE,
		.has_era = knows_eras,
		.update_age_ms = UINT32_MAX,
	};

	sharing->counters[SHARING_LISTINGS_REJECTED]++;
	sharing_send(sharing, address, &update);
}

void serve_handle_poll(struct sharing *sharing, uint32_t address,
		       const struct sharing_message *message, int64_t now_ns)
{
	const struct hosts_request request = {
		.after = message->position,
		.is_listing = message->is_listing,
		.cursor = message->cursor,
	};
	struct follower *follower =
		follower_update(sharing, address, message, now_ns);
	struct sharing_message update = { 0 };

	sharing->counters[SHARING_POLLS_RECEIVED]++;
	if (!listing_admit(sharing, follower, message, now_ns)) {
		listing_reject(sharing, address, message->has_era);
		return;
	}
	/* A listing starts: the process may be another one than before. */
	if (follower && message->is_listing && message->cursor[0] == '\0')
		memset(&follower->drains, 0, sizeof(follower->drains));
	if (follower)
		drains_serve(sharing, address, &follower->drains, now_ns);
	if (follower && !message->is_listing)
		follower->listing_ns = 0;
	update.has_era = message->has_era;
	update.position = message->position;
	update.base_revision = message->position.revision;
	chunk_fill(sharing, message->routes_version, message->chunk, &update);
	/* Hosts do not fit beside a chunk of routes. */
	if (update.chunk == 0)
		hosts_fill(sharing, &request, now_ns, &update);
	/* Loads do not fit beside routes or hosts. */
	if (update.chunk == 0 && (!update.hosts || update.hosts->len == 0))
		update.load_count =
			serve_loads_fill(sharing, true, update.loads);
	update_send(sharing, address, &update, now_ns);
	if (follower && !message->is_listing)
		speeds_handle_poll(sharing, address, follower, now_ns);
}

static GByteArray *push_encode(struct sharing *sharing,
			       const struct follower *follower, int64_t now_ns)
{
	const struct hosts_request request = { .after = follower->position,
					       .cursor = "" };
	struct sharing_message update = { .kind = SHARING_UPDATE,
					  .has_era = follower->knows_eras };
	GByteArray *bytes;

	chunk_fill(sharing, 0, 0, &update);
	hosts_fill(sharing, &request, now_ns, &update);
	update.update_age_ms = sharing_replica_age_ms(sharing, now_ns);
	bytes = sharing_encode(sharing, &update);
	sharing_message_clear(&update);
	return bytes;
}

static bool is_same_push(const struct follower *a, const struct follower *b)
{
	return a->knows_eras == b->knows_eras &&
	       store_position_is_equal(a->position, b->position);
}

/* Most followers have the same position, so they get the same datagram. */
void serve_push(struct sharing *sharing, int64_t now_ns)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);
	struct store_position position =
		sharing->options.replica_status->position;
	const struct follower *encoded = NULL;
	GByteArray *bytes = NULL;
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, sharing->followers);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		const struct follower *follower = value;

		if (!store_position_is_before(follower->position, position) &&
		    (!routing || follower->routes_version >= routing->version))
			continue;
		if (!encoded || !is_same_push(encoded, follower)) {
			if (bytes)
				g_byte_array_unref(bytes);
			bytes = push_encode(sharing, follower, now_ns);
			encoded = follower;
		}
		sharing->counters[SHARING_UPDATES_PUSHED]++;
		sharing_send_bytes(sharing, GPOINTER_TO_UINT(key), bytes);
	}
	if (bytes)
		g_byte_array_unref(bytes);
}

size_t serve_loads_fill(struct sharing *sharing, bool is_total,
			struct host_load loads[HOST_LOADS_MAX])
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	GHashTableIter iterator;
	size_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (count < HOST_LOADS_MAX &&
	       g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct known_host *host = value;
		uint32_t flows = host->open_flows;

		if (is_total)
			flows += host->peer_flows;
		if (flows == 0 || host->is_removed ||
		    strcmp(host->published.zone, sharing->options.zone) != 0)
			continue;
		loads[count].token = host->token;
		loads[count].flows = (uint16_t)MIN(flows, UINT16_MAX);
		count++;
	}
	return count;
}

static void follower_loads_add(struct host_table *table,
			       const struct follower *follower)
{
	for (size_t i = 0; i < follower->load_count; i++) {
		struct known_host *host =
			host_table_find_token(table, follower->loads[i].token);

		if (host)
			host->peer_flows_pending += follower->loads[i].flows;
	}
}

static void peer_flows_commit(struct host_table *table)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, host_table_all(table));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct known_host *host = value;

		host->peer_flows = host->peer_flows_pending;
		host->peer_flows_pending = 0;
	}
}

void serve_tick(struct sharing *sharing, int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, sharing->followers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct follower *follower = value;

		if (now_ns - follower->polled_ns > FOLLOWER_AGE_MAX_NS)
			g_hash_table_iter_remove(&iterator);
		else if (sharing->leader == 0)
			follower_loads_add(table, follower);
	}
	if (sharing->leader == 0)
		peer_flows_commit(table);
}
