#ifndef PARSLEYLADDER_PEER_KEY_RING_H
#define PARSLEYLADDER_PEER_KEY_RING_H

/**
 * Accepted CURVE keys, and which members each one may speak for.
 *
 * A deployment gives each member its own key pair, or shares one pair. A key
 * that is registered for members speaks for these only. An accepted key that
 * is registered for no member is one of a rotation: it speaks for any member
 * if the deployment shares keys, and otherwise for the first member that used
 * it.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KEY_RING_UNKNOWN (-1)

struct key_ring;

/** @accepted_keys: Z85 texts, NULL-terminated. */
struct key_ring *key_ring_create(const char *const *accepted_keys);
void key_ring_destroy(struct key_ring *ring);
/** Registers key @text for @member_id. It does not make the key accepted. */
void key_ring_register(struct key_ring *ring, const char *text,
		       uint64_t member_id);
/** Marks the key of this instance. Whoever else has it shares the pair. */
void key_ring_set_own(struct key_ring *ring, const char *text);
/** Number of an accepted key, or KEY_RING_UNKNOWN. */
int key_ring_find(const struct key_ring *ring, const char *text);
/** True if the owner of accepted key @number may send as @member_id. */
bool key_ring_allows(struct key_ring *ring, int number, uint64_t member_id);
/**
 * The @index-th key that the server of a member with the registered key @text may
 * use: the key itself, then the keys of a rotation. NULL past the end.
 */
const char *key_ring_candidate(const struct key_ring *ring, const char *text,
			       size_t index);

#endif
