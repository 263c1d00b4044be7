/*
 * Guards against a client that misses changes between pages or after the store
 * discarded its history or answers too much at once, waits forever for a
 * response, gives up one that makes progress, or sends requests to an
 * unavailable store without a delay.
 */

#include <check.h>
#include <inttypes.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "platform/store.h"
#include "suite.h"

/*
 * The simulated store runs in the same main loop. With 200 ms, a stall of the
 * test process on a busy machine was taken for a missing response.
 */
#define RESPONSE_TIMEOUT_MS 5000

/* Next response of the simulated store. */
enum behaviour {
	RESPOND,
	RESPOND_UNAVAILABLE, /* 503 */
	RESPOND_HISTORY_GONE, /* 410 to a watch */
	NO_RESPONSE, /* never responds */
	RESPOND_MALFORMED,
	RESPOND_SLOWLY, /* each part before the timeout, all of it after */
	RESPOND_IN_PART, /* and no more */
	RESPOND_TOO_MUCH, /* to a watch */
};

/* Parts of a slow response, and the pause between them. */
#define SLOW_PARTS 6
#define SLOW_PAUSE_MS (RESPONSE_TIMEOUT_MS / 4)
/* More than the client accepts. */
#define TOO_MUCH_BYTES (9 * 1024 * 1024)

struct fixture {
	SoupServer *server;
	struct store *store;
	enum behaviour behaviour;
	uint32_t behaviour_count; /* responses that it still applies to */
	uint32_t calls;
	uint32_t listings; /* first pages requested */
	uint64_t revision;
	uint32_t page_size; /* hosts per page */
	uint32_t host_count;
	uint32_t pending_changes; /* changes that no watch has reported */
	GHashTable *reported_ids; /* ids that the client reported */
	uint32_t listing_ends;
	uint32_t first_pages;
	bool has_more; /* of the last first page */
	bool stops_at_first_page;
	uint32_t outages;
	uint32_t recoveries;
	uint32_t misses; /* times that changes could not be had */
	SoupServerMessage *paused_message;
	uint32_t parts; /* of the paused message that were sent */
	uint32_t parts_max;
	guint part_timer;
};

static struct fixture fixture;

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

static void request_handle(SoupServer *server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	bool is_watch = strcmp(path, "/api/kv-watch") == 0;
	enum behaviour behaviour = RESPOND;

	(void)server;
	(void)data;
	fixture.calls++;
	if (fixture.behaviour_count > 0 &&
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

static void listing_begin_ignore(void *context, uint64_t revision)
{
	(void)context;
	(void)revision;
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
	if (item->kind == STORE_ITEM_HOST)
		g_hash_table_add(fixture.reported_ids, g_strdup(item->host.id));
}

static void current_ignore(void *context, uint64_t revision, int64_t at_ns)
{
	(void)context;
	(void)revision;
	(void)at_ns;
}

static void miss_count(void *context, const char *reason, uint64_t revision)
{
	(void)context;
	ck_assert_ptr_nonnull(reason);
	ck_assert_uint_le(revision, fixture.revision);
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

static void store_open(void)
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
		.on_revision_confirmed = current_ignore,
		.on_changes_missed = miss_count,
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

static void store_close(void)
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

static void loop_run(uint32_t ms)
{
	bool is_over = false;

	g_timeout_add(ms, time_up, &is_over);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

/* Runs the loop until @count listings have ended, 5 s at most. */
static void listings_wait(uint32_t count)
{
	for (int i = 0; i < 500 && fixture.listing_ends < count; i++)
		loop_run(10);
	ck_assert_uint_ge(fixture.listing_ends, count);
}

START_TEST(all_pages_are_listed) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	ck_assert_uint_eq(g_hash_table_size(fixture.reported_ids), 25);
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

/* A client stopped at the first page restarts the listing from there. */
START_TEST(first_page_reports_whether_more_follow) {
	fixture.page_size = _i == 0 ? 25 : 10;
	fixture.stops_at_first_page = true;
	store_set_following(fixture.store, true);
	loop_run(200);
	ck_assert_uint_eq(fixture.first_pages, 1);
	ck_assert(fixture.has_more == (_i == 1));
	ck_assert_uint_eq(fixture.calls, 1);
	ck_assert_uint_eq(fixture.listing_ends, 0);
	fixture.stops_at_first_page = false;
	store_set_following(fixture.store, true);
	listings_wait(1);
	ck_assert_uint_eq(g_hash_table_size(fixture.reported_ids), 25);
	ck_assert_uint_eq(fixture.listings, 2);
}
END_TEST

START_TEST(watch_reports_change) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	fixture.pending_changes = 1;
	loop_run(500);
	ck_assert(g_hash_table_contains(fixture.reported_ids, "i-ee"));
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

START_TEST(client_recovers_from_store_faults) {
	static const struct {
		enum behaviour behaviour;
		uint32_t count;
		uint32_t listings_min; /* after the fault */
		uint32_t outages;
		uint32_t misses;
		uint32_t wait_ms;
	} cases[] = {
		{ RESPOND_HISTORY_GONE, 1, 2, 0, 1, 1500 },
		{ RESPOND_UNAVAILABLE, 3, 1, 1, 0, 1500 },
		{ NO_RESPONSE, 1, 1, 1, 0, 1500 + RESPONSE_TIMEOUT_MS },
		{ RESPOND_MALFORMED, 2, 1, 1, 0, 1500 },
		/* The same watch would get the same answer. */
		{ RESPOND_TOO_MUCH, 1, 2, 0, 1, 1500 },
		{ RESPOND_TOO_MUCH, 3, 4, 0, 3, 3000 },
		{ RESPOND_SLOWLY, 1, 1, 0, 0,
		  500 + (SLOW_PARTS + 1) * SLOW_PAUSE_MS },
		{ RESPOND_IN_PART, 1, 1, 1, 0,
		  1500 + RESPONSE_TIMEOUT_MS + SLOW_PAUSE_MS },
	};

	store_set_following(fixture.store, true);
	listings_wait(1);
	fixture.behaviour = cases[_i].behaviour;
	fixture.behaviour_count = cases[_i].count;
	loop_run(cases[_i].wait_ms);
	fixture.pending_changes = 1;
	loop_run(600);
	ck_assert(g_hash_table_contains(fixture.reported_ids, "i-ee"));
	ck_assert_uint_ge(fixture.listings, cases[_i].listings_min);
	ck_assert_uint_eq(fixture.outages, cases[_i].outages);
	ck_assert_uint_eq(fixture.misses, cases[_i].misses);
}
END_TEST

START_TEST(unavailable_store_gets_few_requests) {
	fixture.behaviour = RESPOND_UNAVAILABLE;
	fixture.behaviour_count = 1000;
	store_set_following(fixture.store, true);
	loop_run(1500);
	ck_assert_uint_ge(fixture.calls, 2);
	ck_assert_uint_le(fixture.calls, 12);
	ck_assert_uint_eq(fixture.outages, 1);
}
END_TEST

START_TEST(stopped_client_sends_no_requests) {
	uint32_t calls;

	store_set_following(fixture.store, true);
	listings_wait(1);
	store_set_following(fixture.store, false);
	loop_run(100);
	calls = fixture.calls;
	loop_run(300);
	ck_assert_uint_eq(fixture.calls, calls);
}
END_TEST

START_TEST(finished_listing_is_not_repeated) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	loop_run(200);
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

START_TEST(known_revision_avoids_the_listing) {
	store_set_revision(fixture.store, 100);
	store_set_following(fixture.store, true);
	loop_run(200);
	ck_assert_uint_ge(fixture.calls, 1);
	ck_assert_uint_eq(fixture.listings, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store");
	TCase *cases = tcase_create("store");

	tcase_set_timeout(cases, 20);
	tcase_add_checked_fixture(cases, store_open, store_close);
	tcase_add_test(cases, all_pages_are_listed);
	tcase_add_loop_test(cases, first_page_reports_whether_more_follow, 0,
			    2);
	tcase_add_test(cases, watch_reports_change);
	tcase_add_loop_test(cases, client_recovers_from_store_faults, 0, 8);
	tcase_add_test(cases, unavailable_store_gets_few_requests);
	tcase_add_test(cases, stopped_client_sends_no_requests);
	tcase_add_test(cases, finished_listing_is_not_repeated);
	tcase_add_test(cases, known_revision_avoids_the_listing);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
