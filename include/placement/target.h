#ifndef PARSLEYLADDER_PLACEMENT_TARGET_H
#define PARSLEYLADDER_PLACEMENT_TARGET_H

/**
 * Chooses the target of each bucket: quotas by weight, with as few moves from
 * the present targets as they allow.
 */

#include <stdint.h>

#include "placement/maglev.h"

/**
 * @base and @target hold an index into @hosts for each bucket, or
 * MAGLEV_NO_HOST; @target is updated. Hosts of weight 0 accept no new flows.
 */
void targets_choose(const struct maglev_host *hosts, size_t host_count,
		    const uint32_t *base, uint32_t *target, uint32_t size);

#endif
