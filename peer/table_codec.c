#include "peer/table_codec.h"

#include <stdlib.h>
#include <string.h>

#include "peer/wire.h"

enum table_form {
	TABLE_PACKED, /* each value in as many bits as the largest needs */
	TABLE_RUNS, /* pairs of run length and value */
	TABLE_DIFFERENCES, /* pairs of gap and value where it differs */
};

static int id_compare(const void *left, const void *right)
{
	uint32_t a = *(const uint32_t *)left;
	uint32_t b = *(const uint32_t *)right;

	return (a > b) - (a < b);
}

GByteArray *table_dictionary_encode(const uint32_t *base,
				    const uint32_t *target, uint32_t count)
{
	GByteArray *dictionary = g_byte_array_new();
	uint32_t *ids;

	if (count == 0)
		return dictionary;
	ids = g_new(uint32_t, 2 * (size_t)count);
	memcpy(ids, base, count * sizeof(*ids));
	memcpy(ids + count, target, count * sizeof(*ids));
	qsort(ids, 2 * (size_t)count, sizeof(*ids), id_compare);
	for (size_t i = 0; i < 2 * (size_t)count; i++) {
		if (i == 0 || ids[i] != ids[i - 1])
			wire_write_u32(dictionary, ids[i]);
	}
	g_free(ids);
	return dictionary;
}

static uint32_t dictionary_get(const uint8_t *dictionary, uint32_t index)
{
	uint32_t id;

	memcpy(&id, dictionary + (size_t)index * sizeof(id), sizeof(id));
	return GUINT32_FROM_LE(id);
}

static uint32_t dictionary_find(const GByteArray *dictionary, uint32_t id)
{
	uint32_t low = 0;
	uint32_t high = dictionary->len / sizeof(id);

	while (high - low > 1) {
		uint32_t middle = low + (high - low) / 2;

		if (dictionary_get(dictionary->data, middle) <= id)
			low = middle;
		else
			high = middle;
	}
	return low;
}

/* Lookups need strictly rising ids. */
static bool dictionary_is_sorted(const uint8_t *dictionary, size_t bytes)
{
	uint32_t count = bytes / sizeof(uint32_t);

	if (count == 0 || bytes % sizeof(uint32_t) != 0)
		return false;
	for (uint32_t i = 1; i < count; i++) {
		if (dictionary_get(dictionary, i - 1) >=
		    dictionary_get(dictionary, i))
			return false;
	}
	return true;
}

static unsigned int bits_per_value(uint32_t value_count)
{
	unsigned int bits = 1;

	while (bits < 32 && (UINT64_C(1) << bits) < value_count)
		bits++;
	return bits;
}

static GByteArray *packed_encode(const uint32_t *values, uint32_t count,
				 unsigned int bits)
{
	GByteArray *out = g_byte_array_new();
	uint64_t pending = 0;
	unsigned int pending_bits = 0;

	wire_write_u8(out, TABLE_PACKED);
	for (uint32_t i = 0; i < count; i++) {
		pending |= (uint64_t)values[i] << pending_bits;
		pending_bits += bits;
		for (; pending_bits >= 8; pending_bits -= 8) {
			wire_write_u8(out, (uint8_t)pending);
			pending >>= 8;
		}
	}
	if (pending_bits > 0)
		wire_write_u8(out, (uint8_t)pending);
	return out;
}

static GByteArray *runs_encode(const uint32_t *values, uint32_t count)
{
	GByteArray *out = g_byte_array_new();
	uint32_t length;

	wire_write_u8(out, TABLE_RUNS);
	for (uint32_t i = 0; i < count; i += length) {
		length = 1;
		while (i + length < count && values[i + length] == values[i])
			length++;
		wire_write_varint(out, length);
		wire_write_varint(out, values[i]);
	}
	return out;
}

static GByteArray *differences_encode(const uint32_t *values,
				      const uint32_t *reference, uint32_t count)
{
	GByteArray *out = g_byte_array_new();
	uint32_t gap = 0;

	wire_write_u8(out, TABLE_DIFFERENCES);
	for (uint32_t i = 0; i < count; i++) {
		if (values[i] == reference[i]) {
			gap++;
			continue;
		}
		wire_write_varint(out, gap);
		wire_write_varint(out, values[i]);
		gap = 0;
	}
	return out;
}

/* Returns the shorter one and frees the other one. */
static GByteArray *shorter(GByteArray *left, GByteArray *right)
{
	bool is_left = left->len <= right->len;

	g_byte_array_unref(is_left ? right : left);
	return is_left ? left : right;
}

static GByteArray *indexes_encode(const uint32_t *indexes,
				  const uint32_t *reference, uint32_t count,
				  uint32_t value_count)
{
	GByteArray *out =
		packed_encode(indexes, count, bits_per_value(value_count));

	out = shorter(out, runs_encode(indexes, count));
	if (reference)
		out = shorter(out,
			      differences_encode(indexes, reference, count));
	return out;
}

static bool packed_decode(struct wire_reader *reader, uint32_t *values,
			  uint32_t count, uint32_t value_count)
{
	unsigned int bits = bits_per_value(value_count);
	uint64_t pending = 0;
	unsigned int pending_bits = 0;

	if (reader->left != ((uint64_t)count * bits + 7) / 8)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		for (; pending_bits < bits; pending_bits += 8)
			pending |= (uint64_t)wire_read_u8(reader)
				   << pending_bits;
		values[i] = pending & ((UINT64_C(1) << bits) - 1);
		pending >>= bits;
		pending_bits -= bits;
		if (values[i] >= value_count)
			return false;
	}
	return pending == 0;
}

static bool runs_decode(struct wire_reader *reader, uint32_t *values,
			uint32_t count, uint32_t value_count)
{
	uint32_t position = 0;

	while (position < count && !reader->is_bad) {
		uint32_t length = wire_read_limited(reader, count - position);
		uint32_t value = wire_read_limited(reader, value_count - 1);

		if (length == 0)
			return false;
		while (length-- > 0)
			values[position++] = value;
	}
	return true;
}

static bool differences_decode(struct wire_reader *reader, uint32_t *values,
			       const uint32_t *reference, uint32_t count,
			       uint32_t value_count)
{
	uint32_t position = 0;

	memcpy(values, reference, count * sizeof(*values));
	while (reader->left > 0 && !reader->is_bad) {
		if (position >= count)
			return false;
		position += wire_read_limited(reader, count - 1 - position);
		values[position++] = wire_read_limited(reader, value_count - 1);
	}
	return true;
}

static bool indexes_decode(struct wire_reader *reader, uint32_t *values,
			   const uint32_t *reference, uint32_t count,
			   uint32_t value_count)
{
	bool is_good = false;

	if (value_count == 0)
		return false;
	switch (wire_read_u8(reader)) {
	case TABLE_PACKED:
		is_good = packed_decode(reader, values, count, value_count);
		break;
	case TABLE_RUNS:
		is_good = runs_decode(reader, values, count, value_count);
		break;
	case TABLE_DIFFERENCES:
		is_good = reference &&
			  differences_decode(reader, values, reference, count,
					     value_count);
		break;
	default:
		break;
	}
	return is_good && wire_reader_is_done(reader);
}

static uint32_t *indexes_of(const uint32_t *values, uint32_t count,
			    const GByteArray *dictionary)
{
	uint32_t *indexes = g_new(uint32_t, count);

	for (uint32_t i = 0; i < count; i++)
		indexes[i] = dictionary_find(dictionary, values[i]);
	return indexes;
}

GByteArray *table_encode(const uint32_t *values, const uint32_t *reference,
			 uint32_t count, const GByteArray *dictionary)
{
	uint32_t *indexes = indexes_of(values, count, dictionary);
	uint32_t *reference_indexes =
		reference ? indexes_of(reference, count, dictionary) : NULL;
	GByteArray *out = indexes_encode(indexes, reference_indexes, count,
					 dictionary->len / sizeof(*values));

	g_free(indexes);
	g_free(reference_indexes);
	return out;
}

/* Replaces host ids by indexes; the dictionary was sorted by the encoder. */
static uint32_t *reference_indexes(const uint32_t *reference, uint32_t count,
				   const uint8_t *dictionary,
				   size_t dictionary_bytes)
{
	GByteArray view = { .data = (guint8 *)dictionary,
			    .len = (guint)dictionary_bytes };

	return indexes_of(reference, count, &view);
}

uint32_t *table_decode(const uint8_t *data, size_t length, uint32_t count,
		       const uint32_t *reference, const uint8_t *dictionary,
		       size_t dictionary_bytes)
{
	struct wire_reader reader = { .data = data, .left = length };
	uint32_t value_count = dictionary_bytes / sizeof(uint32_t);
	uint32_t *indexes = NULL;
	uint32_t *values;

	if (count == 0 || count > TABLE_BUCKETS_MAX ||
	    value_count > 2 * count ||
	    !dictionary_is_sorted(dictionary, dictionary_bytes))
		return NULL;
	if (reference)
		indexes = reference_indexes(reference, count, dictionary,
					    dictionary_bytes);
	values = g_new0(uint32_t, count);
	if (!indexes_decode(&reader, values, indexes, count, value_count)) {
		g_free(values);
		values = NULL;
	}
	for (uint32_t i = 0; values && i < count; i++)
		values[i] = dictionary_get(dictionary, values[i]);
	g_free(indexes);
	return values;
}

GByteArray *bits_encode(const uint8_t *bits, uint32_t count)
{
	uint32_t *values = g_new(uint32_t, count);
	GByteArray *out;

	for (uint32_t i = 0; i < count; i++)
		values[i] = bits[i] != 0;
	out = indexes_encode(values, NULL, count, 2);
	g_free(values);
	return out;
}

uint8_t *bits_decode(const uint8_t *data, size_t length, uint32_t count)
{
	struct wire_reader reader = { .data = data, .left = length };
	uint32_t *values;
	uint8_t *bits = NULL;

	if (count == 0 || count > TABLE_BUCKETS_MAX)
		return NULL;
	values = g_new0(uint32_t, count);
	if (indexes_decode(&reader, values, NULL, count, 2)) {
		bits = g_new(uint8_t, count);
		for (uint32_t i = 0; i < count; i++)
			bits[i] = (uint8_t)values[i];
	}
	g_free(values);
	return bits;
}
