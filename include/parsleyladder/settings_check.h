#ifndef PARSLEYLADDER_PARSLEYLADDER_SETTINGS_CHECK_H
#define PARSLEYLADDER_PARSLEYLADDER_SETTINGS_CHECK_H

/**
 * Looks for contradictions between the settings of a balancer and a
 * configuration. Places in the settings begin with the word "settings".
 */

#include "configuration/settings.h"
#include "steering/routing_check.h"

void settings_check(const struct settings *settings,
		    const struct routing_draft *draft,
		    const struct routing_report *report);

#endif
