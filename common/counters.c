#include "common/counters.h"

#include <stdbool.h>

/* Prefix of all metric names. */
#define METRIC_PREFIX "parsleyladder_"

struct counter_entry {
	const char *name; /* group, or name of the histogram */
	const char *const *names; /* NULL for a histogram */
	const uint64_t *values;
	size_t count;
	const struct histogram *histogram;
	bool is_gauge; /* values may decrease */
};

struct counter_registry {
	GArray *entries; /* struct counter_entry */
};

static const uint64_t bounds[HISTOGRAM_BUCKETS] = {
	1,	     2,		 5,	    10,		20,	    50,
	100,	     200,	 500,	    1000,	2000,	    5000,
	10000,	     20000,	 50000,	    100000,	200000,	    500000,
	1000000,     2000000,	 5000000,   10000000,	20000000,   50000000,
	100000000,   200000000,	 500000000, 1000000000, 2000000000, 5000000000,
	10000000000, UINT64_MAX,
};

/* Index of the first bound that is not below @value. */
static size_t bucket_index(uint64_t value)
{
	size_t low = 0, high = HISTOGRAM_BUCKETS - 1;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (bounds[middle] < value)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void histogram_record(struct histogram *histogram, uint64_t value)
{
	histogram->buckets[bucket_index(value)]++;
	histogram->count++;
	histogram->sum += value;
	if (value > histogram->max)
		histogram->max = value;
}

uint64_t histogram_quantile(const struct histogram *histogram,
			    unsigned int permille)
{
	/* Rank of the quantile, rounded up, so that 1000 is the maximum. */
	uint64_t rank = (histogram->count * permille + 999) / 1000;
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen > 0 && seen >= rank)
			return MIN(bounds[i], histogram->max);
	}
	return histogram->max;
}

struct counter_registry *counter_registry_create(void)
{
	struct counter_registry *registry = g_new0(struct counter_registry, 1);

	registry->entries =
		g_array_new(FALSE, FALSE, sizeof(struct counter_entry));
	return registry;
}

void counter_registry_destroy(struct counter_registry *registry)
{
	if (!registry)
		return;
	g_array_unref(registry->entries);
	g_free(registry);
}

void counter_registry_add(struct counter_registry *registry, const char *group,
			  const char *const *names, const uint64_t *values,
			  size_t count)
{
	struct counter_entry entry = {
		.name = group,
		.names = names,
		.values = values,
		.count = count,
	};

	g_array_append_val(registry->entries, entry);
}

void counter_registry_add_gauges(struct counter_registry *registry,
				 const char *group, const char *const *names,
				 const uint64_t *values, size_t count)
{
	counter_registry_add(registry, group, names, values, count);
	g_array_index(registry->entries, struct counter_entry,
		      registry->entries->len - 1)
		.is_gauge = true;
}

void counter_registry_add_histogram(struct counter_registry *registry,
				    const char *name,
				    const struct histogram *histogram)
{
	struct counter_entry entry = { .name = name, .histogram = histogram };

	g_array_append_val(registry->entries, entry);
}

/* Output format: number() is called between begin() and end() of an entry. */
struct counter_printer {
	void (*begin)(void *context, const char *name); /* may be NULL */
	void (*number)(void *context, const char *name, const char *field,
		       uint64_t value);
	void (*end)(void *context); /* may be NULL */
	void *context;
};

static void entry_print(const struct counter_entry *entry,
			const struct counter_printer *printer)
{
	const struct histogram *histogram = entry->histogram;
	void *context = printer->context;

	if (printer->begin)
		printer->begin(context, entry->name);
	for (size_t i = 0; i < entry->count; i++)
		printer->number(context, entry->name, entry->names[i],
				entry->values[i]);
	if (histogram) {
		printer->number(context, entry->name, "count",
				histogram->count);
		printer->number(context, entry->name, "sum", histogram->sum);
		printer->number(context, entry->name, "p50",
				histogram_quantile(histogram, 500));
		printer->number(context, entry->name, "p99",
				histogram_quantile(histogram, 990));
		printer->number(context, entry->name, "max", histogram->max);
	}
	if (printer->end)
		printer->end(context);
}

static void registry_print(const struct counter_registry *registry,
			   const struct counter_printer *printer)
{
	for (guint i = 0; i < registry->entries->len; i++)
		entry_print(&g_array_index(registry->entries,
					   struct counter_entry, i),
			    printer);
}

static void text_number(void *context, const char *name, const char *field,
			uint64_t value)
{
	g_string_append_printf(context, "%s_%s %" G_GUINT64_FORMAT "\n", name,
			       field, value);
}

void counter_registry_print_text(const struct counter_registry *registry,
				 GString *text)
{
	struct counter_printer printer = {
		.number = text_number,
		.context = text,
	};

	registry_print(registry, &printer);
}

static void json_begin(void *context, const char *name)
{
	json_builder_set_member_name(context, name);
	json_builder_begin_object(context);
}

static void json_number(void *context, const char *name, const char *field,
			uint64_t value)
{
	(void)name;
	json_builder_set_member_name(context, field);
	json_builder_add_int_value(context, (gint64)value);
}

static void json_end(void *context)
{
	json_builder_end_object(context);
}

void counter_registry_print_json(const struct counter_registry *registry,
				 JsonBuilder *builder)
{
	struct counter_printer printer = {
		.begin = json_begin,
		.number = json_number,
		.end = json_end,
		.context = builder,
	};

	registry_print(registry, &printer);
}

static void metric_value(GString *text, const struct counter_entry *entry,
			 size_t index)
{
	const char *type = entry->is_gauge ? "gauge" : "counter";

	g_string_append_printf(
		text,
		"# TYPE " METRIC_PREFIX "%s_%s %s\n" METRIC_PREFIX
		"%s_%s %" G_GUINT64_FORMAT "\n",
		entry->name, entry->names[index], type, entry->name,
		entry->names[index], entry->values[index]);
}

static void metric_histogram(GString *text, const struct counter_entry *entry)
{
	const struct histogram *histogram = entry->histogram;
	uint64_t sum = 0;

	g_string_append_printf(text, "# TYPE " METRIC_PREFIX "%s histogram\n",
			       entry->name);
	for (size_t i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		sum += histogram->buckets[i];
		g_string_append_printf(text,
				       METRIC_PREFIX
				       "%s_bucket{le=\"%" G_GUINT64_FORMAT
				       "\"} %" G_GUINT64_FORMAT "\n",
				       entry->name, bounds[i], sum);
	}
	g_string_append_printf(text,
			       METRIC_PREFIX
			       "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
			       "\n" METRIC_PREFIX "%s_sum %" G_GUINT64_FORMAT
			       "\n" METRIC_PREFIX "%s_count %" G_GUINT64_FORMAT
			       "\n",
			       entry->name, histogram->count, entry->name,
			       histogram->sum, entry->name, histogram->count);
}

void counter_registry_print_metrics(const struct counter_registry *registry,
				    GString *text)
{
	for (guint i = 0; i < registry->entries->len; i++) {
		const struct counter_entry *entry = &g_array_index(
			registry->entries, struct counter_entry, i);

		if (entry->histogram)
			metric_histogram(text, entry);
		for (size_t j = 0; !entry->histogram && j < entry->count; j++)
			metric_value(text, entry, j);
	}
}
