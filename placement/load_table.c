#include "placement/load_table.h"

#include <glib.h>

/* Member id to a table of host id to figure. */
struct load_table {
	GHashTable *members;
};

static void member_free(gpointer figures)
{
	g_hash_table_destroy(figures);
}

struct load_table *load_table_create(void)
{
	struct load_table *table = g_new0(struct load_table, 1);

	table->members = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, member_free);
	return table;
}

void load_table_destroy(struct load_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->members);
	g_free(table);
}

static GHashTable *member_figures(struct load_table *table, uint64_t member_id)
{
	GHashTable *figures = g_hash_table_lookup(table->members, &member_id);

	if (!figures) {
		figures = g_hash_table_new(g_direct_hash, g_direct_equal);
		g_hash_table_insert(table->members,
				    g_memdup2(&member_id, sizeof(member_id)),
				    figures);
	}
	return figures;
}

void load_table_set(struct load_table *table, uint64_t member_id,
		    uint32_t host_id, int32_t open_flows, int64_t *total)
{
	GHashTable *figures = member_figures(table, member_id);
	gpointer key = GUINT_TO_POINTER(host_id);
	int32_t before = GPOINTER_TO_INT(g_hash_table_lookup(figures, key));

	*total += (int64_t)open_flows - before;
	g_hash_table_insert(figures, key, GINT_TO_POINTER(open_flows));
}

void load_table_drop_member(struct load_table *table, uint64_t member_id,
			    void (*adjust)(void *context, uint32_t host_id,
					   int64_t difference),
			    void *context)
{
	GHashTable *figures = g_hash_table_lookup(table->members, &member_id);
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	if (!figures)
		return;
	g_hash_table_iter_init(&iterator, figures);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		adjust(context, GPOINTER_TO_UINT(key),
		       -(int64_t)GPOINTER_TO_INT(value));
	g_hash_table_remove(table->members, &member_id);
}

void load_table_drop_host(struct load_table *table, uint32_t host_id)
{
	GHashTableIter iterator;
	gpointer figures;

	g_hash_table_iter_init(&iterator, table->members);
	while (g_hash_table_iter_next(&iterator, NULL, &figures))
		g_hash_table_remove(figures, GUINT_TO_POINTER(host_id));
}
