#include "peer/table_codec.h"
#include "peer/wire.h"

/* Flow hash, host id and flags. */
#define RECORD_BYTES 13

GByteArray *records_encode(const struct flow_record *records, size_t count)
{
	GByteArray *out = g_byte_array_new();
	size_t group;

	for (size_t i = 0; i < count; i += group) {
		group = 1;
		while (i + group < count &&
		       records[i + group].service_id == records[i].service_id)
			group++;
		wire_write_u32(out, records[i].service_id);
		wire_write_varint(out, group);
		for (size_t j = i; j < i + group; j++) {
			wire_write_u64(out, records[j].flow_hash);
			wire_write_u32(out, records[j].host_id);
			wire_write_u8(out, records[j].flags);
		}
	}
	return out;
}

struct flow_record *records_decode(const uint8_t *data, size_t length,
				   size_t *count)
{
	struct wire_reader reader = { .data = data, .left = length };
	size_t used = 0;
	/* A record takes RECORD_BYTES at least, so this is an upper bound. */
	struct flow_record *records =
		g_new0(struct flow_record, length / RECORD_BYTES + 1);

	while (reader.left > 0 && !reader.is_bad) {
		uint32_t service_id = wire_read_u32(&reader);
		uint64_t group = wire_read_varint(&reader);

		if (group == 0 || group > reader.left / RECORD_BYTES)
			reader.is_bad = true;
		for (; !reader.is_bad && group > 0; group--, used++) {
			records[used].service_id = service_id;
			records[used].flow_hash = wire_read_u64(&reader);
			records[used].host_id = wire_read_u32(&reader);
			records[used].flags = wire_read_u8(&reader);
		}
	}
	if (reader.is_bad) {
		g_free(records);
		return NULL;
	}
	*count = used;
	return records;
}
