/*
 * Guards against hosts that come back, or are never removed, because changes
 * from several members arrive in another order than they were published.
 */

#include <check.h>

#include "common/clock.h"
#include "sharing/replica.h"
#include "suite.h"

#define NOW_NS (1000 * NS_PER_S)

static void change_ignore(void *context, const struct known_host *host,
			  bool is_new)
{
	(void)context;
	(void)host;
	(void)is_new;
}

static void end_ignore(void *context, struct known_host *host,
		       bool is_restarted)
{
	(void)context;
	(void)host;
	(void)is_restarted;
}

static bool service_is_used(void *context, const char *service)
{
	(void)context;
	(void)service;
	return true;
}

static struct host_table *table_create(void)
{
	const struct host_table_options options = {
		.is_service_used = service_is_used,
		.on_changed = change_ignore,
		.on_ended = end_ignore,
	};

	return host_table_create(&options);
}

static void change_apply(struct host_table *table, uint64_t revision,
			 bool is_removed)
{
	const struct host_update update = {
		.is_removed = is_removed,
		.host = { .id = "i-0007",
			  .service = "examen",
			  .zone = "a",
			  .port = 80,
			  .slots = 2,
			  .revision = revision },
	};
	struct sharing_message message = { .kind = SHARING_UPDATE };

	message.hosts = g_array_new(FALSE, FALSE, sizeof(update));
	g_array_append_val(message.hosts, update);
	replica_apply(table, NULL, &message, NOW_NS);
	g_array_unref(message.hosts);
}

/*
 * Guards against a host that stays in use because its removal came before its
 * announcement.
 */
START_TEST(late_announcement_restores_no_removed_host) {
	struct host_table *table = table_create();

	change_apply(table, 60, true);
	change_apply(table, 50, false);
	ck_assert_uint_eq(host_table_count(table), 0);
	host_table_destroy(table);
}
END_TEST

/*
 * Guards against members that keep a removed host because the member that they
 * ask for changes never knew it.
 */
START_TEST(removal_of_an_unknown_host_is_passed_on) {
	struct sharing_message message = { .kind = SHARING_UPDATE };
	struct host_table *table = table_create();
	const struct host_update *update;

	change_apply(table, 60, true);
	replica_fill_changes(table, 55, 60, NOW_NS, &message);
	ck_assert_uint_eq(message.hosts->len, 1);
	update = &g_array_index(message.hosts, struct host_update, 0);
	ck_assert(update->is_removed);
	ck_assert_uint_eq(update->host.revision, 60);
	sharing_message_clear(&message);
	host_table_destroy(table);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("replica");
	TCase *cases = tcase_create("order of changes");

	tcase_add_test(cases, late_announcement_restores_no_removed_host);
	tcase_add_test(cases, removal_of_an_unknown_host_is_passed_on);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
