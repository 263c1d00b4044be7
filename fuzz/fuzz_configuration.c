/*
 * Guards against configurations that make their check crash, leak or read
 * beyond the end, and against a check that accepts what balancers reject.
 */

#include <glib.h>
#include <stdint.h>
#include <stdlib.h>

#include "platform/configuration_check.h"
#include "platform/items.h"

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/* True if a balancer uses the text as its routes. */
static bool is_accepted(const char *text, size_t length)
{
	struct store_item item;
	bool accepted;

	store_item_parse("op/config", text, length,
			 (struct store_position){ .revision = 1 }, &item);
	accepted = item.kind == STORE_ITEM_ROUTING;
	store_item_clear(&item);
	return accepted;
}

static void findings_check(const struct finding_list *findings)
{
	JsonBuilder *builder = json_builder_new();
	GString *text = g_string_new(NULL);

	finding_list_print_text(findings, text);
	if (!g_utf8_validate(text->str, (gssize)text->len, NULL))
		abort();
	finding_list_print_json(findings, builder);
	g_object_unref(builder);
	g_string_free(text, TRUE);
}

/* A configuration does not differ from itself. */
static void self_compare(const struct checked_configuration *checked)
{
	const struct routing_draft *draft =
		checked_configuration_draft(checked);
	struct finding_list *findings = finding_list_create();
	struct routing_report report;

	checked_configuration_report(checked, findings, &report);
	routing_diff(draft, draft, NULL, &report);
	if (findings->findings->len != 1 ||
	    g_array_index(findings->findings, struct finding, 0).kind !=
		    FINDING_SAME_VERSION)
		abort();
	finding_list_destroy(findings);
}

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	struct finding_list *findings = finding_list_create();
	struct checked_configuration *checked =
		configuration_check((const char *)data, length, findings);
	bool is_rejected = !checked ||
			   checked_configuration_is_rejected(checked);

	if (is_accepted((const char *)data, length) == is_rejected)
		abort();
	if (is_rejected && findings->counts[FINDING_ERROR] == 0)
		abort();
	findings_check(findings);
	if (checked)
		self_compare(checked);
	checked_configuration_destroy(checked);
	finding_list_destroy(findings);
	return 0;
}
