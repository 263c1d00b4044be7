#ifndef PARSLEYLADDER_HTTP_HTTP_LISTENER_H
#define PARSLEYLADDER_HTTP_HTTP_LISTENER_H

/**
 * Accepts the connections of an HTTP server and bounds them in number and age.
 * Each connection carries one request.
 */

#include <libsoup/soup.h>
#include <stdint.h>

#include "common/error.h"

/** Open connections of one server; further ones are closed at once. */
#define HTTP_CONNECTIONS_MAX 64
/** A connection is closed after this time, even if a request is pending. */
#define HTTP_CONNECTION_AGE_MAX_S 5

struct http_listener;

struct http_listener_options {
	SoupServer *server; /* must not listen itself */
	const char *address; /* IP address text */
	uint16_t port; /* 0 lets the kernel choose one */
};

/**
 * Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_IO, or
 * ERROR_SETTINGS if the address is not an IP address).
 */
struct http_listener *
http_listener_create(const struct http_listener_options *options,
		     struct error *error);
/** Closes all connections. Accepts NULL. */
void http_listener_destroy(struct http_listener *listener);
/** Port that the server listens on. */
uint16_t http_listener_port(const struct http_listener *listener);
/** Connections that were closed because too many were open. */
uint64_t http_listener_refused(const struct http_listener *listener);

#endif
