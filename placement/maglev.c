#include "placement/maglev.h"

#include <glib.h>
#include <stdlib.h>
#include <xxhash.h>

#define BUCKETS_PER_HOST 128

struct permutation {
	uint32_t host; /* index into the caller's array */
	uint32_t id;
	uint32_t weight;
	uint32_t position; /* next bucket of the host's order */
	uint32_t skip; /* coprime to the table size */
	uint64_t credit;
};

uint32_t maglev_table_size(size_t host_count)
{
	static const uint32_t primes[] = { 251,	 509,	1021,  2039, 4093,
					   8191, 16381, 32749, 65521 };
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(primes) &&
	       primes[i] < BUCKETS_PER_HOST * host_count)
		i++;
	return primes[i];
}

static uint32_t greatest_common_divisor(uint32_t a, uint32_t b)
{
	while (b != 0) {
		uint32_t rest = a % b;

		a = b;
		b = rest;
	}
	return a;
}

static void permutation_init(struct permutation *permutation,
			     const struct maglev_host *host, uint32_t index,
			     uint32_t size)
{
	uint64_t offset_hash = XXH3_64bits_withSeed(&host->id, 4, 1);
	uint64_t skip_hash = XXH3_64bits_withSeed(&host->id, 4, 2);

	permutation->host = index;
	permutation->id = host->id;
	permutation->weight = host->weight;
	permutation->position = (uint32_t)(offset_hash % size);
	permutation->skip = (uint32_t)(skip_hash % (size - 1)) + 1;
	/* A grown table is a multiple of a prime, so the skip is adjusted. */
	while (greatest_common_divisor(size, permutation->skip) != 1)
		permutation->skip = permutation->skip % (size - 1) + 1;
	permutation->credit = 0;
}

static int permutation_compare(const void *left, const void *right)
{
	uint32_t a = ((const struct permutation *)left)->id;
	uint32_t b = ((const struct permutation *)right)->id;

	return (a > b) - (a < b);
}

static void bucket_take(struct permutation *permutation, uint32_t *table,
			uint32_t size)
{
	while (table[permutation->position] != MAGLEV_NO_HOST)
		permutation->position =
			(permutation->position + permutation->skip) % size;
	table[permutation->position] = permutation->host;
}

void maglev_build(const struct maglev_host *hosts, size_t host_count,
		  uint32_t *table, uint32_t size)
{
	struct permutation *permutations =
		g_new0(struct permutation, host_count + 1);
	uint32_t weight_max = 0;
	size_t used = 0;
	uint32_t taken = 0;

	for (uint32_t i = 0; i < size; i++)
		table[i] = MAGLEV_NO_HOST;
	g_assert(size > 1);
	for (size_t i = 0; i < host_count; i++) {
		if (hosts[i].weight == 0)
			continue;
		weight_max = MAX(weight_max, hosts[i].weight);
		permutation_init(&permutations[used++], &hosts[i], (uint32_t)i,
				 size);
	}
	qsort(permutations, used, sizeof(*permutations), permutation_compare);
	while (used > 0 && taken < size) {
		for (size_t i = 0; i < used && taken < size; i++) {
			permutations[i].credit += permutations[i].weight;
			if (permutations[i].credit < weight_max)
				continue;
			permutations[i].credit -= weight_max;
			bucket_take(&permutations[i], table, size);
			taken++;
		}
	}
	g_free(permutations);
}
