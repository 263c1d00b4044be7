/* Guards against values in the wrong bucket and misprinted counters. */

#include <check.h>
#include <stdlib.h>

#include "common/counters.h"
#include "suite.h"

static const struct {
	uint64_t values[4]; /* 0 ends the list */
	unsigned int permille;
	uint64_t quantile;
} quantiles[] = {
	{ { 0 }, 500, 0 },
	{ { 1 }, 500, 1 },
	{ { 3 }, 500, 3 }, /* never above the maximum */
	{ { 5, 6 }, 500, 5 }, /* a bound belongs to the bucket below it */
	{ { 3, 3, 40 }, 500, 5 },
	{ { 3, 3, 40 }, 990, 40 },
	{ { 3, 3, 40 }, 0, 5 },
	{ { 3, 3, UINT64_MAX }, 1000, UINT64_MAX },
	{ { 10000000000, 10000000001 }, 500, 10000000000 },
	{ { 10000000000, 10000000001 }, 1000, 10000000001 },
};

START_TEST(quantile_is_bucket_bound_or_maximum) {
	struct histogram histogram = { 0 };

	for (int i = 0; i < 4 && quantiles[_i].values[i] != 0; i++)
		histogram_record(&histogram, quantiles[_i].values[i]);
	ck_assert_uint_eq(
		histogram_quantile(&histogram, quantiles[_i].permille),
		quantiles[_i].quantile);
}
END_TEST

START_TEST(counters_are_printed) {
	static const char *const names[] = { "received", "sent" };
	uint64_t values[] = { 7, INT64_MAX };
	struct histogram histogram = { 0 };
	struct counter_registry *registry = counter_registry_create();
	GString *text = g_string_new(NULL);
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *json;

	counter_registry_add(registry, "edge", names, values, 2);
	counter_registry_add_histogram(registry, "delay_us", &histogram);
	histogram_record(&histogram, 30);
	histogram_record(&histogram, 0);
	values[0]++;
	counter_registry_print_text(registry, text);
	ck_assert_str_eq(text->str, "edge_received 8\n"
				    "edge_sent 9223372036854775807\n"
				    "delay_us_count 2\n"
				    "delay_us_sum 30\n"
				    "delay_us_p50 1\n"
				    "delay_us_p99 30\n"
				    "delay_us_max 30\n");
	json_builder_begin_object(builder);
	counter_registry_print_json(registry, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json = json_to_string(root, FALSE);
	ck_assert_str_eq(json, "{\"edge\":{\"received\":8,"
			       "\"sent\":9223372036854775807},"
			       "\"delay_us\":{\"count\":2,\"sum\":30,\"p50\":1,"
			       "\"p99\":30,\"max\":30}}");
	g_free(json);
	json_node_unref(root);
	g_object_unref(builder);
	g_string_free(text, TRUE);
	counter_registry_destroy(registry);
}
END_TEST

START_TEST(metrics_use_prometheus_format) {
	static const char *const names[] = { "hosts" };
	uint64_t values[] = { 3 };
	struct histogram histogram = { 0 };
	struct counter_registry *registry = counter_registry_create();
	GString *text = g_string_new(NULL);

	counter_registry_add_gauges(registry, "known", names, values, 1);
	counter_registry_add_histogram(registry, "delay_us", &histogram);
	histogram_record(&histogram, 2);
	histogram_record(&histogram, UINT64_MAX);
	counter_registry_print_metrics(registry, text);
	ck_assert(g_str_has_prefix(
		text->str, "# TYPE parsleyladder_known_hosts gauge\n"
			   "parsleyladder_known_hosts 3\n"
			   "# TYPE parsleyladder_delay_us histogram\n"
			   "parsleyladder_delay_us_bucket{le=\"1\"} 0\n"
			   "parsleyladder_delay_us_bucket{le=\"2\"} 1\n"));
	ck_assert(g_str_has_suffix(
		text->str,
		"parsleyladder_delay_us_bucket{le=\"10000000000\"} 1\n"
		"parsleyladder_delay_us_bucket{le=\"+Inf\"} 2\n"
		"parsleyladder_delay_us_sum 1\n"
		"parsleyladder_delay_us_count 2\n"));
	g_string_free(text, TRUE);
	counter_registry_destroy(registry);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("counters");
	TCase *tests = tcase_create("counters");

	tcase_add_loop_test(tests, quantile_is_bucket_bound_or_maximum, 0,
			    sizeof(quantiles) / sizeof(quantiles[0]));
	tcase_add_test(tests, counters_are_printed);
	tcase_add_test(tests, metrics_use_prometheus_format);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
