#include "peer/key_ring.h"

#include <glib.h>
#include <string.h>

struct key {
	char *text;
	bool is_accepted;
	bool is_own; /* the key of this instance */
	bool has_pin;
	uint64_t pin; /* member that first used a key of no member */
	GArray *members; /* uint64_t */
};

struct key_ring {
	GPtrArray *keys; /* struct key; a number is an index of it */
	GHashTable *by_text;
	bool is_shared; /* some key is registered for several members */
};

static void key_free(void *data)
{
	struct key *key = data;

	g_array_unref(key->members);
	g_free(key->text);
	g_free(key);
}

static struct key *key_add(struct key_ring *ring, const char *text)
{
	struct key *key = g_hash_table_lookup(ring->by_text, text);

	if (key)
		return key;
	key = g_new0(struct key, 1);
	key->text = g_strdup(text);
	key->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_ptr_array_add(ring->keys, key);
	g_hash_table_insert(ring->by_text, key->text, key);
	return key;
}

struct key_ring *key_ring_create(const char *const *accepted_keys)
{
	struct key_ring *ring = g_new0(struct key_ring, 1);

	ring->keys = g_ptr_array_new_with_free_func(key_free);
	ring->by_text = g_hash_table_new(g_str_hash, g_str_equal);
	for (; accepted_keys && *accepted_keys; accepted_keys++)
		key_add(ring, *accepted_keys)->is_accepted = true;
	return ring;
}

void key_ring_destroy(struct key_ring *ring)
{
	if (!ring)
		return;
	g_hash_table_unref(ring->by_text);
	g_ptr_array_unref(ring->keys);
	g_free(ring);
}

static bool key_has_member(const struct key *key, uint64_t member_id)
{
	for (guint i = 0; i < key->members->len; i++) {
		if (g_array_index(key->members, uint64_t, i) == member_id)
			return true;
	}
	return false;
}

void key_ring_register(struct key_ring *ring, const char *text,
		       uint64_t member_id)
{
	struct key *key = key_add(ring, text);

	if (key_has_member(key, member_id))
		return;
	g_array_append_val(key->members, member_id);
	if (key->members->len > 1 || key->is_own)
		ring->is_shared = true;
}

void key_ring_set_own(struct key_ring *ring, const char *text)
{
	key_add(ring, text)->is_own = true;
}

int key_ring_find(const struct key_ring *ring, const char *text)
{
	const struct key *key = g_hash_table_lookup(ring->by_text, text);
	guint number;

	if (!key || !key->is_accepted ||
	    !g_ptr_array_find(ring->keys, key, &number))
		return KEY_RING_UNKNOWN;
	return (int)number;
}

bool key_ring_allows(struct key_ring *ring, int number, uint64_t member_id)
{
	struct key *key;

	if (number < 0 || (guint)number >= ring->keys->len)
		return false;
	key = g_ptr_array_index(ring->keys, number);
	if (!key->is_accepted)
		return false;
	if (key->members->len > 0)
		return key_has_member(key, member_id);
	if (ring->is_shared || key->is_own)
		return true;
	if (!key->has_pin) {
		key->has_pin = true;
		key->pin = member_id;
	}
	return key->pin == member_id;
}

const char *key_ring_candidate(const struct key_ring *ring, const char *text,
			       size_t index)
{
	if (index == 0)
		return text;
	for (guint i = 0; i < ring->keys->len; i++) {
		const struct key *key = g_ptr_array_index(ring->keys, i);

		if (!key->is_accepted || key->members->len > 0)
			continue;
		if (--index == 0)
			return key->text;
	}
	return NULL;
}
