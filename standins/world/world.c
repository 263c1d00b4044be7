#include "standins/world/world.h"

/* Flows are driven in steps of this length; small against 1 ms round trips. */
#define TICK_MS 5
#define EXPIRE_MS 1000

static void on_batch_end(void *context)
{
	struct world *world = context;

	fabric_flush(world->fabric);
}

static void on_caller_packet(void *context, GQuark zone, const uint8_t *data,
			     size_t length)
{
	struct world *world = context;

	fabric_send(world->fabric, zone, data, length);
}

static void on_refusal(void *context, const uint8_t *data, size_t length)
{
	struct world *world = context;
	struct reply reply;

	if (segment_read_refusal(data, length, &reply))
		callers_receive(world->callers, &reply);
}

static void reply_arrive(void *context, void *data)
{
	struct world *world = context;

	callers_receive(world->callers, data);
}

static void on_reply(void *context, GQuark zone, const struct reply *reply,
		     int64_t delay_ns)
{
	struct world *world = context;
	GQuark caller = callers_flow_zone(world->callers, reply->flow_id);
	int64_t path_ns;

	if (network_is_cut(world->network, zone, caller))
		return;
	if (!network_plan(world->network,
			  g_quark_from_static_string(NETWORK_CALLERS), zone,
			  &path_ns))
		return;
	schedule_add(world->schedule,
		     clock_now_ns(clock_system()) + delay_ns + path_ns,
		     reply_arrive, world, g_memdup2(reply, sizeof(*reply)));
}

static GQuark on_zone_of(void *context, const struct sockaddr_storage *source)
{
	struct world *world = context;

	return fabric_zone_of(world->fabric, source);
}

static gboolean on_tick(gpointer data)
{
	struct world *world = data;

	callers_tick(world->callers);
	fabric_flush(world->fabric);
	return G_SOURCE_CONTINUE;
}

static gboolean on_expire(gpointer data)
{
	struct world *world = data;

	servers_expire(world->servers);
	return G_SOURCE_CONTINUE;
}

static struct fabric *world_fabric(struct world *world, struct error *error)
{
	struct fabric_options options = {
		.schedule = world->schedule,
		.clock = clock_system(),
		.network = world->network,
		.on_refusal = on_refusal,
		.context = world,
	};

	return fabric_create(&options, error);
}

static struct callers *world_callers(struct world *world)
{
	struct callers_options options = {
		.clock = clock_system(),
		.network = world->network,
		.ledger = world->ledger,
		.catalogue = world->catalogue,
		.send = on_caller_packet,
		.context = world,
	};

	return callers_create(&options);
}

static struct servers *world_servers(struct world *world)
{
	struct servers_options options = {
		.schedule = world->schedule,
		.clock = clock_system(),
		.network = world->network,
		.ledger = world->ledger,
		.catalogue = world->catalogue,
		.zone_of = on_zone_of,
		.on_reply = on_reply,
		.context = world,
	};

	return servers_create(&options);
}

struct world *world_create(uint64_t seed, struct error *error)
{
	struct world *world = g_new0(struct world, 1);
	struct schedule_options options = {
		.clock = clock_system(),
		.on_batch_end = on_batch_end,
		.context = world,
	};

	world->schedule = schedule_create(&options);
	world->network = network_create(seed);
	world->ledger = ledger_create();
	world->catalogue = catalogue_create();
	world->callers = world_callers(world);
	world->servers = world_servers(world);
	world->fabric = world_fabric(world, error);
	if (!world->fabric) {
		world_destroy(world);
		return NULL;
	}
	world->tick_source = g_timeout_add(TICK_MS, on_tick, world);
	world->expire_source = g_timeout_add(EXPIRE_MS, on_expire, world);
	return world;
}

void world_destroy(struct world *world)
{
	if (world->tick_source != 0) {
		g_source_remove(world->tick_source);
		g_source_remove(world->expire_source);
	}
	if (world->fabric)
		fabric_destroy(world->fabric);
	servers_destroy(world->servers);
	callers_destroy(world->callers);
	schedule_destroy(world->schedule);
	catalogue_destroy(world->catalogue);
	ledger_destroy(world->ledger);
	network_destroy(world->network);
	g_free(world);
}
