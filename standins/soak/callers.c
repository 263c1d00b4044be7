#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

#include "standins/soak/soak.h"

#define SYN_RETRANSMISSION_NS (200 * NS_PER_MS)
#define SYN_TIMEOUT_NS (1400 * NS_PER_MS)
#define RETRANSMISSION_MIN_NS (200 * NS_PER_MS)
#define RETRANSMISSION_MAX_NS (1600 * NS_PER_MS)
#define REQUEST_TIMEOUT_NS (4 * NS_PER_S)
#define RETRIES_MAX 2
#define PAUSE_MAX_MS 400
/* Probability that a caller closes its flow after a request. */
#define CLOSE_PROBABILITY 0.2

enum caller_state {
	CALLER_IDLE, /* until next_ns */
	CALLER_OPENING,
	CALLER_WAITING, /* for a response */
};

/** A simulated caller with one flow at a time. */
struct soak_caller {
	struct soak *soak;
	uint32_t index;
	uint32_t address;
	uint32_t zone;
	uint32_t service;
	bool is_unsafe;
	bool is_probe; /* only probes the extra route, through one balancer */
	struct soak_balancer *probed_balancer; /* NULL unless is_probe */
	GSocket *socket;
	guint source;
	enum caller_state state;
	bool is_open;
	uint16_t port;
	uint16_t service_port;
	uint32_t sequence;
	uint32_t acknowledgement;
	uint32_t token;
	uint64_t host_id; /* of the open flow, 0 until its first response */
	char request[64];
	uint32_t retries;
	uint32_t syn_retransmissions;
	int64_t started_ns;
	int64_t retransmit_ns; /* time of the next retransmission */
	int64_t retransmission_delay_ns;
	int64_t next_ns;
	int64_t balancer_changed_ns; /* when last_balancer last changed */
	struct soak_balancer *last_balancer;
};

static void packet_send(struct soak_caller *caller, uint8_t flags,
			const char *text)
{
	struct soak *soak = caller->soak;
	struct soak_packet packet = {
		.checksum = SOAK_CHECKSUM,
		.source = caller->address,
		.source_port = caller->port,
		.destination = SOAK_SERVICE_ADDRESS + caller->service,
		.destination_port = caller->service_port,
		.sequence = caller->sequence,
		.acknowledgement = flags & SOAK_SYN
					   ? caller->syn_retransmissions
					   : caller->acknowledgement,
		.token = flags & SOAK_SYN ? 0 : caller->token,
		.flags = flags,
	};
	uint8_t data[SOAK_HEADER_BYTES + SOAK_DATA_MAX];
	struct soak_balancer *balancer = caller->probed_balancer;
	GSocketAddress *destination;
	struct in_addr in;
	size_t length;

	if (!balancer)
		balancer = soak_fabric_choose(soak, caller->zone,
					      caller->port * 2654435761u ^
						      caller->address);
	if (!balancer)
		return;
	if (balancer != caller->last_balancer)
		caller->balancer_changed_ns = soak_now(soak);
	caller->last_balancer = balancer;
	packet.data_bytes = (uint16_t)strlen(text);
	memcpy(packet.data, text, packet.data_bytes);
	length = soak_packet_write(&packet, data);
	in.s_addr = htonl(balancer->address);
	destination = g_inet_socket_address_new_from_string(inet_ntoa(in),
							    soak->packet_port);
	g_socket_send_to(caller->socket, destination, (const char *)data,
			 length, NULL, NULL);
	g_object_unref(destination);
}

static void caller_pause(struct soak_caller *caller)
{
	int32_t pause_ms =
		g_rand_int_range(caller->soak->random, 10, PAUSE_MAX_MS);

	caller->state = CALLER_IDLE;
	caller->next_ns = soak_now(caller->soak) + pause_ms * NS_PER_MS;
}

static void flow_open(struct soak_caller *caller)
{
	caller->port =
		(uint16_t)(caller->port >= 60000 ? 1024 : caller->port + 1);
	caller->sequence = g_rand_int(caller->soak->random);
	caller->acknowledgement = 0;
	caller->token = 0;
	caller->host_id = 0;
	caller->is_open = false;
	caller->syn_retransmissions = 0;
	caller->state = CALLER_OPENING;
	caller->started_ns = soak_now(caller->soak);
	caller->retransmit_ns = caller->started_ns + SYN_RETRANSMISSION_NS;
	packet_send(caller, SOAK_SYN, "");
}

static void request_send(struct soak_caller *caller)
{
	caller->state = CALLER_WAITING;
	caller->started_ns = soak_now(caller->soak);
	caller->retransmission_delay_ns = RETRANSMISSION_MIN_NS;
	caller->retransmit_ns =
		caller->started_ns + caller->retransmission_delay_ns;
	packet_send(caller, SOAK_ACK, caller->request);
}

static void request_begin(struct soak_caller *caller)
{
	struct soak *soak = caller->soak;

	g_snprintf(caller->request, sizeof(caller->request), "%s %" PRIu64,
		   caller->is_unsafe ? "unsafe" : "safe", soak->next_request++);
	caller->retries = 0;
	soak->requests++;
	soak->recovery_requests += soak->is_recovering;
	if (caller->is_open)
		request_send(caller);
	else
		flow_open(caller);
}

/* Gives both long flows and flows of few requests. */
static void flow_close_at_random(struct soak_caller *caller)
{
	if (!caller->is_open ||
	    (!caller->soak->has_cold_hosts &&
	     g_rand_double(caller->soak->random) >= CLOSE_PROBABILITY))
		return;
	packet_send(caller, SOAK_FIN | SOAK_ACK, "");
	caller->is_open = false;
}

static void request_end(struct soak_caller *caller, bool is_served)
{
	bool is_counted = is_served && !caller->is_probe;

	caller->soak->served += is_counted;
	caller->soak->recovery_served += is_counted &&
					 caller->soak->is_recovering;
	flow_close_at_random(caller);
	caller_pause(caller);
}

/* Retries the request on a new flow if it is safe or was not sent yet. */
static void flow_lost(struct soak_caller *caller)
{
	bool was_sent = caller->state == CALLER_WAITING;

	caller->is_open = false;
	if (caller->state == CALLER_IDLE)
		return;
	if (caller->is_probe || caller->retries++ >= RETRIES_MAX ||
	    (was_sent && caller->is_unsafe))
		request_end(caller, false);
	else
		flow_open(caller);
}

/*
 * A reset of an open flow is a violation only if the host, the balancer that
 * sent it and the balancer last used are undisturbed; a reset of a probe only
 * if its balancer is, the route was published long enough ago, and not all
 * zones are drained.
 */
static void reset_check(struct soak_caller *caller,
			const struct soak_balancer *sender)
{
	struct soak *soak = caller->soak;
	struct soak_host *host = soak_host_find(soak, caller->host_id);
	const struct soak_balancer *last_balancer = caller->last_balancer;

	if (caller->is_probe) {
		if (!caller->is_open && soak->has_extra_route &&
		    soak_now(soak) - soak->routes_changed_ns >
			    SOAK_ROUTES_BOUND_NS &&
		    soak_zones_accept_flows(soak) &&
		    soak_store_fault(soak->store) == STORE_HEALTHY &&
		    soak_store_is_stable(soak) &&
		    soak_is_undisturbed(soak,
					caller->probed_balancer->disturbed_ns))
			soak_violation_report(soak, CHECK_ROUTE_LATE,
					      "published route refused by b%u",
					      caller->probed_balancer->index);
		return;
	}
	if (!caller->is_open || !host || !host->socket ||
	    !soak_is_undisturbed(soak, host->disturbed_ns) || !last_balancer ||
	    !soak_is_undisturbed(soak, last_balancer->disturbed_ns) ||
	    last_balancer->is_partitioned || !sender ||
	    !soak_is_undisturbed(soak, sender->disturbed_ns) ||
	    sender->is_partitioned)
		return;
	soak_violation_report(soak, CHECK_FLOW_RESET,
			      "caller %u host %08" PRIx64
			      " by b%u, last packet b%u",
			      caller->index, caller->host_id, sender->index,
			      last_balancer->index);
}

static void response_handle(struct soak_caller *caller,
			    const struct soak_packet *packet)
{
	const char *suffix = strstr(packet->data, " by ");
	uint64_t id = suffix ? g_ascii_strtoull(suffix + 4, NULL, 16) : 0;
	char *expected = g_strdup_printf("done %s by ", caller->request);
	bool is_expected = g_str_has_prefix(packet->data, expected);

	g_free(expected);
	if (packet->sequence != caller->acknowledgement ||
	    caller->state != CALLER_WAITING || !is_expected)
		return;
	if (caller->host_id != id && caller->host_id != 0)
		soak_violation_report(caller->soak, CHECK_FLOW_MOVED,
				      "caller %u from %08" PRIx64
				      " to %08" PRIx64,
				      caller->index, caller->host_id, id);
	caller->host_id = id;
	caller->token = packet->token;
	caller->sequence = packet->acknowledgement;
	caller->acknowledgement += packet->data_bytes;
	packet_send(caller, SOAK_ACK, "");
	request_end(caller, true);
}

static void packet_handle(struct soak_caller *caller,
			  const struct soak_packet *packet,
			  uint32_t sender_address)
{
	if (packet->destination_port != caller->port ||
	    packet->source != SOAK_SERVICE_ADDRESS + caller->service)
		return;
	if (packet->flags & SOAK_RST) {
		if (packet->checksum == 0)
			reset_check(caller, soak_balancer_find(caller->soak,
							       sender_address));
		flow_lost(caller);
	} else if (packet->flags & SOAK_SYN) {
		if (caller->state != CALLER_OPENING)
			return;
		caller->token = packet->token;
		caller->sequence++;
		caller->acknowledgement = packet->sequence + 1;
		caller->is_open = true;
		request_send(caller);
	} else if (packet->data_bytes > 0) {
		response_handle(caller, packet);
	}
}

static gboolean socket_readable(GSocket *socket, GIOCondition condition,
				gpointer data)
{
	struct soak_caller *caller = data;
	GSocketAddress *source = NULL;
	uint8_t bytes[2048];
	gssize got;

	(void)condition;
	while ((got = g_socket_receive_from(socket, &source, (char *)bytes,
					    sizeof(bytes), NULL, NULL)) > 0) {
		struct soak_packet packet;
		struct sockaddr_in in;

		g_socket_address_to_native(source, &in, sizeof(in), NULL);
		g_clear_object(&source);
		if (soak_packet_read(bytes, (size_t)got, &packet))
			packet_handle(caller, &packet,
				      ntohl(in.sin_addr.s_addr));
	}
	return G_SOURCE_CONTINUE;
}

static struct soak_caller *caller_open(struct soak *soak, uint32_t index)
{
	struct soak_caller *caller = g_new0(struct soak_caller, 1);
	GSocketAddress *address;
	GError *error = NULL;
	GSource *source;
	struct in_addr in;

	caller->soak = soak;
	caller->index = index;
	caller->zone = index % SOAK_ZONES;
	caller->service = index % 4 == 0;
	caller->is_unsafe = index % 3 == 0;
	caller->port = (uint16_t)(1024 + index * 97 % 40000);
	caller->service_port = SOAK_SERVICE_PORT;
	caller->address = 0x7f000000u | soak->subnet << 16 | 4 << 8 |
			  (1 + index);
	in.s_addr = htonl(caller->address);
	address = g_inet_socket_address_new_from_string(inet_ntoa(in),
							soak->packet_port);
	caller->socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				      G_SOCKET_TYPE_DATAGRAM,
				      G_SOCKET_PROTOCOL_UDP, NULL);
	g_socket_set_blocking(caller->socket, FALSE);
	if (!g_socket_bind(caller->socket, address, TRUE, &error))
		g_error("caller: %s", error->message);
	g_object_unref(address);
	source = g_socket_create_source(caller->socket, G_IO_IN, NULL);
	g_source_set_callback(source, G_SOURCE_FUNC(socket_readable), caller,
			      NULL);
	caller->source = g_source_attach(source, NULL);
	g_source_unref(source);
	caller_pause(caller);
	return caller;
}

void soak_callers_open(struct soak *soak, uint32_t count)
{
	/* After @count callers, one probe of the extra route per balancer. */
	for (uint32_t i = 0; i < count + soak->balancer_count; i++) {
		struct soak_caller *caller = caller_open(soak, i);

		if (i >= count) {
			caller->is_probe = true;
			caller->is_unsafe = false;
			caller->service = 0;
			caller->service_port = SOAK_EXTRA_ROUTE_PORT;
			caller->probed_balancer = &soak->balancers[i - count];
		}
		g_ptr_array_add(soak->callers, caller);
	}
}

void soak_callers_close(struct soak *soak)
{
	for (guint i = 0; i < soak->callers->len; i++) {
		struct soak_caller *caller =
			g_ptr_array_index(soak->callers, i);

		g_source_remove(caller->source);
		g_object_unref(caller->socket);
		g_free(caller);
	}
	g_ptr_array_unref(soak->callers);
}

static void caller_tick(struct soak_caller *caller, int64_t now_ns)
{
	int64_t age_ns = now_ns - caller->started_ns;

	if (caller->state == CALLER_IDLE) {
		if (!caller->is_probe && now_ns >= caller->next_ns)
			request_begin(caller);
		return;
	}
	if ((caller->state == CALLER_OPENING && age_ns > SYN_TIMEOUT_NS) ||
	    age_ns > REQUEST_TIMEOUT_NS) {
		flow_lost(caller);
		return;
	}
	if (now_ns < caller->retransmit_ns)
		return;
	if (caller->state == CALLER_OPENING) {
		if (caller->syn_retransmissions >= 2)
			return;
		caller->syn_retransmissions++;
		caller->retransmit_ns = now_ns + 2 * SYN_RETRANSMISSION_NS;
		packet_send(caller, SOAK_SYN, "");
	} else {
		caller->retransmission_delay_ns =
			MIN(2 * caller->retransmission_delay_ns,
			    RETRANSMISSION_MAX_NS);
		caller->retransmit_ns =
			now_ns + caller->retransmission_delay_ns;
		packet_send(caller, SOAK_ACK, caller->request);
	}
}

void soak_callers_tick(struct soak *soak)
{
	int64_t now_ns = soak_now(soak);

	for (guint i = 0; i < soak->callers->len; i++)
		caller_tick(g_ptr_array_index(soak->callers, i), now_ns);
}

void soak_routes_probe(struct soak *soak)
{
	for (guint i = 0; i < soak->callers->len; i++) {
		struct soak_caller *caller =
			g_ptr_array_index(soak->callers, i);

		if (!caller->is_probe || caller->state != CALLER_IDLE ||
		    !caller->probed_balancer->is_ready)
			continue;
		g_snprintf(caller->request, sizeof(caller->request),
			   "safe %" PRIu64, soak->next_request++);
		caller->is_open = false;
		flow_open(caller);
	}
}
