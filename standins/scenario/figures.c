#include <string.h>

#include "standins/scenario/runner.h"

static void figure_add(GHashTable *figures, const char *name, double value)
{
	double *sum = g_hash_table_lookup(figures, name);

	if (sum) {
		*sum += value;
		return;
	}
	sum = g_new(double, 1);
	*sum = value;
	g_hash_table_insert(figures, g_strdup(name), sum);
}

static void member_add(JsonObject *object, const char *name, JsonNode *node,
		       gpointer data)
{
	if (JSON_NODE_HOLDS_VALUE(node))
		figure_add(data, name, json_node_get_double(node));
}

static bool standin_add(struct standin *standin, GHashTable *figures,
			struct error *error)
{
	JsonObject *request = runner_request("report");
	JsonObject *report = channel_request(standin->channel, request, error);

	json_object_unref(request);
	if (!report)
		return false;
	json_object_foreach_member(report, member_add, figures);
	json_object_unref(report);
	return true;
}

static bool platform_add(struct runner *runner, GHashTable *figures,
			 struct error *error)
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%u/control/report",
				runner->platform_control_port);
	g_autofree char *answer = channel_http(url, NULL, "{}", error);
	JsonObject *report = answer ? channel_parse(answer, error) : NULL;

	if (!report)
		return false;
	json_object_foreach_member(report, member_add, figures);
	json_object_unref(report);
	return true;
}

static void figure_add_least(GHashTable *figures, const char *name,
			     double value)
{
	double *least = g_hash_table_lookup(figures, name);

	if (!least)
		figure_add(figures, name, value);
	else
		*least = MIN(*least, value);
}

/*
 * Lines "name value". Each counter is also summed over the balancers, and its
 * least value is kept, e.g. for the oldest revision in force.
 */
static void counters_add(GHashTable *figures, const struct balancer *balancer,
			 const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char *space = strrchr(*line, ' ');
		g_autofree char *all = NULL;
		g_autofree char *one = NULL;
		g_autofree char *least = NULL;
		double value;

		if (!space)
			continue;
		*space = '\0';
		value = g_ascii_strtod(space + 1, NULL);
		all = g_strconcat("balancers.", *line, NULL);
		one = g_strdup_printf("balancer.%u.%s", balancer->number,
				      *line);
		least = g_strconcat("least.", *line, NULL);
		figure_add(figures, all, value);
		figure_add_least(figures, least, value);
		figure_add(figures, one, value);
	}
}

/* A balancer that does not answer has no counters; that is no error. */
static void balancers_add(struct runner *runner, GHashTable *figures)
{
	figure_add(figures, "balancers_answering", 0);
	for (guint i = 0; i < runner->balancers->len; i++) {
		const struct balancer *balancer = runner->balancers->pdata[i];
		g_autofree char *url = NULL;
		g_autofree char *text = NULL;

		if (balancer->state != BALANCER_RUNNING)
			continue;
		url = g_strdup_printf("http://%s:%u/v1/counters",
				      balancer->address, balancer->admin_port);
		text = channel_http(url, NULL, NULL, NULL);
		if (!text)
			continue;
		figure_add(figures, "balancers_answering", 1);
		counters_add(figures, balancer, text);
	}
}

GHashTable *figures_collect(struct runner *runner, struct error *error)
{
	GHashTable *figures =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	if (!standin_add(&runner->world, figures, error) ||
	    (runner->link.channel &&
	     !standin_add(&runner->link, figures, error)) ||
	    !platform_add(runner, figures, error)) {
		g_hash_table_destroy(figures);
		return NULL;
	}
	balancers_add(runner, figures);
	figure_add(figures, "unexpected_exits", fleet_unexpected_exits(runner));
	fleet_figures_add(runner, figures);
	return figures;
}

static bool figure_is_worst_case(const char *name)
{
	static const char *const suffixes[] = { "_s", "_max", "_percent",
						"_share", "rss_mb" };

	if (g_str_has_prefix(name, "imbalance"))
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(suffixes); i++)
		if (g_str_has_suffix(name, suffixes[i]))
			return true;
	return false;
}

void figures_add_totals(struct runner *runner, GHashTable *figures)
{
	GHashTableIter iterator;
	void *name;
	void *value;

	g_hash_table_iter_init(&iterator, figures);
	while (g_hash_table_iter_next(&iterator, &name, &value)) {
		double *total = g_hash_table_lookup(runner->totals, name);

		if (total && figure_is_worst_case(name))
			*total = MAX(*total, *(double *)value);
		else
			figure_add(runner->totals, name, *(double *)value);
	}
}
