#include "peer/message_codec.h"

#include <string.h>

#include "peer/core_message_codec.h"
#include "peer/field_codec.h"
#include "peer/wire.h"

/* Version and kind come first in every message. */
#define HEADER_FIELDS 2
#define PART_NAME_BYTES_MAX 255
/* Name length, one byte of name and the digest. */
#define PART_REFERENCE_BYTES_MIN 10

static void heartbeat_encode(const struct heartbeat *heartbeat,
			     struct field_writer *writer)
{
	GByteArray *out = g_byte_array_new();

	wire_write_varint(out, heartbeat->sequence);
	wire_write_varint(out, heartbeat->acknowledged);
	wire_write_u32(out, heartbeat->incarnation);
	wire_write_u32(out, heartbeat->addressee_incarnation);
	wire_write_u8(out, heartbeat->state);
	wire_write_varint(out, heartbeat->zone);
	wire_write_varint(out, heartbeat->revision);
	wire_write_u64(out, heartbeat->revision_digest);
	field_write_array(writer, out);
}

static bool heartbeat_decode(struct heartbeat *heartbeat,
			     struct array_reader *reader)
{
	struct wire_reader wire = { 0 };

	wire.data = field_read_bytes(reader, &wire.left);
	if (!wire.data)
		return false;
	heartbeat->sequence = wire_read_varint(&wire);
	heartbeat->acknowledged = wire_read_varint(&wire);
	heartbeat->incarnation = wire_read_u32(&wire);
	heartbeat->addressee_incarnation = wire_read_u32(&wire);
	heartbeat->state = wire_read_u8(&wire);
	heartbeat->zone = (uint16_t)wire_read_limited(&wire, UINT16_MAX);
	heartbeat->revision = wire_read_varint(&wire);
	heartbeat->revision_digest = wire_read_u64(&wire);
	return wire_reader_is_done(&wire) && heartbeat->state <= MEMBER_LEAVING;
}

static void index_encode(const struct peer_message *message,
			 struct field_writer *writer)
{
	GByteArray *out = g_byte_array_new();

	for (size_t i = 0; i < message->part_count; i++) {
		const char *name = message->parts[i].name;
		uint8_t length =
			(uint8_t)MIN(strlen(name), PART_NAME_BYTES_MAX);

		wire_write_u8(out, length);
		g_byte_array_append(out, (const guint8 *)name, length);
		wire_write_u64(out, message->parts[i].digest);
	}
	field_write_array(writer, out);
}

static bool reference_decode(struct part_reference *part,
			     struct wire_reader *wire)
{
	size_t length = wire_read_u8(wire);

	if (length == 0 || length > wire->left ||
	    memchr(wire->data, '\0', length))
		return false;
	part->name = g_strndup((const char *)wire->data, length);
	wire->data += length;
	wire->left -= length;
	part->digest = wire_read_u64(wire);
	return !wire->is_bad;
}

static bool index_decode(struct peer_message *message,
			 struct array_reader *reader)
{
	struct wire_reader wire = { 0 };

	wire.data = field_read_bytes(reader, &wire.left);
	if (!wire.data)
		return false;
	message->parts = g_new0(struct part_reference,
				wire.left / PART_REFERENCE_BYTES_MIN + 1);
	while (wire.left >= PART_REFERENCE_BYTES_MIN) {
		/* Counted first, so that a half-read name is freed too. */
		if (!reference_decode(&message->parts[message->part_count++],
				      &wire))
			return false;
	}
	return wire_reader_is_done(&wire);
}

static void revision_encode(const struct peer_message *message,
			    struct field_writer *writer)
{
	field_write_uint(writer, message->revision);
	field_write_uint(writer, message->base_revision);
}

static bool revision_decode(struct peer_message *message,
			    struct array_reader *reader)
{
	message->revision = field_read_uint(reader, UINT64_MAX);
	message->base_revision = field_read_uint(reader, UINT64_MAX);
	return !reader->is_bad;
}

static void part_encode(const struct peer_message *message,
			struct field_writer *writer)
{
	field_write_uint(writer, message->revision);
	field_write_text(writer, message->part_name);
	field_write_uint(writer, message->part_digest);
	if (message->kind == PEER_MESSAGE_PART)
		field_write_bytes(writer, message->part_data,
				  message->part_bytes);
}

static bool part_decode(struct peer_message *message,
			struct array_reader *reader)
{
	const uint8_t *data;

	message->revision = field_read_uint(reader, UINT64_MAX);
	message->part_name = field_read_text(reader, PART_NAME_BYTES_MAX);
	message->part_digest = field_read_uint(reader, UINT64_MAX);
	if (message->kind == PEER_MESSAGE_PART_REQUEST)
		return !reader->is_bad;
	data = field_read_bytes(reader, &message->part_bytes);
	if (data)
		message->part_data = g_memdup2(data, message->part_bytes);
	return !reader->is_bad;
}

static unsigned int field_count(const struct peer_message *message)
{
	switch (message->kind) {
	case PEER_MESSAGE_CORE:
		return HEADER_FIELDS + 1 +
		       core_message_field_count(message->core.kind);
	case PEER_MESSAGE_REVISION_REQUEST:
		return HEADER_FIELDS + 2;
	case PEER_MESSAGE_REVISION_INDEX:
	case PEER_MESSAGE_PART_REQUEST:
		return HEADER_FIELDS + 3;
	case PEER_MESSAGE_PART:
		return HEADER_FIELDS + 4;
	case PEER_MESSAGE_HEARTBEAT:
	case PEER_MESSAGE_KINDS:
		break;
	}
	return HEADER_FIELDS + 1;
}

GByteArray *peer_message_encode(const struct peer_message *message)
{
	GByteArray *out = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, out, field_count(message));
	field_write_uint(&writer, PEER_PROTOCOL_VERSION);
	field_write_uint(&writer, message->kind);
	switch (message->kind) {
	case PEER_MESSAGE_HEARTBEAT:
		heartbeat_encode(&message->heartbeat, &writer);
		break;
	case PEER_MESSAGE_CORE:
		field_write_uint(&writer, message->core.kind);
		core_message_encode(&message->core, &writer);
		break;
	case PEER_MESSAGE_REVISION_REQUEST:
		revision_encode(message, &writer);
		break;
	case PEER_MESSAGE_REVISION_INDEX:
		revision_encode(message, &writer);
		index_encode(message, &writer);
		break;
	case PEER_MESSAGE_PART_REQUEST:
	case PEER_MESSAGE_PART:
		part_encode(message, &writer);
		break;
	case PEER_MESSAGE_KINDS:
		break;
	}
	return out;
}

static bool body_decode(struct peer_message *message,
			struct array_reader *reader)
{
	switch (message->kind) {
	case PEER_MESSAGE_HEARTBEAT:
		return heartbeat_decode(&message->heartbeat, reader);
	case PEER_MESSAGE_CORE:
		message->core.kind =
			field_read_uint(reader, CORE_MESSAGE_KINDS - 1);
		return !reader->is_bad &&
		       core_message_decode(&message->core, reader);
	case PEER_MESSAGE_REVISION_REQUEST:
		return revision_decode(message, reader);
	case PEER_MESSAGE_REVISION_INDEX:
		return revision_decode(message, reader) &&
		       index_decode(message, reader);
	case PEER_MESSAGE_PART_REQUEST:
	case PEER_MESSAGE_PART:
		return part_decode(message, reader);
	case PEER_MESSAGE_KINDS:
		break;
	}
	return false;
}

struct peer_message *peer_message_decode(const uint8_t *data, size_t length,
					 struct error *error)
{
	struct array_reader reader;
	struct peer_message *message;
	uint64_t version;
	uint64_t kind;

	if (!array_reader_init(&reader, data, length)) {
		error_set(error, ERROR_PEER,
			  "message of %zu bytes is not one flat array", length);
		return NULL;
	}
	version = field_read_uint(&reader, UINT64_MAX);
	if (reader.is_bad || version != PEER_PROTOCOL_VERSION) {
		error_set(error, ERROR_PEER,
			  "protocol version %" G_GUINT64_FORMAT
			  ", %d is spoken here",
			  version, PEER_PROTOCOL_VERSION);
		return NULL;
	}
	kind = field_read_uint(&reader, UINT64_MAX);
	if (reader.is_bad || kind >= PEER_MESSAGE_KINDS) {
		error_set(error, ERROR_PEER,
			  "unknown message kind %" G_GUINT64_FORMAT, kind);
		return NULL;
	}
	message = g_new0(struct peer_message, 1);
	message->kind = (enum peer_message_kind)kind;
	if (body_decode(message, &reader) && array_reader_is_done(&reader))
		return message;
	error_set(error, ERROR_PEER,
		  "malformed message of kind %" G_GUINT64_FORMAT
		  " and %zu bytes",
		  kind, length);
	peer_message_free(message);
	return NULL;
}

void peer_message_free(struct peer_message *message)
{
	if (!message)
		return;
	core_message_clear(&message->core);
	for (size_t i = 0; i < message->part_count; i++)
		g_free(message->parts[i].name);
	g_free(message->parts);
	g_free(message->part_name);
	g_free((void *)message->part_data);
	g_free(message);
}
