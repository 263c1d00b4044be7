#include "sharing/zone_load_codec.h"

#include "sharing/byte_codec.h"

#define ENTRY_BYTES 28

void zone_load_entries_write(struct field_writer *writer,
			     const struct zone_load_entry *entries,
			     size_t count)
{
	GByteArray *bytes = g_byte_array_new();

	for (size_t i = 0; i < count; i++) {
		const struct zone_load_entry *entry = &entries[i];

		bytes_put(bytes, entry->zone, 4);
		bytes_put(bytes, entry->service, 4);
		bytes_put(bytes, entry->leader, 4);
		bytes_put(bytes, entry->usable_slots, 2);
		bytes_put(bytes, entry->busy_parts, 4);
		bytes_put(bytes, entry->own_parts, 4);
		bytes_put(bytes, entry->time_ms, 2);
		bytes_put(bytes, entry->unloaded_ms, 2);
		bytes_put(bytes, entry->age_ms, 2);
	}
	field_write_byte_array(writer, bytes);
}

size_t zone_load_entries_read(struct array_reader *reader,
			      struct zone_load_entry *entries)
{
	size_t length;
	const uint8_t *data = field_read_bytes(reader, &length);
	size_t count = length / ENTRY_BYTES;

	if (length % ENTRY_BYTES != 0 || count > ZONE_LOAD_ENTRIES_MAX) {
		reader->has_error = true;
		return 0;
	}
	for (size_t i = 0; i < count; i++) {
		struct zone_load_entry *entry = &entries[i];

		entry->zone = (uint32_t)bytes_get(&data, 4);
		entry->service = (uint32_t)bytes_get(&data, 4);
		entry->leader = (uint32_t)bytes_get(&data, 4);
		entry->usable_slots = (uint16_t)bytes_get(&data, 2);
		entry->busy_parts = (uint32_t)bytes_get(&data, 4);
		entry->own_parts = (uint32_t)bytes_get(&data, 4);
		entry->time_ms = (uint16_t)bytes_get(&data, 2);
		entry->unloaded_ms = (uint16_t)bytes_get(&data, 2);
		entry->age_ms = (uint16_t)bytes_get(&data, 2);
	}
	return count;
}
