#ifndef PARSLEYLADDER_STANDINS_WORLD_NETWORK_H
#define PARSLEYLADDER_STANDINS_WORLD_NETWORK_H

/**
 * Delay, jitter, loss and cuts between availability zones. Random numbers
 * come from one seeded generator, so that a run can be repeated.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Name of the place where callers are, used like a zone for delays. */
#define NETWORK_CALLERS "callers"

struct network_path {
	int64_t delay_ns;
	int64_t jitter_ns; /* added uniformly between 0 and this */
	double loss; /* probability per packet */
};

struct network;

struct network *network_create(uint64_t seed);
void network_destroy(struct network *network);
/** Sets the path between two zones, for both directions. */
void network_set_path(struct network *network, GQuark a, GQuark b,
		      const struct network_path *path);
/** Sets the delay and jitter only, or the loss only. */
void network_set_delay(struct network *network, GQuark a, GQuark b,
		       int64_t delay_ns, int64_t jitter_ns);
void network_set_loss(struct network *network, GQuark a, GQuark b, double loss);
void network_set_cut(struct network *network, GQuark a, GQuark b, bool is_cut);
bool network_is_cut(const struct network *network, GQuark a, GQuark b);
/** Draws the fate of one packet: false if lost, else its delay. */
bool network_plan(struct network *network, GQuark a, GQuark b,
		  int64_t *delay_ns);
/** Handles the control requests cut, delay and lose; false for any other. */
bool network_request(struct network *network, JsonObject *request);
/** Uniform number in [0, bound); @bound must not be 0. */
uint32_t network_random(struct network *network, uint32_t bound);

#endif
