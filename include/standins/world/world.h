#ifndef PARSLEYLADDER_STANDINS_WORLD_WORLD_H
#define PARSLEYLADDER_STANDINS_WORLD_WORLD_H

/**
 * One world: fabric, callers and backend servers over one schedule, one
 * network and one ledger.
 */

#include <json-glib/json-glib.h>

#include "standins/world/callers.h"
#include "standins/world/fabric.h"
#include "standins/world/servers.h"

struct world {
	struct schedule *schedule;
	struct network *network;
	struct ledger *ledger;
	struct catalogue *catalogue;
	struct fabric *fabric;
	struct callers *callers;
	struct servers *servers;
	guint tick_source;
	guint expire_source;
};

/** Returns NULL and fills @error if the fabric's socket cannot be opened. */
struct world *world_create(uint64_t seed, struct error *error);
void world_destroy(struct world *world);
/** Handles one control request; see control_handler. */
bool world_control(void *context, JsonObject *request, JsonBuilder *reply,
		   struct error *error);
/** Adds all counters and figures to @reply as numeric members. */
void world_report(const struct world *world, JsonBuilder *reply);

#endif
