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

static bool response_print(SoupMessage *message, GBytes *body,
			   struct error *error)
{
	const char *content_type = soup_message_headers_get_content_type(
		soup_message_get_response_headers(message), NULL);
	unsigned int status = soup_message_get_status(message);
	JsonNode *root = NULL;

	if (g_strcmp0(content_type, "application/json") == 0)
		root = body_parse(body);
	if (status == SOUP_STATUS_OK)
		body_print(body, root);
	else
		response_failed(status, root, error);
	g_clear_pointer(&root, json_node_unref);
	return status == SOUP_STATUS_OK;
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

static bool request_run(const char *address, const char *path,
			const char *token, struct error *error)
{
	SoupMessage *message = message_create(address, path, token);
	GError *cause = NULL;
	SoupSession *session;
	GBytes *body;
	bool is_ok;

	if (!message)
		return error_set(error, ERROR_USAGE, "'%s' is not IP:PORT",
				 address);
	/* Connect directly, even if the environment configures a proxy. */
	session = soup_session_new_with_options(
		"proxy-resolver", NULL, "timeout", RESPONSE_TIMEOUT_S, NULL);
	body = soup_session_send_and_read(session, message, NULL, &cause);
	is_ok = body ? response_print(message, body, error)
		     : request_failed(address, cause, error);
	g_clear_pointer(&body, g_bytes_unref);
	g_object_unref(session);
	g_object_unref(message);
	return is_ok;
}

int admin_client_print(const char *address, const char *path, const char *token)
{
	struct error error = { .kind = ERROR_INTERNAL };

	if (request_run(address, path, token, &error))
		return 0;
	fprintf(stderr, "parsleyladder: %s: %s\n",
		error_kind_info(error.kind)->name, error.detail);
	return error_kind_info(error.kind)->exit_code;
}
