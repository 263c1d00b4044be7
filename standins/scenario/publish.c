#include "standins/scenario/runner.h"

static bool platform_publish(struct runner *runner, JsonObject *parts,
			     struct error *error)
{
	JsonObject *request = json_object_new();
	int64_t start_us = g_get_monotonic_time();
	JsonObject *reply;

	json_object_set_object_member(request, "parts", parts);
	reply = runner_ask_platform(runner, "/control/publish", request, error);
	if (!reply)
		return false;
	fleet_figures_published(
		runner,
		(uint64_t)json_object_get_double_member(reply, "revision"),
		start_us);
	json_object_unref(reply);
	return true;
}

static bool world_publish(struct runner *runner, struct error *error)
{
	JsonObject *request = runner_request("catalogue");
	JsonArray *services = json_array_new();
	GHashTableIter iterator;
	void *name;
	void *part;

	g_hash_table_iter_init(&iterator, runner->deployment->parts);
	while (g_hash_table_iter_next(&iterator, &name, &part))
		if (g_str_has_prefix(name, "service/"))
			json_array_add_object_element(services,
						      json_object_ref(part));
	json_object_set_array_member(request, "parts", services);
	return runner_tell_world(runner, request, error);
}

bool publish_all(struct runner *runner, struct error *error)
{
	JsonObject *parts = json_object_new();
	GHashTableIter iterator;
	void *name;
	void *part;

	g_hash_table_iter_init(&iterator, runner->deployment->parts);
	while (g_hash_table_iter_next(&iterator, &name, &part)) {
		g_autofree char *text = channel_print(part);

		json_object_set_string_member(parts, name, text);
	}
	/* Hosts must listen before the first packet reaches them. */
	if (!world_publish(runner, error)) {
		json_object_unref(parts);
		return false;
	}
	return platform_publish(runner, parts, error);
}

bool publish_text(struct runner *runner, const char *name, const char *text,
		  struct error *error)
{
	JsonObject *parts = json_object_new();

	json_object_set_string_member(parts, name, text);
	return platform_publish(runner, parts, error);
}
