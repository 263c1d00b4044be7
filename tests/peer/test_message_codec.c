/*
 * Guards against messages that change on the wire, that are larger than the
 * control budget allows for, and against memory faults on malformed input.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "peer/message_codec.h"
#include "peer/table_codec.h"
#include "suite.h"

#define BUCKETS 10007
#define HOSTS 14

static uint32_t base[BUCKETS];
static uint32_t target[BUCKETS];
static uint8_t open_bits[BUCKETS];
static const struct host_load loads[] = {
	{ 0, 0 },	  { 1, -1 }, { 0xffffffff, INT32_MAX },
	{ 7, INT32_MIN }, { 8, 3 },
};
static const struct map_digest digests[] = {
	{ 5, { 1, 2, 3 }, 1 },
	{ 6, { UINT64_MAX, UINT32_MAX, UINT64_MAX }, 0 },
};
static const struct flow_record records[] = {
	{ 1, 10, 20, FLOW_RECORD_UDP },
	{ UINT64_MAX, 10, UINT32_MAX, FLOW_RECORD_ENDED },
	{ 3, 11, 22, 0 },
	{ 4, 10, 23, 3 },
};
static struct part_reference parts[] = {
	{ "profiles", 1 },
	{ "service/examen", UINT64_MAX },
};
static uint8_t part_data[9000];

#define HEARTBEAT(...)                                                       \
	{                                                                    \
		.kind = PEER_MESSAGE_HEARTBEAT, .heartbeat = { __VA_ARGS__ } \
	}
#define CORE(...)                                                  \
	{                                                          \
		.kind = PEER_MESSAGE_CORE, .core = { __VA_ARGS__ } \
	}
#define VERSION .service_id = 9, .version = { 300, 70000, UINT64_MAX }
#define TABLES(count)                                            \
	.bucket_count = (count), .base = base, .target = target, \
	.open = open_bits, .is_committed = 1

static const struct peer_message messages[] = {
	HEARTBEAT(.sequence = 0),
	HEARTBEAT(.sequence = UINT64_MAX, .acknowledged = UINT64_MAX,
		  .incarnation = UINT32_MAX, .addressee_incarnation = 5,
		  .state = MEMBER_LEAVING, .zone = UINT16_MAX,
		  .revision = UINT64_MAX, .revision_digest = UINT64_MAX),
	CORE(.kind = CORE_MESSAGE_LOAD, .loads = loads,
	     .load_count = G_N_ELEMENTS(loads)),
	CORE(.kind = CORE_MESSAGE_LOAD),
	CORE(.kind = CORE_MESSAGE_MAP_PROPOSAL, VERSION, TABLES(1)),
	CORE(.kind = CORE_MESSAGE_MAP_PROPOSAL, VERSION, TABLES(251)),
	CORE(.kind = CORE_MESSAGE_MAP_ACKNOWLEDGEMENT, VERSION),
	CORE(.kind = CORE_MESSAGE_MAP_ACKNOWLEDGEMENT, VERSION,
	     .bucket_count = 251, .open = open_bits),
	CORE(.kind = CORE_MESSAGE_MAP_COMMIT, VERSION),
	CORE(.kind = CORE_MESSAGE_MAP_REQUEST, VERSION),
	CORE(.kind = CORE_MESSAGE_MAP_REQUEST, .nonce = UINT32_MAX),
	CORE(.kind = CORE_MESSAGE_MAP_DIGEST, .nonce = 6, .digests = digests,
	     .digest_count = G_N_ELEMENTS(digests)),
	CORE(.kind = CORE_MESSAGE_RECORDS, .stream = UINT64_MAX,
	     .sequence = UINT32_MAX, .records = records,
	     .record_count = G_N_ELEMENTS(records)),
	CORE(.kind = CORE_MESSAGE_RECORDS),
	CORE(.kind = CORE_MESSAGE_SHARD_PULL, .shards = { { 1, [31] = 0x80 } }),
	CORE(.kind = CORE_MESSAGE_SHARD_STATE, .stream = 3, .sequence = 4,
	     .shards = { { [31] = 0x80 } }, .records = records,
	     .record_count = 3),
	CORE(.kind = CORE_MESSAGE_SHARD_RELEASE, .stream = 5, .sequence = 6,
	     .shards = { { 2 } }),
	CORE(.kind = CORE_MESSAGE_STREAM_ACKNOWLEDGEMENT, .stream = 7,
	     .sequence = 8),
	CORE(.kind = CORE_MESSAGE_ANSWERS, .records = records,
	     .record_count = 1),
	{ .kind = PEER_MESSAGE_REVISION_REQUEST,
	  .revision = 12,
	  .base_revision = 11 },
	{ .kind = PEER_MESSAGE_REVISION_INDEX,
	  .revision = UINT64_MAX,
	  .base_revision = UINT64_MAX - 1,
	  .parts = parts,
	  .part_count = G_N_ELEMENTS(parts) },
	{ .kind = PEER_MESSAGE_REVISION_INDEX, .revision = 1 },
	{ .kind = PEER_MESSAGE_PART_REQUEST,
	  .revision = 1,
	  .part_name = "profiles",
	  .part_digest = UINT64_MAX },
	{ .kind = PEER_MESSAGE_PART,
	  .revision = 1,
	  .part_name = "p",
	  .part_digest = 77,
	  .part_data = part_data,
	  .part_bytes = 300 },
	{ .kind = PEER_MESSAGE_PART,
	  .revision = 1,
	  .part_name = "empty",
	  .part_digest = 77 },
};

static void tables_fill(uint32_t host_count)
{
	for (uint32_t i = 0; i < BUCKETS; i++) {
		base[i] = (i * 2654435761u >> 16) % host_count * 40503u;
		target[i] = i % 25 == 0 ? 40503u : base[i];
		open_bits[i] = i % 10 == 0;
	}
	for (size_t i = 0; i < sizeof(part_data); i++)
		part_data[i] = (uint8_t)i;
}

/* Decoding a heap copy of the exact size lets the sanitizer see overreads. */
static struct peer_message *decode_copy(const uint8_t *data, size_t length,
					struct error *error)
{
	uint8_t *copy = malloc(length ? length : 1);
	struct peer_message *message;

	memcpy(copy, data, length);
	message = peer_message_decode(copy, length, error);
	free(copy);
	return message;
}

START_TEST(round_trip_keeps_every_field) {
	GByteArray *sent = peer_message_encode(&messages[_i]);
	struct error error = { 0 };
	struct peer_message *message =
		decode_copy(sent->data, sent->len, &error);
	GByteArray *again;

	ck_assert_msg(message, "%s", error.detail);
	again = peer_message_encode(message);
	ck_assert_uint_eq(again->len, sent->len);
	ck_assert_mem_eq(again->data, sent->data, sent->len);
	g_byte_array_unref(again);
	g_byte_array_unref(sent);
	peer_message_free(message);
}
END_TEST

/* Encoding twice hides a field that neither direction handles. */
START_TEST(decoded_tables_equal_the_originals) {
	struct peer_message sent = CORE(.kind = CORE_MESSAGE_MAP_PROPOSAL,
					VERSION, TABLES(BUCKETS));
	GByteArray *bytes = peer_message_encode(&sent);
	struct peer_message *message =
		decode_copy(bytes->data, bytes->len, NULL);

	ck_assert_ptr_nonnull(message);
	ck_assert_uint_eq(message->core.bucket_count, BUCKETS);
	ck_assert_mem_eq(message->core.base, base, sizeof(base));
	ck_assert_mem_eq(message->core.target, target, sizeof(target));
	ck_assert_mem_eq(message->core.open, open_bits, sizeof(open_bits));
	g_byte_array_unref(bytes);
	peer_message_free(message);
}
END_TEST

START_TEST(decoded_lists_equal_the_originals) {
	struct peer_message sent = CORE(.kind = CORE_MESSAGE_RECORDS,
					.records = records, .record_count = 4);
	GByteArray *bytes = peer_message_encode(&sent);
	struct peer_message *message =
		decode_copy(bytes->data, bytes->len, NULL);

	ck_assert_uint_eq(message->core.record_count, 4);
	for (size_t i = 0; i < 4; i++) {
		const struct flow_record *record = &message->core.records[i];

		ck_assert_uint_eq(record->flow_hash, records[i].flow_hash);
		ck_assert_uint_eq(record->service_id, records[i].service_id);
		ck_assert_uint_eq(record->host_id, records[i].host_id);
		ck_assert_uint_eq(record->flags, records[i].flags);
	}
	g_byte_array_unref(bytes);
	peer_message_free(message);
}
END_TEST

/* The outer array tells that a message was cut, at whatever byte. */
START_TEST(truncated_message_is_refused) {
	GByteArray *sent = peer_message_encode(&messages[_i]);

	for (size_t length = 0; length < sent->len; length++) {
		struct error error = { 0 };

		ck_assert_ptr_null(decode_copy(sent->data, length, &error));
		ck_assert_int_eq(error.kind, ERROR_PEER);
	}
	g_byte_array_append(sent, (const guint8 *)"", 1);
	ck_assert_ptr_null(decode_copy(sent->data, sent->len, NULL));
	g_byte_array_unref(sent);
}
END_TEST

/* Each byte is replaced by others: no crash, no overread. */
START_TEST(altered_message_is_handled) {
	GByteArray *sent = peer_message_encode(&messages[_i]);
	static const uint8_t values[] = { 0, 1, 0x7f, 0x80, 0xc4, 0xdd, 0xff };

	for (size_t i = 0; i < sent->len; i++) {
		uint8_t original = sent->data[i];

		for (size_t j = 0; j < sizeof(values); j++) {
			sent->data[i] = values[j];
			peer_message_free(
				decode_copy(sent->data, sent->len, NULL));
		}
		sent->data[i] = original;
	}
	g_byte_array_unref(sent);
}
END_TEST

static const struct {
	const char *what;
	const char *bytes;
	size_t length;
} refused[] = {
	{ "version 2", "\x93\x02\x02\x0c", 4 },
	{ "unknown kind", "\x93\x01\x06\x0c", 4 },
	{ "unknown core kind", "\x94\x01\x01\x0b\x00", 5 },
	{ "map in place of an array", "\x81\x01\x02", 3 },
	{ "nested array", "\x93\x01\x02\x91\x00", 5 },
	{ "array of 4 billion", "\x94\x01\x02\x0c\xdd\xff\xff\xff\xff", 9 },
	{ "map of 4 billion", "\x94\x01\x02\x0c\xdf\xff\xff\xff\xff", 9 },
	{ "binary of 4 GB", "\x93\x01\x00\xc6\xff\xff\xff\xff", 8 },
	{ "negative integer", "\x94\x01\x02\x0c\xff", 5 },
	{ "too many fields", "\x95\x01\x02\x0c\x0c\x0c", 6 },
	{ "too few fields", "\x93\x01\x02\x0c", 4 },
	{ "text for a number", "\x94\x01\x02\x0c\xa1g", 6 },
	{ "records of a huge group",
	  "\x94\x01\x01\x06\xc4\x09\x01\x00\x00\x00\xff\xff\xff\xff\x0f", 15 },
	{ "map without buckets",
	  "\x9d\x01\x01\x01\x09\x01\x01\x01\x00\x00\xc4\x00\xc4\x00\xc4\x00"
	  "\xc4\x00",
	  18 },
	{ "empty part name", "\x95\x01\x04\x01\xa0\x01", 6 },
	{ "part name with NUL", "\x95\x01\x04\x01\xa2g\x00\x01", 8 },
};

START_TEST(malformed_message_is_refused) {
	struct error error = { 0 };

	ck_assert_msg(!decode_copy((const uint8_t *)refused[_i].bytes,
				   refused[_i].length, &error),
		      "%s", refused[_i].what);
	ck_assert_int_eq(error.kind, ERROR_PEER);
}
END_TEST

/* A run of one value must not claim more than the largest table. */
START_TEST(table_size_is_bounded) {
	static const uint8_t dictionary[4] = { 1 };
	static const uint8_t run[] = { 1, 0xff, 0xff, 0xff, 0xff, 0x0f, 0 };

	ck_assert_ptr_null(table_decode(run, sizeof(run), UINT32_MAX, NULL,
					dictionary, sizeof(dictionary)));
	ck_assert_ptr_null(
		bits_decode(run, sizeof(run), TABLE_BUCKETS_MAX + 1));
}
END_TEST

/* A heartbeat of a process that ran for years and of late revisions. */
START_TEST(heartbeat_is_under_40_bytes) {
	struct peer_message sent =
		HEARTBEAT(.sequence = (1 << 28) - 1,
			  .acknowledged = (1 << 28) - 1,
			  .incarnation = UINT32_MAX,
			  .addressee_incarnation = UINT32_MAX,
			  .state = MEMBER_LEAVING, .zone = MEMBER_VIEW_MAX,
			  .revision = UINT32_MAX,
			  .revision_digest = UINT64_MAX);
	GByteArray *bytes = peer_message_encode(&sent);

	/* The transport adds one byte. */
	ck_assert_uint_lt(bytes->len + 1, 40);
	g_byte_array_unref(bytes);
}
END_TEST

static const struct {
	uint32_t hosts;
	size_t bytes_max;
} map_sizes[] = {
	/* 4 bits a base, 2-3 bytes for each of 400 targets, 1 bit open. */
	{ HOSTS, 8000 },
	{ 500, 18000 },
};

START_TEST(map_is_compact) {
	struct peer_message sent = CORE(.kind = CORE_MESSAGE_MAP_PROPOSAL,
					VERSION, TABLES(BUCKETS));
	GByteArray *bytes;

	tables_fill(map_sizes[_i].hosts);
	bytes = peer_message_encode(&sent);
	printf("map of %u buckets, %u hosts: %u bytes\n", BUCKETS,
	       map_sizes[_i].hosts, bytes->len);
	ck_assert_uint_lt(bytes->len, map_sizes[_i].bytes_max);
	g_byte_array_unref(bytes);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("message codec");
	TCase *tests = tcase_create("wire form");

	tables_fill(HOSTS);
	tcase_add_loop_test(tests, round_trip_keeps_every_field, 0,
			    G_N_ELEMENTS(messages));
	tcase_add_test(tests, decoded_tables_equal_the_originals);
	tcase_add_test(tests, decoded_lists_equal_the_originals);
	tcase_add_loop_test(tests, truncated_message_is_refused, 0,
			    G_N_ELEMENTS(messages));
	tcase_add_loop_test(tests, altered_message_is_handled, 0,
			    G_N_ELEMENTS(messages));
	tcase_add_loop_test(tests, malformed_message_is_refused, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_test(tests, table_size_is_bounded);
	tcase_add_test(tests, heartbeat_is_under_40_bytes);
	tcase_add_loop_test(tests, map_is_compact, 0, G_N_ELEMENTS(map_sizes));
	tcase_set_timeout(tests, 30);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
