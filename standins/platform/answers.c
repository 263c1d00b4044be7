#include "standins/platform/answers.h"

#include <string.h>

#include "common/clock.h"

#define WAIT_MS_MAX 600000

enum watch_kind {
	WATCH_INDEX,
	WATCH_INSTANCES,
	WATCH_NONE, /* a part: only held back, never watched */
};

struct waiter {
	struct answers *answers;
	SoupServerMessage *message;
	enum watch_kind kind;
	uint64_t after;
	int64_t deadline_ns;
	char *part_name;
	char *part_digest; /* or NULL */
	gulong finished_handler;
};

struct answers {
	struct store *store;
	uint64_t stale_revision; /* UINT64_MAX = answers the latest */
	bool is_held;
	uint64_t instances_index;
	JsonArray *instances;
	GPtrArray *waiters;
	guint deadline_source;
	uint64_t call_count;
};

static void waiter_destroy(void *data)
{
	struct waiter *waiter = data;

	g_signal_handler_disconnect(waiter->message, waiter->finished_handler);
	g_object_unref(waiter->message);
	g_free(waiter->part_name);
	g_free(waiter->part_digest);
	g_free(waiter);
}

static uint64_t visible_revision(const struct answers *answers)
{
	return MIN(answers->stale_revision, store_latest(answers->store));
}

static char *instances_text(const struct answers *answers)
{
	g_autoptr(JsonBuilder) builder = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	JsonNode *list = json_node_new(JSON_NODE_ARRAY);

	json_node_set_array(list, answers->instances);
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "index");
	json_builder_add_int_value(builder, (gint64)answers->instances_index);
	json_builder_set_member_name(builder, "instances");
	json_builder_add_value(builder, list);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	return json_to_string(root, FALSE);
}

static void message_answer(SoupServerMessage *message, const char *text)
{
	if (!text) {
		soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND,
					       NULL);
		return;
	}
	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

static void waiter_answer(struct waiter *waiter)
{
	const struct answers *answers = waiter->answers;
	g_autofree char *text = NULL;

	switch (waiter->kind) {
	case WATCH_INDEX:
		text = store_index(answers->store, visible_revision(answers));
		break;
	case WATCH_INSTANCES:
		text = instances_text(answers);
		break;
	case WATCH_NONE:
		text = g_strdup(store_part(answers->store, waiter->part_name,
					   waiter->part_digest));
		break;
	}
	message_answer(waiter->message, text);
	soup_server_message_unpause(waiter->message);
}

static bool waiter_is_due(const struct waiter *waiter, int64_t now_ns)
{
	const struct answers *answers = waiter->answers;

	if (answers->is_held)
		return false;
	if (waiter->kind == WATCH_NONE || now_ns >= waiter->deadline_ns)
		return true;
	if (waiter->kind == WATCH_INDEX)
		return visible_revision(answers) > waiter->after;
	return answers->instances_index > waiter->after;
}

void answers_update(struct answers *answers)
{
	int64_t now_ns = clock_now_ns(clock_system());

	for (guint i = answers->waiters->len; i-- > 0;) {
		struct waiter *waiter = answers->waiters->pdata[i];

		if (!waiter_is_due(waiter, now_ns))
			continue;
		waiter_answer(waiter);
		g_ptr_array_remove_index_fast(answers->waiters, i);
	}
}

void answers_fail_waiting(struct answers *answers)
{
	for (guint i = answers->waiters->len; i-- > 0;) {
		struct waiter *waiter = answers->waiters->pdata[i];

		soup_server_message_set_status(
			waiter->message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
		soup_server_message_unpause(waiter->message);
		g_ptr_array_remove_index_fast(answers->waiters, i);
	}
}

static gboolean on_deadlines(gpointer data)
{
	answers_update(data);
	return G_SOURCE_CONTINUE;
}

struct answers *answers_create(void)
{
	struct answers *answers = g_new0(struct answers, 1);

	answers->store = store_create();
	answers->stale_revision = UINT64_MAX;
	answers->instances = json_array_new();
	answers->waiters = g_ptr_array_new_with_free_func(waiter_destroy);
	answers->deadline_source = g_timeout_add(50, on_deadlines, answers);
	return answers;
}

void answers_destroy(struct answers *answers)
{
	g_source_remove(answers->deadline_source);
	g_ptr_array_free(answers->waiters, TRUE);
	json_array_unref(answers->instances);
	store_destroy(answers->store);
	g_free(answers);
}

struct store *answers_store(struct answers *answers)
{
	return answers->store;
}

void answers_set_stale(struct answers *answers, uint64_t revision)
{
	answers->stale_revision = revision;
}

void answers_set_held(struct answers *answers, bool is_held)
{
	answers->is_held = is_held;
}

void answers_set_instances(struct answers *answers, JsonArray *instances)
{
	json_array_unref(answers->instances);
	answers->instances = instances;
	answers->instances_index++;
}

static void on_finished(SoupServerMessage *message, gpointer data)
{
	(void)message;
	g_ptr_array_remove_fast(((struct waiter *)data)->answers->waiters,
				data);
}

static uint64_t query_number(GHashTable *query, const char *name)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static bool path_read(const char *path, enum watch_kind *kind)
{
	if (strcmp(path, "/v1/index") == 0)
		*kind = WATCH_INDEX;
	else if (strcmp(path, "/v1/instances") == 0)
		*kind = WATCH_INSTANCES;
	else if (g_str_has_prefix(path, "/v1/parts/"))
		*kind = WATCH_NONE;
	else
		return false;
	return true;
}

void answers_take(struct answers *answers, SoupServerMessage *message,
		  const char *path, GHashTable *query)
{
	struct waiter *waiter;
	enum watch_kind kind;

	answers->call_count++;
	if (!path_read(path, &kind)) {
		message_answer(message, NULL);
		return;
	}
	waiter = g_new0(struct waiter, 1);
	waiter->answers = answers;
	waiter->message = g_object_ref(message);
	waiter->kind = kind;
	waiter->after = query_number(query, "after");
	waiter->deadline_ns =
		clock_now_ns(clock_system()) +
		(int64_t)MIN(query_number(query, "wait_ms"), WAIT_MS_MAX) *
			NS_PER_MS;
	if (kind == WATCH_NONE) {
		waiter->part_name = g_strdup(path + strlen("/v1/parts/"));
		waiter->part_digest = g_strdup(
			query ? g_hash_table_lookup(query, "digest") : NULL);
	}
	waiter->finished_handler = g_signal_connect(
		message, "finished", G_CALLBACK(on_finished), waiter);
	soup_server_message_pause(message);
	g_ptr_array_add(answers->waiters, waiter);
	answers_update(answers);
}

uint64_t answers_call_count(const struct answers *answers)
{
	return answers->call_count;
}
