#ifndef PARSLEYLADDER_STANDINS_CONTROL_H
#define PARSLEYLADDER_STANDINS_CONTROL_H

/**
 * Control socket of a stand-in: one JSON object a line over TCP on 127.0.0.1,
 * answered by one JSON object a line.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

struct control;

/**
 * Handles one request. @reply is a builder with an object begun; the handler
 * adds members. Returns false and fills @error if the request is invalid.
 */
struct control_handler {
	bool (*handle)(void *context, JsonObject *request, JsonBuilder *reply,
		       struct error *error);
	void *context;
};

/** Listens on a port that the kernel chooses. */
struct control *control_create(const struct control_handler *handler,
			       struct error *error);
void control_destroy(struct control *control);
uint16_t control_port(const struct control *control);

/** Members of a request, with a fallback if they are missing. */
const char *control_text(JsonObject *request, const char *name,
			 const char *fallback);
double control_number(JsonObject *request, const char *name, double fallback);
/** Name of an availability zone in a request; the quark of "" if missing. */
GQuark control_zone(JsonObject *request, const char *name);

/** Adds a numeric member to @builder. */
void control_add_number(JsonBuilder *builder, const char *name, double value);

#endif
