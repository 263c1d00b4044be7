#ifndef PARSLEYLADDER_STEERING_ROUTING_H
#define PARSLEYLADDER_STEERING_ROUTING_H

/**
 * One version of the routes: which service a new flow to an address and port
 * goes to. Immutable once built and shared by reference.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/name.h"
#include "packet/packet.h"

/** Maximum number of services that one route is split over. */
#define ROUTE_TARGETS_MAX 8
/** Maximum number of routes in one version. */
#define ROUTES_MAX 8192

struct route_target {
	char service[NAME_BYTES_MAX + 1];
	uint32_t weight; /* relative to the other targets of the route */
};

struct route_rule {
	struct ip_address address;
	uint16_t port; /* host byte order */
	struct route_target targets[ROUTE_TARGETS_MAX];
	uint32_t target_count;
};

struct routing {
	uint64_t version; /* given by the operator, increasing */
	uint32_t idle_timeout_ms; /* after which a flow may be forgotten */
	struct route_rule *rules; /* sorted by address and port */
	size_t rule_count;
	uint32_t references;
};

/** Order of the rules of a version: by address and port. */
int route_rule_compare(const struct route_rule *a, const struct route_rule *b);
bool route_rule_equal(const struct route_rule *a, const struct route_rule *b);
/**
 * Takes ownership of @rules, a g_malloc()ed array; of two rules for the same
 * address and port, the first one applies.
 */
struct routing *routing_create(uint64_t version, uint32_t idle_timeout_ms,
			       struct route_rule *rules, size_t rule_count);
struct routing *routing_ref(struct routing *routing);
/** Accepts NULL. */
void routing_unref(struct routing *routing);
/** Returns NULL if there is no route. */
const struct route_rule *routing_find(const struct routing *routing,
				      const struct ip_address *address,
				      uint16_t port);
/**
 * Service of a new flow. The same @flow_hash gets the same service from each
 * balancer, so copies of one opening packet never go to two services.
 */
const char *route_rule_service(const struct route_rule *rule,
			       uint64_t flow_hash);
/** True if a route leads to the service. */
bool routing_has_service(const struct routing *routing, const char *service);

#endif
