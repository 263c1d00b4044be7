#include "standins/scenario/channel.h"

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <string.h>

/* An answer of a stand-in takes milliseconds; this only bounds a hang. */
#define REQUEST_TIMEOUT_S 20
/* A frozen balancer must not hold up the runner. */
#define HTTP_TIMEOUT_S 1

struct channel {
	GSocketConnection *connection;
	GDataInputStream *lines;
};

struct channel *channel_create(uint16_t port, struct error *error)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GError) failure = NULL;
	struct channel *channel;
	GSocketConnection *connection;

	g_socket_client_set_timeout(client, REQUEST_TIMEOUT_S);
	connection = g_socket_client_connect_to_host(client, "127.0.0.1", port,
						     NULL, &failure);
	if (!connection) {
		error_set(error, ERROR_IO, "control port %u: %s", port,
			  failure->message);
		return NULL;
	}
	channel = g_new0(struct channel, 1);
	channel->connection = connection;
	channel->lines = g_data_input_stream_new(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)));
	return channel;
}

void channel_destroy(struct channel *channel)
{
	g_object_unref(channel->lines);
	g_object_unref(channel->connection);
	g_free(channel);
}

JsonObject *channel_parse(const char *text, struct error *error)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;

	if (json_parser_load_from_data(parser, text, -1, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			return json_object_ref(json_node_get_object(root));
	}
	error_set(error, ERROR_IO, "not a JSON object: %.80s", text);
	return NULL;
}

char *channel_print(JsonObject *object)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_set_object(root, object);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	return text;
}

JsonObject *channel_request(struct channel *channel, JsonObject *request,
			    struct error *error)
{
	GOutputStream *output =
		g_io_stream_get_output_stream(G_IO_STREAM(channel->connection));
	g_autofree char *text = channel_print(request);
	g_autofree char *line = g_strconcat(text, "\n", NULL);
	g_autofree char *answer = NULL;
	JsonObject *reply;

	g_output_stream_write_all(output, line, strlen(line), NULL, NULL, NULL);
	answer =
		g_data_input_stream_read_line(channel->lines, NULL, NULL, NULL);
	if (!answer) {
		error_set(error, ERROR_IO, "a stand-in does not answer");
		return NULL;
	}
	reply = channel_parse(answer, error);
	if (!reply || !json_object_has_member(reply, "error"))
		return reply;
	error_set(error, ERROR_USAGE, "%s",
		  json_object_get_string_member(reply, "error"));
	json_object_unref(reply);
	return NULL;
}

char *channel_http(const char *url, const char *token, const char *body,
		   struct error *error)
{
	g_autoptr(SoupSession) session = soup_session_new();
	g_autoptr(SoupMessage)
		message = soup_message_new(body ? "POST" : "GET", url);
	g_autoptr(GBytes) sent = NULL;
	g_autoptr(GBytes) answer = NULL;
	g_autoptr(GError) failure = NULL;
	g_autofree char *bearer = NULL;

	soup_session_set_timeout(session, HTTP_TIMEOUT_S);
	if (body) {
		sent = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
			message, "application/json", sent);
	}
	if (token && token[0]) {
		bearer = g_strconcat("Bearer ", token, NULL);
		soup_message_headers_append(
			soup_message_get_request_headers(message),
			"Authorization", bearer);
	}
	answer = soup_session_send_and_read(session, message, NULL, &failure);
	if (!answer) {
		error_set(error, ERROR_IO, "%s: %s", url, failure->message);
		return NULL;
	}
	if (soup_message_get_status(message) != SOUP_STATUS_OK) {
		error_set(error, ERROR_IO, "%s: status %u: %.*s", url,
			  soup_message_get_status(message),
			  (int)MIN(g_bytes_get_size(answer), 200),
			  (const char *)g_bytes_get_data(answer, NULL));
		return NULL;
	}
	return g_strndup(g_bytes_get_data(answer, NULL),
			 g_bytes_get_size(answer));
}
