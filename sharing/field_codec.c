#include "sharing/field_codec.h"

#include <string.h>

/* First byte of a msgpack array with up to 15 elements. */
#define FIXARRAY_TAG 0x90
#define FIXARRAY_MASK 0xf0

static int bytes_append(void *context, const char *data, size_t length)
{
	g_byte_array_append(context, (const guint8 *)data, (guint)length);
	return 0;
}

void field_writer_init(struct field_writer *writer, GByteArray *out,
		       unsigned int field_count)
{
	writer->out = out;
	msgpack_packer_init(&writer->packer, out, bytes_append);
	msgpack_pack_array(&writer->packer, field_count);
}

void field_write_uint(struct field_writer *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

void field_write_bytes(struct field_writer *writer, const void *data,
		       size_t length)
{
	msgpack_pack_bin(&writer->packer, length);
	if (length > 0)
		msgpack_pack_bin_body(&writer->packer, data, length);
}

void field_write_byte_array(struct field_writer *writer, GByteArray *bytes)
{
	field_write_bytes(writer, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
}

void field_write_text(struct field_writer *writer, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(&writer->packer, length);
	msgpack_pack_str_body(&writer->packer, text, length);
}

/* Scalars only: none of these makes the unpacker allocate. */
static bool is_scalar(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
	       object->type == MSGPACK_OBJECT_BIN ||
	       object->type == MSGPACK_OBJECT_STR;
}

/* Recognises arrays and maps by their first byte, before unpacking. */
static bool is_container_tag(uint8_t tag)
{
	bool is_fixed = (tag & 0xf0) == 0x80 || (tag & 0xf0) == FIXARRAY_TAG;

	return is_fixed || (tag >= 0xdc && tag <= 0xdf);
}

static bool field_unpack(struct array_reader *reader, const uint8_t *data,
			 size_t length, size_t *offset)
{
	msgpack_unpacked unpacked;
	bool is_valid = false;

	if (*offset >= length || is_container_tag(data[*offset]))
		return false;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, length,
				offset) == MSGPACK_UNPACK_SUCCESS &&
	    is_scalar(&unpacked.data)) {
		reader->fields[reader->count++] = unpacked.data;
		is_valid = true;
	}
	msgpack_unpacked_destroy(&unpacked);
	return is_valid;
}

bool array_reader_init(struct array_reader *reader, const uint8_t *data,
		       size_t length)
{
	unsigned int count;
	size_t offset = 1;

	memset(reader, 0, sizeof(*reader));
	if (length == 0 || (data[0] & FIXARRAY_MASK) != FIXARRAY_TAG)
		return false;
	count = data[0] & ~FIXARRAY_MASK;
	while (reader->count < count) {
		if (!field_unpack(reader, data, length, &offset))
			return false;
	}
	return offset == length;
}

static const msgpack_object *field_next(struct array_reader *reader,
					msgpack_object_type type)
{
	const msgpack_object *field = &reader->fields[reader->next];

	if (reader->has_error || reader->next >= reader->count ||
	    field->type != type) {
		reader->has_error = true;
		return NULL;
	}
	reader->next++;
	return field;
}

uint64_t field_read_uint(struct array_reader *reader, uint64_t max)
{
	const msgpack_object *field =
		field_next(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!field)
		return 0;
	if (field->via.u64 > max) {
		reader->has_error = true;
		return 0;
	}
	return field->via.u64;
}

const uint8_t *field_read_bytes(struct array_reader *reader, size_t *length)
{
	const msgpack_object *field = field_next(reader, MSGPACK_OBJECT_BIN);

	*length = field ? field->via.bin.size : 0;
	return field ? (const uint8_t *)field->via.bin.ptr : NULL;
}

char *field_read_text(struct array_reader *reader, size_t max)
{
	const msgpack_object *field = field_next(reader, MSGPACK_OBJECT_STR);

	if (!field)
		return NULL;
	/* The unpacker gives an empty text a null pointer. */
	if (field->via.str.size == 0 || field->via.str.size > max ||
	    memchr(field->via.str.ptr, '\0', field->via.str.size)) {
		reader->has_error = true;
		return NULL;
	}
	return g_strndup(field->via.str.ptr, field->via.str.size);
}

bool array_reader_is_done(const struct array_reader *reader)
{
	return !reader->has_error && reader->next == reader->count;
}
