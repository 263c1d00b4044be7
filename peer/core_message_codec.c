#include "peer/core_message_codec.h"

#include "peer/table_codec.h"
#include "peer/wire.h"

/* Least bytes of one entry, to bound the array before it is read. */
#define LOAD_BYTES_MIN 5
#define DIGEST_BYTES_MIN 15

struct core_message_codec {
	unsigned int field_count;
	void (*encode)(const struct core_message *message,
		       struct field_writer *writer);
	bool (*decode)(struct core_message *message,
		       struct array_reader *reader);
};

static void load_encode(const struct core_message *message,
			struct field_writer *writer)
{
	GByteArray *out = g_byte_array_new();

	for (size_t i = 0; i < message->load_count; i++) {
		wire_write_u32(out, message->loads[i].host_id);
		wire_write_signed(out, message->loads[i].open_flows);
	}
	field_write_array(writer, out);
}

static bool load_decode(struct core_message *message,
			struct array_reader *reader)
{
	struct wire_reader wire = { 0 };
	struct host_load *loads;

	wire.data = field_read_bytes(reader, &wire.left);
	if (!wire.data)
		return false;
	loads = g_new0(struct host_load, wire.left / LOAD_BYTES_MIN + 1);
	message->loads = loads;
	while (wire.left >= LOAD_BYTES_MIN) {
		int64_t flows;

		loads->host_id = wire_read_u32(&wire);
		flows = wire_read_signed(&wire);
		if (flows < INT32_MIN || flows > INT32_MAX)
			return false;
		loads->open_flows = (int32_t)flows;
		loads++;
		message->load_count++;
	}
	return wire_reader_is_done(&wire);
}

static void map_encode(const struct core_message *message,
		       struct field_writer *writer)
{
	field_write_uint(writer, message->service_id);
	field_write_uint(writer, message->version.revision);
	field_write_uint(writer, message->version.sequence);
	field_write_uint(writer, message->version.coordinator_id);
}

static bool map_decode(struct core_message *message,
		       struct array_reader *reader)
{
	message->service_id = (uint32_t)field_read_uint(reader, UINT32_MAX);
	message->version.revision = field_read_uint(reader, UINT64_MAX);
	message->version.sequence =
		(uint32_t)field_read_uint(reader, UINT32_MAX);
	message->version.coordinator_id = field_read_uint(reader, UINT64_MAX);
	return !reader->is_bad;
}

static void request_encode(const struct core_message *message,
			   struct field_writer *writer)
{
	map_encode(message, writer);
	field_write_uint(writer, message->nonce);
}

static bool request_decode(struct core_message *message,
			   struct array_reader *reader)
{
	map_decode(message, reader);
	message->nonce = (uint32_t)field_read_uint(reader, UINT32_MAX);
	return !reader->is_bad;
}

static void proposal_encode(const struct core_message *message,
			    struct field_writer *writer)
{
	uint32_t count = message->bucket_count;
	GByteArray *dictionary =
		table_dictionary_encode(message->base, message->target, count);
	GByteArray *base = table_encode(message->base, NULL, count, dictionary);
	GByteArray *target =
		table_encode(message->target, message->base, count, dictionary);

	map_encode(message, writer);
	field_write_uint(writer, message->is_committed);
	field_write_uint(writer, count);
	field_write_array(writer, dictionary);
	field_write_array(writer, base);
	field_write_array(writer, target);
	field_write_array(writer, bits_encode(message->open, count));
}

static bool proposal_decode(struct core_message *message,
			    struct array_reader *reader)
{
	const uint8_t *dictionary;
	size_t dictionary_bytes;
	const uint8_t *field;
	size_t length;
	uint32_t count;

	map_decode(message, reader);
	message->is_committed = (uint8_t)field_read_uint(reader, 1);
	count = (uint32_t)field_read_uint(reader, TABLE_BUCKETS_MAX);
	message->bucket_count = count;
	dictionary = field_read_bytes(reader, &dictionary_bytes);
	field = field_read_bytes(reader, &length);
	if (reader->is_bad)
		return false;
	message->base = table_decode(field, length, count, NULL, dictionary,
				     dictionary_bytes);
	field = field_read_bytes(reader, &length);
	if (!field || !message->base)
		return false;
	message->target = table_decode(field, length, count, message->base,
				       dictionary, dictionary_bytes);
	field = field_read_bytes(reader, &length);
	if (!field || !message->target)
		return false;
	message->open = bits_decode(field, length, count);
	return message->open;
}

static void acknowledgement_encode(const struct core_message *message,
				   struct field_writer *writer)
{
	uint32_t count = message->open ? message->bucket_count : 0;

	map_encode(message, writer);
	field_write_uint(writer, count);
	if (count == 0)
		field_write_bytes(writer, NULL, 0);
	else
		field_write_array(writer, bits_encode(message->open, count));
}

static bool acknowledgement_decode(struct core_message *message,
				   struct array_reader *reader)
{
	const uint8_t *field;
	size_t length;

	map_decode(message, reader);
	message->bucket_count =
		(uint32_t)field_read_uint(reader, TABLE_BUCKETS_MAX);
	field = field_read_bytes(reader, &length);
	if (!field)
		return false;
	if (message->bucket_count == 0)
		return length == 0;
	message->open = bits_decode(field, length, message->bucket_count);
	return message->open;
}

static void digest_encode(const struct core_message *message,
			  struct field_writer *writer)
{
	GByteArray *out = g_byte_array_new();

	field_write_uint(writer, message->nonce);
	for (size_t i = 0; i < message->digest_count; i++) {
		const struct map_digest *digest = &message->digests[i];

		wire_write_u32(out, digest->service_id);
		wire_write_varint(out, digest->version.revision);
		wire_write_varint(out, digest->version.sequence);
		wire_write_u64(out, digest->version.coordinator_id);
		wire_write_u8(out, digest->is_committed);
	}
	field_write_array(writer, out);
}

static bool digest_decode(struct core_message *message,
			  struct array_reader *reader)
{
	struct wire_reader wire = { 0 };
	struct map_digest *digest;

	message->nonce = (uint32_t)field_read_uint(reader, UINT32_MAX);
	wire.data = field_read_bytes(reader, &wire.left);
	if (!wire.data)
		return false;
	digest = g_new0(struct map_digest, wire.left / DIGEST_BYTES_MIN + 1);
	message->digests = digest;
	for (; wire.left >= DIGEST_BYTES_MIN; digest++) {
		digest->service_id = wire_read_u32(&wire);
		digest->version.revision = wire_read_varint(&wire);
		digest->version.sequence = wire_read_limited(&wire, UINT32_MAX);
		digest->version.coordinator_id = wire_read_u64(&wire);
		digest->is_committed = wire_read_u8(&wire);
		if (digest->is_committed > 1)
			return false;
		message->digest_count++;
	}
	return wire_reader_is_done(&wire);
}

static void shard_encode(const struct core_message *message,
			 struct field_writer *writer)
{
	field_write_bytes(writer, message->shards.bits,
			  sizeof(message->shards.bits));
}

static bool shard_decode(struct core_message *message,
			 struct array_reader *reader)
{
	size_t length;
	const uint8_t *field = field_read_bytes(reader, &length);

	if (!field || length != sizeof(message->shards.bits))
		return false;
	memcpy(message->shards.bits, field, length);
	return true;
}

static void stream_encode(const struct core_message *message,
			  struct field_writer *writer)
{
	field_write_uint(writer, message->stream);
	field_write_uint(writer, message->sequence);
}

static bool stream_decode(struct core_message *message,
			  struct array_reader *reader)
{
	message->stream = field_read_uint(reader, UINT64_MAX);
	message->sequence = (uint32_t)field_read_uint(reader, UINT32_MAX);
	return !reader->is_bad;
}

static void batch_encode(const struct core_message *message,
			 struct field_writer *writer)
{
	field_write_array(writer, records_encode(message->records,
						 message->record_count));
}

static bool batch_decode(struct core_message *message,
			 struct array_reader *reader)
{
	size_t length;
	const uint8_t *field = field_read_bytes(reader, &length);

	if (field)
		message->records =
			records_decode(field, length, &message->record_count);
	return message->records;
}

static void records_message_encode(const struct core_message *message,
				   struct field_writer *writer)
{
	stream_encode(message, writer);
	batch_encode(message, writer);
}

static bool records_message_decode(struct core_message *message,
				   struct array_reader *reader)
{
	return stream_decode(message, reader) && batch_decode(message, reader);
}

static void release_encode(const struct core_message *message,
			   struct field_writer *writer)
{
	stream_encode(message, writer);
	shard_encode(message, writer);
}

static bool release_decode(struct core_message *message,
			   struct array_reader *reader)
{
	return stream_decode(message, reader) && shard_decode(message, reader);
}

static void shard_state_encode(const struct core_message *message,
			       struct field_writer *writer)
{
	stream_encode(message, writer);
	shard_encode(message, writer);
	batch_encode(message, writer);
}

static bool shard_state_decode(struct core_message *message,
			       struct array_reader *reader)
{
	return stream_decode(message, reader) &&
	       shard_decode(message, reader) && batch_decode(message, reader);
}

static const struct core_message_codec codecs[CORE_MESSAGE_KINDS] = {
	[CORE_MESSAGE_LOAD] = { 1, load_encode, load_decode },
	[CORE_MESSAGE_MAP_PROPOSAL] = { 10, proposal_encode, proposal_decode },
	[CORE_MESSAGE_MAP_ACKNOWLEDGEMENT] = { 6, acknowledgement_encode,
					       acknowledgement_decode },
	[CORE_MESSAGE_MAP_COMMIT] = { 4, map_encode, map_decode },
	[CORE_MESSAGE_MAP_REQUEST] = { 5, request_encode, request_decode },
	[CORE_MESSAGE_MAP_DIGEST] = { 2, digest_encode, digest_decode },
	[CORE_MESSAGE_RECORDS] = { 3, records_message_encode,
				   records_message_decode },
	[CORE_MESSAGE_SHARD_PULL] = { 1, shard_encode, shard_decode },
	[CORE_MESSAGE_SHARD_STATE] = { 4, shard_state_encode,
				       shard_state_decode },
	[CORE_MESSAGE_SHARD_RELEASE] = { 3, release_encode, release_decode },
	[CORE_MESSAGE_STREAM_ACKNOWLEDGEMENT] = { 2, stream_encode,
						  stream_decode },
	[CORE_MESSAGE_ANSWERS] = { 1, batch_encode, batch_decode },
};

unsigned int core_message_field_count(enum core_message_kind kind)
{
	return codecs[kind].field_count;
}

void core_message_encode(const struct core_message *message,
			 struct field_writer *writer)
{
	codecs[message->kind].encode(message, writer);
}

bool core_message_decode(struct core_message *message,
			 struct array_reader *reader)
{
	return codecs[message->kind].decode(message, reader) &&
	       array_reader_is_done(reader);
}

void core_message_clear(struct core_message *message)
{
	g_free((void *)message->base);
	g_free((void *)message->target);
	g_free((void *)message->open);
	g_free((void *)message->loads);
	g_free((void *)message->digests);
	g_free((void *)message->records);
}
