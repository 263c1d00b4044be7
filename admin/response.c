#include "admin/routes.h"

#include "common/json_member.h"

static void response_set(SoupServerMessage *message, int status,
			 const char *content_type, const char *body,
			 size_t length)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_message_headers_replace(headers, "Cache-Control", "no-store");
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, content_type,
					 SOUP_MEMORY_COPY, body, length);
}

void response_set_json(SoupServerMessage *message, int status,
		       JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text;

	if (!root) {
		soup_server_message_set_status(
			message, SOUP_STATUS_INTERNAL_SERVER_ERROR, NULL);
		return;
	}
	text = json_to_string(root, FALSE);
	response_set(message, status, "application/json", text, strlen(text));
	g_free(text);
	json_node_unref(root);
}

void response_set_text(SoupServerMessage *message, const char *text,
		       size_t length)
{
	response_set(message, SOUP_STATUS_OK, "text/plain", text, length);
}

void response_set_error(SoupServerMessage *message, int status,
			const struct error *error)
{
	const struct error_kind_info *info = error_kind_info(error->kind);
	JsonBuilder *builder = json_builder_new();
	/* The detail may quote a request, and may have been truncated. */
	char *detail = g_utf8_make_valid(error->detail, -1);

	json_builder_begin_object(builder);
	json_member_string(builder, "error", info->name);
	json_member_string(builder, "detail", detail);
	json_builder_end_object(builder);
	response_set_json(message, status ? status : info->http_status,
			  builder);
	g_free(detail);
	g_object_unref(builder);
}
