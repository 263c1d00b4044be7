#include "sharing_state.h"

#include "sharing/routing_codec.h"

uint64_t routes_version(const struct sharing *sharing)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);

	return routing ? routing->version : 0;
}

static void transfer_end(struct sharing *sharing)
{
	sharing->routes_transfer.version = 0;
	g_byte_array_set_size(sharing->routes_transfer.bytes, 0);
}

void routes_drop(struct sharing *sharing, const char *reason)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;

	if (transfer->version == 0)
		return;
	sharing->options.on_routes_dropped(sharing->options.context,
					   transfer->version,
					   transfer->next_chunk - 1, reason);
	transfer_end(sharing);
}

static void transfer_begin(struct sharing *sharing, uint32_t address,
			   uint64_t version, int64_t now_ns)
{
	struct routes_transfer *transfer = &sharing->routes_transfer;

	transfer->version = version;
	transfer->base_version = routes_version(sharing);
	transfer->source = address;
	transfer->next_chunk = 1;
	transfer->progress_ns = now_ns;
	sharing->announced_routes_version =
		MAX(sharing->announced_routes_version, version);
	sharing->options.on_routes_announced(sharing->options.context, address,
					     version);
}

/* The store or another member may have given routes during the transfer. */
static void transfer_check(struct sharing *sharing)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;
	uint64_t held = routes_version(sharing);

	if (transfer->version <= held)
		routes_drop(sharing, "held");
	else if (transfer->base_version != held)
		routes_drop(sharing, "other_base");
}

void routes_tick(struct sharing *sharing, int64_t now_ns)
{
	transfer_check(sharing);
	if (now_ns - sharing->routes_transfer.progress_ns > ROUTES_TIMEOUT_NS)
		routes_drop(sharing, "timeout");
}

uint32_t routes_next_chunk(const struct sharing *sharing, uint32_t address)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;

	if (transfer->version == 0 || transfer->source != address ||
	    transfer->base_version != routes_version(sharing))
		return 0;
	return transfer->next_chunk;
}

/* Returns false if the chunks do not make up the announced routes. */
static bool routes_finish(struct sharing *sharing)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;
	struct routing *routing =
		routing_decode(transfer->bytes->data, transfer->bytes->len,
			       steering_routing(sharing->options.steering));
	bool is_expected = routing && routing->version == transfer->version;

	transfer_end(sharing);
	sharing->needs_all_routes = !is_expected;
	if (is_expected)
		sharing->options.on_routing(sharing->options.context, routing);
	else
		sharing->counters[SHARING_MALFORMED]++;
	routing_unref(routing);
	return is_expected;
}

static bool chunk_append(struct sharing *sharing,
			 const struct sharing_message *update, int64_t now_ns)
{
	struct routes_transfer *transfer = &sharing->routes_transfer;

	if (update->chunk != transfer->next_chunk)
		return false;
	g_byte_array_append(transfer->bytes, update->chunk_data,
			    (guint)update->chunk_bytes);
	transfer->next_chunk++;
	transfer->progress_ns = now_ns;
	if (transfer->next_chunk <= update->chunk_count &&
	    transfer->bytes->len < ROUTING_BYTES_MAX)
		return true;
	/* The next poll gets the revision that belongs to the routes. */
	return routes_finish(sharing);
}

bool routes_handle_chunk(struct sharing *sharing, uint32_t address,
			 const struct sharing_message *update, int64_t now_ns)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;
	bool is_stalled = now_ns - transfer->progress_ns >= POLL_TIMEOUT_NS;

	transfer_check(sharing);
	if (transfer->version != 0 && transfer->source == address &&
	    transfer->version != update->routes_version)
		routes_drop(sharing, "other_version");
	if (update->routes_version <= routes_version(sharing))
		return false;
	if (update->routes_version > transfer->version ||
	    (address != transfer->source && is_stalled)) {
		routes_drop(sharing, "replaced");
		transfer_begin(sharing, address, update->routes_version,
			       now_ns);
		return true;
	}
	return address == transfer->source &&
	       chunk_append(sharing, update, now_ns);
}
