#ifndef PARSLEYLADDER_PLATFORM_CONFIGURATION_CHECK_H
#define PARSLEYLADDER_PLATFORM_CONFIGURATION_CHECK_H

/**
 * Checks the text of a configuration before the operator publishes it.
 */

#include <stddef.h>

#include "common/finding.h"
#include "steering/routing_check.h"

/** A configuration that was decoded, with the places of its parts. */
struct checked_configuration;

/**
 * Checks @data and adds what is wrong to @findings; only decodes it if that is
 * NULL. Returns NULL if the text is not a JSON object.
 */
struct checked_configuration *
configuration_check(const char *data, size_t length,
		    struct finding_list *findings);
/** Accepts NULL. */
void checked_configuration_destroy(struct checked_configuration *checked);
const struct routing_draft *
checked_configuration_draft(const struct checked_configuration *checked);
/** True if balancers reject the configuration as a whole. */
bool checked_configuration_is_rejected(
	const struct checked_configuration *checked);
/** A report to @findings with the places of @checked. */
void checked_configuration_report(const struct checked_configuration *checked,
				  struct finding_list *findings,
				  struct routing_report *report);

#endif
