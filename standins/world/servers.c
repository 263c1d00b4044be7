#include "standins/world/servers.h"

#include <string.h>

#include "edge/edge.h"

#define RECEIVE_BUFFER_BYTES (1024 * 1024)

/* Time to run a request; parts of the answer are sent out of order. */
#define RUN_MIN_NS NS_PER_MS
#define RUN_SPREAD_US 15000

struct server {
	struct servers *servers;
	const struct catalogue_host *host;
	struct edge *edge;
	struct connection_table *connections;
	struct server_figures figures;
	bool is_down;
};

struct servers {
	struct servers_options options;
	GPtrArray *servers; /* struct server by host index */
	struct servers_counters counters;
};

struct arrival {
	struct server *server;
	size_t length;
	uint8_t data[];
};

static void reply_send(struct server *server, const struct reply *reply,
		       int64_t delay_ns)
{
	struct servers *servers = server->servers;

	servers->options.on_reply(servers->options.context, server->host->zone,
				  reply, delay_ns);
}

static void answers_send(struct server *server,
			 const struct connection_packet *packet)
{
	struct reply reply = {
		.flow_id = packet->flow_id,
		.kind = REPLY_ANSWER,
		.request_number = packet->request_number,
		.answer_count = segment_answer_count(packet->flow_id,
						     packet->request_number),
	};

	for (uint8_t i = 0; i < reply.answer_count; i++) {
		reply.answer_index = i;
		reply.check = segment_answer_check(packet->flow_id,
						   packet->request_number, i);
		reply_send(
			server, &reply,
			RUN_MIN_NS +
				network_random(server->servers->options.network,
					       RUN_SPREAD_US) *
					NS_PER_US);
	}
}

static void server_reply(struct server *server,
			 const struct connection_packet *packet,
			 enum connection_reply kind)
{
	struct reply reply = { .flow_id = packet->flow_id };

	switch (kind) {
	case CONNECTION_REPLY_NONE:
		return;
	case CONNECTION_REPLY_ANSWERS:
		answers_send(server, packet);
		return;
	case CONNECTION_REPLY_SYN_ACK:
		reply.kind = REPLY_SYN_ACK;
		break;
	case CONNECTION_REPLY_FIN_ACK:
		reply.kind = REPLY_FIN_ACK;
		break;
	case CONNECTION_REPLY_RESET:
		reply.kind = REPLY_RESET;
		server->servers->counters.resets_sent++;
		break;
	}
	reply_send(server, &reply, 0);
}

static void server_receive(struct server *server, const uint8_t *data,
			   size_t length)
{
	const struct servers_options *options = &server->servers->options;
	int64_t now_ns = clock_now_ns(options->clock);
	struct connection_packet packet;
	struct connection_result result;

	if (!segment_read(data, length, &packet)) {
		server->servers->counters.packets_unreadable++;
		return;
	}
	if (!server->host->is_published)
		server->servers->counters.packets_to_unpublished++;
	ledger_see_packet(options->ledger, packet.flow_id,
			  server->host->service, server->host->index);
	result = connection_receive(server->connections, &packet, now_ns);
	if (result.is_new) {
		server->figures.new_flows++;
		server->figures.last_new_flow_ns = now_ns;
	}
	if (result.is_first_run)
		ledger_run_request(options->ledger, packet.flow_id,
				   packet.request_number, server->host->index);
	server_reply(server, &packet, result.reply);
}

static void arrival_end(void *context, void *data)
{
	struct arrival *arrival = data;

	(void)context;
	if (!arrival->server->is_down)
		server_receive(arrival->server, arrival->data, arrival->length);
}

static void on_datagram(void *context, uint8_t *data, size_t length,
			const struct sockaddr_storage *source)
{
	struct server *server = context;
	struct servers *servers = server->servers;
	struct arrival *arrival;
	int64_t delay_ns;
	GQuark zone;

	servers->counters.packets_received++;
	zone = servers->options.zone_of(servers->options.context, source);
	if (!network_plan(servers->options.network, zone, server->host->zone,
			  &delay_ns))
		return;
	arrival = g_malloc(sizeof(*arrival) + length);
	arrival->server = server;
	arrival->length = length;
	memcpy(arrival->data, data, length);
	schedule_add(servers->options.schedule,
		     clock_now_ns(servers->options.clock) + delay_ns,
		     arrival_end, servers, arrival);
}

static void server_destroy(void *data)
{
	struct server *server = data;

	if (server->edge)
		edge_destroy(server->edge);
	connection_table_destroy(server->connections);
	g_free(server);
}

struct servers *servers_create(const struct servers_options *options)
{
	struct servers *servers = g_new0(struct servers, 1);

	servers->options = *options;
	servers->servers = g_ptr_array_new_with_free_func(server_destroy);
	return servers;
}

void servers_destroy(struct servers *servers)
{
	g_ptr_array_free(servers->servers, TRUE);
	g_free(servers);
}

static bool server_add(struct servers *servers,
		       const struct catalogue_host *host, struct error *error)
{
	struct server *server = g_new0(struct server, 1);
	struct edge_options options = {
		.address = host->address,
		.port = host->port,
		.receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
		.on_datagram = on_datagram,
		.context = server,
	};

	server->servers = servers;
	server->host = host;
	server->connections = connection_table_create();
	server->edge = edge_create(&options, error);
	if (!server->edge) {
		server_destroy(server);
		return false;
	}
	g_ptr_array_add(servers->servers, server);
	return true;
}

bool servers_update(struct servers *servers, struct error *error)
{
	const struct catalogue *catalogue = servers->options.catalogue;

	while (servers->servers->len < catalogue->hosts->len)
		if (!server_add(servers,
				catalogue->hosts->pdata[servers->servers->len],
				error))
			return false;
	return true;
}

void servers_expire(struct servers *servers)
{
	int64_t now_ns = clock_now_ns(servers->options.clock);

	for (guint i = 0; i < servers->servers->len; i++)
		connection_expire(((struct server *)servers->servers->pdata[i])
					  ->connections,
				  now_ns);
}

void servers_set_down(struct servers *servers, uint32_t host, bool is_down)
{
	struct server *server = servers->servers->pdata[host];

	server->is_down = is_down;
}

struct server_figures servers_figures(const struct servers *servers,
				      uint32_t host)
{
	const struct server *server = servers->servers->pdata[host];
	struct server_figures figures = server->figures;

	figures.open_flows = connection_open_count(server->connections);
	return figures;
}

const struct servers_counters *servers_counters(const struct servers *servers)
{
	return &servers->counters;
}
