#ifndef PARSLEYLADDER_STEERING_ROUTING_CHECK_H
#define PARSLEYLADDER_STEERING_ROUTING_CHECK_H

/**
 * Looks for routes that cannot match or serve, services that are missing or
 * unused, and limits that contradict each other; and compares two versions.
 * Names of the platform are unknown here: the caller prints the places.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/finding.h"
#include "steering/routing.h"

struct service_definition {
	struct service_limit limit;
	uint32_t connections_max; /* open at a time; 0 for no limit */
	char *other; /* text of members that balancers do not read, or NULL */
};

/** A version of the routes that is not in use, in the order of its text. */
struct routing_draft {
	uint64_t version;
	uint32_t idle_timeout_ms;
	struct route_rule *rules;
	size_t rule_count;
	struct service_definition *services;
	size_t service_count;
	/* False if the services were not given, or only those with a limit. */
	bool has_services;
	/* The attributes and slow-start limits may be those of older routes. */
	bool is_partial;
};

/** What a finding is about. */
enum routing_part {
	ROUTING_PART_ROUTES,
	ROUTING_PART_RULE, /* rule @index */
	ROUTING_PART_TARGETS, /* weighted services of rule @index */
	ROUTING_PART_TARGET, /* service @target of rule @index */
	ROUTING_PART_TARGET_LATENCY, /* of rule @index */
	ROUTING_PART_SERVICES,
	ROUTING_PART_SERVICE, /* service @index */
	ROUTING_PART_SERVICE_RATE, /* its slow-start limit */
	ROUTING_PART_SERVICE_CONNECTIONS, /* its connection limit */
	ROUTING_PART_VERSION,
	ROUTING_PART_IDLE_TIMEOUT,
};

/** Open flows of the services that are in force, as one balancer counts them. */
struct service_flows {
	/** Open flows of @service; 0 if it is unknown. */
	uint64_t (*count)(void *context, const char *service);
	void *context;
};

struct routing_report {
	struct finding_list *findings;
	/** Place of a part; g_free() it. */
	char *(*place)(void *context, enum routing_part part, size_t index,
		       size_t target);
	void *context;
};

/** Frees what @draft holds. */
void routing_draft_clear(struct routing_draft *draft);
void routing_check(const struct routing_draft *draft,
		   const struct routing_report *report);
/** Looks for connection limits below the open flows of their services. */
void routing_check_connections(const struct routing_draft *draft,
			       const struct service_flows *flows,
			       const struct routing_report *report);
/**
 * True if the service is defined or, in a draft without definitions, if a route
 * leads to it.
 */
bool routing_draft_has_service(const struct routing_draft *draft,
			       const char *service);
/**
 * Adds what differs from @current, the version in force. @flows may be NULL if
 * the open flows are not known.
 */
void routing_diff(const struct routing_draft *draft,
		  const struct routing_draft *current,
		  const struct service_flows *flows,
		  const struct routing_report *report);
/** Adds a finding at the place of a part, printf-like. */
void routing_report_add(const struct routing_report *report,
			enum finding_kind kind, enum routing_part part,
			size_t index, size_t target, const char *format, ...)
	__attribute__((format(printf, 6, 7)));
/** Rules by address and port, those of the same in the order of the text. */
const struct route_rule **routing_draft_sort(const struct routing_draft *draft);

#endif
