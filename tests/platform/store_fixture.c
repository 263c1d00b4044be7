#include "store_fixture.h"

#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

struct store_fixture fixture;

static void item_append(GString *text, uint32_t number, uint64_t revision)
{
	char *value = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
		"\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
		"\"coldRemainingMs\":0,\"born\":1,\"sequence\":1}");
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(text,
			       "{\"key\":\"servers/i-%02x\",\"value\":\"%s\","
			       "\"revision\":%" PRIu64 "},",
			       number, encoded, revision);
	g_free(encoded);
	g_free(value);
}

static void text_respond(SoupServerMessage *message, GString *text)
{
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text->str,
					 text->len);
	g_string_free(text, TRUE);
}

static void trailing_comma_remove(GString *text)
{
	if (text->str[text->len - 1] == ',')
		g_string_truncate(text, text->len - 1);
}

static void range_respond(SoupServerMessage *message, GHashTable *query)
{
	const char *prefix = g_hash_table_lookup(query, "prefix");
	const char *after = g_hash_table_lookup(query, "after");
	uint32_t first = 1;
	uint32_t last;
	GString *text = g_string_new("{\"items\":[");

	if (strcmp(prefix, "op/") == 0)
		first = fixture.host_count + 1;
	else if (after)
		first = (uint32_t)strtoul(after + strlen("servers/i-"), NULL,
					  16) +
			1;
	else
		fixture.listings++;
	last = MIN(first + fixture.page_size - 1, fixture.host_count);
	for (uint32_t number = first; number <= last; number++)
		item_append(text, number, number);
	trailing_comma_remove(text);
	g_string_append_printf(
		text, "],\"hasMore\":%s,\"currentRev\":%" PRIu64 "}",
		last < fixture.host_count ? "true" : "false", fixture.revision);
	text_respond(message, text);
}

static void watch_respond(SoupServerMessage *message)
{
	GString *text = g_string_new("{\"events\":[");

	if (fixture.pending_changes > 0) {
		fixture.pending_changes = 0;
		fixture.revision++;
		item_append(text, 0xee, fixture.revision);
	}
	trailing_comma_remove(text);
	g_string_append_printf(text, "],\"currentRev\":%" PRIu64 "}",
			       fixture.revision);
	text_respond(message, text);
}

/* Sends white space, and the response itself after the last part. */
static gboolean part_send(gpointer data)
{
	SoupServerMessage *message = fixture.paused_message;
	SoupMessageBody *body = soup_server_message_get_response_body(message);
	GString *text = data;

	if (fixture.parts++ < fixture.parts_max) {
		soup_message_body_append(body, SOUP_MEMORY_STATIC, " ", 1);
		soup_server_message_unpause(message);
		return G_SOURCE_CONTINUE;
	}
	fixture.part_timer = 0;
	if (fixture.parts_max < SLOW_PARTS)
		return G_SOURCE_REMOVE;
	soup_message_body_append(body, SOUP_MEMORY_COPY, text->str, text->len);
	soup_message_body_complete(body);
	soup_server_message_unpause(message);
	return G_SOURCE_REMOVE;
}

static void text_free(gpointer data)
{
	g_string_free(data, TRUE);
}
static void parts_respond(SoupServerMessage *message, uint32_t parts_max)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "{\"events\":[],\"currentRev\":%" PRIu64 "}",
			       fixture.revision);
	g_set_object(&fixture.paused_message, message);
	fixture.parts = 0;
	fixture.parts_max = parts_max;
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	fixture.part_timer = g_timeout_add_full(
		G_PRIORITY_DEFAULT, SLOW_PAUSE_MS, part_send, text, text_free);
}

static void too_much_respond(SoupServerMessage *message)
{
	char *spaces = g_strnfill(TOO_MUCH_BYTES, ' ');

	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, spaces,
					 TOO_MUCH_BYTES);
}

static void era_set(SoupServerMessage *message)
{
	if (fixture.era_calls > 0 && --fixture.era_calls == 0)
		fixture.era = fixture.next_era;
	if (fixture.era)
		soup_message_headers_append(
			soup_server_message_get_response_headers(message),
			"Store-Era", fixture.era);
}

static void request_handle(SoupServer *server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	bool is_watch = strcmp(path, "/api/kv-watch") == 0;
	enum behaviour behaviour = RESPOND;

	(void)server;
	(void)data;
	fixture.calls++;
	era_set(message);
	if (fixture.behaviour_count > 0 &&
	    fixture.calls >= fixture.behaviour_call &&
	    (is_watch || (fixture.behaviour != RESPOND_HISTORY_GONE &&
			  fixture.behaviour != RESPOND_TOO_MUCH))) {
		fixture.behaviour_count--;
		behaviour = fixture.behaviour;
	}
	switch (behaviour) {
	case RESPOND:
		if (is_watch)
			watch_respond(message);
		else
			range_respond(message, query);
		break;
	case RESPOND_UNAVAILABLE:
		soup_server_message_set_status(message, 503, NULL);
		break;
	case RESPOND_HISTORY_GONE:
		soup_server_message_set_status(message, 410, NULL);
		break;
	case NO_RESPONSE:
		soup_server_message_pause(message);
		g_set_object(&fixture.paused_message, message);
		break;
	case RESPOND_MALFORMED:
		text_respond(message, g_string_new("<html>"));
		break;
	case RESPOND_SLOWLY:
		parts_respond(message, SLOW_PARTS);
		break;
	case RESPOND_IN_PART:
		parts_respond(message, 1);
		break;
	case RESPOND_TOO_MUCH:
		too_much_respond(message);
		break;
	}
}

static void listing_begin_ignore(void *context, struct store_position position)
{
	(void)context;
	(void)position;
}

static void listing_end_count(void *context)
{
	(void)context;
	fixture.listing_ends++;
}

static void first_page_record(void *context, bool has_more)
{
	(void)context;
	fixture.first_pages++;
	fixture.has_more = has_more;
	if (fixture.stops_at_first_page)
		store_set_following(fixture.store, false);
}

static void item_record(void *context, const struct store_item *item)
{
	(void)context;
	fixture.reported_era = item->position.era;
	if (item->kind == STORE_ITEM_HOST)
		g_hash_table_add(fixture.reported_ids, g_strdup(item->host.id));
}

static void current_ignore(void *context, struct store_position position,
			   int64_t at_ns)
{
	(void)context;
	(void)at_ns;
	fixture.confirmed = position;
}

static void era_change_count(void *context, struct store_position position,
			     uint64_t era)
{
	(void)context;
	ck_assert_uint_lt(position.era, era);
	fixture.era_changes++;
}

static void era_missing_count(void *context, const char *value, uint64_t era)
{
	(void)context;
	(void)era;
	ck_assert_str_eq(value, fixture.era ? fixture.era : "");
	fixture.eras_missing++;
}

static void miss_count(void *context, const char *reason,
		       struct store_position position)
{
	(void)context;
	ck_assert_ptr_nonnull(reason);
	ck_assert_uint_le(position.revision, fixture.revision);
	fixture.misses++;
}

static void reachability_count(void *context, bool is_reachable,
			       const char *reason)
{
	(void)context;
	(void)reason;
	if (is_reachable)
		fixture.recoveries++;
	else
		fixture.outages++;
}

void store_open(void)
{
	struct store_options options = {
		.clock = clock_system(),
		.random_seed = 1,
		.watch_wait_ms = 50,
		.response_timeout_ms = RESPONSE_TIMEOUT_MS,
		.batch_ms = 5,
		.on_listing_begin = listing_begin_ignore,
		.on_listing_end = listing_end_count,
		.on_first_page = first_page_record,
		.on_item = item_record,
		.on_position_confirmed = current_ignore,
		.on_changes_missed = miss_count,
		.on_era_changed = era_change_count,
		.on_era_missing = era_missing_count,
		.on_reachability_changed = reachability_count,
	};
	char address[64];
	GSList *uris;

	memset(&fixture, 0, sizeof(fixture));
	fixture.page_size = 10;
	fixture.host_count = 25;
	fixture.revision = 100;
	fixture.reported_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fixture.server = soup_server_new(NULL, NULL);
	soup_server_add_handler(fixture.server, NULL, request_handle, NULL,
				NULL);
	ck_assert(soup_server_listen_local(fixture.server, 0,
					   SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(fixture.server);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	options.address = address;
	fixture.store = store_create(&options);
}

void store_close(void)
{
	store_destroy(fixture.store);
	if (fixture.part_timer)
		g_source_remove(fixture.part_timer);
	g_clear_object(&fixture.paused_message);
	soup_server_disconnect(fixture.server);
	g_object_unref(fixture.server);
	g_hash_table_unref(fixture.reported_ids);
	while (g_main_context_iteration(NULL, FALSE))
		;
}

static gboolean time_up(gpointer context)
{
	*(bool *)context = true;
	return G_SOURCE_REMOVE;
}

void loop_run(uint32_t ms)
{
	bool is_over = false;

	g_timeout_add(ms, time_up, &is_over);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

void listings_wait(uint32_t count)
{
	for (int i = 0; i < 500 && fixture.listing_ends < count; i++)
		loop_run(10);
	ck_assert_uint_ge(fixture.listing_ends, count);
}
