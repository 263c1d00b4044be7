#ifndef PARSLEYLADDER_STANDINS_SOAK_SOAK_STORE_H
#define PARSLEYLADDER_STANDINS_SOAK_SOAK_STORE_H

/**
 * Stand-in of the users' store: items with revisions, listings and watches,
 * and faults. Written from its published protocol.
 */

#include <stdbool.h>
#include <stdint.h>

enum store_fault {
	STORE_HEALTHY,
	STORE_UNAVAILABLE, /* 503 */
	STORE_SILENT, /* no answer */
	STORE_SLOW, /* answers after 300 ms */
	STORE_LOSSY, /* some answers are lost */
	STORE_FAULTS,
};

struct soak_store;

/** Listens on @count addresses from @address on, one for each balancer. */
struct soak_store *soak_store_create(uint32_t address, uint32_t count,
				     uint16_t port, uint32_t seed);
void soak_store_destroy(struct soak_store *store);
void soak_store_put(struct soak_store *store, const char *key,
		    const char *value);
void soak_store_delete(struct soak_store *store, const char *key);
void soak_store_set_fault(struct soak_store *store, enum store_fault fault);
enum store_fault soak_store_fault(const struct soak_store *store);
/** Turns the balancer with this number away, or serves it again. */
void soak_store_set_refused(struct soak_store *store, uint32_t index,
			    bool is_refused);
/** Older revisions than the present one are no longer available. */
void soak_store_compact(struct soak_store *store);

#endif
