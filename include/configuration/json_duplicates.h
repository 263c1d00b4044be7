#ifndef PARSLEYLADDER_CONFIGURATION_JSON_DUPLICATES_H
#define PARSLEYLADDER_CONFIGURATION_JSON_DUPLICATES_H

/**
 * Finds members that occur twice in one JSON object. json-glib keeps only the
 * last one and does not say so.
 */

#include <stddef.h>

#include "common/finding.h"

/**
 * Adds a finding for each repeated member of @data, which
 * json_text_parse_lenient() has accepted.
 */
void json_duplicates_find(const char *data, size_t length,
			  struct finding_list *findings);

#endif
