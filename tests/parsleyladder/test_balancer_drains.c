/*
 * Guards against requests to drain a zone that are followed although they are
 * invalid, or that end what is in force; against packets that are placed before
 * the drained zones are known; and against drains that the metrics do not show.
 */

#include <check.h>
#include <glib.h>
#include <string.h>

#include "balancer_fixture.h"
#include "position.h"
#include "suite.h"

static struct balancer_fixture fixture;

static void balancer_open(void)
{
	balancer_fixture_open(&fixture);
}

static void balancer_close(void)
{
	balancer_fixture_close(&fixture);
}

static void zones_set(const char *zones)
{
	struct settings *settings = fixture.balancer->settings;

	g_strfreev(settings->availability_zones);
	settings->availability_zones = g_strsplit(zones, ",", -1);
}

/* Publishes a request; NULL as its value withdraws it. */
static void request_apply(const char *zone, const char *value,
			  uint64_t revision)
{
	char *key = g_strconcat("op/evacuate/", zone, NULL);
	struct store_item item;

	store_item_parse(key, value ? value : "{}", value ? strlen(value) : 2,
			 position_at(revision), &item);
	if (!value)
		item.kind = STORE_ITEM_ZONE_DRAIN_REMOVED;
	balancer_drain_apply(fixture.balancer, &item);
	store_item_clear(&item);
	g_free(key);
}

static bool is_drained(const char *zone)
{
	return zone_drains_is_active(
		steering_zone_drains(fixture.balancer->steering), zone);
}

START_TEST(invalid_requests_are_ignored) {
	static const struct {
		const char *zones; /* of the deployment */
		const char *known; /* value of an earlier request, or NULL */
		const char *value;
		bool is_drained;
	} cases[] = {
		{ "", NULL, "{}", true },     { "a,b", NULL, "{}", true },
		{ "a,c", NULL, "{}", false }, { "a,b", NULL, "[]", false },
		{ "a,b", "{}", "[]", true },  { "a,b", "{}", NULL, false },
		{ "a,c", NULL, NULL, false },
	};

	zones_set(cases[_i].zones);
	if (cases[_i].known)
		request_apply("b", cases[_i].known, 10);
	request_apply("b", cases[_i].value, 11);
	ck_assert(is_drained("b") == cases[_i].is_drained);
}
END_TEST

/*
 * A listing with an entry that cannot be used leaves the zone as it was, and
 * does not say that the zone is not drained.
 */
START_TEST(unusable_entry_of_a_listing_withdraws_nothing) {
	struct zone_drains *drains =
		steering_zone_drains(fixture.balancer->steering);

	request_apply("b", "{}", 10);
	zone_drains_listing_begin(drains, position_at(20));
	request_apply("b", "[]", 12);
	zone_drains_listing_end(drains, fixture.now_ns);
	ck_assert(is_drained("b"));
	ck_assert_uint_eq(zone_drains_listed_position(drains).revision, 0);
	/* Nor does one of a zone that the settings do not name. */
	zones_set("a");
	zone_drains_listing_begin(drains, position_at(30));
	request_apply("b", "{}", 10);
	zone_drains_listing_end(drains, fixture.now_ns);
	ck_assert(is_drained("b"));
	ck_assert_uint_eq(zone_drains_listed_position(drains).revision, 0);
	zone_drains_listing_begin(drains, position_at(40));
	zone_drains_listing_end(drains, fixture.now_ns);
	ck_assert(!is_drained("b"));
}
END_TEST

static void host_publish(const char *id, const char *zone)
{
	struct host_announcement host = { .position = position_at(5),
					  .slots = 1 };

	g_strlcpy(host.id, id, sizeof(host.id));
	g_strlcpy(host.zone, zone, sizeof(host.zone));
	g_strlcpy(host.service, "examen", sizeof(host.service));
	host_table_put(steering_hosts(fixture.balancer->steering), &host,
		       fixture.now_ns);
}

START_TEST(drains_are_shown) {
	JsonBuilder *builder = json_builder_new();
	struct known_host *host;
	JsonNode *root;
	char *text;

	host_publish("i-1", "b");
	host = host_table_find(steering_hosts(fixture.balancer->steering),
			       "i-1");
	host->open_flows = 7;
	/* The delay of drains that are known from the start is unknown. */
	request_apply("c", "{}", 10);
	ck_assert_int_eq(
		balancer_fixture_counter(&fixture, "zone_drain_delay_ms_count"),
		0);
	fixture.balancer->replica_status.confirmed_ns = fixture.now_ns;
	fixture.now_ns += 700 * NS_PER_MS;
	request_apply("b", "{}", 11);
	request_apply("c", NULL, 12);
	ck_assert_int_eq(
		balancer_fixture_counter(&fixture, "zone_drain_delay_ms_count"),
		2);
	ck_assert_int_eq(
		balancer_fixture_counter(&fixture, "zone_drain_delay_ms_sum"),
		1400);
	balancer_drains_sample(fixture.balancer);
	ck_assert_int_eq(
		balancer_fixture_counter(&fixture, "balancer_drained_zones"),
		1);
	ck_assert_int_eq(balancer_fixture_counter(
				 &fixture, "balancer_drained_zone_flows"),
			 7);
	json_builder_begin_object(builder);
	balancer_drains_print(fixture.balancer, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	ck_assert_ptr_nonnull(strstr(text, "{\"zone\":\"b\",\"is_active\":true,"
					   "\"revision\":11,"));
	ck_assert_ptr_nonnull(strstr(text, "\"open_flows\":7}"));
	ck_assert_ptr_nonnull(strstr(text, "\"is_active\":false,"
					   "\"revision\":12,"));
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
	host->open_flows = 0;
}
END_TEST

/* Held packets are placed once the drains are known, or cannot be had. */
START_TEST(sync_waits_for_the_drains) {
	static const struct {
		bool has_drains;
		uint32_t waited_ms;
		bool is_synced;
	} cases[] = {
		{ false, 0, false },
		{ false, 450, false },
		{ false, 550, true },
		{ true, 0, true },
	};
	struct balancer *balancer = fixture.balancer;
	struct routing *routing = routing_create(1, 1000, NULL, 0);

	balancer_routing_apply(balancer, routing);
	routing_unref(routing);
	balancer->replica_status.is_complete = true;
	sharing_tick(balancer->sharing);
	balancer->replica_status.has_zone_drains = cases[_i].has_drains;
	fixture.now_ns += cases[_i].waited_ms * NS_PER_MS;
	balancer_sync_check(balancer);
	ck_assert(balancer->is_synced == cases[_i].is_synced);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("balancer drains");
	TCase *cases = tcase_create("drains");

	tcase_add_checked_fixture(cases, balancer_open, balancer_close);
	tcase_add_loop_test(cases, invalid_requests_are_ignored, 0, 7);
	tcase_add_test(cases, unusable_entry_of_a_listing_withdraws_nothing);
	tcase_add_test(cases, drains_are_shown);
	tcase_add_loop_test(cases, sync_waits_for_the_drains, 0, 4);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
