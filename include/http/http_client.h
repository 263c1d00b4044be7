#ifndef PARSLEYLADDER_HTTP_HTTP_CLIENT_H
#define PARSLEYLADDER_HTTP_HTTP_CLIENT_H

/**
 * Asynchronous HTTP GET with a bound on the size and the duration of an answer.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum http_outcome {
	HTTP_OK,
	HTTP_FAILED, /* no connection, or a status other than 200 */
	HTTP_OVERSIZED, /* cut off at the bound */
	HTTP_TIMEOUT,
	HTTP_OUTCOMES,
};

struct http_response {
	enum http_outcome outcome;
	GBytes *body; /* HTTP_OK; valid until the callback returns */
	const char *reason; /* of any other outcome */
	unsigned int status; /* of HTTP; 0 if no answer arrived */
};

struct http_get {
	const char *path; /* with the query, e.g. "/v1/index?after=0" */
	size_t bytes_max;
	uint32_t timeout_ms;
	void (*on_response)(void *context,
			    const struct http_response *response);
	void *context;
};

struct http_client;
struct http_request;

/** @url is the start of each address, e.g. http://127.0.0.1:8500. */
struct http_client *http_client_create(const char *url);
/** Cancels nothing: requests are cancelled by whoever started them. */
void http_client_destroy(struct http_client *client);
/** Requests started so far. */
uint64_t http_client_call_count(const struct http_client *client);

/**
 * Starts a request; on_response is called later, from the main loop, unless the
 * request is cancelled. The result is valid until one of both happens.
 */
struct http_request *http_client_get(struct http_client *client,
				     const struct http_get *get);
/** Accepts NULL. */
void http_request_cancel(struct http_request *request);

#endif
