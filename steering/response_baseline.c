#include "steering/response_baseline.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* With fewer responses, the expected time is too uncertain to compare with. */
#define SAMPLES_MIN 8
/* Weight of the newest response once that many are known. */
#define SAMPLES_MAX 256
/* 1,400 service addresses and 5 zones; beyond it, all are learned again. */
#define KINDS_MAX 16384

struct expected_response {
	gint64 key;
	double log_mean; /* of the time in nanoseconds */
	uint32_t samples; /* up to SAMPLES_MAX */
};

struct response_baseline {
	GHashTable *kinds; /* struct expected_response, as a set */
};

struct response_baseline *response_baseline_create(void)
{
	struct response_baseline *baseline =
		g_new0(struct response_baseline, 1);

	/* The key is the first member, so an entry is its own key. */
	baseline->kinds = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	return baseline;
}

void response_baseline_destroy(struct response_baseline *baseline)
{
	if (!baseline)
		return;
	g_hash_table_destroy(baseline->kinds);
	g_free(baseline);
}

static gint64 kind_key(const struct response_kind *kind, bool is_closing)
{
	uint64_t seed = (uint64_t)kind->flow->service_port * 2 + is_closing;

	seed = XXH3_64bits_withSeed(kind->zone, strlen(kind->zone), seed);
	return (gint64)XXH3_64bits_withSeed(kind->flow->service.bytes,
					    sizeof(kind->flow->service.bytes),
					    seed);
}

static struct expected_response *
expected_get(struct response_baseline *baseline, gint64 key)
{
	struct expected_response *expected =
		g_hash_table_lookup(baseline->kinds, &key);

	if (expected)
		return expected;
	if (g_hash_table_size(baseline->kinds) >= KINDS_MAX)
		g_hash_table_remove_all(baseline->kinds);
	expected = g_new0(struct expected_response, 1);
	expected->key = key;
	g_hash_table_add(baseline->kinds, expected);
	return expected;
}

static bool has_better_samples(const struct response_baseline *baseline,
			       const struct response_kind *kind)
{
	gint64 key = kind_key(kind, false);
	const struct expected_response *expected =
		g_hash_table_lookup(baseline->kinds, &key);

	return expected && expected->samples >= SAMPLES_MIN;
}

/* Limiting the ratio keeps single late responses from moving the mean. */
static double expected_update(struct expected_response *expected,
			      double time_log)
{
	double ratio_log = time_log - expected->log_mean;

	if (expected->samples >= SAMPLES_MIN)
		ratio_log = CLAMP(ratio_log, -RESPONSE_RATIO_LOG_MAX,
				  RESPONSE_RATIO_LOG_MAX);
	if (expected->samples < SAMPLES_MAX)
		expected->samples++;
	expected->log_mean += ratio_log / expected->samples;
	return ratio_log;
}

bool response_baseline_compare(struct response_baseline *baseline,
			       const struct response_kind *kind,
			       int64_t time_ns, double *ratio_log)
{
	struct expected_response *expected;
	bool is_known;

	if (kind->is_closing && has_better_samples(baseline, kind))
		return false;
	expected = expected_get(baseline, kind_key(kind, kind->is_closing));
	is_known = expected->samples >= SAMPLES_MIN;
	*ratio_log = expected_update(expected, log((double)MAX(time_ns, 1)));
	return is_known;
}
