#include "network.h"

#include <check.h>
#include <string.h>

#define STEP_MS 10
#define TICK_MS 100
#define DELAY_NS (1 * NS_PER_MS)
#define FIRST_ADDRESS 0x0a000001
#define SEEDS 3
#define STORE_ERA_FIRST 4

struct packet_in_flight {
	uint32_t source;
	uint32_t target;
	int64_t due_ns;
	GByteArray *data;
};

static int due_compare(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct packet_in_flight *a = left;
	const struct packet_in_flight *b = right;

	(void)data;
	return a->due_ns < b->due_ns ? -1 : a->due_ns > b->due_ns;
}

static bool random_chance(GRand *random, uint32_t permille)
{
	return (uint32_t)g_rand_int_range(random, 0, 1000) < permille;
}

/* The third byte of a message, a small integer. */
static enum sharing_message_kind message_kind(const uint8_t *data)
{
	return (enum sharing_message_kind)data[2];
}

static GRand *message_random(const struct network *network, const uint8_t *data)
{
	return message_kind(data) > SHARING_LOOKUP_RESPONSE
		       ? network->later_random
		       : network->random;
}

static void packet_enqueue(struct node *node, uint32_t address,
			   const uint8_t *data, size_t length)
{
	struct network *network = node->network;
	struct packet_in_flight *packet;

	if (address == NETWORK_OUTSIDER) {
		/* Members of the previous version ignore other kinds. */
		if (message_kind(data) == SHARING_UPDATE)
			g_byte_array_append(network->outsider_data, data,
					    (guint)length);
		return;
	}
	packet = g_new0(struct packet_in_flight, 1);
	packet->source = node->address;
	packet->target = address;
	packet->due_ns = network->clock.now_ns + DELAY_NS;
	if (network->jitter_ms > 0)
		packet->due_ns +=
			g_rand_int_range(message_random(network, data), 0,
					 (gint32)network->jitter_ms * 1000) *
			NS_PER_US;
	packet->data = g_byte_array_new();
	g_byte_array_append(packet->data, data, (guint)length);
	/* Without jitter, packets are delivered in the order of sending. */
	if (network->jitter_ms > 0)
		g_queue_insert_sorted(&network->packets, packet, due_compare,
				      NULL);
	else
		g_queue_push_tail(&network->packets, packet);
}

static void packet_transmit(struct node *node, uint32_t address,
			    const uint8_t *data, size_t length)
{
	struct network *network = node->network;
	GRand *random = message_random(network, data);
	bool is_drain = message_kind(data) == SHARING_ZONE_DRAINS;

	if (node->is_down || random_chance(random, network->loss_permille))
		return;
	if (is_drain && random_chance(random, network->drain_loss_permille))
		return;
	packet_enqueue(node, address, data, length);
	if (network->duplicate_permille > 0 &&
	    random_chance(random, network->duplicate_permille))
		packet_enqueue(node, address, data, length);
}

static void packet_send(void *context, uint32_t address, const uint8_t *data,
			size_t length)
{
	struct node *node = context;
	bool is_drain = message_kind(data) == SHARING_ZONE_DRAINS;
	GByteArray *without_era = NULL;

	ck_assert_uint_le(length, SHARING_DATAGRAM_BYTES + 500);
	if (is_drain && node->is_previous_version)
		return;
	if (node->knows_no_eras)
		without_era = network_era_remove(data, length);
	node->bytes_sent += length;
	node->drain_messages += is_drain;
	if (without_era) {
		data = without_era->data;
		length = without_era->len;
	}
	packet_transmit(node, address, data, length);
	if (without_era)
		g_byte_array_unref(without_era);
}

static void routing_apply(void *context, struct routing *routing)
{
	struct node *node = context;

	steering_set_routing(node->steering, routing);
}

static void store_reader_set(void *context, bool is_store_reader,
			     const char *reason)
{
	struct node *node = context;
	struct store_position position;

	(void)reason;
	node->is_store_reader = is_store_reader;
	/* The previous version did not know drains. */
	position = node->is_previous_version && sharing_is_synced(node->sharing)
			   ? node->replica_status.position
			   : sharing_watch_position(node->sharing);
	if (is_store_reader && position.revision != 0 &&
	    (!node->store_is_synced ||
	     store_position_is_before(node->store_position, position))) {
		node->store_position = position;
		node->store_is_synced = true;
	}
}

static void leader_ignore(void *context, uint32_t address, const char *reason)
{
	(void)context;
	(void)address;
	(void)reason;
}

static void announcement_ignore(void *context, uint32_t address,
				uint64_t version)
{
	(void)context;
	(void)address;
	(void)version;
}

static void drop_ignore(void *context, uint64_t version, uint32_t chunks,
			const char *reason)
{
	(void)context;
	(void)version;
	(void)chunks;
	(void)reason;
}

static void reset_ignore(void *context, const struct cached_flow *flow,
			 enum steering_reason reason)
{
	(void)context;
	(void)flow;
	(void)reason;
}

static void host_ignore(void *context, const struct known_host *host, bool flag)
{
	(void)context;
	(void)host;
	(void)flag;
}

static void token_ignore(void *context, uint32_t token)
{
	(void)context;
	(void)token;
}

static void deferral_ignore(void *context, const struct known_host *host)
{
	(void)context;
	(void)host;
}

static bool rank_find(void *context, const char *host_id, uint32_t *members,
		      uint32_t *rank)
{
	const struct node *node = context;

	return node->sharing &&
	       sharing_find_rank(node->sharing, host_id, members, rank);
}

static void slowness_ignore(void *context, const struct known_host *host)
{
	(void)context;
	(void)host;
}

static void drain_record(void *context, const struct zone_drain *drain)
{
	struct node *node = context;

	if (drain->is_active)
		node->drained_ns = node->network->clock.now_ns;
}

static void node_start(struct network *network, struct node *node,
		       const char *zone)
{
	const uint32_t seeds[SEEDS] = { FIRST_ADDRESS, FIRST_ADDRESS + 1,
					FIRST_ADDRESS + 2 };
	const struct steering_options steering_options = {
		.clock = &network->clock.clock,
		.zone = zone,
		.flows_max = 1024,
		.flow_age_max_s = 60,
		.random_seed = node->address,
		.reset = reset_ignore,
		.lookup_token = token_ignore,
		.on_host_deferred = deferral_ignore,
		.on_host_changed = host_ignore,
		.on_host_ended = host_ignore,
		.on_host_silence_changed = host_ignore,
		.on_host_slowness_changed = slowness_ignore,
		.on_zone_drain_changed = drain_record,
		.find_rank = rank_find,
		.context = node,
	};
	struct sharing_options options = {
		.clock = &network->clock.clock,
		.address = node->address,
		.zone = zone,
		.capacity = 250,
		.random_seed = node->address,
		.member_wait_ms = 20,
		.replica_status = &node->replica_status,
		.send = packet_send,
		.on_routing = routing_apply,
		.on_store_reader_changed = store_reader_set,
		.on_leader_changed = leader_ignore,
		.on_routes_announced = announcement_ignore,
		.on_routes_dropped = drop_ignore,
		.context = node,
	};

	node->zone = zone;
	node->starts++;
	node->drained_ns = 0;
	memset(&node->replica_status, 0, sizeof(node->replica_status));
	node->store_is_synced = false;
	node->has_slow_start = false;
	node->store_position = STORE_POSITION_NONE;
	node->steering = steering_create(&steering_options);
	steering_set_host_speed_weights(node->steering,
					network->has_host_speeds);
	steering_set_failing_host_ejection(node->steering,
					   network->has_failing_hosts);
	options.steering = node->steering;
	node->sharing = sharing_create(&options);
	node->is_store_reader = false;
	sharing_set_seeds(node->sharing, seeds, G_N_ELEMENTS(seeds));
}

static const char *const zone_names[] = { "a", "b", "c", "d", "e" };

void network_open(struct network *network, uint32_t nodes, uint32_t zones)
{
	memset(network, 0, sizeof(*network));
	manual_clock_init(&network->clock, 1000 * NS_PER_S);
	network->hosts = g_ptr_array_new_with_free_func(g_free);
	network->withdrawn =
		g_array_new(FALSE, FALSE, sizeof(struct withdrawal));
	network->drain_changes =
		g_array_new(FALSE, FALSE, sizeof(struct drain_change));
	network->random = g_rand_new_with_seed(7);
	network->later_random = g_rand_new_with_seed(7);
	network->outsider_data = g_byte_array_new();
	network->store_position.era = STORE_ERA_FIRST;
	network->node_count = nodes;
	network->zone_count = zones;
	for (uint32_t i = 0; i < nodes; i++) {
		struct node *node = &network->nodes[i];

		node->network = network;
		node->address = FIRST_ADDRESS + i;
		node_start(network, node, zone_names[i % zones]);
	}
}

static void node_stop(struct node *node)
{
	sharing_destroy(node->sharing);
	steering_destroy(node->steering);
}

void network_restart(struct network *network, uint32_t index)
{
	struct node *node = &network->nodes[index];

	node_stop(node);
	node_start(network, node, node->zone);
}

void network_restart_all(struct network *network, uint32_t zones,
			 uint32_t spread_ms, uint32_t seeds_late_ms)
{
	for (uint32_t i = 0; i < network->node_count; i++) {
		struct node *node = &network->nodes[i];
		uint32_t after_ms = (uint32_t)g_rand_int_range(
			network->random, 0, (gint32)spread_ms);

		if (i < SEEDS)
			after_ms += seeds_late_ms;
		node_stop(node);
		node->start_ns = network->clock.now_ns + after_ms * NS_PER_MS;
		node->synced_ns = 0;
		node->store_read_ns = 0;
		node->listing_end_ns = 0;
		node->store_listings = 0;
		node->is_down = true;
		node_start(network, node, zone_names[i % zones]);
	}
}

/* Creates the process at its start time, from which its times are measured. */
static void node_start_delayed(struct network *network, struct node *node)
{
	const char *zone = node->zone;

	node->start_ns = 0;
	node->is_down = false;
	node_stop(node);
	node_start(network, node, zone);
}

static void packet_free(void *data)
{
	struct packet_in_flight *packet = data;

	g_byte_array_unref(packet->data);
	g_free(packet);
}

void network_close(struct network *network)
{
	for (uint32_t i = 0; i < network->node_count; i++)
		node_stop(&network->nodes[i]);
	g_queue_clear_full(&network->packets, packet_free);
	g_ptr_array_unref(network->hosts);
	g_array_unref(network->withdrawn);
	g_array_unref(network->drain_changes);
	g_rand_free(network->random);
	g_rand_free(network->later_random);
	g_byte_array_unref(network->outsider_data);
	routing_unref(network->routing);
}

static bool is_delivered(const struct network *network,
			 const struct packet_in_flight *packet)
{
	uint32_t index = packet->target - FIRST_ADDRESS;
	const struct node *target;

	if (index >= network->node_count)
		return false;
	target = &network->nodes[index];
	return !target->is_down &&
	       target->partition ==
		       network->nodes[packet->source - FIRST_ADDRESS]
			       .partition &&
	       !(target->is_previous_version &&
		 message_kind(packet->data->data) == SHARING_ZONE_DRAINS);
}

static void packet_deliver(struct node *node, struct packet_in_flight *packet)
{
	if (node->has_plain_routes_only)
		packet->data = network_poll_downgrade(packet->data);
	sharing_handle_datagram(node->sharing, packet->source,
				packet->data->data, packet->data->len);
}

static void packets_deliver(struct network *network)
{
	struct packet_in_flight *packet;

	while ((packet = g_queue_peek_head(&network->packets)) &&
	       packet->due_ns <= network->clock.now_ns) {
		uint32_t index = packet->target - FIRST_ADDRESS;

		g_queue_pop_head(&network->packets);
		if (is_delivered(network, packet) &&
		    network_is_understood(&network->nodes[index], packet->data))
			packet_deliver(&network->nodes[index], packet);
		packet_free(packet);
	}
}

static void node_end_waits(struct node *node, int64_t now_ns)
{
	host_table_end_waits(steering_hosts(node->steering), now_ns);
	zone_drains_end_waits(steering_zone_drains(node->steering), now_ns);
}

static void nodes_step(struct network *network, bool is_tick)
{
	int64_t now_ns = network->clock.now_ns;

	for (uint32_t i = 0; i < network->node_count; i++) {
		struct node *node = &network->nodes[i];

		if (node->start_ns != 0 && now_ns >= node->start_ns)
			node_start_delayed(network, node);
		if (node->is_down)
			continue;
		if (node->is_store_reader)
			network_node_read(network, node);
		else
			node->listing_end_ns = 0;
		if (node->synced_ns == 0 && network_node_is_synced(node))
			node->synced_ns = now_ns;
		if (is_tick)
			node_end_waits(node, now_ns);
		if (is_tick ||
		    (!network_node_is_synced(node) &&
		     network->elapsed_ms % SHARING_START_TICK_MS == 0))
			sharing_tick(node->sharing);
	}
}

void network_run(struct network *network, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i++) {
		network->clock.now_ns += NS_PER_MS;
		network->elapsed_ms++;
		packets_deliver(network);
		if (network->elapsed_ms % STEP_MS == 0)
			nodes_step(network, network->elapsed_ms % TICK_MS == 0);
	}
}

void network_open_filled(struct network *network, uint32_t nodes,
			 uint32_t zones, uint32_t hosts, uint32_t routes)
{
	network_open(network, nodes, zones);
	for (uint32_t i = 1; i <= hosts; i++)
		network_publish_host(network, i, false);
	network_publish_routes(network, 1, routes);
	network_run(network, 5000);
}
