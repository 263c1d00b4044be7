#include "sharing_state.h"

#include "sharing/routing_codec.h"

static void transfer_end(struct sharing *sharing)
{
	sharing->incoming_routes_version = 0;
	g_byte_array_set_size(sharing->incoming_routes, 0);
}

void routes_drop(struct sharing *sharing, const char *reason)
{
	if (sharing->incoming_routes_version != 0)
		sharing->options.on_routes_dropped(
			sharing->options.context,
			sharing->incoming_routes_version,
			sharing->incoming_routes_next_chunk - 1, reason);
	transfer_end(sharing);
}

static void transfer_begin(struct sharing *sharing, uint32_t address,
			   uint64_t version)
{
	sharing->incoming_routes_version = version;
	sharing->incoming_routes_next_chunk = 1;
	sharing->announced_routes_version =
		MAX(sharing->announced_routes_version, version);
	sharing->options.on_routes_announced(sharing->options.context, address,
					     version);
}

static void routes_finish(struct sharing *sharing)
{
	struct routing *routing = routing_decode(
		sharing->incoming_routes->data, sharing->incoming_routes->len,
		steering_routing(sharing->options.steering));
	bool is_expected = routing &&
			   routing->version == sharing->incoming_routes_version;

	transfer_end(sharing);
	sharing->needs_all_routes = !is_expected;
	if (is_expected)
		sharing->options.on_routing(sharing->options.context, routing);
	else
		sharing->counters[SHARING_MALFORMED]++;
	routing_unref(routing);
}

bool routes_handle_chunk(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *update)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);

	if (update->routes_version != sharing->incoming_routes_version)
		routes_drop(sharing, "other_version");
	if (update->routes_version <= (routing ? routing->version : 0))
		return false;
	if (sharing->incoming_routes_version == 0) {
		transfer_begin(sharing, address, update->routes_version);
		return true;
	}
	if (update->chunk != sharing->incoming_routes_next_chunk)
		return false;
	g_byte_array_append(sharing->incoming_routes, update->chunk_data,
			    (guint)update->chunk_bytes);
	sharing->incoming_routes_next_chunk++;
	if (sharing->incoming_routes_next_chunk <= update->chunk_count &&
	    sharing->incoming_routes->len < ROUTING_BYTES_MAX)
		return true;
	routes_finish(sharing);
	return false;
}
