#ifndef PARSLEYLADDER_COMMON_COUNTERS_H
#define PARSLEYLADDER_COMMON_COUNTERS_H

/**
 * Named 64-bit counters and histograms. A module keeps an array of values next
 * to a static table of names and increments them by index; the registry only
 * reads them. There are no locks, because the process has one thread.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

/** Buckets with upper bounds 1, 2, 5 ... 5e9, 1e10, and an unbounded one. */
#define HISTOGRAM_BUCKETS 32

struct histogram {
	uint64_t buckets[HISTOGRAM_BUCKETS];
	uint64_t count;
	uint64_t sum;
	uint64_t max;
};

void histogram_record(struct histogram *histogram, uint64_t value);
/**
 * Upper bound of the bucket that holds the quantile, never above the largest
 * value recorded; 0 if there are no values.
 */
uint64_t histogram_quantile(const struct histogram *histogram,
			    unsigned int permille);

struct counter_registry;

struct counter_registry *counter_registry_create(void);
void counter_registry_destroy(struct counter_registry *registry);
/**
 * Registers @count counters that are printed as GROUP_NAME. Names and values
 * must outlive the registry.
 */
void counter_registry_add(struct counter_registry *registry, const char *group,
			  const char *const *names, const uint64_t *values,
			  size_t count);
/** Like counter_registry_add(), for values that may decrease. */
void counter_registry_add_gauges(struct counter_registry *registry,
				 const char *group, const char *const *names,
				 const uint64_t *values, size_t count);
/** Registers a histogram; @name should end in its unit, such as `_us`. */
void counter_registry_add_histogram(struct counter_registry *registry,
				    const char *name,
				    const struct histogram *histogram);
/** Appends one line `name value` for each counter, in order of registration. */
void counter_registry_print_text(const struct counter_registry *registry,
				 GString *text);
/** Appends all values in the Prometheus text format. */
void counter_registry_print_metrics(const struct counter_registry *registry,
				    GString *text);
/** Adds members to the JSON object that is open in @builder. */
void counter_registry_print_json(const struct counter_registry *registry,
				 JsonBuilder *builder);

#endif
