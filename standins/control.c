#include "standins/control.h"

#include <gio/gio.h>
#include <string.h>

struct control {
	struct control_handler handler;
	GSocketService *service;
	uint16_t port;
};

struct session {
	struct control *control;
	GSocketConnection *connection;
	GDataInputStream *lines;
};

static void session_read(struct session *session);

static void session_close(struct session *session)
{
	g_object_unref(session->lines);
	g_object_unref(session->connection);
	g_free(session);
}

static void reply_begin(JsonBuilder *builder)
{
	json_builder_reset(builder);
	json_builder_begin_object(builder);
}

static void reply_fill(struct control *control, const char *line,
		       JsonBuilder *builder)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	struct error error = { ERROR_USAGE, "not a JSON object" };
	JsonNode *root;

	reply_begin(builder);
	if (json_parser_load_from_data(parser, line, -1, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root) &&
		    control->handler.handle(control->handler.context,
					    json_node_get_object(root), builder,
					    &error))
			goto out;
	}
	reply_begin(builder);
	json_builder_set_member_name(builder, "error");
	json_builder_add_string_value(builder, error.detail);
out:
	json_builder_end_object(builder);
}

static bool session_answer(struct session *session, const char *line)
{
	GOutputStream *output =
		g_io_stream_get_output_stream(G_IO_STREAM(session->connection));
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;
	g_autofree char *reply = NULL;

	reply_fill(session->control, line, builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	reply = g_strconcat(text, "\n", NULL);
	return g_output_stream_write_all(output, reply, strlen(reply), NULL,
					 NULL, NULL);
}

static void on_line(GObject *source, GAsyncResult *result, gpointer data)
{
	struct session *session = data;
	g_autofree char *line = g_data_input_stream_read_line_finish(
		G_DATA_INPUT_STREAM(source), result, NULL, NULL);

	if (!line || !session_answer(session, line)) {
		session_close(session);
		return;
	}
	session_read(session);
}

static void session_read(struct session *session)
{
	g_data_input_stream_read_line_async(session->lines, G_PRIORITY_DEFAULT,
					    NULL, on_line, session);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	struct session *session = g_new0(struct session, 1);

	(void)service;
	(void)source;
	session->control = data;
	session->connection = g_object_ref(connection);
	session->lines = g_data_input_stream_new(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)));
	session_read(session);
	return TRUE;
}

static bool control_listen(struct control *control, struct error *error)
{
	g_autoptr(GInetAddress)
		loopback = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	g_autoptr(GSocketAddress) any = g_inet_socket_address_new(loopback, 0);
	g_autoptr(GSocketAddress) bound = NULL;
	g_autoptr(GError) failure = NULL;

	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(control->service),
					   any, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, &bound,
					   &failure))
		return error_set(error, ERROR_IO, "control socket: %s",
				 failure->message);
	control->port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
	return true;
}

struct control *control_create(const struct control_handler *handler,
			       struct error *error)
{
	struct control *control = g_new0(struct control, 1);

	control->handler = *handler;
	control->service = g_socket_service_new();
	if (!control_listen(control, error)) {
		control_destroy(control);
		return NULL;
	}
	g_signal_connect(control->service, "incoming", G_CALLBACK(on_incoming),
			 control);
	g_socket_service_start(control->service);
	return control;
}

void control_destroy(struct control *control)
{
	g_socket_service_stop(control->service);
	g_socket_listener_close(G_SOCKET_LISTENER(control->service));
	g_object_unref(control->service);
	g_free(control);
}

uint16_t control_port(const struct control *control)
{
	return control->port;
}

const char *control_text(JsonObject *request, const char *name,
			 const char *fallback)
{
	return json_object_get_string_member_with_default(request, name,
							  fallback);
}

double control_number(JsonObject *request, const char *name, double fallback)
{
	return json_object_get_double_member_with_default(request, name,
							  fallback);
}

void control_add_number(JsonBuilder *builder, const char *name, double value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_double_value(builder, value);
}

GQuark control_zone(JsonObject *request, const char *name)
{
	return g_quark_from_string(control_text(request, name, ""));
}
