#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standins/scenario/config_watch.h"
#include "standins/scenario/runner.h"

/* CPU time of one balancer process. */
struct cpu_reading {
	int process_id; /* 0 while it does not run */
	double cpu_s;
	int64_t time_us;
};

/* Counters at a mark. CPU time is read on both sides of the counters, so that
 * an interval does not include the cost of reading them. */
struct mark {
	GHashTable *figures;
	int64_t time_us;
	struct cpu_reading *before;
	struct cpu_reading *after;
};

struct fleet_figures {
	struct mark *mark; /* begin of the running interval */
	GHashTable *interval; /* figures of the last whole interval, or NULL */
	struct config_watch *watch;
};

/* Fields 14 and 15 of proc(5) stat, counted from the end of the name. */
static double cpu_read_s(int process_id)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", process_id);
	g_autofree char *text = NULL;
	const char *name_end;
	g_auto(GStrv) fields = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	name_end = strrchr(text, ')');
	if (!name_end)
		return 0;
	fields = g_strsplit(name_end + 2, " ", -1);
	if (g_strv_length(fields) < 13)
		return 0;
	return (g_ascii_strtod(fields[11], NULL) +
		g_ascii_strtod(fields[12], NULL)) /
	       (double)sysconf(_SC_CLK_TCK);
}

/* VmRSS of a process; 0 if it does not run. */
static double rss_read_mb(int process_id)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", process_id);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "\nVmRSS:");
	return line ? g_ascii_strtod(line + strlen("\nVmRSS:"), NULL) / 1024
		    : 0;
}

static int balancer_process_id(const struct balancer *balancer)
{
	return balancer->state == BALANCER_RUNNING
		       ? process_id(balancer->process)
		       : 0;
}

static struct cpu_reading *cpu_read_all(const struct runner *runner)
{
	struct cpu_reading *readings =
		g_new0(struct cpu_reading, runner->balancers->len);

	for (guint i = 0; i < runner->balancers->len; i++) {
		int id = balancer_process_id(runner->balancers->pdata[i]);

		if (id == 0)
			continue;
		readings[i].process_id = id;
		readings[i].cpu_s = cpu_read_s(id);
		readings[i].time_us = g_get_monotonic_time();
	}
	return readings;
}

static void mark_destroy(struct mark *mark)
{
	if (mark->figures)
		g_hash_table_destroy(mark->figures);
	g_free(mark->before);
	g_free(mark->after);
	g_free(mark);
}

static struct mark *mark_create(struct runner *runner, struct error *error)
{
	struct mark *mark = g_new0(struct mark, 1);

	mark->before = cpu_read_all(runner);
	mark->time_us = g_get_monotonic_time();
	mark->figures = figures_collect(runner, error);
	mark->after = cpu_read_all(runner);
	if (mark->figures)
		return mark;
	mark_destroy(mark);
	return NULL;
}

static void figure_set(GHashTable *figures, const char *name, double value)
{
	double *copy = g_new(double, 1);

	*copy = value;
	g_hash_table_insert(figures, g_strdup(name), copy);
}

/* Sum of the figures whose name begins with @prefix. */
static double prefix_sum(GHashTable *figures, const char *prefix)
{
	GHashTableIter iterator;
	double sum = 0;
	void *name;
	void *value;

	g_hash_table_iter_init(&iterator, figures);
	while (g_hash_table_iter_next(&iterator, &name, &value))
		if (g_str_has_prefix(name, prefix))
			sum += *(double *)value;
	return sum;
}

static double bytes_sent(const struct mark *mark, unsigned int number)
{
	g_autofree char *prefix =
		g_strdup_printf("balancer.%u.transport_bytes_sent_", number);

	return prefix_sum(mark->figures, prefix);
}

static double growth(const struct mark *from, const struct mark *to,
		     const char *name)
{
	const double *begin = g_hash_table_lookup(from->figures, name);
	const double *end = g_hash_table_lookup(to->figures, name);

	return begin && end ? *end - *begin : 0;
}

static double balancer_growth(const struct mark *from, const struct mark *to,
			      unsigned int number, const char *counter)
{
	g_autofree char *name =
		g_strdup_printf("balancer.%u.%s", number, counter);

	return growth(from, to, name);
}

/* Mean and maximum over the balancers that ran through the interval. */
struct summary {
	double sum;
	double max;
	unsigned int count;
};

static void summary_add(struct summary *summary, double value)
{
	summary->sum += value;
	summary->max = summary->count == 0 ? value : MAX(summary->max, value);
	summary->count++;
}

static void summary_set(const struct summary *summary, GHashTable *figures,
			const char *mean, const char *max)
{
	if (summary->count == 0)
		return;
	figure_set(figures, mean, summary->sum / summary->count);
	figure_set(figures, max, summary->max);
}

static void balancers_compare(const struct mark *from, const struct mark *to,
			      unsigned int count, GHashTable *figures)
{
	double seconds = (double)(to->time_us - from->time_us) / G_USEC_PER_SEC;
	struct summary bytes = { 0 };
	struct summary cpu = { 0 };
	double passed_on = 0;
	double packets = 0;

	for (unsigned int i = 0; i < count; i++) {
		const struct cpu_reading *begin = &from->after[i];
		const struct cpu_reading *end = &to->before[i];

		if (begin->process_id == 0 ||
		    begin->process_id != end->process_id)
			continue;
		summary_add(&bytes,
			    (bytes_sent(to, i + 1) - bytes_sent(from, i + 1)) /
				    seconds);
		summary_add(&cpu,
			    (end->cpu_s - begin->cpu_s) * 100 * G_USEC_PER_SEC /
				    (double)(end->time_us - begin->time_us));
		passed_on += balancer_growth(from, to, i + 1,
					     "core_actions_pass_on");
		packets += balancer_growth(from, to, i + 1,
					   "forwarder_data_received");
	}
	summary_set(&bytes, figures, "control_bytes_per_s",
		    "control_bytes_per_s_max");
	summary_set(&cpu, figures, "control_cpu_percent",
		    "control_cpu_percent_max");
	if (packets > 0)
		figure_set(figures, "passed_on_share", passed_on / packets);
}

static GHashTable *interval_create(const struct mark *from,
				   const struct mark *to, unsigned int count)
{
	GHashTable *figures =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	double seconds = (double)(to->time_us - from->time_us) / G_USEC_PER_SEC;

	figure_set(figures, "platform_calls_per_s",
		   growth(from, to, "platform_calls") / seconds);
	balancers_compare(from, to, count, figures);
	return figures;
}

bool fleet_figures_mark(struct runner *runner, struct error *error)
{
	struct fleet_figures *fleet = runner->fleet_figures;
	struct mark *mark = mark_create(runner, error);

	if (!mark)
		return false;
	if (!fleet) {
		fleet = g_new0(struct fleet_figures, 1);
		fleet->watch = config_watch_create(runner);
		runner->fleet_figures = fleet;
	}
	if (fleet->mark) {
		g_clear_pointer(&fleet->interval, g_hash_table_destroy);
		fleet->interval = interval_create(fleet->mark, mark,
						  runner->balancers->len);
		mark_destroy(fleet->mark);
	}
	fleet->mark = mark;
	return true;
}

void fleet_figures_published(struct runner *runner, uint64_t revision,
			     int64_t start_us)
{
	if (runner->fleet_figures)
		config_watch_published(runner->fleet_figures->watch, revision,
				       start_us);
}

static int double_compare(const void *left, const void *right)
{
	double difference = *(const double *)left - *(const double *)right;

	return (difference > 0) - (difference < 0);
}

/* Nearest-rank percentile: with fewer than 100 values it is the largest. */
static void config_figures_add(const struct config_watch *watch,
			       GHashTable *figures)
{
	const GArray *times = config_watch_times(watch);
	g_autofree double *sorted =
		g_memdup2(times->data, times->len * sizeof(double));
	guint count = times->len;

	figure_set(figures, "config_pending", config_watch_pending(watch));
	figure_set(figures, "config_reverts", config_watch_reverts(watch));
	figure_set(figures, "config_measured", count);
	if (count == 0)
		return;
	qsort(sorted, count, sizeof(double), double_compare);
	figure_set(figures, "config_in_force_p50_s",
		   sorted[(count * 50 + 99) / 100 - 1]);
	figure_set(figures, "config_in_force_p99_s",
		   sorted[(count * 99 + 99) / 100 - 1]);
	figure_set(figures, "config_in_force_max_s", sorted[count - 1]);
}

static void reverts_look(const struct runner *runner, GHashTable *figures)
{
	for (guint i = 1; i <= runner->balancers->len; i++) {
		g_autofree char *name =
			g_strdup_printf("balancer.%u.revision_number", i);
		const double *revision = g_hash_table_lookup(figures, name);

		if (revision)
			config_watch_reported(runner->fleet_figures->watch, i,
					      (uint64_t)*revision);
	}
}

void fleet_figures_add(struct runner *runner, GHashTable *figures)
{
	struct fleet_figures *fleet = runner->fleet_figures;
	GHashTableIter iterator;
	double rss_mb = 0;
	void *name;
	void *value;

	for (guint i = 0; i < runner->balancers->len; i++) {
		int id = balancer_process_id(runner->balancers->pdata[i]);

		if (id != 0)
			rss_mb = MAX(rss_mb, rss_read_mb(id));
	}
	figure_set(figures, "rss_mb", rss_mb);
	figure_set(figures, "start_s", runner->start_s);
	if (!fleet)
		return;
	reverts_look(runner, figures);
	config_figures_add(fleet->watch, figures);
	if (!fleet->interval)
		return;
	g_hash_table_iter_init(&iterator, fleet->interval);
	while (g_hash_table_iter_next(&iterator, &name, &value))
		figure_set(figures, name, *(double *)value);
}

void fleet_figures_destroy(struct runner *runner)
{
	struct fleet_figures *fleet = runner->fleet_figures;

	if (!fleet)
		return;
	config_watch_destroy(fleet->watch);
	if (fleet->mark)
		mark_destroy(fleet->mark);
	if (fleet->interval)
		g_hash_table_destroy(fleet->interval);
	g_free(fleet);
	runner->fleet_figures = NULL;
}
