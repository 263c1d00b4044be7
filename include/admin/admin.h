#ifndef PARSLEYLADDER_ADMIN_ADMIN_H
#define PARSLEYLADDER_ADMIN_ADMIN_H

/**
 * Read-only administration API over HTTP: JSON, and text for counters and
 * metrics. It runs in the default GLib main loop. Operators make changes by
 * publishing a configuration instead. A path whose callback is NULL returns
 * 404.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "packet/packet.h"

struct admin;

struct admin_options {
	const char *address; /* IP address text */
	uint16_t port; /* 0 lets the kernel choose one */
	const char *token; /* bearer token, NULL or "" for none */
	/** GET /v1/state: adds one JSON object, the whole state. */
	void (*print_state)(void *context, JsonBuilder *builder);
	/** GET /v1/members: adds one JSON object or array. */
	void (*print_members)(void *context, JsonBuilder *builder);
	/** GET /v1/routes: adds one JSON object, the routes in force. */
	void (*print_routes)(void *context, JsonBuilder *builder);
	/**
	 * GET /v1/services/NAME: adds one JSON object; returns false
	 * and fills @error (ERROR_NOT_FOUND) if NAME is unknown.
	 */
	bool (*print_service)(void *context, const char *name,
			      JsonBuilder *builder, struct error *error);
	/** GET /v1/explain: adds one JSON object about the flow. */
	bool (*print_explain)(void *context, const struct flow_key *key,
			      JsonBuilder *builder, struct error *error);
	/** GET /v1/counters: appends lines "name value\n". */
	void (*print_counters)(void *context, GString *text);
	/** GET /metrics: appends metrics in the text format of Prometheus. */
	void (*print_metrics)(void *context, GString *text);
	void *context;
};

/**
 * Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_IO, or
 * ERROR_SETTINGS if the address is not an IP address).
 */
struct admin *admin_create(const struct admin_options *options,
			   struct error *error);
void admin_destroy(struct admin *admin);
/** Port that the server listens on. */
uint16_t admin_port(const struct admin *admin);
/** Connections that were closed because too many were open. */
uint64_t admin_refused_connections(const struct admin *admin);

#endif
