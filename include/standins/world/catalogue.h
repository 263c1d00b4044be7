#ifndef PARSLEYLADDER_STANDINS_WORLD_CATALOGUE_H
#define PARSLEYLADDER_STANDINS_WORLD_CATALOGUE_H

/**
 * Services and hosts as the stand-in world knows them. It reads the published
 * parts itself and not with the product's parser, so that a fault of the
 * product's parser cannot hide a misdelivery.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

struct catalogue_address {
	uint32_t address; /* IPv4, host byte order */
	uint16_t port;
	uint8_t protocol; /* enum packet_protocol */
};

struct catalogue_host {
	char *name;
	char *address; /* IPv4 text */
	uint16_t port;
	uint32_t service; /* index into catalogue.services */
	uint32_t index; /* over all services, stable for the run */
	GQuark zone;
	bool is_published;
	bool is_draining;
	int64_t drained_ns; /* when draining was published, 0 = never */
};

struct catalogue_service {
	char *name;
	GArray *addresses; /* struct catalogue_address */
	GPtrArray *hosts; /* struct catalogue_host, also unpublished ones */
};

struct catalogue {
	GPtrArray *services; /* struct catalogue_service */
	GPtrArray *hosts; /* all hosts by index, not owned */
};

struct catalogue *catalogue_create(void);
void catalogue_destroy(struct catalogue *catalogue);
/**
 * Merges one part "service/NAME". Hosts that the part no longer lists stay
 * known as unpublished.
 */
bool catalogue_update(struct catalogue *catalogue, JsonObject *part,
		      int64_t now_ns, struct error *error);
/** Returns NULL if there is no service @name. */
struct catalogue_service *catalogue_find(const struct catalogue *catalogue,
					 const char *name, uint32_t *index);
/** First address of @service for @protocol, or NULL. */
const struct catalogue_address *
catalogue_service_address(const struct catalogue_service *service,
			  uint8_t protocol);

#endif
