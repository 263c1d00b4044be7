#ifndef PARSLEYLADDER_STANDINS_SCENARIO_DEPLOYMENT_H
#define PARSLEYLADDER_STANDINS_SCENARIO_DEPLOYMENT_H

/**
 * Parts of the configuration that a scenario publishes, and small edits of
 * them. Ports of hosts are replaced by ports that the kernel chooses, so that
 * runs in parallel do not collide.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

struct deployment {
	char *directory;
	GHashTable *parts; /* name to JsonObject, as last published */
	GPtrArray *zones; /* char *, sorted */
	uint32_t next_host; /* for the addresses of added hosts */
};

/** Loads profiles.json and service-NAME.json files of @directory. */
struct deployment *deployment_load(const char *directory, struct error *error);
void deployment_destroy(struct deployment *deployment);
/** Part "service/@name", or NULL and @error. */
JsonObject *deployment_service(struct deployment *deployment, const char *name,
			       struct error *error);
/** Sets the state of a host: "serving" or "draining". */
bool deployment_set_host(struct deployment *deployment, const char *service,
			 const char *host, const char *state,
			 struct error *error);
bool deployment_remove_host(struct deployment *deployment, const char *service,
			    const char *host, struct error *error);
/** Adds a host like the first one of the service, with an address of its own. */
bool deployment_add_host(struct deployment *deployment, const char *service,
			 const char *host, const char *zone,
			 struct error *error);
/** Port of @address that no process uses, for SOCK_DGRAM or SOCK_STREAM. */
uint16_t deployment_free_port(const char *address, int socket_type);

#endif
