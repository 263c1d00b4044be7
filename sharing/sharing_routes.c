#include "sharing_state.h"

#include "sharing/routing_codec.h"

void routes_drop(struct sharing *sharing)
{
	sharing->incoming_routes_version = 0;
	g_byte_array_set_size(sharing->incoming_routes, 0);
}

static void routes_finish(struct sharing *sharing)
{
	struct routing *routing = routing_decode(
		sharing->incoming_routes->data, sharing->incoming_routes->len,
		steering_routing(sharing->options.steering));
	bool is_expected = routing &&
			   routing->version == sharing->incoming_routes_version;

	routes_drop(sharing);
	sharing->needs_all_routes = !is_expected;
	if (is_expected)
		sharing->options.on_routing(sharing->options.context, routing);
	else
		sharing->counters[SHARING_MALFORMED]++;
	routing_unref(routing);
}

bool routes_handle_chunk(struct sharing *sharing,
			 const struct sharing_message *update)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);

	if (update->routes_version != sharing->incoming_routes_version)
		routes_drop(sharing);
	if (update->routes_version <= (routing ? routing->version : 0))
		return false;
	if (sharing->incoming_routes_version == 0) {
		sharing->incoming_routes_version = update->routes_version;
		sharing->incoming_routes_next_chunk = 1;
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
