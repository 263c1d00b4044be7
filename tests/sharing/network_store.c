#include <string.h>

#include "network.h"

/* Hosts in a page of a listing. */
#define STORE_PAGE_HOSTS 50
/*
 * Simulated readers read the store every 200 ms. Real ones do so once a second,
 * and at once after a change.
 */
#define STORE_INTERVAL_NS (200 * NS_PER_MS)

/* Revision of the last change of the zone. */
static uint64_t drain_revision(const struct network *network, const char *zone)
{
	uint64_t revision = 0;

	for (guint i = 0; i < network->drain_changes->len; i++) {
		const struct drain_change *change = &g_array_index(
			network->drain_changes, struct drain_change, i);

		if (strcmp(change->zone, zone) == 0)
			revision = change->revision;
	}
	return revision;
}

/* The revision in the era of the store, as far as the node reads it. */
static struct store_position position_read(const struct node *node,
					   uint64_t revision)
{
	struct store_position position = node->network->store_position;

	position.revision = revision;
	if (node->knows_no_eras)
		position.era = 0;
	return position;
}

/*
 * The store has no history of another era, nor after a revision that it has not
 * given out yet.
 */
static bool has_history(const struct network *network, const struct node *node)
{
	struct store_position position =
		position_read(node, network->store_position.revision);

	return node->store_position.era == position.era &&
	       node->store_position.revision <= position.revision;
}

static uint64_t revision_next(struct network *network)
{
	return ++network->store_position.revision;
}

/* A listing contains the requests that stand, a watch all changes. */
static void drains_apply(const struct network *network, struct node *node,
			 bool is_listing)
{
	struct zone_drains *drains = steering_zone_drains(node->steering);
	int64_t now_ns = network->clock.now_ns;

	if (node->is_previous_version)
		return;
	if (is_listing)
		zone_drains_listing_begin(
			drains,
			position_read(node, network->store_position.revision));
	for (guint i = 0; i < network->drain_changes->len; i++) {
		const struct drain_change *change = &g_array_index(
			network->drain_changes, struct drain_change, i);
		bool is_read =
			is_listing
				? change->is_active &&
					  change->revision ==
						  drain_revision(network,
								 change->zone)
				: change->revision >
					  node->store_position.revision;

		if (is_read)
			zone_drains_set(drains, change->zone,
					position_read(node, change->revision),
					change->is_active, now_ns);
	}
	if (is_listing)
		zone_drains_listing_end(drains, now_ns);
}

/* Applies what was published after the revision that the node watches from. */
static void store_changes_apply(struct network *network, struct node *node,
				struct host_listing *listing)
{
	struct host_table *hosts = steering_hosts(node->steering);
	uint64_t after = listing ? 0 : node->store_position.revision;
	int64_t now_ns = network->clock.now_ns;

	for (guint i = 0; i < network->hosts->len; i++) {
		struct host_announcement host =
			*(struct host_announcement *)g_ptr_array_index(
				network->hosts, i);

		host.position = position_read(node, host.position.revision);
		if (host.position.revision > after)
			host_listing_put(listing, hosts, &host, now_ns);
	}
	for (guint i = 0; !listing && i < network->withdrawn->len; i++) {
		const struct withdrawal *withdrawal = &g_array_index(
			network->withdrawn, struct withdrawal, i);

		if (withdrawal->revision > after)
			host_table_remove(
				hosts, withdrawal->id,
				position_read(node, withdrawal->revision),
				now_ns);
	}
	drains_apply(network, node, listing != NULL);
	if (network->routing && network->routing_revision > after)
		steering_set_routing(node->steering, network->routing);
}

static void store_read(struct network *network, struct node *node)
{
	struct replica_status *replica_status = &node->replica_status;
	struct store_position position =
		position_read(node, network->store_position.revision);
	bool is_newer =
		store_position_is_before(replica_status->position, position);
	int64_t now_ns = network->clock.now_ns;
	struct host_listing *listing = NULL;

	node->store_calls++;
	if (network->is_store_down || node->is_rejected)
		return;
	if (!has_history(network, node))
		node->store_is_synced = false;
	if (!node->store_is_synced)
		listing = host_listing_create(position);
	store_changes_apply(network, node, listing);
	if (listing) {
		host_listing_finish(listing, steering_hosts(node->steering),
				    now_ns);
		replica_status->listed_routes_version = 0;
	}
	host_listing_destroy(listing);
	node->store_is_synced = true;
	node->store_position = position;
	replica_status->is_complete = true;
	replica_status->position =
		store_position_max(replica_status->position, position);
	if (!node->is_previous_version) {
		replica_status->has_zone_drains = true;
		replica_status->zone_drains_position = store_position_max(
			replica_status->zone_drains_position, position);
	}
	replica_status->confirmed_ns = now_ns;
	if (is_newer)
		sharing_push(node->sharing);
}

void network_read_now(struct network *network, uint32_t index)
{
	store_read(network, &network->nodes[index]);
}

bool network_node_is_synced(const struct node *node)
{
	return node->replica_status.is_complete &&
	       steering_routing(node->steering) &&
	       (node->is_previous_version ||
		sharing_knows_zone_drains(node->sharing));
}

/* True for the first listing, and for that of a new era. */
static bool node_lists(const struct network *network, const struct node *node)
{
	return !network_node_is_synced(node) ||
	       (node->store_position.era != 0 && !has_history(network, node));
}

/*
 * Simulates a listing of several pages: the first page shows that there are
 * more, and the store's link transfers one listing after the other.
 */
void network_node_read(struct network *network, struct node *node)
{
	int64_t now_ns = network->clock.now_ns;

	/* A page of another era than the first one's starts the listing again. */
	if (node->listing_era != network->store_position.era)
		node->listing_end_ns = 0;
	if (network->listing_ms > 0 && node_lists(network, node)) {
		if (node->listing_end_ns == 0) {
			node->listing_era = network->store_position.era;
			sharing_handle_first_page(node->sharing,
						  network->hosts->len >
							  STORE_PAGE_HOSTS);
			if (!node->is_store_reader)
				return;
			network->link_free_ns =
				MAX(network->link_free_ns, now_ns) +
				network->listing_ms * NS_PER_MS;
			node->listing_end_ns = network->link_free_ns;
			node->store_listings++;
		}
		if (now_ns < node->listing_end_ns)
			return;
	}
	if (now_ns - node->store_read_ns < STORE_INTERVAL_NS)
		return;
	node->store_read_ns = now_ns;
	store_read(network, node);
}

static void host_id_print(uint32_t number, char id[HOST_ID_BYTES_MAX + 1])
{
	g_snprintf(id, HOST_ID_BYTES_MAX + 1, "i-%04x", number);
}

static struct host_announcement *published_find(struct network *network,
						const char *id)
{
	for (guint i = 0; i < network->hosts->len; i++) {
		struct host_announcement *known =
			g_ptr_array_index(network->hosts, i);

		if (strcmp(known->id, id) == 0)
			return known;
	}
	return NULL;
}

void network_move_host(struct network *network, uint32_t number,
		       const char *service)
{
	struct host_announcement *host;
	char id[HOST_ID_BYTES_MAX + 1];

	host_id_print(number, id);
	host = published_find(network, id);
	g_strlcpy(host->service, service, sizeof(host->service));
	host->position.revision = revision_next(network);
}

uint64_t network_publish_host(struct network *network, uint32_t number,
			      bool is_draining)
{
	struct host_announcement *host;
	char id[HOST_ID_BYTES_MAX + 1];

	host_id_print(number, id);
	host = published_find(network, id);
	if (!host) {
		host = g_new0(struct host_announcement, 1);
		g_ptr_array_add(network->hosts, host);
	}
	g_strlcpy(host->id, id, sizeof(host->id));
	g_strlcpy(host->service, "examen", sizeof(host->service));
	g_strlcpy(host->zone, "a", sizeof(host->zone));
	host->target_id = number;
	host->port = 80;
	host->slots = 2;
	host->slow_start_ms = network->cold_ms;
	host->is_draining = is_draining;
	host->position.revision = revision_next(network);
	return host->position.revision;
}

void network_withdraw_host(struct network *network, uint32_t number)
{
	struct withdrawal withdrawal = { 0 };

	host_id_print(number, withdrawal.id);
	for (guint i = 0; i < network->hosts->len; i++) {
		struct host_announcement *known =
			g_ptr_array_index(network->hosts, i);

		if (strcmp(known->id, withdrawal.id) != 0)
			continue;
		g_ptr_array_remove_index(network->hosts, i);
		break;
	}
	withdrawal.revision = revision_next(network);
	g_array_append_val(network->withdrawn, withdrawal);
}

uint64_t network_drain_zone(struct network *network, const char *zone,
			    bool is_active)
{
	struct drain_change change = { .is_active = is_active };

	g_strlcpy(change.zone, zone, sizeof(change.zone));
	change.revision = revision_next(network);
	g_array_append_val(network->drain_changes, change);
	return change.revision;
}

bool network_zone_is_drained(const struct network *network, const char *zone)
{
	bool is_active = false;

	for (guint i = 0; i < network->drain_changes->len; i++) {
		const struct drain_change *change = &g_array_index(
			network->drain_changes, struct drain_change, i);

		if (strcmp(change->zone, zone) == 0)
			is_active = change->is_active;
	}
	return is_active;
}

uint32_t network_drained_count(const struct network *network, const char *zone,
			       bool is_active)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < network->node_count; i++) {
		const struct node *node = &network->nodes[i];

		count += !node->is_down &&
			 zone_drains_is_active(
				 steering_zone_drains(node->steering), zone) ==
				 is_active;
	}
	return count;
}

static void routing_publish(struct network *network, uint64_t version,
			    uint32_t count, const char *service)
{
	struct route_rule *rules = g_new0(struct route_rule, count + 1);
	struct service_limit *limit = g_new0(struct service_limit, 1);

	for (uint32_t i = 0; i < count; i++) {
		char text[IP_ADDRESS_TEXT_BYTES];

		g_snprintf(text, sizeof(text), "198.18.%u.%u", i / 256,
			   i % 256);
		ip_address_parse(text, &rules[i].address);
		rules[i].port = 443;
		rules[i].target_count = 1;
		rules[i].targets[0].weight = 1;
		g_strlcpy(rules[i].targets[0].service, service, NAME_BYTES_MAX);
		rules[i].priority = (uint8_t)(i % 4);
		rules[i].time_limit_ms = 800 + i;
		/* Some routes keep their targets and change attributes. */
		if (i % 100 == 7)
			rules[i].time_limit_ms += (uint32_t)version;
		rules[i].target_latency_ms = 90;
		rules[i].is_idempotent = i % 2 == 0;
	}
	routing_unref(network->routing);
	network->routing = routing_create(version, 15000, rules, count);
	limit->flows_per_1000_s = 2500 + (uint32_t)version;
	limit->slow_start_s = 8;
	g_strlcpy(limit->service, service, NAME_BYTES_MAX);
	routing_set_limits(network->routing, limit, 1);
	network->routing_revision = revision_next(network);
}

void network_publish_routes(struct network *network, uint64_t version,
			    uint32_t count)
{
	routing_publish(network, version, count, "examen");
}

void network_publish_route(struct network *network, uint64_t version,
			   const char *service)
{
	routing_publish(network, version, 1, service);
}

struct store_copy {
	uint64_t revision;
	GArray *withdrawn;
	GArray *drain_changes;
	GPtrArray *hosts;
};

static gpointer host_duplicate(gconstpointer host, gpointer context)
{
	(void)context;
	return g_memdup2(host, sizeof(struct host_announcement));
}

static GPtrArray *hosts_duplicate(GPtrArray *hosts)
{
	GPtrArray *copy = g_ptr_array_copy(hosts, host_duplicate, NULL);

	g_ptr_array_set_free_func(copy, g_free);
	return copy;
}

struct store_copy *network_copy_store(const struct network *network)
{
	struct store_copy *copy = g_new0(struct store_copy, 1);

	copy->revision = network->store_position.revision;
	copy->withdrawn = g_array_copy(network->withdrawn);
	copy->drain_changes = g_array_copy(network->drain_changes);
	copy->hosts = hosts_duplicate(network->hosts);
	return copy;
}

void network_copy_destroy(struct store_copy *copy)
{
	if (!copy)
		return;
	g_array_unref(copy->withdrawn);
	g_array_unref(copy->drain_changes);
	g_ptr_array_unref(copy->hosts);
	g_free(copy);
}

void network_restore_store(struct network *network,
			   const struct store_copy *copy)
{
	g_array_unref(network->withdrawn);
	network->withdrawn = g_array_copy(copy->withdrawn);
	g_array_unref(network->drain_changes);
	network->drain_changes = g_array_copy(copy->drain_changes);
	g_ptr_array_unref(network->hosts);
	network->hosts = hosts_duplicate(copy->hosts);
	network->store_position.era++;
	network->store_position.revision = copy->revision;
	network->routing_revision = revision_next(network);
}
