/*
 * Guards against hosts that come back, or are never removed, because changes
 * from several members arrive in another order than they were published.
 */

#include <check.h>
#include <string.h>

#include "common/clock.h"
#include "position.h"
#include "sharing/replica.h"
#include "suite.h"

#define NOW_NS (1000 * NS_PER_S)
#define HOST_ID "i-0007"
#define SERVICE "examen"
/* A service to which no route leads. */
#define UNUSED_SERVICE "archive"

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

static void deferral_ignore(void *context, const struct known_host *host)
{
	(void)context;
	(void)host;
}

static bool can_change_service(void *context, const char *from, const char *to)
{
	(void)context;
	(void)from;
	return strcmp(to, UNUSED_SERVICE) != 0;
}

static struct host_table *table_create(void)
{
	const struct host_table_options options = {
		.can_change_service = can_change_service,
		.on_deferred = deferral_ignore,
		.on_changed = change_ignore,
		.on_ended = end_ignore,
	};

	return host_table_create(&options);
}

static void announcement_apply(struct host_table *table, uint64_t revision,
			       const char *service, bool is_removed)
{
	struct host_update update = {
		.is_removed = is_removed,
		.host = { .id = HOST_ID,
			  .zone = "a",
			  .port = 80,
			  .slots = 2,
			  .position = position_at(revision) },
	};
	struct sharing_message message = { .kind = SHARING_UPDATE };

	g_strlcpy(update.host.service, service, sizeof(update.host.service));

	message.hosts = g_array_new(FALSE, FALSE, sizeof(update));
	g_array_append_val(message.hosts, update);
	replica_apply(table, NULL, &message, NOW_NS);
	g_array_unref(message.hosts);
}

static void change_apply(struct host_table *table, uint64_t revision,
			 bool is_removed)
{
	announcement_apply(table, revision, SERVICE, is_removed);
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
	const struct position_range range = { position_at(55),
					      position_at(60) };
	const struct host_update *update;

	change_apply(table, 60, true);
	replica_fill_changes(table, &range, "", NOW_NS, &message);
	ck_assert_uint_eq(message.hosts->len, 1);
	update = &g_array_index(message.hosts, struct host_update, 0);
	ck_assert(update->is_removed);
	ck_assert_uint_eq(update->host.position.revision, 60);
	sharing_message_clear(&message);
	host_table_destroy(table);
}
END_TEST

/* Fills @message as for a member that lists, or asks for all changes. */
static void member_ask(struct host_table *table, bool is_listing,
		       struct sharing_message *message)
{
	const struct position_range range = { position_at(40),
					      position_at(60) };

	message->kind = SHARING_UPDATE;
	if (is_listing)
		replica_fill_listing(table, "", range.last, NOW_NS, message);
	else
		replica_fill_changes(table, &range, "", NOW_NS, message);
}

/*
 * Guards against members that never get a deferred announcement: its revision
 * is older than that of the routes with which it is applied.
 */
START_TEST(deferred_announcement_is_passed_on) {
	static const bool is_listing[] = { false, true };
	struct sharing_message message = { 0 };
	struct host_table *table = table_create();
	struct host_table *member = table_create();
	const struct known_host *host;

	change_apply(table, 50, false);
	announcement_apply(table, 60, UNUSED_SERVICE, false);
	member_ask(table, is_listing[_i], &message);
	ck_assert_uint_eq(message.hosts->len, 2);
	replica_apply(member, NULL, &message, NOW_NS);
	host = host_table_find(member, HOST_ID);
	ck_assert_str_eq(host->published.service, SERVICE);
	ck_assert_uint_eq(host->published.position.revision, 50);
	ck_assert_str_eq(host->deferred->service, UNUSED_SERVICE);
	ck_assert_uint_eq(host->deferred->position.revision, 60);
	sharing_message_clear(&message);
	host_table_destroy(member);
	host_table_destroy(table);
}
END_TEST

#define REMOVED_HOSTS 200

static void hosts_remove(struct host_table *table)
{
	char id[HOST_ID_BYTES_MAX + 1];

	for (uint32_t i = 0; i < REMOVED_HOSTS; i++) {
		g_snprintf(id, sizeof(id), "i-%04x", 0x100 + i);
		host_table_remove(table, id, position_at(60), NOW_NS);
	}
}

/*
 * Guards against a member that counts as up to date with a part of the removals
 * of one listing: their revision says nothing about when they happened.
 */
START_TEST(revision_rises_with_the_last_removal) {
	struct sharing_message message = { 0 };
	struct host_table *table = table_create();
	struct host_table *member = table_create();
	char cursor[HOST_ID_BYTES_MAX + 1] = "";
	uint32_t messages = 0;
	const struct position_range range = { position_at(40),
					      position_at(60) };

	hosts_remove(table);
	change_apply(table, 50, false);
	do {
		message.kind = SHARING_UPDATE;
		replica_fill_changes(table, &range, cursor, NOW_NS, &message);
		replica_apply(member, NULL, &message, NOW_NS);
		ck_assert_uint_eq(message.position.revision,
				  message.has_more ? 40 : 60);
		g_strlcpy(cursor, message.cursor, sizeof(cursor));
		sharing_message_clear(&message);
	} while (message.has_more && ++messages < REMOVED_HOSTS);
	ck_assert_uint_gt(messages, 1);
	ck_assert_uint_eq(
		g_hash_table_size(host_table_unknown_removals(member)),
		REMOVED_HOSTS);
	ck_assert_ptr_nonnull(host_table_find(member, HOST_ID));
	host_table_destroy(member);
	host_table_destroy(table);
}
END_TEST

/*
 * Guards against a member that takes over the revision of changes of which it
 * has only the newest ones, from a member that is in the middle of a transfer.
 */
START_TEST(changes_above_the_own_revision_are_not_passed_on) {
	const struct position_range range = { position_at(40),
					      position_at(55) };
	struct sharing_message message = { .kind = SHARING_UPDATE };
	struct host_table *table = table_create();

	change_apply(table, 50, false);
	hosts_remove(table);
	replica_fill_changes(table, &range, "", NOW_NS, &message);
	ck_assert_uint_eq(message.hosts->len, 1);
	ck_assert(!message.has_more);
	ck_assert_uint_eq(message.position.revision, 55);
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
	tcase_add_loop_test(cases, deferred_announcement_is_passed_on, 0, 2);
	tcase_add_test(cases, revision_rises_with_the_last_removal);
	tcase_add_test(cases, changes_above_the_own_revision_are_not_passed_on);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
