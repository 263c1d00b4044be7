#include "http/http_client.h"

#include <libsoup/soup.h>
#include <stdbool.h>
#include <string.h>

#define READ_BYTES 16384
/* Enough for two pending watches and a request for a page of a listing. */
#define CONNECTIONS_MAX 4

struct http_client {
	SoupSession *session;
	char *url;
	uint64_t call_count;
};

struct http_request {
	struct http_get get;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream;
	GByteArray *body;
	guint timer; /* of the whole request */
	guint pause_timer; /* since the last part of the response */
	bool is_timed_out;
	bool is_cancelled;
};

struct http_client *http_client_create(const char *url)
{
	struct http_client *client = g_new0(struct http_client, 1);
	size_t length = strlen(url);

	while (length > 0 && url[length - 1] == '/')
		length--;
	client->url = g_strndup(url, length);
	/* No proxy: the environment must not redirect platform requests. */
	client->session = soup_session_new_with_options(
		"max-conns", CONNECTIONS_MAX, "max-conns-per-host",
		CONNECTIONS_MAX, "proxy-resolver", NULL, NULL);
	return client;
}

void http_client_destroy(struct http_client *client)
{
	if (!client)
		return;
	g_object_unref(client->session);
	g_free(client->url);
	g_free(client);
}

uint64_t http_client_call_count(const struct http_client *client)
{
	return client->call_count;
}

static void request_free(struct http_request *request)
{
	if (request->timer)
		g_source_remove(request->timer);
	if (request->pause_timer)
		g_source_remove(request->pause_timer);
	if (request->stream)
		g_object_unref(request->stream);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	g_clear_pointer(&request->body, g_byte_array_unref);
	g_free(request);
}

static const char *header_find(const struct http_request *request)
{
	if (!request->get.header_name)
		return NULL;
	return soup_message_headers_get_one(
		soup_message_get_response_headers(request->message),
		request->get.header_name);
}

static void request_end(struct http_request *request, enum http_outcome outcome,
			const char *reason)
{
	struct http_response response = { .outcome = outcome,
					  .reason = reason };
	SoupMessage *message = request->message;

	if (request->is_cancelled) {
		request_free(request);
		return;
	}
	if (request->is_timed_out) {
		response.outcome = HTTP_TIMEOUT;
		response.reason = "no response within the timeout";
	}
	if (response.outcome != HTTP_TIMEOUT) {
		response.status = soup_message_get_status(message);
		response.header = header_find(request);
	}
	if (response.outcome == HTTP_OK)
		response.body = g_byte_array_free_to_bytes(
			g_steal_pointer(&request->body));
	request->get.on_response(request->get.context, &response);
	if (response.body)
		g_bytes_unref(response.body);
	request_free(request);
}

static void request_time_out(struct http_request *request)
{
	request->is_timed_out = true;
	g_cancellable_cancel(request->cancellable);
}

static gboolean on_timeout(gpointer context)
{
	struct http_request *request = context;

	request->timer = 0;
	if (!request->pause_timer)
		request_time_out(request);
	return G_SOURCE_REMOVE;
}

static gboolean on_pause(gpointer context)
{
	struct http_request *request = context;

	request->pause_timer = 0;
	if (!request->timer)
		request_time_out(request);
	return G_SOURCE_REMOVE;
}

/* A part of the response has come. */
static void pause_begin(struct http_request *request)
{
	if (request->pause_timer)
		g_source_remove(request->pause_timer);
	request->pause_timer =
		g_timeout_add(request->get.pause_max_ms, on_pause, request);
}

static void read_more(struct http_request *request);

static void on_read(GObject *source, GAsyncResult *result, gpointer context)
{
	struct http_request *request = context;
	GError *error = NULL;
	GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
							 result, &error);
	size_t length;
	const void *data;

	if (!bytes) {
		request_end(request, HTTP_FAILED, error->message);
		g_error_free(error);
		return;
	}
	pause_begin(request);
	data = g_bytes_get_data(bytes, &length);
	if (length > request->get.bytes_max - request->body->len)
		request_end(request, HTTP_OVERSIZED,
			    "response exceeds the size limit");
	else if (length == 0)
		request_end(request, HTTP_OK, NULL);
	else {
		g_byte_array_append(request->body, data, (guint)length);
		read_more(request);
	}
	g_bytes_unref(bytes);
}

static void read_more(struct http_request *request)
{
	g_input_stream_read_bytes_async(request->stream, READ_BYTES,
					G_PRIORITY_DEFAULT,
					request->cancellable, on_read, request);
}

static void on_sent(GObject *source, GAsyncResult *result, gpointer context)
{
	struct http_request *request = context;
	SoupMessageHeaders *headers;
	GError *error = NULL;

	request->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &error);
	if (!request->stream) {
		request_end(request, HTTP_FAILED, error->message);
		g_error_free(error);
		return;
	}
	headers = soup_message_get_response_headers(request->message);
	if (soup_message_get_status(request->message) != SOUP_STATUS_OK)
		request_end(request, HTTP_FAILED,
			    soup_status_get_phrase(
				    soup_message_get_status(request->message)));
	else if (soup_message_headers_get_content_length(headers) >
		 (goffset)request->get.bytes_max)
		request_end(request, HTTP_OVERSIZED,
			    "response exceeds the size limit");
	else
		read_more(request);
}

/* If there is no connection, the next request fails and says why. */
static void on_connected(GObject *source, GAsyncResult *result,
			 gpointer context)
{
	(void)context;
	soup_session_preconnect_finish(SOUP_SESSION(source), result, NULL);
}

void http_client_connect(struct http_client *client)
{
	SoupMessage *message = soup_message_new(SOUP_METHOD_GET, client->url);

	soup_session_preconnect_async(client->session, message,
				      G_PRIORITY_DEFAULT, NULL, on_connected,
				      NULL);
	g_object_unref(message);
}

struct http_request *http_client_get(struct http_client *client,
				     const struct http_get *get)
{
	struct http_request *request = g_new0(struct http_request, 1);
	char *url = g_strconcat(client->url, get->path, NULL);

	request->get = *get;
	request->get.path = NULL;
	request->message = soup_message_new(SOUP_METHOD_GET, url);
	soup_message_add_flags(request->message, SOUP_MESSAGE_NO_REDIRECT);
	request->cancellable = g_cancellable_new();
	request->body = g_byte_array_new();
	request->timer = g_timeout_add(get->timeout_ms, on_timeout, request);
	client->call_count++;
	soup_session_send_async(client->session, request->message,
				G_PRIORITY_DEFAULT, request->cancellable,
				on_sent, request);
	g_free(url);
	return request;
}

void http_request_cancel(struct http_request *request)
{
	if (!request)
		return;
	request->is_cancelled = true;
	g_cancellable_cancel(request->cancellable);
}
