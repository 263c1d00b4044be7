#include "sharing/sharing_message.h"

#include <string.h>

#include "sharing/byte_codec.h"
#include "sharing/cursor_codec.h"
#include "sharing/field_codec.h"
#include "sharing/host_speeds_codec.h"
#include "sharing/zone_drains_codec.h"
#include "sharing/zone_load_codec.h"

/* To be changed with the layout of a message; other versions are rejected. */
#define FORMAT_VERSION 2
#define SENDER_FIELDS 4
#define GOSSIP_FIELDS 6
#define POLL_FIELDS 10
#define UPDATE_FIELDS 15
#define LOOKUP_REQUEST_FIELDS 5
#define LOOKUP_RESPONSE_FIELDS 6
#define ZONE_LOADS_FIELDS 5
#define HOST_FIELDS 11
#define REMOVED_FIELDS 3
#define MEMBER_BYTES 14
#define LOAD_BYTES 6

enum update_flag {
	UPDATE_IS_LISTING = 1,
	UPDATE_HAS_MORE = 2,
	UPDATE_NEEDS_LISTING = 4,
	UPDATE_FLAGS = 7,
};

static void members_write(struct field_writer *writer,
			  const struct sharing_message *message)
{
	GByteArray *bytes = g_byte_array_new();

	field_write_uint(writer, message->replica_age_ms);
	for (size_t i = 0; i < message->member_count; i++) {
		const struct member_entry *entry = &message->members[i];

		bytes_put(bytes, entry->address, 4);
		bytes_put(bytes, entry->zone, 4);
		bytes_put(bytes, entry->capacity, 2);
		bytes_put(bytes, MIN(entry->age_ms, UINT16_MAX), 2);
		bytes_put(bytes,
			  MIN(entry->replica_age_ms, MEMBER_REPLICA_AGE_NONE),
			  2);
	}
	field_write_byte_array(writer, bytes);
}

static void members_read(struct array_reader *reader,
			 struct sharing_message *message)
{
	size_t length;
	const uint8_t *data;

	message->replica_age_ms = (uint32_t)field_read_uint(reader, UINT32_MAX);
	data = field_read_bytes(reader, &length);
	if (length % MEMBER_BYTES != 0 ||
	    length / MEMBER_BYTES > MEMBER_SAMPLE_MAX) {
		reader->has_error = true;
		return;
	}
	message->member_count = length / MEMBER_BYTES;
	for (size_t i = 0; i < message->member_count; i++) {
		struct member_entry *entry = &message->members[i];

		entry->address = (uint32_t)bytes_get(&data, 4);
		entry->zone = (uint32_t)bytes_get(&data, 4);
		entry->capacity = (uint16_t)bytes_get(&data, 2);
		entry->age_ms = (uint32_t)bytes_get(&data, 2);
		entry->replica_age_ms = (uint32_t)bytes_get(&data, 2);
	}
}

static void loads_write(struct field_writer *writer,
			const struct sharing_message *message)
{
	GByteArray *bytes = g_byte_array_new();

	for (size_t i = 0; i < message->load_count; i++) {
		bytes_put(bytes, message->loads[i].token, 4);
		bytes_put(bytes, message->loads[i].flows, 2);
	}
	field_write_byte_array(writer, bytes);
}

static void loads_read(struct array_reader *reader,
		       struct sharing_message *message)
{
	size_t length;
	const uint8_t *data = field_read_bytes(reader, &length);

	if (length % LOAD_BYTES != 0 || length / LOAD_BYTES > HOST_LOADS_MAX) {
		reader->has_error = true;
		return;
	}
	message->load_count = length / LOAD_BYTES;
	for (size_t i = 0; i < message->load_count; i++) {
		message->loads[i].token = (uint32_t)bytes_get(&data, 4);
		message->loads[i].flows = (uint16_t)bytes_get(&data, 2);
	}
}

static GByteArray *host_encode(const struct host_update *update)
{
	const struct host_announcement *host = &update->host;
	GByteArray *bytes = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, bytes,
			  update->is_removed ? REMOVED_FIELDS : HOST_FIELDS);
	field_write_text(&writer, host->id);
	field_write_uint(&writer, host->position.revision);
	if (update->is_removed) {
		field_write_uint(&writer, 1);
		return bytes;
	}
	field_write_uint(&writer, host->target_id);
	field_write_bytes(&writer, host->address.bytes,
			  sizeof(host->address.bytes));
	field_write_uint(&writer, host->port);
	field_write_text(&writer, host->service);
	field_write_text(&writer, host->zone);
	field_write_uint(&writer, host->slots);
	field_write_uint(&writer, host->started_ms);
	field_write_uint(&writer, host->slow_start_ms);
	field_write_uint(&writer, host->is_draining);
	return bytes;
}

static bool text_read(struct array_reader *reader, char *text, size_t max)
{
	char *value = field_read_text(reader, max);

	if (value)
		g_strlcpy(text, value, max + 1);
	g_free(value);
	return value != NULL;
}

static bool host_decode(const uint8_t *data, size_t length,
			struct host_update *update)
{
	struct host_announcement *host = &update->host;
	struct array_reader reader;
	const uint8_t *address;
	size_t address_bytes;

	memset(update, 0, sizeof(*update));
	if (!array_reader_init(&reader, data, length) ||
	    !text_read(&reader, host->id, HOST_ID_BYTES_MAX))
		return false;
	host->position.revision = field_read_uint(&reader, G_MAXINT64);
	if (reader.count == REMOVED_FIELDS) {
		update->is_removed = field_read_uint(&reader, 1) == 1;
		return array_reader_is_done(&reader) && update->is_removed;
	}
	host->target_id = field_read_uint(&reader, G_MAXUINT64);
	address = field_read_bytes(&reader, &address_bytes);
	if (address_bytes != sizeof(host->address.bytes))
		return false;
	memcpy(host->address.bytes, address, address_bytes);
	host->port = (uint16_t)field_read_uint(&reader, UINT16_MAX);
	if (!text_read(&reader, host->service, NAME_BYTES_MAX) ||
	    !text_read(&reader, host->zone, NAME_BYTES_MAX))
		return false;
	host->slots = (uint32_t)field_read_uint(&reader, UINT16_MAX);
	host->started_ms = field_read_uint(&reader, G_MAXINT64);
	host->slow_start_ms = (uint32_t)field_read_uint(&reader, G_MAXINT32);
	host->is_draining = field_read_uint(&reader, 1) == 1;
	return array_reader_is_done(&reader);
}

size_t host_update_bytes(const struct host_update *update)
{
	GByteArray *bytes = host_encode(update);
	size_t length = bytes->len + RECORD_LENGTH_BYTES;

	g_byte_array_unref(bytes);
	return length;
}

static void hosts_write(struct field_writer *writer, const GArray *hosts)
{
	GByteArray *all = g_byte_array_new();

	for (guint i = 0; hosts && i < hosts->len; i++)
		record_put(all, host_encode(&g_array_index(
					hosts, struct host_update, i)));
	field_write_byte_array(writer, all);
}

static void hosts_read(struct array_reader *reader,
		       struct sharing_message *message)
{
	size_t length;
	const uint8_t *data = field_read_bytes(reader, &length);
	const uint8_t *end = length > 0 ? data + length : data;

	message->hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	while (!reader->has_error && data < end) {
		struct host_update update;
		const uint8_t *record;
		size_t bytes;

		if (!record_get(&data, end, &record, &bytes) ||
		    !host_decode(record, bytes, &update)) {
			reader->has_error = true;
			return;
		}
		g_array_append_val(message->hosts, update);
	}
}

static void poll_write(struct field_writer *writer,
		       const struct sharing_message *message)
{
	field_write_uint(writer, message->position.revision);
	field_write_uint(writer, message->routes_version);
	field_write_uint(writer, message->is_listing);
	cursor_write(writer, message);
	field_write_uint(writer, message->chunk);
	loads_write(writer, message);
}

static void poll_read(struct array_reader *reader,
		      struct sharing_message *message)
{
	message->position.revision = field_read_uint(reader, G_MAXINT64);
	message->routes_version = field_read_uint(reader, G_MAXINT64);
	message->is_listing = field_read_uint(reader, 1) == 1;
	cursor_read(reader, message);
	message->chunk = (uint32_t)field_read_uint(reader, G_MAXINT32);
	loads_read(reader, message);
}

static void update_write(struct field_writer *writer,
			 const struct sharing_message *message)
{
	unsigned int flags =
		(message->is_listing ? UPDATE_IS_LISTING : 0) |
		(message->has_more ? UPDATE_HAS_MORE : 0) |
		(message->needs_listing ? UPDATE_NEEDS_LISTING : 0);

	field_write_uint(writer, message->position.revision);
	field_write_uint(writer, message->routes_version);
	field_write_uint(writer, flags);
	cursor_write(writer, message);
	field_write_uint(writer, message->chunk);
	loads_write(writer, message);
	field_write_uint(writer, message->update_age_ms);
	field_write_uint(writer, message->chunk_count);
	field_write_bytes(writer, message->chunk_data, message->chunk_bytes);
	hosts_write(writer, message->hosts);
	field_write_uint(writer, message->base_revision);
}

static void update_read(struct array_reader *reader,
			struct sharing_message *message)
{
	uint64_t flags;

	message->position.revision = field_read_uint(reader, G_MAXINT64);
	message->routes_version = field_read_uint(reader, G_MAXINT64);
	flags = field_read_uint(reader, UPDATE_FLAGS);
	message->is_listing = flags & UPDATE_IS_LISTING;
	message->has_more = flags & UPDATE_HAS_MORE;
	message->needs_listing = flags & UPDATE_NEEDS_LISTING;
	cursor_read(reader, message);
	message->chunk = (uint32_t)field_read_uint(reader, G_MAXINT32);
	loads_read(reader, message);
	message->update_age_ms = (uint32_t)field_read_uint(reader, UINT32_MAX);
	message->chunk_count = (uint32_t)field_read_uint(reader, G_MAXINT32);
	message->chunk_data = field_read_bytes(reader, &message->chunk_bytes);
	hosts_read(reader, message);
	message->base_revision = field_read_uint(reader, G_MAXINT64);
}

static void lookup_request_write(struct field_writer *writer,
				 const struct sharing_message *message)
{
	field_write_uint(writer, message->token);
}

static void lookup_request_read(struct array_reader *reader,
				struct sharing_message *message)
{
	message->token = (uint32_t)field_read_uint(reader, UINT32_MAX);
}

static void lookup_response_write(struct field_writer *writer,
				  const struct sharing_message *message)
{
	field_write_uint(writer, message->position.revision);
	hosts_write(writer, message->hosts);
}

static void lookup_response_read(struct array_reader *reader,
				 struct sharing_message *message)
{
	message->position.revision = field_read_uint(reader, G_MAXINT64);
	hosts_read(reader, message);
}

static void zone_loads_write(struct field_writer *writer,
			     const struct sharing_message *message)
{
	zone_load_entries_write(writer, message->zone_loads,
				message->zone_load_count);
}

static void zone_loads_read(struct array_reader *reader,
			    struct sharing_message *message)
{
	message->zone_load_count =
		zone_load_entries_read(reader, message->zone_loads);
}

static const struct {
	unsigned int fields;
	bool has_era_field; /* after the others, if the message has an era */
	void (*write)(struct field_writer *writer,
		      const struct sharing_message *message);
	void (*read)(struct array_reader *reader,
		     struct sharing_message *message);
} message_codecs[SHARING_KINDS] = {
	[SHARING_GOSSIP_REQUEST] = { GOSSIP_FIELDS, false, members_write,
				     members_read },
	[SHARING_GOSSIP_RESPONSE] = { GOSSIP_FIELDS, false, members_write,
				      members_read },
	[SHARING_POLL] = { POLL_FIELDS, false, poll_write, poll_read },
	[SHARING_UPDATE] = { UPDATE_FIELDS, false, update_write, update_read },
	[SHARING_LOOKUP_REQUEST] = { LOOKUP_REQUEST_FIELDS, false,
				     lookup_request_write,
				     lookup_request_read },
	[SHARING_LOOKUP_RESPONSE] = { LOOKUP_RESPONSE_FIELDS, true,
				      lookup_response_write,
				      lookup_response_read },
	[SHARING_ZONE_DRAINS] = { SENDER_FIELDS + ZONE_DRAINS_FIELDS, true,
				  zone_drains_write, zone_drains_read },
	[SHARING_ZONE_LOADS] = { ZONE_LOADS_FIELDS, false, zone_loads_write,
				 zone_loads_read },
	[SHARING_HOST_SPEEDS] = { HOST_SPEEDS_FIELDS, false, host_speeds_write,
				  host_speeds_read },
};

static bool has_era_field(const struct sharing_message *message)
{
	return message->has_era && message_codecs[message->kind].has_era_field;
}

/* The field of the era is optional. */
static bool has_fields(const struct sharing_message *message,
		       unsigned int count)
{
	unsigned int fields = message_codecs[message->kind].fields;

	return count == fields ||
	       (message_codecs[message->kind].has_era_field &&
		count == fields + 1);
}

/* All positions are of the era of the message. */
static void era_apply(struct sharing_message *message)
{
	uint64_t era = message->position.era;

	if (message->drains)
		message->listed_position.era = era;
	for (guint i = 0; message->hosts && i < message->hosts->len; i++)
		g_array_index(message->hosts, struct host_update, i)
			.host.position.era = era;
	for (guint i = 0; message->drains && i < message->drains->len; i++)
		g_array_index(message->drains, struct zone_drain, i)
			.position.era = era;
}

GByteArray *sharing_message_encode(const struct sharing_message *message)
{
	GByteArray *bytes = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, bytes,
			  message_codecs[message->kind].fields +
				  has_era_field(message));
	field_write_uint(&writer, FORMAT_VERSION);
	field_write_uint(&writer, message->kind);
	field_write_uint(&writer, message->zone);
	field_write_uint(&writer, message->capacity);
	message_codecs[message->kind].write(&writer, message);
	if (has_era_field(message))
		field_write_uint(&writer, message->position.era);
	return bytes;
}

bool sharing_message_decode(const uint8_t *data, size_t length,
			    struct sharing_message *message,
			    struct error *error)
{
	struct array_reader reader;
	uint64_t format;

	memset(message, 0, sizeof(*message));
	if (!array_reader_init(&reader, data, length))
		return error_set(error, ERROR_PEER,
				 "expected a flat msgpack array");
	format = field_read_uint(&reader, UINT32_MAX);
	message->kind = (enum sharing_message_kind)field_read_uint(
		&reader, SHARING_KINDS - 1);
	message->zone = (uint32_t)field_read_uint(&reader, UINT32_MAX);
	message->capacity = (uint16_t)field_read_uint(&reader, UINT16_MAX);
	if (reader.has_error || format != FORMAT_VERSION ||
	    message->kind == 0 || !has_fields(message, reader.count))
		return error_set(error, ERROR_PEER,
				 "unknown message kind or format");
	message_codecs[message->kind].read(&reader, message);
	if (reader.count > message_codecs[message->kind].fields) {
		message->has_era = true;
		message->position.era = field_read_uint(&reader, G_MAXINT64);
	}
	era_apply(message);
	if (array_reader_is_done(&reader))
		return true;
	sharing_message_clear(message);
	return error_set(error, ERROR_PEER, "malformed message of kind %d",
			 message->kind);
}

void sharing_message_clear(struct sharing_message *message)
{
	if (message->hosts)
		g_array_unref(message->hosts);
	message->hosts = NULL;
	if (message->drains)
		g_array_unref(message->drains);
	message->drains = NULL;
}
