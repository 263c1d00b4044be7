/*
 * Guards against a client that misses changes between pages or after a dropped
 * history, waits for a silent connection, or calls a refusing store in a loop.
 */

#include <check.h>
#include <inttypes.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "platform/store.h"
#include "suite.h"

/*
 * The stand-in answers in the same loop. With 200 ms, a stall of the test process
 * on a busy machine counted as an answer that did not come.
 */
#define ANSWER_TIMEOUT_MS 5000

/* What the stand-in answers next. */
enum behaviour {
	ANSWER,
	REFUSE, /* 503 */
	DROP_HISTORY, /* 410 to a watch */
	SILENCE, /* never answers */
	NONSENSE,
};

struct fixture {
	SoupServer *server;
	struct store *store;
	enum behaviour behaviour;
	uint32_t behaviour_count; /* answers that it still holds for */
	uint32_t calls;
	uint32_t listings; /* first pages asked for */
	uint64_t revision;
	uint32_t page; /* hosts on a page */
	uint32_t host_count;
	uint32_t watched; /* changes not yet told by a watch */
	GHashTable *seen; /* ids that the client passed on */
	uint32_t listing_ends;
	uint32_t first_pages;
	bool has_more; /* behind the last first page */
	bool stops_at_first_page;
	uint32_t lost;
	uint32_t regained;
	SoupServerMessage *silenced;
};

static struct fixture fixture;

static void item_append(GString *text, uint32_t number, uint64_t revision)
{
	char *value = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"ready\",\"coldRemainingMs\":0,"
		"\"born\":1,\"sequence\":1}");
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	g_string_append_printf(text,
			       "{\"key\":\"servers/i-%02x\",\"value\":\"%s\","
			       "\"revision\":%" PRIu64 "},",
			       number, encoded, revision);
	g_free(encoded);
	g_free(value);
}

static void text_answer(SoupServerMessage *message, GString *text)
{
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text->str,
					 text->len);
	g_string_free(text, TRUE);
}

static void list_end(GString *text)
{
	if (text->str[text->len - 1] == ',')
		g_string_truncate(text, text->len - 1);
}

static void range_answer(SoupServerMessage *message, GHashTable *query)
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
	last = MIN(first + fixture.page - 1, fixture.host_count);
	for (uint32_t number = first; number <= last; number++)
		item_append(text, number, number);
	list_end(text);
	g_string_append_printf(
		text, "],\"hasMore\":%s,\"currentRev\":%" PRIu64 "}",
		last < fixture.host_count ? "true" : "false", fixture.revision);
	text_answer(message, text);
}

static void watch_answer(SoupServerMessage *message)
{
	GString *text = g_string_new("{\"events\":[");

	if (fixture.watched > 0) {
		fixture.watched = 0;
		fixture.revision++;
		item_append(text, 0xee, fixture.revision);
	}
	list_end(text);
	g_string_append_printf(text, "],\"currentRev\":%" PRIu64 "}",
			       fixture.revision);
	text_answer(message, text);
}

static void request_handle(SoupServer *server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	bool is_watch = strcmp(path, "/api/kv-watch") == 0;
	enum behaviour behaviour = ANSWER;

	(void)server;
	(void)data;
	fixture.calls++;
	if (fixture.behaviour_count > 0 &&
	    (is_watch || fixture.behaviour != DROP_HISTORY)) {
		fixture.behaviour_count--;
		behaviour = fixture.behaviour;
	}
	switch (behaviour) {
	case ANSWER:
		if (is_watch)
			watch_answer(message);
		else
			range_answer(message, query);
		break;
	case REFUSE:
		soup_server_message_set_status(message, 503, NULL);
		break;
	case DROP_HISTORY:
		soup_server_message_set_status(message, 410, NULL);
		break;
	case SILENCE:
		soup_server_message_pause(message);
		fixture.silenced = g_object_ref(message);
		break;
	case NONSENSE:
		text_answer(message, g_string_new("<html>"));
		break;
	}
}

static void begin_ignore(void *context, uint64_t revision)
{
	(void)context;
	(void)revision;
}

static void end_count(void *context)
{
	(void)context;
	fixture.listing_ends++;
}

static void first_page_note(void *context, bool has_more)
{
	(void)context;
	fixture.first_pages++;
	fixture.has_more = has_more;
	if (fixture.stops_at_first_page)
		store_set_following(fixture.store, false);
}

static void item_note(void *context, const struct store_item *item)
{
	(void)context;
	if (item->kind == STORE_ITEM_HOST)
		g_hash_table_add(fixture.seen, g_strdup(item->host.id));
}

static void current_ignore(void *context, uint64_t revision, int64_t at_ns)
{
	(void)context;
	(void)revision;
	(void)at_ns;
}

static void reachable_count(void *context, bool is_reachable,
			    const char *reason)
{
	(void)context;
	(void)reason;
	if (is_reachable)
		fixture.regained++;
	else
		fixture.lost++;
}

static void store_open(void)
{
	struct store_options options = {
		.clock = clock_system(),
		.random_seed = 1,
		.watch_wait_ms = 50,
		.response_timeout_ms = ANSWER_TIMEOUT_MS,
		.batch_ms = 5,
		.on_listing_begin = begin_ignore,
		.on_listing_end = end_count,
		.on_first_page = first_page_note,
		.on_item = item_note,
		.on_current = current_ignore,
		.on_reachable = reachable_count,
	};
	char address[64];
	GSList *uris;

	memset(&fixture, 0, sizeof(fixture));
	fixture.page = 10;
	fixture.host_count = 25;
	fixture.revision = 100;
	fixture.seen =
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
	if (fixture.silenced)
		g_object_unref(fixture.silenced);
	soup_server_disconnect(fixture.server);
	g_object_unref(fixture.server);
	g_hash_table_unref(fixture.seen);
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
	ck_assert_uint_eq(g_hash_table_size(fixture.seen), 25);
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

/* A client that is stopped then lists from the first page when it goes on. */
START_TEST(first_page_tells_whether_more_are_left) {
	fixture.page = _i == 0 ? 25 : 10;
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
	ck_assert_uint_eq(g_hash_table_size(fixture.seen), 25);
	ck_assert_uint_eq(fixture.listings, 2);
}
END_TEST

START_TEST(change_is_watched) {
	store_set_following(fixture.store, true);
	listings_wait(1);
	fixture.watched = 1;
	loop_run(500);
	ck_assert(g_hash_table_contains(fixture.seen, "i-ee"));
	ck_assert_uint_eq(fixture.listings, 1);
}
END_TEST

START_TEST(faults_end_in_a_listing_or_a_retry) {
	static const struct {
		enum behaviour behaviour;
		uint32_t count;
		uint32_t listings_min; /* after the fault */
		uint32_t lost;
		uint32_t wait_ms;
	} cases[] = {
		{ DROP_HISTORY, 1, 2, 0, 1500 },
		{ REFUSE, 3, 1, 1, 1500 },
		{ SILENCE, 1, 1, 1, 1500 + ANSWER_TIMEOUT_MS },
		{ NONSENSE, 2, 1, 1, 1500 },
	};

	store_set_following(fixture.store, true);
	listings_wait(1);
	fixture.behaviour = cases[_i].behaviour;
	fixture.behaviour_count = cases[_i].count;
	loop_run(cases[_i].wait_ms);
	fixture.watched = 1;
	loop_run(600);
	ck_assert(g_hash_table_contains(fixture.seen, "i-ee"));
	ck_assert_uint_ge(fixture.listings, cases[_i].listings_min);
	ck_assert_uint_eq(fixture.lost, cases[_i].lost);
}
END_TEST

START_TEST(refusing_store_is_not_called_in_a_loop) {
	fixture.behaviour = REFUSE;
	fixture.behaviour_count = 1000;
	store_set_following(fixture.store, true);
	loop_run(1500);
	ck_assert_uint_ge(fixture.calls, 2);
	ck_assert_uint_le(fixture.calls, 12);
	ck_assert_uint_eq(fixture.lost, 1);
}
END_TEST

START_TEST(stopped_client_makes_no_call) {
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

START_TEST(known_revision_saves_the_listing) {
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
	tcase_add_loop_test(cases, first_page_tells_whether_more_are_left, 0,
			    2);
	tcase_add_test(cases, change_is_watched);
	tcase_add_loop_test(cases, faults_end_in_a_listing_or_a_retry, 0, 4);
	tcase_add_test(cases, refusing_store_is_not_called_in_a_loop);
	tcase_add_test(cases, stopped_client_makes_no_call);
	tcase_add_test(cases, finished_listing_is_not_repeated);
	tcase_add_test(cases, known_revision_saves_the_listing);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
