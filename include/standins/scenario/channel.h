#ifndef PARSLEYLADDER_STANDINS_SCENARIO_CHANNEL_H
#define PARSLEYLADDER_STANDINS_SCENARIO_CHANNEL_H

/**
 * Requests of the runner to stand-ins and balancers. Calls block.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

struct channel;

/** Connects to the control socket of a stand-in on 127.0.0.1. */
struct channel *channel_create(uint16_t port, struct error *error);
void channel_destroy(struct channel *channel);
/**
 * Sends a request and returns the reply, or NULL and @error if the stand-in
 * refused it. Unref the reply with json_object_unref().
 */
JsonObject *channel_request(struct channel *channel, JsonObject *request,
			    struct error *error);

/** GET or, with a @body, POST. Returns the text, or NULL unless status 200. */
char *channel_http(const char *url, const char *token, const char *body,
		   struct error *error);
/** Parses an object; NULL and @error if @text is none. */
JsonObject *channel_parse(const char *text, struct error *error);
char *channel_print(JsonObject *object);

#endif
