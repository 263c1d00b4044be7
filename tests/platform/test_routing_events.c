/*
 * Guards against changes of hosts that wait for versions of the configuration
 * to be parsed that others have replaced (review case 10), and against a lower
 * version, or an invalid one, that hides a higher one in the same response.
 */

#include <check.h>
#include <string.h>

#include "platform/store_response.h"
#include "position.h"
#include "suite.h"

#define EVENTS_MAX 6

/* A version of the configuration, or another event. */
enum event {
	NO_EVENT = 0,
	HOST = -1,
	WITHOUT_VERSION = -2,
	NOT_JSON = -3,
	DELETED = -4,
	/* Versions that are not valid, as they lack routes, are 100 and above. */
	INVALID = 100,
};

static void event_append(GString *body, int event, uint32_t revision)
{
	static const char host[] =
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
		"\"version\":\"v1\",\"slots\":1,\"state\":\"draining\","
		"\"coldRemainingMs\":0,\"born\":1,\"sequence\":1}";
	const char *key = event == HOST ? "servers/i-1" : "op/config";
	char *value;
	char *encoded;

	if (event == HOST)
		value = g_strdup(host);
	else if (event == NOT_JSON)
		value = g_strdup("version 7");
	else if (event == WITHOUT_VERSION)
		value = g_strdup("{\"routes\":[],\"limits\":{}}");
	else
		value = g_strdup_printf(
			"{\"version\":%d%s,\"limits\":{\"idleTimeoutMs\":1500}}",
			event, event >= INVALID ? "" : ",\"routes\":[]");
	encoded = g_base64_encode((const guchar *)value, strlen(value));
	if (event == DELETED)
		g_string_append_printf(
			body,
			"{\"key\":\"%s\",\"deleted\":true,\"revision\":%u},",
			key, revision);
	else
		g_string_append_printf(
			body,
			"{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%u},",
			key, encoded, revision);
	g_free(encoded);
	g_free(value);
}

static struct store_response *response_create(const int events[EVENTS_MAX])
{
	GString *body = g_string_new("{\"events\":[");
	struct store_response *response;
	struct error error = { 0 };
	GBytes *bytes;

	for (uint32_t i = 0; i < EVENTS_MAX && events[i] != NO_EVENT; i++)
		event_append(body, events[i], 10 + i);
	g_string_truncate(body, body->len - 1);
	g_string_append(body, "],\"currentRev\":90}");
	bytes = g_string_free_to_bytes(body);
	response = store_response_parse(bytes, 4, &error);
	g_bytes_unref(bytes);
	ck_assert_ptr_nonnull(response);
	return response;
}

START_TEST(highest_valid_version_is_read_after_the_hosts) {
	static const struct {
		int events[EVENTS_MAX];
		uint64_t version; /* 0 for none */
		uint32_t revision; /* of its event */
		uint32_t hosts;
		uint32_t ignored; /* with a problem */
	} cases[] = {
		{ { 5 }, 5, 10, 0, 0 },
		{ { 5, 6, 7 }, 7, 12, 0, 0 },
		{ { 5, HOST, 6, HOST, 7, HOST }, 7, 14, 3, 0 },
		/* A lower version is never put in force. */
		{ { 7, HOST, 6 }, 7, 10, 1, 0 },
		{ { 7, 7 }, 7, 11, 0, 0 },
		{ { 5, 6, INVALID + 1 }, 6, 11, 0, 1 },
		{ { 5, INVALID + 2, INVALID + 1 }, 5, 10, 0, 2 },
		{ { INVALID + 1 }, 0, 0, 0, 1 },
		{ { 5, WITHOUT_VERSION, 6 }, 6, 12, 0, 1 },
		{ { NOT_JSON, HOST }, 0, 0, 1, 1 },
		{ { NOT_JSON, 5, HOST }, 5, 11, 1, 1 },
		{ { 5, DELETED }, 5, 10, 0, 0 },
		{ { HOST }, 0, 0, 1, 0 },
	};
	struct store_response *response = response_create(cases[_i].events);
	uint32_t ignored = 0;
	uint32_t hosts = 0;

	for (guint i = 0; i < response->items->len; i++) {
		const struct store_item *item =
			&g_array_index(response->items, struct store_item, i);

		ck_assert_uint_eq(item->position.era, 4);
		hosts += item->kind == STORE_ITEM_HOST;
		ignored += item->problem != NULL;
		if (item->kind != STORE_ITEM_ROUTING)
			continue;
		ck_assert_uint_eq(i, response->items->len - 1);
		ck_assert_uint_eq(item->routing->version, cases[_i].version);
		ck_assert_uint_eq(item->position.revision, cases[_i].revision);
		ck_assert_uint_eq(hosts, cases[_i].hosts);
		hosts |= 0x100;
	}
	ck_assert_uint_eq(hosts & 0xff, cases[_i].hosts);
	ck_assert_uint_eq(hosts >> 8, cases[_i].version != 0);
	ck_assert_uint_eq(ignored, cases[_i].ignored);
	ck_assert_uint_eq(response->position.revision, 90);
	store_response_free(response);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("routing events");
	TCase *cases = tcase_create("events");

	tcase_add_loop_test(
		cases, highest_valid_version_is_read_after_the_hosts, 0, 13);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
