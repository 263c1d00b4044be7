#ifndef PARSLEYLADDER_COMMON_FINDING_H
#define PARSLEYLADDER_COMMON_FINDING_H

/**
 * Findings of a check: closed list of kinds, each with a severity, a place in
 * the checked text and a message.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

#include "common/error.h"

enum finding_severity {
	FINDING_ERROR, /* rejected, or taken over only in part */
	FINDING_WARNING, /* taken over, but hardly what is meant */
	FINDING_NOTE, /* for information */
	FINDING_SEVERITIES,
};

enum finding_kind {
	FINDING_SYNTAX, /* not JSON, or truncated */
	FINDING_DUPLICATE_MEMBER, /* only the last value is used */
	FINDING_REJECTED, /* the whole configuration is rejected for it */
	FINDING_IGNORED_VALUE, /* replaced by the default, or left out */
	FINDING_UNKNOWN_MEMBER,
	FINDING_UNUSED_MEMBER_TYPE, /* wrong type, not read by balancers */
	FINDING_OTHER_LIMIT, /* not read by balancers */
	FINDING_DUPLICATE_ROUTE, /* two for one address and port */
	FINDING_DUPLICATE_SERVICE,
	FINDING_ZERO_WEIGHTS, /* all flows of the route are refused */
	FINDING_UNDEFINED_SERVICE, /* named by a route or the settings */
	FINDING_NO_SERVICES, /* definitions of services are missing */
	FINDING_UNUSED_SERVICE, /* defined, but no route leads to it */
	FINDING_TEAM_LIMIT, /* below the limit of one of its services */
	FINDING_IDLE_TIMEOUT, /* above the maximum age of a flow */
	FINDING_TARGET_LATENCY, /* above the time limit of the route */
	FINDING_SLOW_START_LIMIT, /* keeps all flows from cold hosts */
	FINDING_CONNECTION_LIMIT, /* below the open flows of the service */
	FINDING_OLD_VERSION, /* not above the version in force */
	FINDING_SAME_VERSION, /* the configuration in force itself */
	FINDING_ROUTE_ADDED,
	FINDING_ROUTE_REMOVED,
	FINDING_ROUTE_CHANGED,
	FINDING_SERVICE_ADDED,
	FINDING_SERVICE_REMOVED,
	FINDING_SERVICE_CHANGED,
	FINDING_FLOWS_END, /* open flows of a service that is removed */
	FINDING_LIMIT_CHANGED, /* a limit of the whole configuration */
	FINDING_KINDS,
};

struct finding_kind_info {
	const char *name;
	enum finding_severity severity;
};

struct finding {
	enum finding_kind kind;
	char *place; /* such as $.routes[3].prefix */
	char *message;
};

/** Findings that are kept; later ones are only counted. */
#define FINDINGS_MAX 10000

struct finding_list {
	GArray *findings; /* struct finding */
	uint64_t counts[FINDING_SEVERITIES];
};

const struct finding_kind_info *finding_kind_info(enum finding_kind kind);
const char *finding_severity_name(enum finding_severity severity);
struct finding_list *finding_list_create(void);
/** Accepts NULL. */
void finding_list_destroy(struct finding_list *list);
/**
 * Adds a finding, unless @list is NULL. Control characters are replaced, so
 * that text of the checked file cannot change the output of a terminal.
 */
void finding_add(struct finding_list *list, enum finding_kind kind,
		 const char *place, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
/** ERROR_NONE if there are neither errors nor warnings. */
enum error_kind finding_list_result(const struct finding_list *list);
/** One line for each finding, and one with their numbers. */
void finding_list_print_text(const struct finding_list *list, GString *text);
/** Adds one JSON object. */
void finding_list_print_json(const struct finding_list *list,
			     JsonBuilder *builder);

#endif
