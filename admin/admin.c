#include "admin/admin.h"

#include <string.h>

#include "admin/routes.h"
#include "http/http_listener.h"

#define BEARER_PREFIX "Bearer "

struct admin {
	struct admin_options options;
	char *token; /* NULL for none */
	SoupServer *server;
	struct http_listener *listener;
};

/*
 * Compares in a time that depends on the length of @received only, so that a
 * client cannot guess the token byte by byte.
 */
static bool token_equal(const char *token, const char *received)
{
	size_t token_length = strlen(token);
	size_t received_length = strlen(received);
	volatile uint8_t difference = token_length != received_length;

	for (size_t i = 0; i < received_length; i++)
		difference |= (uint8_t)(token[i % token_length] ^ received[i]);
	return difference == 0;
}

static bool request_is_authorized(const struct admin *admin,
				  SoupServerMessage *message)
{
	const char *header = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message),
		"Authorization");

	if (!admin->token)
		return true;
	return header && g_str_has_prefix(header, BEARER_PREFIX) &&
	       token_equal(admin->token, header + strlen(BEARER_PREFIX));
}

static void request_reject(SoupServerMessage *message, int status,
			   const char *header, const char *value,
			   const char *detail)
{
	struct error error;

	error_set(&error, ERROR_USAGE, "%s", detail);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), header,
		value);
	response_set_error(message, status, &error);
}

/* Request bodies are not used; keeping them would let a client fill memory. */
static void body_discard(SoupServer *server, SoupServerMessage *message,
			 const char *path, GHashTable *query, gpointer data)
{
	(void)server;
	(void)path;
	(void)query;
	(void)data;
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
}

static void request_handle(SoupServer *server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	const struct admin *admin = data;
	const char *method = soup_server_message_get_method(message);

	(void)server;
	if (!request_is_authorized(admin, message))
		request_reject(message, SOUP_STATUS_UNAUTHORIZED,
			       "WWW-Authenticate", "Bearer",
			       "expected a valid bearer token in the "
			       "Authorization header");
	else if (strcmp(method, "GET") != 0 && strcmp(method, "HEAD") != 0)
		request_reject(message, SOUP_STATUS_METHOD_NOT_ALLOWED, "Allow",
			       "GET, HEAD",
			       "the administration API is read-only: "
			       "expected GET or HEAD");
	else
		routes_handle(&admin->options, message, path, query);
}

struct admin *admin_create(const struct admin_options *options,
			   struct error *error)
{
	struct admin *admin = g_new0(struct admin, 1);
	struct http_listener_options listener_options = {
		.address = options->address,
		.port = options->port,
	};

	admin->options = *options;
	if (options->token && options->token[0] != '\0')
		admin->token = g_strdup(options->token);
	admin->server = soup_server_new(NULL, NULL);
	soup_server_add_early_handler(admin->server, NULL, body_discard, NULL,
				      NULL);
	soup_server_add_handler(admin->server, NULL, request_handle, admin,
				NULL);
	listener_options.server = admin->server;
	admin->listener = http_listener_create(&listener_options, error);
	if (!admin->listener) {
		admin_destroy(admin);
		return NULL;
	}
	admin->options.address = NULL;
	admin->options.token = NULL;
	return admin;
}

void admin_destroy(struct admin *admin)
{
	if (!admin)
		return;
	http_listener_destroy(admin->listener);
	g_object_unref(admin->server);
	g_free(admin->token);
	g_free(admin);
}

uint16_t admin_port(const struct admin *admin)
{
	return http_listener_port(admin->listener);
}

uint64_t admin_refused_connections(const struct admin *admin)
{
	return http_listener_refused(admin->listener);
}
