#include "http/http_listener.h"

#include <stdbool.h>

struct http_listener {
	SoupServer *server;
	GSocketService *service;
	gulong signal; /* handler of new requests */
	uint16_t port;
	uint32_t connection_count;
	uint64_t refused_count;
	GList *connections; /* struct http_connection */
};

struct http_connection {
	struct http_listener *listener;
	GSocketConnection *stream; /* owned by the server */
	guint timer;
};

/*
 * libsoup 3.2 keeps the socket of a connection whose client closes it while the
 * server waits for a further request, so there is none.
 */
static void connection_header_set(SoupServer *server,
				  SoupServerMessage *message, gpointer data)
{
	(void)server;
	(void)data;
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "Connection",
		"close");
}

static void connection_free(struct http_connection *connection)
{
	if (connection->timer != 0)
		g_source_remove(connection->timer);
	g_free(connection);
}

/* The server has closed the connection. */
static void on_stream_freed(gpointer data, GObject *stream)
{
	struct http_connection *connection = data;
	struct http_listener *listener = connection->listener;

	(void)stream;
	listener->connections =
		g_list_remove(listener->connections, connection);
	listener->connection_count--;
	connection_free(connection);
}

/* The server reads the end of the stream then, and closes the connection. */
static void connection_shutdown(const struct http_connection *connection)
{
	g_socket_shutdown(g_socket_connection_get_socket(connection->stream),
			  TRUE, TRUE, NULL);
}

static gboolean connection_expire(gpointer data)
{
	struct http_connection *connection = data;

	connection->timer = 0;
	connection_shutdown(connection);
	return G_SOURCE_REMOVE;
}

/* The listener ends before the server has closed the connection. */
static void connection_abandon(gpointer data)
{
	struct http_connection *connection = data;

	g_object_weak_unref(G_OBJECT(connection->stream), on_stream_freed,
			    connection);
	connection_shutdown(connection);
	connection_free(connection);
}

static void connection_add(struct http_listener *listener,
			   GSocketConnection *stream)
{
	struct http_connection *connection = g_new0(struct http_connection, 1);

	connection->listener = listener;
	connection->stream = stream;
	connection->timer = g_timeout_add_seconds(
		HTTP_CONNECTION_AGE_MAX_S, connection_expire, connection);
	listener->connections =
		g_list_prepend(listener->connections, connection);
	listener->connection_count++;
	g_object_weak_ref(G_OBJECT(stream), on_stream_freed, connection);
}

static gboolean connection_accept(GSocketService *service,
				  GSocketConnection *stream, GObject *source,
				  gpointer data)
{
	struct http_listener *listener = data;
	GSocketAddress *local;
	GSocketAddress *remote;

	(void)service;
	(void)source;
	if (listener->connection_count >= HTTP_CONNECTIONS_MAX) {
		listener->refused_count++;
		g_io_stream_close(G_IO_STREAM(stream), NULL, NULL);
		return TRUE;
	}
	connection_add(listener, stream);
	local = g_socket_connection_get_local_address(stream, NULL);
	remote = g_socket_connection_get_remote_address(stream, NULL);
	/* Fails only if the client has gone already; the stream is freed then. */
	soup_server_accept_iostream(listener->server, G_IO_STREAM(stream),
				    local, remote, NULL);
	g_clear_object(&local);
	g_clear_object(&remote);
	return TRUE;
}

static bool listener_bind(struct http_listener *listener,
			  const struct http_listener_options *options,
			  struct error *error)
{
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		options->address, options->port);
	GSocketAddress *bound = NULL;
	GError *cause = NULL;

	if (!address)
		return error_set(error, ERROR_SETTINGS,
				 "'%s' is not an IP address", options->address);
	if (g_socket_listener_add_address(G_SOCKET_LISTENER(listener->service),
					  address, G_SOCKET_TYPE_STREAM,
					  G_SOCKET_PROTOCOL_TCP, NULL, &bound,
					  &cause)) {
		listener->port = g_inet_socket_address_get_port(
			G_INET_SOCKET_ADDRESS(bound));
		g_object_unref(bound);
	} else {
		error_set(error,
			  g_error_matches(cause, G_IO_ERROR,
					  G_IO_ERROR_ADDRESS_IN_USE)
				  ? ERROR_ADDRESS_IN_USE
				  : ERROR_IO,
			  "cannot listen on %s port %u: %s", options->address,
			  options->port, cause->message);
		g_error_free(cause);
	}
	g_object_unref(address);
	return bound != NULL;
}

struct http_listener *
http_listener_create(const struct http_listener_options *options,
		     struct error *error)
{
	struct http_listener *listener = g_new0(struct http_listener, 1);

	listener->server = g_object_ref(options->server);
	listener->service = g_socket_service_new();
	g_signal_connect(listener->service, "incoming",
			 G_CALLBACK(connection_accept), listener);
	listener->signal = g_signal_connect(listener->server, "request-started",
					    G_CALLBACK(connection_header_set),
					    NULL);
	if (!listener_bind(listener, options, error)) {
		http_listener_destroy(listener);
		return NULL;
	}
	return listener;
}

void http_listener_destroy(struct http_listener *listener)
{
	if (!listener)
		return;
	g_socket_service_stop(listener->service);
	g_socket_listener_close(G_SOCKET_LISTENER(listener->service));
	soup_server_disconnect(listener->server);
	g_signal_handler_disconnect(listener->server, listener->signal);
	g_object_unref(listener->service);
	g_object_unref(listener->server);
	g_list_free_full(g_steal_pointer(&listener->connections),
			 connection_abandon);
	g_free(listener);
}

uint16_t http_listener_port(const struct http_listener *listener)
{
	return listener->port;
}

uint64_t http_listener_refused(const struct http_listener *listener)
{
	return listener->refused_count;
}
