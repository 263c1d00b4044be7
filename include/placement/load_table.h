#ifndef PARSLEYLADDER_PLACEMENT_LOAD_TABLE_H
#define PARSLEYLADDER_PLACEMENT_LOAD_TABLE_H

/**
 * Open flows by host, summed over what each member counted. Figures are
 * absolute, so a repeated report changes nothing.
 */

#include <stddef.h>
#include <stdint.h>

struct load_table;

struct load_table *load_table_create(void);
void load_table_destroy(struct load_table *table);
/** Replaces the figure of @member_id; @total is adjusted by the difference. */
void load_table_set(struct load_table *table, uint64_t member_id,
		    uint32_t host_id, int32_t open_flows, int64_t *total);
/** Forgets the figures of a member; calls @adjust for each of them. */
void load_table_drop_member(struct load_table *table, uint64_t member_id,
			    void (*adjust)(void *context, uint32_t host_id,
					   int64_t difference),
			    void *context);
/** Forgets all figures of a host. */
void load_table_drop_host(struct load_table *table, uint32_t host_id);

#endif
