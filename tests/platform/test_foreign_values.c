/*
 * Guards against values of other programs that make a balancer exceed its
 * memory limit, or hide the other entries: the store takes any bytes of up to
 * 1 MiB under the prefix of the hosts.
 */

#include <check.h>
#include <string.h>
#include <sys/resource.h>

#include "platform/store_response.h"
#include "position.h"
#include "suite.h"

#define VALUE_BYTES_MAX (1024 * 1024)
/* A quarter of the smallest limit of an instance in service, 60 MB. */
#define MEMORY_KIB_MAX (15 * 1000 * 1000 / 1024)

#define HOST_FIELDS                                                       \
	"\"address\":\"10.9.0.9:80\",\"zone\":\"a\",\"version\":\"v1\","  \
	"\"slots\":3,\"coldRemainingMs\":0,\"sequence\":4,\"born\":1700," \
	"\"state\":\"ready\""

/* A text that repeats @unit until it has the largest size. */
struct shape {
	const char *head;
	const char *unit;
	const char *separator;
	const char *tail;
	enum store_item_kind kind;
};

static const struct shape shapes[] = {
	/* Where the name of the service should be. */
	{ "{\"service\":[", "{}", ",", "]}", STORE_ITEM_IGNORED },
	{ "{\"service\":[", "[]", ",", "]}", STORE_ITEM_IGNORED },
	{ "{\"service\":[", "0", ",", "]}", STORE_ITEM_IGNORED },
	{ "{\"service\":[", "\"\"", ",", "]}", STORE_ITEM_IGNORED },
	{ "{\"service\":[", "{\"a\":{}}", ",", "]}", STORE_ITEM_IGNORED },
	{ "{\"service\":{", "\"\":0", ",", "}}", STORE_ITEM_IGNORED },
	{ "{\"service\":\"", "s", "", "\"," HOST_FIELDS "}",
	  STORE_ITEM_IGNORED },
	{ "{", "\"service\":\"t\"", ",", "}", STORE_ITEM_IGNORED },
	{ "{", "\"\\u0073ervice\":0", ",", "}", STORE_ITEM_IGNORED },
	/* Text that cannot be read. */
	{ "", "[", "", "", STORE_ITEM_IGNORED },
	{ "", "{\"a\":", "", "", STORE_ITEM_IGNORED },
	{ "", "\\\"", "", "", STORE_ITEM_IGNORED },
	{ "{\"a\":\"", "\\\"", "", "", STORE_ITEM_IGNORED },
	{ "", "\xff", "", "", STORE_ITEM_IGNORED },
	/* In a member that is not used, of an entry that names a host. */
	{ "{\"service\":\"s\"," HOST_FIELDS ",\"x\":[", "{}", ",", "]}",
	  STORE_ITEM_HOST },
	{ "{\"x\":{", "\"a\":[0]", ",", "},\"service\":\"s\"," HOST_FIELDS "}",
	  STORE_ITEM_HOST },
	{ "{\"service\":\"s\"," HOST_FIELDS ",\"x\":\"", "\\u0000", "", "\"}",
	  STORE_ITEM_HOST },
	{ "{\"service\":\"s\"," HOST_FIELDS ",", "\"x\":{}", ",", "}",
	  STORE_ITEM_HOST },
	/* Of members that occur twice, the last one counts. */
	{ "{", "\"service\":[]", ",", ",\"service\":\"s\"," HOST_FIELDS "}",
	  STORE_ITEM_HOST },
};

static GString *value_create(const struct shape *shape)
{
	size_t ends = strlen(shape->head) + strlen(shape->tail);
	size_t step = strlen(shape->separator) + strlen(shape->unit);
	GString *value = g_string_sized_new(VALUE_BYTES_MAX);

	g_string_append(value, shape->head);
	g_string_append(value, shape->unit);
	while (value->len + step + ends <= VALUE_BYTES_MAX) {
		g_string_append(value, shape->separator);
		g_string_append(value, shape->unit);
	}
	g_string_append(value, shape->tail);
	return value;
}

/* The most memory that this process has used. */
static long memory_peak_kib(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

static void memory_check(long before_kib)
{
	ck_assert_int_le(memory_peak_kib() - before_kib, MEMORY_KIB_MAX);
}

/* Guards against a tree of all values of an entry, whatever they hold. */
START_TEST(largest_value_takes_little_memory) {
	GString *value = value_create(&shapes[_i]);
	long before_kib = memory_peak_kib();
	struct store_item item;

	store_item_parse("servers/agent-1", value->str, value->len,
			 position_at(9), &item);
	memory_check(before_kib);
	ck_assert_int_eq(item.kind, shapes[_i].kind);
	store_item_clear(&item);
	store_item_parse("op/evacuate/a", value->str, value->len,
			 position_at(9), &item);
	memory_check(before_kib);
	ck_assert_str_eq(item.zone, "a");
	store_item_clear(&item);
	g_string_free(value, TRUE);
}
END_TEST

static void item_append(GString *body, const char *key, const char *value,
			size_t length)
{
	char *encoded = g_base64_encode((const guchar *)value, length);

	g_string_append_printf(body, "{\"key\":\"%s\",\"value\":\"%s\",", key,
			       encoded);
	g_string_append(body, "\"revision\":7},");
	g_free(encoded);
}

/* Guards against memory that adds up over the values of one response. */
START_TEST(many_largest_values_in_one_response_take_little_memory) {
	static const char host[] = "{\"service\":\"s\"," HOST_FIELDS "}";
	GString *value = value_create(&shapes[_i]);
	GString *body = g_string_new("{\"events\":[");
	struct store_response *response;
	const struct store_item *last;
	long before_kib;
	GBytes *bytes;

	for (int i = 0; i < 5; i++)
		item_append(body, "servers/agent-1", value->str, value->len);
	item_append(body, "servers/i-2", host, strlen(host));
	g_string_truncate(body, body->len - 1);
	g_string_append(body, "],\"currentRev\":9}");
	bytes = g_string_free_to_bytes(body);
	before_kib = memory_peak_kib();
	response = store_response_parse(bytes, 0, NULL);
	memory_check(before_kib);
	ck_assert_ptr_nonnull(response);
	ck_assert_uint_eq(response->items->len, 6);
	last = &g_array_index(response->items, struct store_item, 5);
	ck_assert_int_eq(last->kind, STORE_ITEM_HOST);
	ck_assert_str_eq(last->host.id, "i-2");
	store_response_free(response);
	g_bytes_unref(bytes);
	g_string_free(value, TRUE);
}
END_TEST

/*
 * Guards against a host that is not used because of a member that other
 * versions of its software add.
 */
START_TEST(deeply_nested_member_hides_no_host) {
	GString *value =
		g_string_new("{\"service\":\"s\"," HOST_FIELDS ",\"x\":");
	struct store_item item;

	for (int i = 0; i < 400000; i++)
		g_string_append_c(value, '[');
	for (int i = 0; i < 400000; i++)
		g_string_append_c(value, ']');
	g_string_append_c(value, '}');
	store_item_parse("servers/i-1", value->str, value->len, position_at(9),
			 &item);
	ck_assert_int_eq(item.kind, STORE_ITEM_HOST);
	store_item_clear(&item);
	g_string_free(value, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("foreign values");
	TCase *cases = tcase_create("foreign values");

	/* Valgrind and sanitizers are slow. */
	tcase_set_timeout(cases, 60);
	tcase_add_loop_test(cases, largest_value_takes_little_memory, 0,
			    G_N_ELEMENTS(shapes));
	tcase_add_loop_test(
		cases, many_largest_values_in_one_response_take_little_memory,
		0, G_N_ELEMENTS(shapes));
	tcase_add_test(cases, deeply_nested_member_hides_no_host);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
