#include <arpa/inet.h>
#include <string.h>

#include "standins/link/link.h"

struct transit {
	struct pair *pair;
	size_t length;
	uint8_t data[];
};

bool pair_is_cut(const struct pair *pair)
{
	return pair->is_cut || network_is_cut(pair->link->network,
					      pair->from_zone, pair->to_zone);
}

static void transit_end(void *context, void *data)
{
	struct transit *transit = data;
	struct pair *pair = transit->pair;

	(void)context;
	edge_send_copy(pair->edge, (struct sockaddr *)&pair->pass_target,
		       sizeof(pair->pass_target), transit->data,
		       transit->length);
	edge_flush(pair->edge);
}

static void on_datagram(void *context, uint8_t *data, size_t length,
			const struct sockaddr_storage *source)
{
	struct pair *pair = context;
	struct transit *transit;
	int64_t delay_ns;

	(void)source;
	if (pair_is_cut(pair) ||
	    !network_plan(pair->link->network, pair->from_zone, pair->to_zone,
			  &delay_ns)) {
		pair->link->counters.passed_lost++;
		return;
	}
	pair->link->counters.passed_datagrams++;
	transit = g_malloc(sizeof(*transit) + length);
	transit->pair = pair;
	transit->length = length;
	memcpy(transit->data, data, length);
	schedule_add(pair->link->schedule,
		     clock_now_ns(clock_system()) + delay_ns, transit_end, pair,
		     transit);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	(void)service;
	(void)source;
	relay_start(data, connection);
	return TRUE;
}

static bool pair_listen(struct pair *pair, const char *listen,
			struct error *error)
{
	struct edge_options options = {
		.address = listen,
		.on_datagram = on_datagram,
		.context = pair,
	};
	g_autoptr(GSocketAddress)
		any = g_inet_socket_address_new_from_string(listen, 0);
	g_autoptr(GSocketAddress) bound = NULL;
	g_autoptr(GError) failure = NULL;

	pair->edge = edge_create(&options, error);
	if (!pair->edge)
		return false;
	pair->service = g_socket_service_new();
	if (!g_socket_listener_add_address(
		    G_SOCKET_LISTENER(pair->service), any, G_SOCKET_TYPE_STREAM,
		    G_SOCKET_PROTOCOL_TCP, NULL, &bound, &failure))
		return error_set(error, ERROR_IO, "%s: %s", listen,
				 failure->message);
	pair->peer_port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	g_signal_connect(pair->service, "incoming", G_CALLBACK(on_incoming),
			 pair);
	g_socket_service_start(pair->service);
	return true;
}

struct pair *pair_create(struct link *link, const struct pair_options *options,
			 struct error *error)
{
	struct pair *pair = g_new0(struct pair, 1);

	pair->link = link;
	pair->from = g_strdup(options->from);
	pair->to = g_strdup(options->to);
	pair->from_zone = g_quark_from_string(options->from_zone);
	pair->to_zone = g_quark_from_string(options->to_zone);
	pair->pass_target.sin_family = AF_INET;
	pair->pass_target.sin_port = htons(options->pass_port);
	pair->peer_target = g_inet_socket_address_new_from_string(
		options->address, options->peer_port);
	if (!pair->peer_target || inet_pton(AF_INET, options->address,
					    &pair->pass_target.sin_addr) != 1) {
		error_set(error, ERROR_USAGE, "'%s' is not an IPv4 address",
			  options->address);
		pair_destroy(pair);
		return NULL;
	}
	if (pair_listen(pair, options->listen, error))
		return pair;
	pair_destroy(pair);
	return NULL;
}

void pair_destroy(struct pair *pair)
{
	if (pair->service) {
		g_socket_service_stop(pair->service);
		g_socket_listener_close(G_SOCKET_LISTENER(pair->service));
		g_object_unref(pair->service);
	}
	if (pair->edge)
		edge_destroy(pair->edge);
	g_clear_object(&pair->peer_target);
	g_free(pair->from);
	g_free(pair->to);
	g_free(pair);
}
