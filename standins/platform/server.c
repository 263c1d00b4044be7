#include "standins/platform/server.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "standins/control.h"
#include "standins/platform/answers.h"

struct platform_server {
	struct answers *answers;
	SoupServer *readers; /* NULL while down */
	SoupServer *control;
	uint16_t port;
	uint16_t control_port;
};

static void on_read(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	struct platform_server *platform = data;

	(void)server;
	answers_take(platform->answers, message, path, query);
}

static bool server_listen(SoupServer *server, uint16_t *port,
			  struct error *error)
{
	g_autoptr(GError) failure = NULL;
	GSList *uris;

	if (!soup_server_listen_local(server, *port,
				      SOUP_SERVER_LISTEN_IPV4_ONLY, &failure))
		return error_set(error, ERROR_ADDRESS_IN_USE,
				 "platform port %u: %s", *port,
				 failure->message);
	uris = soup_server_get_uris(server);
	*port = (uint16_t)g_uri_get_port(uris->data);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return true;
}

static bool readers_open(struct platform_server *platform, struct error *error)
{
	if (platform->readers)
		return true;
	platform->readers = soup_server_new(NULL, NULL);
	soup_server_add_handler(platform->readers, NULL, on_read, platform,
				NULL);
	return server_listen(platform->readers, &platform->port, error);
}

/* Readers see refused connections, and waiting calls end with an error. */
static void readers_close(struct platform_server *platform)
{
	if (!platform->readers)
		return;
	answers_fail_waiting(platform->answers);
	soup_server_disconnect(platform->readers);
	g_clear_object(&platform->readers);
}

static void publish_part(JsonObject *parts, const char *name, JsonNode *text,
			 gpointer data)
{
	(void)parts;
	store_put(data, name, json_node_get_string(text));
}

static bool handle_publish(struct platform_server *platform,
			   JsonObject *request, JsonBuilder *reply,
			   struct error *error)
{
	struct store *store = answers_store(platform->answers);
	JsonArray *removed;

	store_begin(store);
	if (json_object_has_member(request, "parts"))
		json_object_foreach_member(
			json_object_get_object_member(request, "parts"),
			publish_part, store);
	if (json_object_has_member(request, "remove")) {
		removed = json_object_get_array_member(request, "remove");
		for (guint i = 0; i < json_array_get_length(removed); i++)
			store_remove(store,
				     json_array_get_string_element(removed, i));
	}
	control_add_number(reply, "revision", (double)store_commit(store));
	answers_update(platform->answers);
	return true;
}

static bool handle_mode(struct platform_server *platform, JsonObject *request,
			JsonBuilder *reply, struct error *error)
{
	const char *mode = control_text(request, "mode", "");
	uint64_t revision = UINT64_MAX;

	if (strcmp(mode, "down") == 0) {
		readers_close(platform);
		return true;
	}
	if (strcmp(mode, "up") != 0 && strcmp(mode, "hold") != 0 &&
	    strcmp(mode, "stale") != 0)
		return error_set(error, ERROR_USAGE, "no mode '%s'", mode);
	if (strcmp(mode, "stale") == 0)
		revision = (uint64_t)control_number(request, "revision", 1);
	answers_set_stale(platform->answers, revision);
	answers_set_held(platform->answers, strcmp(mode, "hold") == 0);
	if (!readers_open(platform, error))
		return false;
	answers_update(platform->answers);
	return true;
}

static bool handle_instances(struct platform_server *platform,
			     JsonObject *request, JsonBuilder *reply,
			     struct error *error)
{
	if (!json_object_has_member(request, "instances"))
		return error_set(error, ERROR_USAGE, "no instances");
	answers_set_instances(platform->answers,
			      json_array_ref(json_object_get_array_member(
				      request, "instances")));
	answers_update(platform->answers);
	return true;
}

static bool handle_report(struct platform_server *platform, JsonObject *request,
			  JsonBuilder *reply, struct error *error)
{
	control_add_number(reply, "platform_calls",
			   (double)answers_call_count(platform->answers));
	control_add_number(
		reply, "platform_revision",
		(double)store_latest(answers_store(platform->answers)));
	return true;
}

static const struct {
	const char *path;
	bool (*handle)(struct platform_server *platform, JsonObject *request,
		       JsonBuilder *reply, struct error *error);
} handlers[] = {
	{ "/control/instances", handle_instances },
	{ "/control/mode", handle_mode },
	{ "/control/publish", handle_publish },
	{ "/control/report", handle_report },
};

static bool control_dispatch(struct platform_server *platform, const char *path,
			     SoupMessageBody *body, JsonBuilder *reply,
			     struct error *error)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	JsonNode *root;

	json_parser_load_from_data(parser, g_bytes_get_data(bytes, NULL),
				   (gssize)g_bytes_get_size(bytes), NULL);
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return error_set(error, ERROR_USAGE, "not a JSON object");
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++)
		if (strcmp(handlers[i].path, path) == 0)
			return handlers[i].handle(platform,
						  json_node_get_object(root),
						  reply, error);
	return error_set(error, ERROR_NOT_FOUND, "no path '%s'", path);
}

static void on_control(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	g_autoptr(JsonBuilder) reply = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;
	struct error error = { 0 };

	(void)server;
	(void)query;
	json_builder_begin_object(reply);
	if (!control_dispatch(data, path,
			      soup_server_message_get_request_body(message),
			      reply, &error)) {
		json_builder_set_member_name(reply, "error");
		json_builder_add_string_value(reply, error.detail);
	}
	json_builder_end_object(reply);
	root = json_builder_get_root(reply);
	text = json_to_string(root, FALSE);
	soup_server_message_set_status(
		message, error_answer(error.kind)->http_status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

struct platform_server *platform_server_create(struct error *error)
{
	struct platform_server *platform = g_new0(struct platform_server, 1);

	platform->answers = answers_create();
	platform->control = soup_server_new(NULL, NULL);
	soup_server_add_handler(platform->control, NULL, on_control, platform,
				NULL);
	if (readers_open(platform, error) &&
	    server_listen(platform->control, &platform->control_port, error))
		return platform;
	platform_server_destroy(platform);
	return NULL;
}

void platform_server_destroy(struct platform_server *server)
{
	readers_close(server);
	soup_server_disconnect(server->control);
	g_object_unref(server->control);
	answers_destroy(server->answers);
	g_free(server);
}

uint16_t platform_server_port(const struct platform_server *server)
{
	return server->port;
}

uint16_t platform_server_control_port(const struct platform_server *server)
{
	return server->control_port;
}
