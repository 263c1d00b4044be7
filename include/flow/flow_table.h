#ifndef PARSLEYLADDER_FLOW_FLOW_TABLE_H
#define PARSLEYLADDER_FLOW_FLOW_TABLE_H

/**
 * Table of recorded flows by flow hash: open addressing with linear probing
 * and backward-shift deletion, so lookups meet no tombstones.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum flow_entry_flag {
	FLOW_ENTRY_PIN = 0x01, /* on base; remembers its SYN, not replicated */
	FLOW_ENTRY_CLOSING = 0x02, /* FIN or RST seen */
	FLOW_ENTRY_ESTABLISHED = 0x04, /* a packet after the SYN was seen */
	FLOW_ENTRY_UNCONFIRMED = 0x08, /* from before a pause, not usable */
	FLOW_ENTRY_UDP = 0x10,
};

struct flow_entry {
	uint64_t hash;
	uint32_t service_id;
	uint32_t host_id; /* 0 marks a free slot */
	uint32_t seen_ds; /* last use, in tenths of a second */
	uint8_t flags; /* enum flow_entry_flag */
	uint8_t passes; /* packets that other members passed on */
};

struct flow_table;

struct flow_table *flow_table_create(uint32_t entries_max);
void flow_table_destroy(struct flow_table *table);
/** Valid until the next flow_table_add() or flow_table_remove(). */
struct flow_entry *flow_table_find(const struct flow_table *table,
				   uint64_t hash);
/**
 * Adds an entry for @hash with all other fields 0 but @host_id, or returns the
 * one that is there. NULL if the table is full.
 */
struct flow_entry *flow_table_add(struct flow_table *table, uint64_t hash,
				  uint32_t host_id);
void flow_table_remove(struct flow_table *table, uint64_t hash);
uint32_t flow_table_count(const struct flow_table *table);
bool flow_table_is_full(const struct flow_table *table);
size_t flow_table_bytes(const struct flow_table *table);

/**
 * Calls @visit for the entries of a slice of the table; returning false
 * removes the entry. @cursor is 0 at first and is updated; all entries that
 * stay in the table are met once it has come back to 0.
 */
void flow_table_sweep(struct flow_table *table, size_t *cursor,
		      size_t slot_count,
		      bool (*visit)(void *context, struct flow_entry *entry),
		      void *context);
/** Calls @visit for all entries; returning false removes the entry. */
void flow_table_visit(struct flow_table *table,
		      bool (*visit)(void *context, struct flow_entry *entry),
		      void *context);

#endif
