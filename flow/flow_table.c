#include "flow/flow_table.h"

#include <glib.h>
#include <string.h>

#define SLOTS_MIN 1024

struct flow_table {
	struct flow_entry *slots;
	size_t slot_count; /* power of two */
	uint32_t used;
	uint32_t entries_max;
};

static size_t home_slot(const struct flow_table *table, uint64_t hash)
{
	/* The low bits choose the bucket and the top bits the shard. */
	return (size_t)((hash * UINT64_C(0x9e3779b97f4a7c15)) >> 20) &
	       (table->slot_count - 1);
}

struct flow_table *flow_table_create(uint32_t entries_max)
{
	struct flow_table *table = g_new0(struct flow_table, 1);

	table->entries_max = entries_max;
	table->slot_count = SLOTS_MIN;
	table->slots = g_new0(struct flow_entry, table->slot_count);
	return table;
}

void flow_table_destroy(struct flow_table *table)
{
	if (!table)
		return;
	g_free(table->slots);
	g_free(table);
}

static struct flow_entry *slot_find(const struct flow_table *table,
				    uint64_t hash)
{
	size_t slot = home_slot(table, hash);

	while (table->slots[slot].host_id != 0 &&
	       table->slots[slot].hash != hash)
		slot = (slot + 1) & (table->slot_count - 1);
	return &table->slots[slot];
}

struct flow_entry *flow_table_find(const struct flow_table *table,
				   uint64_t hash)
{
	struct flow_entry *entry = slot_find(table, hash);

	return entry->host_id != 0 ? entry : NULL;
}

static void table_grow(struct flow_table *table)
{
	struct flow_entry *old = table->slots;
	size_t old_count = table->slot_count;

	table->slot_count *= 2;
	table->slots = g_new0(struct flow_entry, table->slot_count);
	for (size_t i = 0; i < old_count; i++) {
		if (old[i].host_id != 0)
			*slot_find(table, old[i].hash) = old[i];
	}
	g_free(old);
}

struct flow_entry *flow_table_add(struct flow_table *table, uint64_t hash,
				  uint32_t host_id)
{
	struct flow_entry *entry = slot_find(table, hash);

	if (entry->host_id != 0)
		return entry;
	if (table->used >= table->entries_max)
		return NULL;
	/* Probe sequences stay short up to three quarters. */
	if ((size_t)table->used * 4 >= table->slot_count * 3) {
		table_grow(table);
		entry = slot_find(table, hash);
	}
	*entry = (struct flow_entry){ .hash = hash, .host_id = host_id };
	table->used++;
	return entry;
}

static void slot_clear(struct flow_table *table, size_t hole)
{
	size_t mask = table->slot_count - 1;

	for (size_t i = (hole + 1) & mask; table->slots[i].host_id != 0;
	     i = (i + 1) & mask) {
		size_t home = home_slot(table, table->slots[i].hash);

		if (((i - home) & mask) >= ((i - hole) & mask)) {
			table->slots[hole] = table->slots[i];
			hole = i;
		}
	}
	table->slots[hole] = (struct flow_entry){ 0 };
	table->used--;
}

void flow_table_remove(struct flow_table *table, uint64_t hash)
{
	struct flow_entry *entry = slot_find(table, hash);

	if (entry->host_id != 0)
		slot_clear(table, (size_t)(entry - table->slots));
}

uint32_t flow_table_count(const struct flow_table *table)
{
	return table->used;
}

bool flow_table_is_full(const struct flow_table *table)
{
	return table->used >= table->entries_max;
}

size_t flow_table_bytes(const struct flow_table *table)
{
	return table->slot_count * sizeof(*table->slots);
}

void flow_table_sweep(struct flow_table *table, size_t *cursor,
		      size_t slot_count,
		      bool (*visit)(void *context, struct flow_entry *entry),
		      void *context)
{
	if (*cursor >= table->slot_count)
		*cursor = 0;
	while (slot_count-- > 0 && *cursor < table->slot_count) {
		struct flow_entry *entry = &table->slots[*cursor];

		/* A removal moves another entry into the slot. */
		if (entry->host_id != 0 && !visit(context, entry))
			slot_clear(table, *cursor);
		else
			(*cursor)++;
	}
	if (*cursor >= table->slot_count)
		*cursor = 0;
}

void flow_table_visit(struct flow_table *table,
		      bool (*visit)(void *context, struct flow_entry *entry),
		      void *context)
{
	size_t cursor = 0;

	flow_table_sweep(table, &cursor, SIZE_MAX, visit, context);
}
