#include "member_network.h"

/* Longest delay of a heartbeat, in ms; the arrival slots form a ring. */
#define SLOTS 4096
#define ID_BASE 1000

struct packet {
	size_t from;
	size_t to;
	uint32_t process; /* incarnation that the receiver was started with */
	struct heartbeat heartbeat;
};

uint64_t member_network_id(size_t node)
{
	/* Spread, so that the order of ids differs from that of nodes. */
	return ID_BASE + node * UINT64_C(0x9e3779b97f4a7c15);
}

double member_network_random(struct member_network *network)
{
	uint64_t value = network->random_state;

	value ^= value << 13;
	value ^= value >> 7;
	value ^= value << 17;
	network->random_state = value;
	return (double)(value >> 11) / (double)(UINT64_C(1) << 53);
}

static int64_t now_ms(const struct member_network *network)
{
	return network->clock.now_ns / NS_PER_MS;
}

static void heartbeat_send(void *context, uint64_t member_id,
			   const struct heartbeat *heartbeat)
{
	struct network_node *node = context;
	struct member_network *network = node->network;
	struct packet *packet;
	int64_t delay_ms;
	size_t to = (member_id - ID_BASE) * UINT64_C(0xf1de83e19937733d);

	network->sent++;
	if (network->is_cut[node->index * network->count + to] ||
	    member_network_random(network) < network->loss)
		return;
	delay_ms =
		network->delay_ms + (int64_t)(member_network_random(network) *
					      (double)network->jitter_ms);
	packet = g_new(struct packet, 1);
	*packet = (struct packet){
		.from = node->index,
		.to = to,
		.process = network->nodes[to].incarnation,
		.heartbeat = *heartbeat,
	};
	g_queue_push_tail(
		network->slots[(now_ms(network) + MAX(delay_ms, 1)) % SLOTS],
		packet);
}

static void view_changed(void *context, const struct member_view *view)
{
	struct network_node *node = context;

	node->views++;
}

static void packet_handle(struct member_network *network,
			  const struct packet *packet)
{
	struct network_node *node = &network->nodes[packet->to];

	/* Connections end with their process. */
	if (!node->membership || node->incarnation != packet->process)
		return;
	membership_handle(node->membership, member_network_id(packet->from),
			  &packet->heartbeat);
}

void member_network_start(struct member_network *network, size_t index,
			  uint32_t incarnation)
{
	struct network_node *node = &network->nodes[index];
	struct membership_options options = {
		.self_id = member_network_id(index),
		.zone = (uint16_t)(index % 3),
		.incarnation = incarnation,
		.clock = &network->clock.clock,
		.random_seed = index + 1,
		.send = heartbeat_send,
		.on_view = view_changed,
		.context = node,
	};

	node->incarnation = incarnation;
	node->membership = membership_create(&options);
	for (size_t i = 0; i < network->count; i++) {
		if (i != index)
			membership_add_peer(node->membership,
					    member_network_id(i),
					    (uint16_t)(i % 3));
	}
}

void member_network_kill(struct member_network *network, size_t index)
{
	membership_destroy(network->nodes[index].membership);
	network->nodes[index].membership = NULL;
}

void member_network_cut(struct member_network *network, size_t from, size_t to,
			bool is_cut)
{
	network->is_cut[from * network->count + to] = is_cut;
}

struct member_network *member_network_create(size_t count, uint64_t seed)
{
	struct member_network *network = g_new0(struct member_network, 1);

	manual_clock_init(&network->clock, 1000 * NS_PER_S);
	network->count = count;
	network->delay_ms = 5;
	network->random_state = seed * 2 + 1;
	network->nodes = g_new0(struct network_node, count);
	network->is_cut = g_new0(bool, count *count);
	network->slots = g_new0(GQueue *, SLOTS);
	for (size_t i = 0; i < SLOTS; i++)
		network->slots[i] = g_queue_new();
	for (size_t i = 0; i < count; i++) {
		network->nodes[i].network = network;
		network->nodes[i].index = i;
		network->nodes[i].waiting = g_queue_new();
	}
	for (size_t i = 0; i < count; i++)
		member_network_start(network, i, 100);
	return network;
}

void member_network_destroy(struct member_network *network)
{
	for (size_t i = 0; i < network->count; i++) {
		membership_destroy(network->nodes[i].membership);
		g_queue_free_full(network->nodes[i].waiting, g_free);
	}
	for (size_t i = 0; i < SLOTS; i++)
		g_queue_free_full(network->slots[i], g_free);
	g_free(network->slots);
	g_free(network->is_cut);
	g_free(network->nodes);
	g_free(network);
}

static void slot_deliver(struct member_network *network)
{
	GQueue *slot = network->slots[now_ms(network) % SLOTS];
	struct packet *packet;

	while ((packet = g_queue_pop_head(slot))) {
		struct network_node *node = &network->nodes[packet->to];

		if (node->is_paused) {
			g_queue_push_tail(node->waiting, packet);
			continue;
		}
		packet_handle(network, packet);
		g_free(packet);
	}
}

static void node_tick(struct network_node *node)
{
	struct packet *packet;

	if (!node->membership || node->is_paused)
		return;
	membership_tick(node->membership);
	/* The tick comes first after a wait, then what the socket holds. */
	while ((packet = g_queue_pop_head(node->waiting))) {
		packet_handle(node->network, packet);
		g_free(packet);
	}
}

void member_network_run(struct member_network *network, int64_t ms)
{
	for (int64_t i = 0; i < ms; i++) {
		int64_t phase;

		network->clock.now_ns += NS_PER_MS;
		slot_deliver(network);
		/* Nodes tick in different milliseconds. */
		phase = now_ms(network) % MEMBER_NETWORK_TICK_MS;
		for (size_t j = (size_t)phase; j < network->count;
		     j += MEMBER_NETWORK_TICK_MS)
			node_tick(&network->nodes[j]);
	}
}

void member_network_activate(struct member_network *network)
{
	for (size_t i = 0; i < network->count; i++) {
		if (network->nodes[i].membership)
			membership_set_active(network->nodes[i].membership);
	}
}

const struct member *member_network_find(const struct member_network *network,
					 size_t node, size_t of)
{
	const struct member_view *view =
		membership_view(network->nodes[node].membership);

	for (size_t i = 0; i < view->member_count; i++) {
		if (view->members[i].id == member_network_id(of))
			return &view->members[i];
	}
	return NULL;
}
