#ifndef PARSLEYLADDER_PLACEMENT_MAGLEV_H
#define PARSLEYLADDER_PLACEMENT_MAGLEV_H

/**
 * Weighted Maglev lookup table: which host a bucket should have. Source:
 * Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load
 * Balancer", NSDI 2016, section 3.4.
 */

#include <stddef.h>
#include <stdint.h>

struct maglev_host {
	uint32_t id;
	uint32_t weight; /* 0 takes no bucket */
};

/** Entry of a table that no host can take. */
#define MAGLEV_NO_HOST UINT32_MAX

/** Least table size for @host_count hosts: a prime of 251 or more. */
uint32_t maglev_table_size(size_t host_count);
/**
 * Fills @table of @size entries with indexes into @hosts, or MAGLEV_NO_HOST if
 * no host has a weight. The result does not depend on the order of @hosts.
 */
void maglev_build(const struct maglev_host *hosts, size_t host_count,
		  uint32_t *table, uint32_t size);

#endif
