#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

#include "standins/soak/soak.h"

#define SERVICE_TIME_MS 15

/* The host's end of a flow. */
struct host_flow {
	uint32_t sequence; /* of the next response */
	uint32_t request_sequence; /* of the last request received */
	char response[SOAK_DATA_MAX + 1];
	bool has_request; /* request_sequence is set */
};

/* A request that a host executes. */
struct execution {
	struct soak_host *host;
	uint64_t id; /* of the host when the execution began */
	struct soak_packet request;
};

static const char *const service_names[SOAK_SERVICES] = { "examen", "archive" };

static char *host_key(const struct soak_host *host)
{
	return g_strdup_printf("servers/i-%08" PRIx64, host->id);
}

void soak_host_publish(struct soak_host *host)
{
	struct in_addr in = { .s_addr = htonl(host->address) };
	char *key = host_key(host);
	char *value = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"slots\":3,\"state\":\"%s\","
		"\"coldRemainingMs\":%" PRId64 ",\"sequence\":1,"
		"\"born\":%" PRIu64 "}",
		service_names[host->service], inet_ntoa(in),
		host->soak->host_port, soak_zone_names[host->zone],
		host->is_draining ? "draining" : "ready",
		soak_cold_remaining_ms(host), host->started_ms);

	soak_store_put_again(host->soak->store, key, value);
	g_free(key);
	g_free(value);
}

void soak_host_withdraw(struct soak_host *host)
{
	char *key = host_key(host);

	soak_store_delete(host->soak->store, key);
	g_free(key);
}

struct soak_host *soak_host_find(struct soak *soak, uint64_t id)
{
	for (uint32_t i = 0; i < soak->host_count; i++) {
		if (soak->hosts[i].id == id)
			return &soak->hosts[i];
	}
	return NULL;
}

static void packet_send(struct soak_host *host, struct soak_packet *packet)
{
	uint8_t data[SOAK_HEADER_BYTES + SOAK_DATA_MAX];
	struct in_addr in = { .s_addr = htonl(packet->destination) };
	GSocketAddress *destination;
	size_t length;

	packet->checksum = SOAK_CHECKSUM;
	length = soak_packet_write(packet, data);
	destination = g_inet_socket_address_new_from_string(
		inet_ntoa(in), host->soak->packet_port);
	g_socket_send_to(host->socket, destination, (const char *)data, length,
			 NULL, NULL);
	g_object_unref(destination);
}

/* Returns a response to @request without data. */
static struct soak_packet response_create(const struct soak_packet *request)
{
	struct soak_packet packet = {
		.source = request->destination,
		.source_port = request->destination_port,
		.destination = request->source,
		.destination_port = request->source_port,
		.sequence = request->acknowledgement,
		.acknowledgement =
			request->sequence + MAX(request->data_bytes, 1),
		.token = request->token,
		.flags = SOAK_ACK,
	};

	return packet;
}

static char *flow_key(const struct soak_packet *packet)
{
	return g_strdup_printf("%x:%u>%x:%u", packet->source,
			       packet->source_port, packet->destination,
			       packet->destination_port);
}

static void response_send(struct soak_host *host,
			  const struct soak_packet *request, const char *text)
{
	struct soak_packet packet = response_create(request);

	packet.data_bytes = (uint16_t)strlen(text);
	memcpy(packet.data, text, packet.data_bytes);
	packet_send(host, &packet);
}

static gboolean execution_end(gpointer data)
{
	struct execution *execution = data;
	struct soak_host *host = execution->host;
	char *key = flow_key(&execution->request);
	struct host_flow *flow = NULL;

	if (host->socket && host->id == execution->id)
		flow = g_hash_table_lookup(host->flows, key);
	if (flow) {
		g_snprintf(flow->response, sizeof(flow->response),
			   "done %s by %08" PRIx64, execution->request.data,
			   host->id);
		flow->request_sequence = execution->request.sequence;
		response_send(host, &execution->request, flow->response);
	}
	g_free(key);
	g_free(execution);
	return G_SOURCE_REMOVE;
}

/* Each "unsafe N" may be executed only once among all hosts. */
static void execution_record(struct soak *soak, const char *request)
{
	if (!g_str_has_prefix(request, "unsafe "))
		return;
	if (!g_hash_table_add(soak->executed_requests, g_strdup(request)))
		soak_violation_report(soak, CHECK_REPEATED, "%s", request);
}

static void request_handle(struct soak_host *host, struct host_flow *flow,
			   const struct soak_packet *packet)
{
	struct execution *execution;

	if (flow->has_request && flow->request_sequence == packet->sequence) {
		if (*flow->response)
			response_send(host, packet, flow->response);
		return;
	}
	/* A late retransmission is not part of the byte stream any more. */
	if (flow->has_request &&
	    (int32_t)(packet->sequence - flow->request_sequence) < 0)
		return;
	flow->has_request = true;
	flow->request_sequence = packet->sequence;
	flow->response[0] = '\0';
	execution_record(host->soak, packet->data);
	execution = g_new0(struct execution, 1);
	execution->host = host;
	execution->id = host->id;
	execution->request = *packet;
	g_timeout_add(SERVICE_TIME_MS, execution_end, execution);
}

static bool is_own_service(const struct soak_host *host,
			   const struct soak_packet *packet)
{
	uint32_t service = packet->destination - SOAK_SERVICE_ADDRESS;

	return service == host->service;
}

/* Checks the guarantees about new flows when a SYN arrives. */
static void new_flow_check(struct soak_host *host,
			   const struct soak_packet *packet,
			   const struct soak_balancer *sender)
{
	struct soak *soak = host->soak;
	bool is_undisturbed = sender &&
			      soak_is_undisturbed(soak, sender->disturbed_ns) &&
			      soak_store_fault(soak->store) == STORE_HEALTHY &&
			      soak_store_is_stable(soak);

	if (!is_own_service(host, packet))
		soak_violation_report(soak, CHECK_FOREIGN_SERVICE,
				      "host %08" PRIx64, host->id);
	if (is_undisturbed && host->drained_ns != 0 &&
	    soak_now(soak) - host->drained_ns > SOAK_DRAIN_BOUND_NS)
		soak_violation_report(
			soak, CHECK_DRAIN,
			"host %08" PRIx64 " by b%u after %" PRId64 " ms",
			host->id, sender->index,
			(soak_now(soak) - host->drained_ns) / NS_PER_MS);
	if (is_undisturbed)
		soak_zone_opening_check(host, sender);
	soak_cold_opening_check(host);
	if (is_undisturbed &&
	    packet->destination_port == SOAK_EXTRA_ROUTE_PORT &&
	    !soak->has_extra_route &&
	    soak_now(soak) - soak->routes_changed_ns > SOAK_ROUTES_BOUND_NS)
		soak_violation_report(soak, CHECK_ROUTE_LATE,
				      "dropped route taken by b%u",
				      sender->index);
}

static void syn_handle(struct soak_host *host, struct soak_packet *packet,
		       const struct soak_balancer *sender, char *key)
{
	struct host_flow *flow = g_hash_table_lookup(host->flows, key);
	struct soak_packet response = response_create(packet);

	new_flow_check(host, packet, sender);
	if (!flow) {
		flow = g_new0(struct host_flow, 1);
		flow->sequence = (uint32_t)host->id ^ packet->sequence;
		g_hash_table_insert(host->flows, g_strdup(key), flow);
	}
	response.flags = SOAK_SYN | SOAK_ACK;
	response.sequence = flow->sequence;
	response.acknowledgement = packet->sequence + 1;
	packet_send(host, &response);
}

/*
 * Checks whether a packet of a flow that @host does not have belongs to
 * another host.
 */
static void flow_moved_check(const struct soak_host *host, const char *key,
			     const struct soak_balancer *sender)
{
	struct soak *soak = host->soak;

	for (uint32_t i = 0; i < soak->host_count; i++) {
		const struct soak_host *other = &soak->hosts[i];
		const struct host_flow *flow;

		if (other == host || !other->socket)
			continue;
		flow = g_hash_table_lookup(other->flows, key);
		if (flow && flow->has_request && sender &&
		    soak_is_undisturbed(soak, sender->disturbed_ns) &&
		    soak_is_undisturbed(soak, other->disturbed_ns))
			soak_violation_report(
				soak, CHECK_FLOW_MOVED,
				"%s of host %08" PRIx64 " sent to "
				"%08" PRIx64 " by b%u",
				key, other->id, host->id, sender->index);
	}
}

static void packet_handle(struct soak_host *host, struct soak_packet *packet,
			  const struct soak_balancer *sender)
{
	char *key = flow_key(packet);
	struct host_flow *flow = g_hash_table_lookup(host->flows, key);

	if (packet->flags & (SOAK_RST | SOAK_FIN)) {
		g_hash_table_remove(host->flows, key);
	} else if (packet->flags & SOAK_SYN) {
		syn_handle(host, packet, sender, key);
	} else if (!flow) {
		struct soak_packet reset = response_create(packet);

		reset.flags = SOAK_RST;
		packet_send(host, &reset);
		flow_moved_check(host, key, sender);
	} else if (packet->data_bytes > 0) {
		request_handle(host, flow, packet);
	}
	g_free(key);
}

static uint64_t host_id_read(const uint8_t *data)
{
	uint64_t host_id = 0;

	for (int i = 0; i < SOAK_HOST_ID_BYTES; i++)
		host_id = host_id << 8 | data[i];
	return host_id;
}

static gboolean socket_readable(GSocket *socket, GIOCondition condition,
				gpointer data)
{
	struct soak_host *host = data;
	uint8_t bytes[2048];
	GSocketAddress *source = NULL;
	gssize got;

	(void)condition;
	while (host->socket == socket &&
	       (got = g_socket_receive_from(socket, &source, (char *)bytes,
					    sizeof(bytes), NULL, NULL)) > 0) {
		struct sockaddr_in in;
		struct soak_balancer *sender;
		struct soak_packet packet;
		uint64_t host_id =
			got > SOAK_HOST_ID_BYTES ? host_id_read(bytes) : 1;

		g_socket_address_to_native(source, &in, sizeof(in), NULL);
		g_clear_object(&source);
		sender = soak_balancer_find(host->soak,
					    ntohl(in.sin_addr.s_addr));
		if ((sender && sender->is_partitioned) ||
		    (host_id != 0 && host_id != host->id) ||
		    !soak_packet_read(bytes + SOAK_HOST_ID_BYTES,
				      (size_t)got - SOAK_HOST_ID_BYTES,
				      &packet))
			continue;
		packet_handle(host, &packet, sender);
	}
	return G_SOURCE_CONTINUE;
}

void soak_host_start(struct soak_host *host)
{
	struct in_addr in = { .s_addr = htonl(host->address) };
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		inet_ntoa(in), host->soak->host_port);
	GError *error = NULL;
	GSource *source;

	host->id = host->soak->next_host_id++;
	host->started_ms = (uint64_t)(g_get_real_time() / 1000);
	host->is_draining = false;
	host->drained_ns = 0;
	host->cold_until_ns =
		host->soak->has_cold_hosts
			? soak_now(host->soak) + SOAK_COLD_START_S * NS_PER_S
			: 0;
	host->opening_count = 0;
	host->flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	host->socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				    G_SOCKET_TYPE_DATAGRAM,
				    G_SOCKET_PROTOCOL_UDP, NULL);
	g_socket_set_blocking(host->socket, FALSE);
	if (!g_socket_bind(host->socket, address, TRUE, &error))
		g_error("host: %s", error->message);
	source = g_socket_create_source(host->socket, G_IO_IN, NULL);
	g_source_set_callback(source, G_SOURCE_FUNC(socket_readable), host,
			      NULL);
	host->source = g_source_attach(source, NULL);
	g_source_unref(source);
	host->listener = g_socket_service_new();
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(host->listener),
					   address, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   &error))
		g_error("host: %s", error->message);
	g_object_unref(address);
}

void soak_host_stop(struct soak_host *host)
{
	if (!host->socket)
		return;
	g_source_remove(host->source);
	g_socket_close(host->socket, NULL);
	g_clear_object(&host->socket);
	g_socket_service_stop(host->listener);
	g_socket_listener_close(G_SOCKET_LISTENER(host->listener));
	g_clear_object(&host->listener);
	g_hash_table_unref(host->flows);
	host->flows = NULL;
	host->disturbed_ns = soak_now(host->soak);
}

/* A route of the first service's address, to the first service. */
static void route_print(GString *text, const char *name, uint32_t port)
{
	g_string_append_printf(text,
			       ",{\"name\":\"%s\",\"host\":\"198.51.100.1\","
			       "\"prefix\":\"/%u/\",\"service\":\"%s\"}",
			       name, port, service_names[0]);
}

void soak_routes_write_again(struct soak *soak, uint32_t index)
{
	(void)index;
	soak_store_put_again(soak->store, "op/config", soak->routes_text);
}

void soak_routes_publish(struct soak *soak, bool has_extra_route)
{
	GString *text = g_string_new(NULL);

	soak->routes_version += 1 + soak->routes_version % 3;
	soak->has_extra_route = has_extra_route;
	soak->routes_changed_ns = soak_now(soak);
	g_string_printf(text, "{\"version\":%" PRIu64 ",",
			soak->routes_version);
	if (soak->has_cold_hosts)
		soak_cold_services_print(text, service_names);
	g_string_append(text, "\"routes\":[");
	for (uint32_t i = 0; i < SOAK_SERVICES; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r%u\",\"host\":\"198.51.100.%u\","
			"\"prefix\":\"/%u/\",\"service\":\"%s\"}",
			i > 0 ? "," : "", i, 1 + i, SOAK_SERVICE_PORT,
			service_names[i]);
	if (has_extra_route)
		route_print(text, "x", SOAK_EXTRA_ROUTE_PORT);
	for (uint32_t i = 0; i < soak->idle_routes; i++)
		route_print(text, "idle", SOAK_IDLE_ROUTE_PORT + i);
	g_string_append(text, "],\"limits\":{\"idleTimeoutMs\":15000}}");
	g_free(soak->routes_text);
	soak->routes_text = g_string_free(text, FALSE);
	soak_routes_write_again(soak, 0);
}
