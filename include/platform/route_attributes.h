#ifndef PARSLEYLADDER_PLATFORM_ROUTE_ATTRIBUTES_H
#define PARSLEYLADDER_PLATFORM_ROUTE_ATTRIBUTES_H

/**
 * What the configuration says about the requests of a route and about the hosts
 * of a service. A missing or invalid attribute gets its default and never
 * invalidates the configuration.
 */

#include <json-glib/json-glib.h>

#include "common/finding.h"
#include "steering/routing.h"

/**
 * Reads the attributes of the element @place of the routes. Adds invalid ones
 * to @findings, which may be NULL.
 */
void route_attributes_read(JsonObject *object, const char *place,
			   struct finding_list *findings,
			   struct route_rule *rule);
/**
 * Reads the element @place of the services, NULL if it is not an object. False
 * if it has no valid name. Adds what is invalid to @findings, which may be
 * NULL.
 */
bool service_limit_read(JsonObject *object, const char *place,
			struct finding_list *findings,
			struct service_limit *limit);

#endif
