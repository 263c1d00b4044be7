#include <inttypes.h>

#include "balancer_private.h"
#include "common/endpoint.h"
#include "common/log.h"

#define RECEIVE_BUFFER_BYTES (256 * 1024)

static uint32_t endpoint_ipv4(const char *text)
{
	struct endpoint endpoint;
	struct ip_address address;

	if (!endpoint_parse(text, &endpoint) ||
	    !ip_address_parse(endpoint.address, &address) ||
	    !ip_address_is_v4(&address))
		return 0;
	return ip_address_v4(&address);
}

static void datagram_send(void *context, uint32_t address, const uint8_t *data,
			  size_t length)
{
	struct balancer *balancer = context;
	struct sockaddr_storage destination;
	struct ip_address target;
	socklen_t bytes;

	ip_address_from_v4(address, &target);
	bytes = edge_destination(balancer->sharing_edge, &target,
				 balancer->settings->sharing_port,
				 &destination);
	if (bytes > 0)
		edge_send_copy(balancer->sharing_edge,
			       (struct sockaddr *)&destination, bytes, data,
			       length);
}

static void datagram_handle(void *context, uint8_t *data, size_t length,
			    const struct sockaddr_storage *source)
{
	struct balancer *balancer = context;
	struct ip_address address;
	uint16_t port;

	edge_source(source, &address, &port);
	if (port != balancer->settings->sharing_port) {
		if (balancer->totals[TOTAL_UNKNOWN_SENDERS]++ == 0)
			log_event(LOG_LEVEL_WARNING, "stranger_ignored",
				  "port=%u bytes=%zu", port, length);
		return;
	}
	sharing_handle_datagram(balancer->sharing, ip_address_v4(&address),
				data, length);
	balancer_era_check(balancer);
	balancer_sync_check(balancer);
}

static void routing_received(void *context, struct routing *routing)
{
	balancer_routing_apply(context, routing);
}

static void routes_announced(void *context, uint32_t address, uint64_t version)
{
	const struct balancer *balancer = context;
	char text[IP_ADDRESS_TEXT_BYTES];

	log_event(LOG_LEVEL_INFO, "routes_announced",
		  "version=%" PRIu64 " held=%" PRIu64 " source=%s "
		  "revision=%" PRIu64,
		  version, balancer_routes_version(balancer),
		  sharing_address_print(address, text),
		  balancer->replica_status.position.revision);
}

static void routes_dropped(void *context, uint64_t version, uint32_t chunks,
			   const char *reason)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_INFO, "routes_dropped",
		  "version=%" PRIu64 " held=%" PRIu64
		  " chunks=%u reason=%s revision=%" PRIu64,
		  version, balancer_routes_version(balancer), chunks, reason,
		  balancer->replica_status.position.revision);
}

static void store_reader_changed(void *context, bool is_store_reader,
				 const char *reason)
{
	struct balancer *balancer = context;
	const struct replica_status *replica_status = &balancer->replica_status;
	struct store_position watched =
		sharing_watch_position(balancer->sharing);
	int64_t age_ns =
		clock_now_ns(balancer->clock) - replica_status->confirmed_ns;

	log_event(LOG_LEVEL_INFO, "reading_changed",
		  "reading=%d reason=%s revision=%" PRIu64 " era=%" PRIu64
		  " age_ms=%" PRId64 " routes_version=%" PRIu64,
		  is_store_reader, reason, replica_status->position.revision,
		  replica_status->position.era, age_ns / NS_PER_MS,
		  balancer_routes_version(balancer));
	if (is_store_reader && !store_position_is_none(watched))
		store_set_position(balancer->store, watched);
	store_set_following(balancer->store, is_store_reader);
	/* An interrupted listing starts again from its first page. */
	if (!is_store_reader)
		g_clear_pointer(&balancer->store_listing, host_listing_destroy);
}

static void leader_changed(void *context, uint32_t leader, const char *reason)
{
	const struct balancer *balancer = context;
	char text[IP_ADDRESS_TEXT_BYTES];

	log_event(LOG_LEVEL_INFO, "leader_changed",
		  "leader=%s reason=%s revision=%" PRIu64
		  " routes_version=%" PRIu64,
		  sharing_address_print(leader, text), reason,
		  balancer->replica_status.position.revision,
		  balancer_routes_version(balancer));
}

void balancer_seeds_set(struct balancer *balancer)
{
	char **seeds = balancer->settings->seeds;
	size_t count = g_strv_length(seeds);
	uint32_t *addresses = g_new0(uint32_t, count + 1);
	size_t valid = 0;

	for (size_t i = 0; i < count; i++) {
		addresses[valid] = endpoint_ipv4(seeds[i]);
		if (addresses[valid] != 0) {
			valid++;
			continue;
		}
		log_event(LOG_LEVEL_WARNING, "seed_ignored",
			  "index=%zu reason=\"expected IPv4:PORT\"", i);
	}
	sharing_set_seeds(balancer->sharing, addresses, valid);
	g_free(addresses);
}

static void sharing_open(struct balancer *balancer)
{
	const struct settings *settings = balancer->settings;
	const struct sharing_options options = {
		.clock = balancer->clock,
		.address = endpoint_ipv4(settings->control_endpoint),
		.zone = settings->zone,
		.capacity = settings_capacity(settings),
		.random_seed = balancer->random_seed,
		.member_wait_ms = settings->member_wait_ms,
		.steering = balancer->steering,
		.replica_status = &balancer->replica_status,
		.send = datagram_send,
		.on_routing = routing_received,
		.on_store_reader_changed = store_reader_changed,
		.on_leader_changed = leader_changed,
		.on_routes_announced = routes_announced,
		.on_routes_dropped = routes_dropped,
		.context = balancer,
	};

	balancer->sharing = sharing_create(&options);
	balancer_seeds_set(balancer);
}

bool balancer_sharing_open(struct balancer *balancer, struct error *error)
{
	struct endpoint endpoint;
	struct edge_options options = {
		.port = balancer->settings->sharing_port,
		.receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
		.on_datagram = datagram_handle,
		.context = balancer,
	};

	endpoint_parse(balancer->settings->control_endpoint, &endpoint);
	options.address = endpoint.address;
	balancer->sharing_edge = edge_create(&options, error);
	if (!balancer->sharing_edge)
		return false;
	sharing_open(balancer);
	return true;
}

void balancer_sharing_close(struct balancer *balancer)
{
	sharing_destroy(balancer->sharing);
	edge_destroy(balancer->sharing_edge);
}
