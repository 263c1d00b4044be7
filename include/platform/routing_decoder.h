#ifndef PARSLEYLADDER_PLATFORM_ROUTING_DECODER_H
#define PARSLEYLADDER_PLATFORM_ROUTING_DECODER_H

/**
 * Decodes the configuration that the operator publishes. Balancers and the
 * check of a configuration share this decoder, so the check cannot accept what
 * balancers reject.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>

#include "common/finding.h"
#include "steering/routing.h"

/** Routes and limits in the order of the text. */
struct decoded_routing {
	uint64_t version;
	uint32_t idle_timeout_ms;
	struct route_rule *rules;
	uint32_t *rule_elements; /* index of each rule in the array */
	size_t rule_count;
	struct service_limit *limits; /* also those with a rate of 0 */
	uint32_t *limit_elements; /* index of each limit in the array */
	size_t limit_count;
	const char *invalid_member; /* why it is rejected, or NULL */
};

/**
 * Fills @routing. Problems are added to @findings with their places; without
 * it, decoding ends at the first one for which the configuration is rejected.
 */
void routing_decode_object(JsonObject *object, struct finding_list *findings,
			   struct decoded_routing *routing);
void decoded_routing_clear(struct decoded_routing *routing);
/** The routes of an accepted configuration; empties @routing. */
struct routing *decoded_routing_take(struct decoded_routing *routing);

#endif
