#include "standins/platform/store.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <xxhash.h>

struct part {
	char *text;
	char digest[17];
};

struct store {
	GPtrArray *revisions; /* GHashTable, name to struct part; first is 0 */
	GHashTable *next; /* under construction, or NULL */
};

static void part_destroy(void *data)
{
	struct part *part = data;

	g_free(part->text);
	g_free(part);
}

static struct part *part_create(const char *text)
{
	struct part *part = g_new0(struct part, 1);

	part->text = g_strdup(text);
	g_snprintf(part->digest, sizeof(part->digest), "%016" PRIx64,
		   (uint64_t)XXH3_64bits(text, strlen(text)));
	return part;
}

static GHashTable *revision_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     part_destroy);
}

struct store *store_create(void)
{
	struct store *store = g_new0(struct store, 1);

	store->revisions = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_hash_table_destroy);
	g_ptr_array_add(store->revisions, revision_create());
	return store;
}

void store_destroy(struct store *store)
{
	if (store->next)
		g_hash_table_destroy(store->next);
	g_ptr_array_free(store->revisions, TRUE);
	g_free(store);
}

uint64_t store_latest(const struct store *store)
{
	return store->revisions->len - 1;
}

static GHashTable *revision_at(const struct store *store, uint64_t revision)
{
	return store->revisions->pdata[MIN(revision, store_latest(store))];
}

void store_begin(struct store *store)
{
	GHashTableIter iterator;
	void *name;
	void *part;

	store->next = revision_create();
	g_hash_table_iter_init(&iterator,
			       revision_at(store, store_latest(store)));
	while (g_hash_table_iter_next(&iterator, &name, &part))
		store_put(store, name, ((struct part *)part)->text);
}

void store_put(struct store *store, const char *name, const char *text)
{
	g_hash_table_insert(store->next, g_strdup(name), part_create(text));
}

void store_remove(struct store *store, const char *name)
{
	g_hash_table_remove(store->next, name);
}

uint64_t store_commit(struct store *store)
{
	g_ptr_array_add(store->revisions, store->next);
	store->next = NULL;
	return store_latest(store);
}

static void index_add_parts(JsonBuilder *builder, GHashTable *parts,
			    GString *lines)
{
	GList *names =
		g_list_sort(g_hash_table_get_keys(parts), (GCompareFunc)strcmp);

	for (GList *item = names; item; item = item->next) {
		const char *name = item->data;
		const struct part *part = g_hash_table_lookup(parts, name);

		json_builder_set_member_name(builder, name);
		json_builder_add_string_value(builder, part->digest);
		g_string_append_printf(lines, "%s=%s\n", name, part->digest);
	}
	g_list_free(names);
}

char *store_index(const struct store *store, uint64_t revision)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	GString *lines = g_string_new(NULL);
	char digest[17];

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "revision");
	json_builder_add_int_value(builder, (gint64)revision);
	json_builder_set_member_name(builder, "parts");
	json_builder_begin_object(builder);
	index_add_parts(builder, revision_at(store, revision), lines);
	json_builder_end_object(builder);
	g_snprintf(digest, sizeof(digest), "%016" PRIx64,
		   (uint64_t)XXH3_64bits(lines->str, lines->len));
	json_builder_set_member_name(builder, "digest");
	json_builder_add_string_value(builder, digest);
	json_builder_end_object(builder);
	g_string_free(lines, TRUE);
	root = json_builder_get_root(builder);
	return json_to_string(root, FALSE);
}

const char *store_part(const struct store *store, const char *name,
		       const char *digest)
{
	for (guint i = store->revisions->len; i-- > 0;) {
		const struct part *part =
			g_hash_table_lookup(store->revisions->pdata[i], name);

		if (part && (!digest || strcmp(part->digest, digest) == 0))
			return part->text;
	}
	return NULL;
}
