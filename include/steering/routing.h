#ifndef PARSLEYLADDER_STEERING_ROUTING_H
#define PARSLEYLADDER_STEERING_ROUTING_H

/**
 * One version of the routes: which service a new flow to an address and port
 * goes to, what the operator says about its requests, and how many flows a host
 * of a service can take after its start. Immutable once built and shared by
 * reference.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/name.h"
#include "packet/packet.h"

/** Maximum number of services that one route is split over. */
#define ROUTE_TARGETS_MAX 8
/** Maximum number of routes in one version. */
#define ROUTES_MAX 8192
/** Maximum number of service limits in one version. */
#define SERVICE_LIMITS_MAX 8192
/** Largest rate of a service limit, in flows per 1,000 s. */
#define SERVICE_LIMIT_RATE_MAX 1000000000

struct route_target {
	char service[NAME_BYTES_MAX + 1];
	uint32_t weight; /* relative to the other targets of the route */
};

struct route_rule {
	struct ip_address address;
	uint16_t port; /* host byte order */
	struct route_target targets[ROUTE_TARGETS_MAX];
	uint32_t target_count;
	/* Attributes, which do not change where a flow goes. */
	uint8_t priority; /* 0 is the most urgent one, and the default */
	uint32_t time_limit_ms; /* of a request; 0 for none */
	uint32_t target_latency_ms; /* of a response; 0 for none */
	bool is_idempotent; /* its requests may be repeated */
};

/** What a host of the service can take while it is in its slow start. */
struct service_limit {
	char service[NAME_BYTES_MAX + 1];
	uint32_t slow_start_s; /* usual length; 0 if not given */
	/* New flows per 1,000 s, as the operator gives decimals. */
	uint32_t flows_per_1000_s;
};

struct routing {
	uint64_t version; /* given by the operator, increasing */
	uint32_t idle_timeout_ms; /* after which a flow may be forgotten */
	struct route_rule *rules; /* sorted by address and port */
	size_t rule_count;
	GHashTable *services; /* that the rules lead to, as a set */
	struct service_limit *limits; /* sorted by service */
	size_t limit_count;
	/*
	 * Received from a balancer of a version that does not know attributes
	 * and service limits: they are those of the routes before, or defaults.
	 */
	bool is_partial;
	uint32_t references;
};

/** Order of the rules of a version: by address and port. */
int route_rule_compare(const struct route_rule *a, const struct route_rule *b);
/** True if both lead to the same services; does not compare attributes. */
bool route_rule_equal(const struct route_rule *a, const struct route_rule *b);
bool route_rule_attributes_equal(const struct route_rule *a,
				 const struct route_rule *b);
/** Order of the limits of a version: by service. */
int service_limit_compare(const struct service_limit *a,
			  const struct service_limit *b);
/**
 * Takes ownership of @rules, a g_malloc()ed array; of two rules for the same
 * address and port, the first one applies.
 */
struct routing *routing_create(uint64_t version, uint32_t idle_timeout_ms,
			       struct route_rule *rules, size_t rule_count);
/**
 * Sets the limits of @routing, which is not in use yet. Takes ownership of
 * @limits, a g_malloc()ed array; of two for one service, the first one applies.
 * Those with a rate of 0 are dropped.
 */
void routing_set_limits(struct routing *routing, struct service_limit *limits,
			size_t limit_count);
/**
 * Marks @routing, which is not in use yet, as partial: it has no attributes and
 * limits of its own. Those of @previous, which may be NULL, stay in force.
 */
void routing_inherit_attributes(struct routing *routing,
				const struct routing *previous);
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
/** Returns NULL if the service has no limit. */
const struct service_limit *routing_find_limit(const struct routing *routing,
					       const char *service);
/** True if the routes can replace @current, which may be NULL. */
bool routing_is_newer(const struct routing *routing,
		      const struct routing *current);
/** True if a route leads to the service. */
bool routing_has_service(const struct routing *routing, const char *service);

#endif
