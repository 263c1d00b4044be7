#ifndef PARSLEYLADDER_PEER_TABLE_CODEC_H
#define PARSLEYLADDER_PEER_TABLE_CODEC_H

/**
 * Compact form of the arrays inside core messages: tables of bucket maps and
 * batches of flow records.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/**
 * Largest table accepted, in buckets. Run lengths let a few bytes describe a
 * large table, so this bounds the memory that a message can claim.
 */
#define TABLE_BUCKETS_MAX 262144

/** Host ids in use in @base and @target, sorted: 4 bytes each. */
GByteArray *table_dictionary_encode(const uint32_t *base,
				    const uint32_t *target, uint32_t count);
/**
 * Encodes @count values as indexes into @dictionary, in the smallest of three
 * forms: bit-packed, run lengths, or differences from @reference (may be NULL).
 */
GByteArray *table_encode(const uint32_t *values, const uint32_t *reference,
			 uint32_t count, const GByteArray *dictionary);
/** Returns NULL if malformed; g_free() the result. */
uint32_t *table_decode(const uint8_t *data, size_t length, uint32_t count,
		       const uint32_t *reference, const uint8_t *dictionary,
		       size_t dictionary_bytes);
/** The same for a table of 0 and 1, without a dictionary. */
GByteArray *bits_encode(const uint8_t *bits, uint32_t count);
uint8_t *bits_decode(const uint8_t *data, size_t length, uint32_t count);

/** Groups neighbouring records of one service, in the given order. */
GByteArray *records_encode(const struct flow_record *records, size_t count);
/** Returns NULL if malformed; g_free() the result. */
struct flow_record *records_decode(const uint8_t *data, size_t length,
				   size_t *count);

#endif
