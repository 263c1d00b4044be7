/*
 * Guards against fields that are lost by encoding and decoding, malformed
 * datagrams that are accepted, claimed sizes that are allocated, and routes
 * that differ after decoding.
 */

#include <check.h>
#include <string.h>

#include "position.h"
#include "sharing/replica.h"
#include "sharing/routing_codec.h"
#include "sharing/sharing_message.h"
#include "sharing/zone_drains_codec.h"
#include "suite.h"

/* Entries for zones with names of @length bytes, every second one active. */
static void drains_append(struct sharing_message *message, uint32_t count,
			  size_t length)
{
	message->drains = g_array_new(FALSE, FALSE, sizeof(struct zone_drain));
	for (uint32_t i = 0; i < count; i++) {
		struct zone_drain drain = { .position = position_in(
						    7, G_MAXINT64 - i),
					    .is_active = i % 2 == 0 };

		memset(drain.zone, (char)('0' + i), length);
		g_array_append_val(message->drains, drain);
	}
}

static struct sharing_message message_sample(enum sharing_message_kind kind)
{
	struct sharing_message message = {
		.kind = kind,
		.zone = 77,
		.capacity = 250,
	};

	if (kind == SHARING_GOSSIP_REQUEST || kind == SHARING_GOSSIP_RESPONSE) {
		message.replica_age_ms = 900;
		message.member_count = 1;
		message.members[0] =
			(struct member_entry){ 0x0a000001, 77, 120, 4000, 700 };
	}
	if (kind == SHARING_POLL || kind == SHARING_UPDATE) {
		message.has_era = true;
		message.position = position_in(7, 400);
		message.routes_version = 12;
		message.load_count = 1;
		message.loads[0] = (struct host_load){ 0x1234, 5 };
		g_strlcpy(message.cursor, "i-0a", sizeof(message.cursor));
	}
	if (kind == SHARING_HOST_SPEEDS) {
		message.speed_report_count = SPEED_REPORTS_MAX;
		message.speed_reports[1] =
			(struct host_sample_report){ { 0x1234, 20, 1800 },
						     { 30, 7 } };
		message.first_token = 1;
		message.last_token = UINT32_MAX;
		message.speed_count = 100;
		message.speeds[99] =
			(struct host_speed_entry){ 0x5678, 500, true };
	}
	if (kind == SHARING_LOOKUP_REQUEST)
		message.token = 99;
	if (kind == SHARING_ZONE_DRAINS) {
		message.has_era = true;
		message.position = position_in(7, 400);
		message.is_complete = true;
		message.listed_position = position_in(7, 300);
		drains_append(&message, 2, 1);
	}
	if (kind == SHARING_ZONE_LOADS) {
		message.zone_load_count = ZONE_LOAD_ENTRIES_MAX;
		for (uint16_t i = 0; i < ZONE_LOAD_ENTRIES_MAX; i++)
			message.zone_loads[i] = (struct zone_load_entry){
				.zone = 77,
				.service = 0xf0000000 + i,
				.leader = 0x0a000001,
				.usable_slots = 65535,
				.busy_parts = 0x7fffffff,
				.own_parts = 17,
				.time_ms = 40,
				.unloaded_ms = 39,
				.age_ms = 2000,
			};
	}
	return message;
}

static void host_append(struct sharing_message *message, bool is_removed)
{
	struct host_update update = {
		.is_removed = is_removed,
		.host = { .id = "i-0a", .position = position_in(7, 390) },
	};

	if (!is_removed) {
		update.host.target_id = 10;
		update.host.port = 80;
		update.host.slots = 3;
		update.host.started_ms = 1700000000000;
		update.host.is_draining = true;
		g_strlcpy(update.host.service, "examen", NAME_BYTES_MAX);
		g_strlcpy(update.host.zone, "a", NAME_BYTES_MAX);
		ip_address_parse("10.0.0.1", &update.host.address);
	}
	if (!message->hosts)
		message->hosts =
			g_array_new(FALSE, FALSE, sizeof(struct host_update));
	g_array_append_val(message->hosts, update);
}

static bool zone_load_entries_equal(const struct zone_load_entry *a,
				    const struct zone_load_entry *b)
{
	return a->zone == b->zone && a->service == b->service &&
	       a->leader == b->leader && a->usable_slots == b->usable_slots &&
	       a->busy_parts == b->busy_parts && a->own_parts == b->own_parts &&
	       a->time_ms == b->time_ms && a->unloaded_ms == b->unloaded_ms &&
	       a->age_ms == b->age_ms;
}

START_TEST(messages_are_decoded_as_encoded) {
	struct sharing_message message =
		message_sample((enum sharing_message_kind)_i);
	struct sharing_message read;
	struct error error;
	GByteArray *bytes;

	if (_i == SHARING_UPDATE) {
		host_append(&message, false);
		host_append(&message, true);
		message.base_revision = 380;
		message.update_age_ms = 700;
		message.has_more = true;
	}
	bytes = sharing_message_encode(&message);
	ck_assert_uint_le(bytes->len, SHARING_DATAGRAM_BYTES);
	ck_assert(
		sharing_message_decode(bytes->data, bytes->len, &read, &error));
	ck_assert_uint_eq(read.zone, 77);
	ck_assert(store_position_is_equal(read.position, message.position));
	ck_assert(read.has_era == message.has_era);
	ck_assert_uint_eq(read.routes_version, message.routes_version);
	ck_assert_uint_eq(read.token, message.token);
	ck_assert_uint_eq(read.replica_age_ms, message.replica_age_ms);
	ck_assert_uint_eq(read.zone_load_count, message.zone_load_count);
	for (size_t i = 0; i < read.zone_load_count; i++)
		ck_assert(zone_load_entries_equal(&read.zone_loads[i],
						  &message.zone_loads[i]));
	if (read.member_count > 0)
		ck_assert_mem_eq(read.members, message.members,
				 sizeof(read.members[0]));
	ck_assert_str_eq(read.cursor, message.cursor);
	ck_assert_uint_eq(read.member_count, message.member_count);
	ck_assert_uint_eq(read.load_count, message.load_count);
	ck_assert(read.is_complete == message.is_complete);
	ck_assert(store_position_is_equal(read.listed_position,
					  message.listed_position));
	if (_i == SHARING_ZONE_DRAINS)
		ck_assert_mem_eq(read.drains->data, message.drains->data,
				 2 * sizeof(struct zone_drain));
	ck_assert_uint_eq(read.first_token, message.first_token);
	ck_assert_uint_eq(read.last_token, message.last_token);
	ck_assert_uint_eq(read.speed_report_count, message.speed_report_count);
	ck_assert_mem_eq(read.speed_reports, message.speed_reports,
			 sizeof(read.speed_reports));
	ck_assert_uint_eq(read.speed_count, message.speed_count);
	ck_assert_mem_eq(read.speeds, message.speeds, sizeof(read.speeds));
	if (_i == SHARING_UPDATE) {
		const struct host_update *first =
			&g_array_index(read.hosts, struct host_update, 0);

		ck_assert_uint_eq(read.hosts->len, 2);
		ck_assert(first->host.is_draining);
		ck_assert_uint_eq(first->host.started_ms, 1700000000000);
		ck_assert_str_eq(first->host.service, "examen");
		ck_assert(g_array_index(read.hosts, struct host_update, 1)
				  .is_removed);
	}
	/* Each truncated datagram is rejected without reading past its end. */
	for (guint length = 0; length < bytes->len; length++) {
		uint8_t *copy = g_memdup2(bytes->data, length);
		struct sharing_message truncated;

		ck_assert(!sharing_message_decode(copy, length, &truncated,
						  &error));
		g_free(copy);
	}
	sharing_message_clear(&message);
	sharing_message_clear(&read);
	g_byte_array_unref(bytes);
}
END_TEST

/*
 * Guards against messages that members of the build before do not understand:
 * without an era they are as ever, and an era takes 8 bytes at most.
 */
START_TEST(era_is_optional_and_short) {
	static const enum sharing_message_kind kinds[] = {
		SHARING_POLL,
		SHARING_UPDATE,
		SHARING_LOOKUP_RESPONSE,
		SHARING_ZONE_DRAINS,
	};
	static const uint64_t eras[] = { 0, 1, 255, 256, UINT32_MAX };
	struct sharing_message message = message_sample(kinds[_i / 5]);
	struct sharing_message read;
	GByteArray *without;
	struct error error;
	GByteArray *with;

	message.position = position_in(eras[_i % 5], 400);
	message.listed_position.era = eras[_i % 5];
	message.has_era = false;
	without = sharing_message_encode(&message);
	message.has_era = true;
	with = sharing_message_encode(&message);
	ck_assert_uint_gt(with->len, without->len);
	ck_assert_uint_le(with->len, without->len + 8);
	ck_assert(sharing_message_decode(with->data, with->len, &read, &error));
	ck_assert(read.has_era);
	ck_assert(store_position_is_equal(read.position, message.position));
	ck_assert_str_eq(read.cursor, message.cursor);
	sharing_message_clear(&read);
	ck_assert(sharing_message_decode(without->data, without->len, &read,
					 &error));
	ck_assert(!read.has_era);
	ck_assert(store_position_is_equal(read.position, position_at(400)));
	ck_assert_str_eq(read.cursor, message.cursor);
	sharing_message_clear(&read);
	sharing_message_clear(&message);
	g_byte_array_unref(without);
	g_byte_array_unref(with);
}
END_TEST

/* The cursor as it is in a datagram, and what it says. */
START_TEST(era_follows_the_cursor) {
	static const struct {
		const char *bytes;
		size_t length;
		bool is_valid;
		bool has_era;
		uint64_t era;
	} cases[] = {
		{ "i-1", 3, true, false, 0 },
		{ "i-1\0", 4, true, true, 0 },
		{ "i-1\0\7", 5, true, true, 7 },
		{ "\0\1\0", 3, true, true, 256 },
		{ "\0\1\2\3\4\5\6\7\10", 9, true, true, 0x0102030405060708 },
		{ "\0\1\2\3\4\5\6\7\10\11", 10, false, false, 0 },
	};
	GByteArray *bytes = g_byte_array_new();
	struct sharing_message read;
	struct field_writer writer;
	struct error error;
	bool is_valid;

	field_writer_init(&writer, bytes, 10);
	field_write_uint(&writer, 2);
	field_write_uint(&writer, SHARING_POLL);
	field_write_uint(&writer, 77);
	field_write_uint(&writer, 250);
	field_write_uint(&writer, 400);
	field_write_uint(&writer, 12);
	field_write_uint(&writer, 1);
	field_write_bytes(&writer, cases[_i].bytes, cases[_i].length);
	field_write_uint(&writer, 0);
	field_write_bytes(&writer, "", 0);
	is_valid =
		sharing_message_decode(bytes->data, bytes->len, &read, &error);
	ck_assert(is_valid == cases[_i].is_valid);
	if (is_valid) {
		ck_assert(read.has_era == cases[_i].has_era);
		ck_assert_uint_eq(read.position.era, cases[_i].era);
		ck_assert_uint_eq(strlen(read.cursor),
				  strnlen(cases[_i].bytes, cases[_i].length));
		sharing_message_clear(&read);
	}
	g_byte_array_unref(bytes);
}
END_TEST

/* Guards against a state of drained zones that fits in no datagram. */
START_TEST(largest_state_of_drains_fits) {
	static const struct {
		uint32_t zones;
		size_t name_bytes;
	} cases[] = {
		{ ZONE_DRAINS_MAX,
		  ZONE_DRAINS_NAMES_BYTES_MAX / ZONE_DRAINS_MAX },
		{ ZONE_DRAINS_NAMES_BYTES_MAX / NAME_BYTES_MAX,
		  NAME_BYTES_MAX },
	};
	struct sharing_message message = {
		.kind = SHARING_ZONE_DRAINS,
		.zone = UINT32_MAX,
		.capacity = UINT16_MAX,
		.has_era = true,
		.position = position_in(G_MAXINT64, G_MAXINT64),
		.is_complete = true,
		.is_reply = true,
		.listed_position = position_in(G_MAXINT64, G_MAXINT64),
	};
	struct sharing_message read;
	struct error error;
	GByteArray *bytes;

	drains_append(&message, cases[_i].zones, cases[_i].name_bytes);
	bytes = sharing_message_encode(&message);
	ck_assert_uint_le(bytes->len, SHARING_DATAGRAM_BYTES);
	ck_assert(
		sharing_message_decode(bytes->data, bytes->len, &read, &error));
	ck_assert_uint_eq(read.drains->len, cases[_i].zones);
	ck_assert_uint_eq(zone_drains_digest(&read),
			  zone_drains_digest(&message));
	sharing_message_clear(&read);
	sharing_message_clear(&message);
	g_byte_array_unref(bytes);
}
END_TEST

#define ENTRY(zone, revision) "\1" zone "\0\0\0\0\0\0\0" revision

/* The entries of a message, as they are in the datagram. */
START_TEST(invalid_drains_are_rejected) {
	static const struct {
		const char *entries;
		size_t length;
		bool is_valid;
	} cases[] = {
		{ "", 0, true },
		{ ENTRY("a", "\1"), 10, true },
		{ ENTRY("a", "\1") ENTRY("b", "\1"), 20, true },
		/* Not by zone: the digest would differ. */
		{ ENTRY("b", "\1") ENTRY("a", "\1"), 20, false },
		{ ENTRY("a", "\1") ENTRY("a", "\2"), 20, false },
		{ ENTRY("a", "\1"), 9, false },
		{ ENTRY("\0", "\1"), 10, false },
		{ "\0\0\0\0\0\0\0\0\1", 9, false },
		{ "\77aaaa", 5, false },
		{ "\1", 1, false },
	};
	GByteArray *bytes = g_byte_array_new();
	struct sharing_message read;
	struct field_writer writer;
	struct error error;
	bool is_valid;

	field_writer_init(&writer, bytes, 8);
	field_write_uint(&writer, 2);
	field_write_uint(&writer, SHARING_ZONE_DRAINS);
	for (int i = 0; i < 5; i++)
		field_write_uint(&writer, 1);
	field_write_bytes(&writer, cases[_i].entries, cases[_i].length);
	is_valid =
		sharing_message_decode(bytes->data, bytes->len, &read, &error);
	ck_assert(is_valid == cases[_i].is_valid);
	if (is_valid)
		sharing_message_clear(&read);
	g_byte_array_unref(bytes);
}
END_TEST

/* Found by the fuzz target: a missing field was used as a null pointer. */
START_TEST(missing_field_is_rejected) {
	static const uint8_t damaged[] = { 0x96, 0x01, 0x06, 0x79,
					   0x05, 0x41, 0x0a };
	struct sharing_message message;
	struct error error;

	ck_assert(!sharing_message_decode(damaged, sizeof(damaged), &message,
					  &error));
}
END_TEST

/* Entries have 28 bytes each. */
START_TEST(partial_zone_loads_are_rejected) {
	static const struct {
		uint8_t bytes;
		bool is_valid;
	} cases[] = {
		{ 0, true },   { 28, true },  { 27, false },
		{ 224, true }, { 252, true }, { 255, false },
	};
	struct sharing_message message;
	struct error error;
	uint8_t data[300] = {
		0x95, 0x02, SHARING_ZONE_LOADS, 0x05, 0x01, 0xc4,
	};

	data[6] = cases[_i].bytes;
	ck_assert(sharing_message_decode(data, 7u + cases[_i].bytes, &message,
					 &error) == cases[_i].is_valid);
}
END_TEST

/* The message has room for sixteen entries. */
START_TEST(zone_loads_above_the_maximum_are_rejected) {
	const uint16_t bytes = 28 * (ZONE_LOAD_ENTRIES_MAX + 1);
	struct sharing_message message;
	struct error error;
	uint8_t data[600] = {
		0x95, 0x02, SHARING_ZONE_LOADS, 0x05, 0x01, 0xc5,
	};

	data[6] = (uint8_t)(bytes >> 8);
	data[7] = (uint8_t)bytes;
	ck_assert(!sharing_message_decode(data, 8u + bytes, &message, &error));
	data[6] = (uint8_t)((bytes - 28) >> 8);
	data[7] = (uint8_t)(bytes - 28);
	ck_assert(sharing_message_decode(data, 8u + bytes - 28, &message,
					 &error));
}
END_TEST

/* Found by the fuzz target: an array of 2.5 billion elements was allocated. */
START_TEST(claimed_size_is_not_allocated) {
	static const uint8_t claim[] = {
		0x93, 0x03, 0xdd, 0x3a, 0x98, 0x91, 0x94, 0xc4,
		0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
		0xff, 0x00, 0xff, 0x00, 0x00, 0xc6, 0x33, 0x64,
		0x01, 0xcd, 0x01, 0xbb, 0xa1, 0x73, 0x01,
	};

	ck_assert_ptr_null(
		routing_decode(claim, sizeof(claim), ROUTES_PLAIN, NULL));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sharing codec");
	TCase *cases = tcase_create("codec");

	tcase_add_loop_test(cases, messages_are_decoded_as_encoded,
			    SHARING_GOSSIP_REQUEST, SHARING_KINDS);
	tcase_add_loop_test(cases, era_is_optional_and_short, 0, 20);
	tcase_add_loop_test(cases, era_follows_the_cursor, 0, 6);
	tcase_add_loop_test(cases, largest_state_of_drains_fits, 0, 2);
	tcase_add_loop_test(cases, invalid_drains_are_rejected, 0, 10);
	tcase_add_loop_test(cases, partial_zone_loads_are_rejected, 0, 6);
	tcase_add_test(cases, zone_loads_above_the_maximum_are_rejected);
	tcase_add_test(cases, missing_field_is_rejected);
	tcase_add_test(cases, claimed_size_is_not_allocated);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
