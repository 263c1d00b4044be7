#include "parsleyladder/admin_client.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "common/error.h"

/* A process that takes longer to respond is stopped or overloaded. */
#define RESPONSE_TIMEOUT_S 10

static enum error_kind error_kind_by_name(const char *name)
{
	for (int i = 0; i < ERROR_KINDS; i++) {
		if (strcmp(error_kind_info(i)->name, name) == 0)
			return i;
	}
	return ERROR_INTERNAL;
}

static const char *member_string(JsonNode *root, const char *name)
{
	JsonNode *member;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return NULL;
	member = json_object_get_member(json_node_get_object(root), name);
	if (!member || json_node_get_value_type(member) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(member);
}

static bool response_failed(unsigned int status, JsonNode *root,
			    struct error *error)
{
	const char *kind = member_string(root, "error");
	const char *detail = member_string(root, "detail");

	return error_set(
		error, kind ? error_kind_by_name(kind) : ERROR_INTERNAL,
		"status %u: %s", status, detail ? detail : "no detail");
}

static void body_print(GBytes *body, JsonNode *root)
{
	size_t length;
	const char *data = g_bytes_get_data(body, &length);
	char *text;

	if (!root) {
		fwrite(data, 1, length, stdout);
		return;
	}
	text = json_to_string(root, TRUE);
	puts(text);
	g_free(text);
}

/* Returns NULL if the body is not valid JSON. */
static JsonNode *body_parse(GBytes *body)
{
	size_t length;
	const char *data = g_bytes_get_data(body, &length);
	char *text = data ? g_strndup(data, length) : g_strdup("");
	JsonNode *root = json_from_string(text, NULL);

	g_free(text);
	return root;
}

/* A response with its status. */
struct response {
	unsigned int status;
	GBytes *body;
	JsonNode *root; /* NULL if the body is not JSON */
};

static void response_read(SoupMessage *message, GBytes *body,
			  struct response *response)
{
	const char *content_type = soup_message_headers_get_content_type(
		soup_message_get_response_headers(message), NULL);

	response->status = soup_message_get_status(message);
	response->body = body;
	if (g_strcmp0(content_type, "application/json") == 0)
		response->root = body_parse(body);
}

static void response_clear(struct response *response)
{
	g_clear_pointer(&response->root, json_node_unref);
	g_clear_pointer(&response->body, g_bytes_unref);
}

static SoupMessage *message_create(const char *address, const char *path,
				   const char *token)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	SoupMessage *message = soup_message_new("GET", url);

	g_free(url);
	if (message && token) {
		char *header = g_strdup_printf("Bearer %s", token);

		soup_message_headers_replace(
			soup_message_get_request_headers(message),
			"Authorization", header);
		g_free(header);
	}
	return message;
}

static bool request_failed(const char *address, GError *cause,
			   struct error *error)
{
	bool is_timeout =
		g_error_matches(cause, G_IO_ERROR, G_IO_ERROR_TIMED_OUT);

	error_set(error, is_timeout ? ERROR_TIMEOUT : ERROR_IO, "%s: %s",
		  address, cause->message);
	g_error_free(cause);
	return false;
}

/* False if the request failed; clear @response in any case. */
static bool request_run(const char *address, const char *path,
			const char *token, struct response *response,
			struct error *error)
{
	SoupMessage *message = message_create(address, path, token);
	GError *cause = NULL;
	SoupSession *session;
	GBytes *body;

	if (!message)
		return error_set(error, ERROR_USAGE, "'%s' is not IP:PORT",
				 address);
	/* Connect directly, even if the environment configures a proxy. */
	session = soup_session_new_with_options(
		"proxy-resolver", NULL, "timeout", RESPONSE_TIMEOUT_S, NULL);
	body = soup_session_send_and_read(session, message, NULL, &cause);
	if (body)
		response_read(message, body, response);
	else
		request_failed(address, cause, error);
	g_object_unref(session);
	g_object_unref(message);
	if (body && response->status != SOUP_STATUS_OK)
		response_failed(response->status, response->root, error);
	return body && response->status == SOUP_STATUS_OK;
}

int admin_client_print(const char *address, const char *path, const char *token)
{
	struct error error = { .kind = ERROR_INTERNAL };
	struct response response = { 0 };
	bool is_ok = request_run(address, path, token, &response, &error);

	if (is_ok)
		body_print(response.body, response.root);
	response_clear(&response);
	if (is_ok)
		return 0;
	fprintf(stderr, "parsleyladder: %s: %s\n",
		error_kind_info(error.kind)->name, error.detail);
	return error_kind_info(error.kind)->exit_code;
}

JsonNode *admin_client_fetch(const char *address, const char *path,
			     const char *token, struct error *error)
{
	struct response response = { 0 };
	JsonNode *root = NULL;

	if (request_run(address, path, token, &response, error)) {
		root = g_steal_pointer(&response.root);
		if (!root)
			error_set(error, ERROR_PEER, "%s: response is not JSON",
				  address);
	} else if (error->kind == ERROR_IO || error->kind == ERROR_TIMEOUT) {
		error->kind = ERROR_UNREACHABLE;
	}
	response_clear(&response);
	return root;
}
