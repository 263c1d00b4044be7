#include "peer/revision_index.h"

struct revision_index *
revision_index_create(const struct configuration *configuration)
{
	struct revision_index *index = g_new0(struct revision_index, 1);

	index->revision = configuration->revision;
	index->digest = configuration->digest;
	index->digests = configuration_part_digests(configuration->parts);
	return index;
}

void revision_index_free(struct revision_index *index)
{
	if (!index)
		return;
	g_hash_table_unref(index->digests);
	g_free(index);
}

uint64_t revision_index_digest_of(const struct revision_index *index,
				  const char *part_name)
{
	const uint64_t *digest = g_hash_table_lookup(index->digests, part_name);

	return digest ? *digest : 0;
}

static void append(GArray *references, char *name, uint64_t digest)
{
	struct part_reference reference = { .name = name, .digest = digest };

	g_array_append_val(references, reference);
}

struct part_reference *
revision_index_changes(const struct revision_index *base,
		       const struct revision_index *index, size_t *count)
{
	GArray *references =
		g_array_new(FALSE, FALSE, sizeof(struct part_reference));
	GHashTableIter iterator;
	gpointer name;
	gpointer digest;

	g_hash_table_iter_init(&iterator, index->digests);
	while (g_hash_table_iter_next(&iterator, &name, &digest)) {
		if (!base ||
		    revision_index_digest_of(base, name) != *(uint64_t *)digest)
			append(references, name, *(uint64_t *)digest);
	}
	if (base) {
		g_hash_table_iter_init(&iterator, base->digests);
		while (g_hash_table_iter_next(&iterator, &name, NULL)) {
			if (!g_hash_table_contains(index->digests, name))
				append(references, name, 0);
		}
	}
	*count = references->len;
	return (struct part_reference *)(void *)g_array_free(references, FALSE);
}

static void set(GHashTable *digests, const char *name, uint64_t digest)
{
	if (digest == 0)
		g_hash_table_remove(digests, name);
	else
		g_hash_table_insert(digests, g_strdup(name),
				    g_memdup2(&digest, sizeof(digest)));
}

struct revision_index *
revision_index_apply(const struct revision_index *base, uint64_t revision,
		     const struct part_reference *changes, size_t count)
{
	struct revision_index *index = g_new0(struct revision_index, 1);
	GHashTableIter iterator;
	gpointer name;
	gpointer digest;

	index->revision = revision;
	index->digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (base) {
		g_hash_table_iter_init(&iterator, base->digests);
		while (g_hash_table_iter_next(&iterator, &name, &digest))
			set(index->digests, name, *(uint64_t *)digest);
	}
	for (size_t i = 0; i < count; i++)
		set(index->digests, changes[i].name, changes[i].digest);
	index->digest = configuration_digest_of_digests(index->digests);
	return index;
}
