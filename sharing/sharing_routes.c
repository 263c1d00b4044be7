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

/* True if the member may know the extended encoding. */
static bool can_send_extended(struct sharing *sharing, uint32_t address,
			      int64_t now_ns)
{
	const struct member *member = members_find(sharing->members, address);

	return !member || now_ns >= member->extended_routes_from_ns;
}

/* The member sends routes in the plain encoding only. */
static void extended_refuse(struct sharing *sharing, uint32_t address,
			    int64_t now_ns)
{
	struct member *member = members_find(sharing->members, address);

	if (member)
		member->extended_routes_from_ns = now_ns + EXTENDED_RETRY_NS;
}

static bool has_partial_routes(const struct sharing *sharing)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);

	return routing && routing->is_partial;
}

static void transfer_begin(struct sharing *sharing, uint32_t address,
			   uint64_t version, int64_t now_ns)
{
	struct routes_transfer *transfer = &sharing->routes_transfer;
	bool is_extended = can_send_extended(sharing, address, now_ns);

	transfer->version = version;
	transfer->base_version = routes_version(sharing);
	transfer->source = address;
	transfer->encoding = is_extended ? ROUTES_EXTENDED : ROUTES_PLAIN;
	transfer->is_complete = sharing->needs_all_routes ||
				(is_extended && has_partial_routes(sharing));
	transfer->refusals = 0;
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
	bool completes = transfer->version == held &&
			 transfer->encoding == ROUTES_EXTENDED &&
			 has_partial_routes(sharing);

	if (transfer->version <= held && !completes)
		routes_drop(sharing, "held");
	else if (transfer->base_version != held)
		routes_drop(sharing, "other_base");
}

void routes_tick(struct sharing *sharing, int64_t now_ns)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;

	transfer_check(sharing);
	if (now_ns - transfer->progress_ns <= ROUTES_TIMEOUT_NS)
		return;
	if (transfer->version != 0 && transfer->next_chunk == 1 &&
	    transfer->encoding == ROUTES_EXTENDED)
		extended_refuse(sharing, transfer->source, now_ns);
	routes_drop(sharing, "timeout");
}

static bool transfer_is_active(const struct sharing *sharing, uint32_t address)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;

	return transfer->version != 0 && transfer->source == address &&
	       transfer->base_version == routes_version(sharing);
}

/* Number of the chunk in messages. */
static uint32_t chunk_number(const struct routes_transfer *transfer)
{
	return transfer->encoding == ROUTES_EXTENDED
		       ? ROUTES_EXTENDED_CHUNKS + transfer->next_chunk
		       : transfer->next_chunk;
}

uint32_t routes_next_chunk(const struct sharing *sharing, uint32_t address)
{
	return transfer_is_active(sharing, address)
		       ? chunk_number(&sharing->routes_transfer)
		       : 0;
}

uint64_t routes_base_version(const struct sharing *sharing, uint32_t address)
{
	bool is_complete = sharing->needs_all_routes ||
			   (transfer_is_active(sharing, address) &&
			    sharing->routes_transfer.is_complete);

	return is_complete ? 0 : routes_version(sharing);
}

/* Returns false if the chunks do not make up the announced routes. */
static bool routes_finish(struct sharing *sharing)
{
	const struct routes_transfer *transfer = &sharing->routes_transfer;
	struct routing *routing = routing_decode(
		transfer->bytes->data, transfer->bytes->len, transfer->encoding,
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

/*
 * An update without a chunk from the source of a transfer. If the source does
 * not know the extended encoding, the plain one is requested. Returns true if
 * the next poll is to follow at once.
 */
static bool chunk_refused(struct sharing *sharing, int64_t now_ns)
{
	struct routes_transfer *transfer = &sharing->routes_transfer;
	uint32_t source = transfer->source;
	uint64_t version = transfer->version;

	if (transfer->encoding != ROUTES_EXTENDED || transfer->next_chunk > 1)
		return false;
	if (++transfer->refusals < EXTENDED_REFUSALS_MAX)
		return true;
	if (now_ns - transfer->progress_ns < EXTENDED_REFUSAL_MIN_NS)
		return false;
	extended_refuse(sharing, source, now_ns);
	routes_drop(sharing, "plain_only");
	if (version <= routes_version(sharing))
		return false;
	transfer_begin(sharing, source, version, now_ns);
	return true;
}

static bool chunk_append(struct sharing *sharing,
			 const struct sharing_message *update, int64_t now_ns)
{
	struct routes_transfer *transfer = &sharing->routes_transfer;

	if (update->chunk == 0)
		return chunk_refused(sharing, now_ns);
	if (update->chunk != chunk_number(transfer))
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

/* True if @version from the member would replace the routes in force. */
static bool version_is_wanted(struct sharing *sharing, uint32_t address,
			      uint64_t version, int64_t now_ns)
{
	uint64_t held = routes_version(sharing);

	return version > held ||
	       (version == held && version > 0 && has_partial_routes(sharing) &&
		can_send_extended(sharing, address, now_ns));
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
	if (!version_is_wanted(sharing, address, update->routes_version,
			       now_ns))
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
