#ifndef PARSLEYLADDER_HTTP_HTTP_CLIENT_H
#define PARSLEYLADDER_HTTP_HTTP_CLIENT_H

/**
 * Asynchronous HTTP GET with limits on the size of a response, and on the time
 * without progress.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

enum http_outcome {
	HTTP_OK,
	HTTP_FAILED, /* no connection, or a status other than 200 */
	HTTP_OVERSIZED, /* cut off: body longer than bytes_max */
	HTTP_TIMEOUT,
	HTTP_OUTCOMES,
};

struct http_response {
	enum http_outcome outcome;
	GBytes *body; /* HTTP_OK; valid until the callback returns */
	const char *reason; /* of any other outcome */
	unsigned int status; /* HTTP status; 0 if no response arrived */
	/* Value of the header that the request names; NULL if there is none. */
	const char *header;
};

struct http_get {
	const char *path; /* with the query, e.g. "/v1/index?after=0" */
	size_t bytes_max;
	uint32_t timeout_ms; /* for the whole request, but see pause_max_ms */
	/* A response goes on after the timeout while its parts follow in this. */
	uint32_t pause_max_ms;
	const char *header_name; /* header to be reported; NULL for none */
	void (*on_response)(void *context,
			    const struct http_response *response);
	void *context;
};

struct http_client;
struct http_request;

/** @url is the base URL, e.g. http://127.0.0.1:8500. */
struct http_client *http_client_create(const char *url);
/** Does not cancel requests; that is up to whoever started them. */
void http_client_destroy(struct http_client *client);
/** Requests started so far. */
uint64_t http_client_call_count(const struct http_client *client);

/**
 * Opens a connection for the next request, so that it need not wait for one.
 */
void http_client_connect(struct http_client *client);

/**
 * Starts a request; on_response is called later, from the main loop, unless the
 * request is cancelled. The returned request is valid until either happens.
 */
struct http_request *http_client_get(struct http_client *client,
				     const struct http_get *get);
/** Accepts NULL. */
void http_request_cancel(struct http_request *request);

#endif
