#include "steering/typical_length.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

/* Responses of which the median is taken; the median is within three of them. */
#define LENGTHS_MAX 63
/* With fewer responses, the median is too uncertain. */
#define LENGTHS_MIN 16
/* The median is taken again after so many responses, to limit its cost. */
#define MEDIAN_INTERVAL 8
/*
 * After the first ones, responses are added at this interval, so that 63 of them
 * span 16 s. If most hosts of a service fail, that has to be noticed before their
 * errors have become typical.
 */
#define ADD_INTERVAL_NS (250 * NS_PER_MS)
/* Shorter than 1 / SHORT_DIVISOR of the typical length is short. */
#define SHORT_DIVISOR 3
/* 1,400 service addresses; beyond it, all are learned again. */
#define ROUTES_MAX 4096

struct route_lengths {
	gint64 key;
	uint32_t lengths[LENGTHS_MAX]; /* ring */
	uint32_t added; /* in total */
	uint32_t median;
	int64_t added_ns; /* the last one */
};

struct typical_lengths {
	GHashTable *routes; /* struct route_lengths, as a set */
};

struct typical_lengths *typical_lengths_create(void)
{
	struct typical_lengths *lengths = g_new0(struct typical_lengths, 1);

	/* The key is the first member, so an entry is its own key. */
	lengths->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	return lengths;
}

void typical_lengths_destroy(struct typical_lengths *lengths)
{
	if (!lengths)
		return;
	g_hash_table_destroy(lengths->routes);
	g_free(lengths);
}

static gint64 route_key(const struct flow_key *flow)
{
	return (gint64)XXH3_64bits_withSeed(flow->service.bytes,
					    sizeof(flow->service.bytes),
					    flow->service_port);
}

static int length_compare(const void *left, const void *right)
{
	uint32_t a = *(const uint32_t *)left;
	uint32_t b = *(const uint32_t *)right;

	return a < b ? -1 : a > b;
}

static void median_update(struct route_lengths *route)
{
	uint32_t sorted[LENGTHS_MAX];
	uint32_t count = MIN(route->added, LENGTHS_MAX);

	memcpy(sorted, route->lengths, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), length_compare);
	route->median = sorted[count / 2];
}

void typical_lengths_add(struct typical_lengths *lengths,
			 const struct flow_key *flow, uint32_t length_bytes,
			 int64_t now_ns)
{
	gint64 key = route_key(flow);
	struct route_lengths *route =
		g_hash_table_lookup(lengths->routes, &key);

	if (!route) {
		if (g_hash_table_size(lengths->routes) >= ROUTES_MAX)
			g_hash_table_remove_all(lengths->routes);
		route = g_new0(struct route_lengths, 1);
		route->key = key;
		g_hash_table_add(lengths->routes, route);
	}
	if (route->added >= LENGTHS_MIN &&
	    now_ns - route->added_ns < ADD_INTERVAL_NS)
		return;
	route->added_ns = now_ns;
	route->lengths[route->added++ % LENGTHS_MAX] = length_bytes;
	if (route->added % MEDIAN_INTERVAL == 0)
		median_update(route);
}

enum length_class typical_lengths_classify(struct typical_lengths *lengths,
					   const struct flow_key *flow,
					   uint32_t length_bytes)
{
	gint64 key = route_key(flow);
	const struct route_lengths *route =
		g_hash_table_lookup(lengths->routes, &key);

	if (!route || route->added < LENGTHS_MIN)
		return LENGTH_UNKNOWN;
	return (uint64_t)length_bytes * SHORT_DIVISOR < route->median
		       ? LENGTH_SHORT
		       : LENGTH_USUAL;
}
