#include "common/finding.h"

#include <inttypes.h>
#include <stdarg.h>

#include "common/json_member.h"

static const struct finding_kind_info kind_infos[FINDING_KINDS] = {
	[FINDING_SYNTAX] = { "syntax", FINDING_ERROR },
	[FINDING_DUPLICATE_MEMBER] = { "duplicate_member", FINDING_ERROR },
	[FINDING_REJECTED] = { "rejected", FINDING_ERROR },
	[FINDING_IGNORED_VALUE] = { "ignored_value", FINDING_ERROR },
	[FINDING_UNKNOWN_MEMBER] = { "unknown_member", FINDING_WARNING },
	[FINDING_UNUSED_MEMBER_TYPE] = { "unused_member_type",
					 FINDING_WARNING },
	[FINDING_OTHER_LIMIT] = { "other_limit", FINDING_NOTE },
	[FINDING_DUPLICATE_ROUTE] = { "duplicate_route", FINDING_ERROR },
	[FINDING_DUPLICATE_SERVICE] = { "duplicate_service", FINDING_ERROR },
	[FINDING_ZERO_WEIGHTS] = { "zero_weights", FINDING_ERROR },
	[FINDING_UNDEFINED_SERVICE] = { "undefined_service", FINDING_WARNING },
	[FINDING_NO_SERVICES] = { "no_services", FINDING_NOTE },
	[FINDING_UNUSED_SERVICE] = { "unused_service", FINDING_WARNING },
	[FINDING_TEAM_LIMIT] = { "team_limit", FINDING_WARNING },
	[FINDING_IDLE_TIMEOUT] = { "idle_timeout", FINDING_WARNING },
	[FINDING_TARGET_LATENCY] = { "target_latency", FINDING_WARNING },
	[FINDING_SLOW_START_LIMIT] = { "slow_start_limit", FINDING_WARNING },
	[FINDING_CONNECTION_LIMIT] = { "connection_limit", FINDING_WARNING },
	[FINDING_OLD_VERSION] = { "old_version", FINDING_ERROR },
	[FINDING_SAME_VERSION] = { "same_version", FINDING_NOTE },
	[FINDING_ROUTE_ADDED] = { "route_added", FINDING_NOTE },
	[FINDING_ROUTE_REMOVED] = { "route_removed", FINDING_NOTE },
	[FINDING_ROUTE_CHANGED] = { "route_changed", FINDING_NOTE },
	[FINDING_SERVICE_ADDED] = { "service_added", FINDING_NOTE },
	[FINDING_SERVICE_REMOVED] = { "service_removed", FINDING_NOTE },
	[FINDING_SERVICE_CHANGED] = { "service_changed", FINDING_NOTE },
	[FINDING_FLOWS_END] = { "flows_end", FINDING_WARNING },
	[FINDING_LIMIT_CHANGED] = { "limit_changed", FINDING_NOTE },
};

static const char *const severity_names[FINDING_SEVERITIES] = {
	[FINDING_ERROR] = "error",
	[FINDING_WARNING] = "warning",
	[FINDING_NOTE] = "note",
};

const struct finding_kind_info *finding_kind_info(enum finding_kind kind)
{
	return &kind_infos[kind];
}

const char *finding_severity_name(enum finding_severity severity)
{
	return severity_names[severity];
}

static void finding_clear(void *element)
{
	struct finding *finding = element;

	g_free(finding->place);
	g_free(finding->message);
}

struct finding_list *finding_list_create(void)
{
	struct finding_list *list = g_new0(struct finding_list, 1);

	list->findings = g_array_new(FALSE, FALSE, sizeof(struct finding));
	g_array_set_clear_func(list->findings, finding_clear);
	return list;
}

void finding_list_destroy(struct finding_list *list)
{
	if (!list)
		return;
	g_array_unref(list->findings);
	g_free(list);
}

/* Takes ownership of @text. */
static char *text_sanitize(char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	g_free(text);
	for (char *c = valid; *c; c++) {
		if (g_ascii_iscntrl(*c))
			*c = '?';
	}
	return valid;
}

void finding_add(struct finding_list *list, enum finding_kind kind,
		 const char *place, const char *format, ...)
{
	struct finding finding = { .kind = kind };
	va_list arguments;

	if (!list)
		return;
	list->counts[kind_infos[kind].severity]++;
	if (list->findings->len >= FINDINGS_MAX)
		return;
	va_start(arguments, format);
	finding.message = text_sanitize(g_strdup_vprintf(format, arguments));
	va_end(arguments);
	finding.place = text_sanitize(g_strdup(place));
	g_array_append_val(list->findings, finding);
}

enum error_kind finding_list_result(const struct finding_list *list)
{
	if (list->counts[FINDING_ERROR] > 0)
		return ERROR_CONFIGURATION;
	if (list->counts[FINDING_WARNING] > 0)
		return ERROR_CONFIGURATION_WARNINGS;
	return ERROR_NONE;
}

static uint64_t omitted_count(const struct finding_list *list)
{
	uint64_t total = 0;

	for (int i = 0; i < FINDING_SEVERITIES; i++)
		total += list->counts[i];
	return total - list->findings->len;
}

void finding_list_print_text(const struct finding_list *list, GString *text)
{
	uint64_t omitted = omitted_count(list);

	for (guint i = 0; i < list->findings->len; i++) {
		const struct finding *finding =
			&g_array_index(list->findings, struct finding, i);
		const struct finding_kind_info *info =
			finding_kind_info(finding->kind);

		g_string_append_printf(text, "%s: %s: %s [%s]\n",
				       severity_names[info->severity],
				       finding->place, finding->message,
				       info->name);
	}
	if (omitted > 0)
		g_string_append_printf(
			text, "%" PRIu64 " more findings are not shown\n",
			omitted);
	g_string_append_printf(text,
			       "errors: %" PRIu64 ", warnings: %" PRIu64
			       ", notes: %" PRIu64 "\n",
			       list->counts[FINDING_ERROR],
			       list->counts[FINDING_WARNING],
			       list->counts[FINDING_NOTE]);
}

static void finding_print_json(const struct finding *finding,
			       JsonBuilder *builder)
{
	const struct finding_kind_info *info = finding_kind_info(finding->kind);

	json_builder_begin_object(builder);
	json_member_string(builder, "kind", info->name);
	json_member_string(builder, "severity", severity_names[info->severity]);
	json_member_string(builder, "place", finding->place);
	json_member_string(builder, "message", finding->message);
	json_builder_end_object(builder);
}

static const char *result_name(const struct finding_list *list)
{
	if (list->counts[FINDING_ERROR] > 0)
		return "errors";
	return list->counts[FINDING_WARNING] > 0 ? "warnings" : "clean";
}

void finding_list_print_json(const struct finding_list *list,
			     JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	json_member_string(builder, "result", result_name(list));
	json_member_integer(builder, "errors",
			    (int64_t)list->counts[FINDING_ERROR]);
	json_member_integer(builder, "warnings",
			    (int64_t)list->counts[FINDING_WARNING]);
	json_member_integer(builder, "notes",
			    (int64_t)list->counts[FINDING_NOTE]);
	json_member_integer(builder, "not_shown", (int64_t)omitted_count(list));
	json_builder_set_member_name(builder, "findings");
	json_builder_begin_array(builder);
	for (guint i = 0; i < list->findings->len; i++)
		finding_print_json(
			&g_array_index(list->findings, struct finding, i),
			builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
}
