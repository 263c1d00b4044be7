#ifndef PARSLEYLADDER_PARSLEYLADDER_INSTANCE_ROUTES_H
#define PARSLEYLADDER_PARSLEYLADDER_INSTANCE_ROUTES_H

/**
 * The routes in force at a balancer with the open flows of its services, as its
 * administration API serves them at INSTANCE_ROUTES_PATH.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>

#include "common/error.h"
#include "steering/host_table.h"
#include "steering/routing_check.h"

#define INSTANCE_ROUTES_PATH "/v1/routes"

struct instance_routes {
	struct routing_draft draft;
	GHashTable *open_flows; /* service to uint64_t */
};

/** Adds one JSON object. @routing is NULL while no routes are known. */
void instance_routes_print(const struct routing *routing,
			   struct host_table *hosts, JsonBuilder *builder);
/**
 * Fills @routes. False with ERROR_NOT_FOUND if the balancer has no routes yet,
 * or with ERROR_PEER if the response is malformed; clear @routes in any case.
 */
bool instance_routes_read(JsonNode *root, struct instance_routes *routes,
			  struct error *error);
void instance_routes_clear(struct instance_routes *routes);
/** Open flows by service; refers to @routes. */
void instance_routes_flows(const struct instance_routes *routes,
			   struct service_flows *flows);

#endif
