#include "sharing/host_speeds_codec.h"

#include "sharing/byte_codec.h"

#define SPEED_REPORT_BYTES 12
#define SPEED_BYTES 6

void host_speeds_write(struct field_writer *writer,
		       const struct sharing_message *message)
{
	GByteArray *reports = g_byte_array_new();
	GByteArray *speeds = g_byte_array_new();

	for (size_t i = 0; i < message->speed_report_count; i++) {
		const struct host_sample_report *report =
			&message->speed_reports[i];

		bytes_put(reports, report->speed.token, 4);
		bytes_put(reports, report->speed.samples, 2);
		bytes_put(reports, report->speed.time_permille, 2);
		bytes_put(reports, report->sizes.responses, 2);
		bytes_put(reports, report->sizes.shorts, 2);
	}
	for (size_t i = 0; i < message->speed_count; i++) {
		bytes_put(speeds, message->speeds[i].token, 4);
		bytes_put(speeds,
			  message->speeds[i].speed_permille |
				  (message->speeds[i].is_failing
					   ? HOST_SPEED_PERMILLE_LIMIT
					   : 0),
			  2);
	}
	field_write_byte_array(writer, reports);
	field_write_uint(writer, message->first_token);
	field_write_uint(writer, message->last_token);
	field_write_byte_array(writer, speeds);
}

static void speed_reports_read(struct array_reader *reader,
			       struct sharing_message *message)
{
	size_t length;
	const uint8_t *data = field_read_bytes(reader, &length);

	if (length % SPEED_REPORT_BYTES != 0 ||
	    length / SPEED_REPORT_BYTES > SPEED_REPORTS_MAX) {
		reader->has_error = true;
		return;
	}
	message->speed_report_count = length / SPEED_REPORT_BYTES;
	for (size_t i = 0; i < message->speed_report_count; i++) {
		struct host_sample_report *report = &message->speed_reports[i];

		report->speed.token = (uint32_t)bytes_get(&data, 4);
		report->speed.samples = (uint16_t)bytes_get(&data, 2);
		report->speed.time_permille = (uint16_t)bytes_get(&data, 2);
		report->sizes.responses = (uint16_t)bytes_get(&data, 2);
		report->sizes.shorts = (uint16_t)bytes_get(&data, 2);
	}
}

void host_speeds_read(struct array_reader *reader,
		      struct sharing_message *message)
{
	size_t length;
	const uint8_t *data;

	speed_reports_read(reader, message);
	message->first_token = (uint32_t)field_read_uint(reader, UINT32_MAX);
	message->last_token = (uint32_t)field_read_uint(reader, UINT32_MAX);
	data = field_read_bytes(reader, &length);
	if (length % SPEED_BYTES != 0 ||
	    length / SPEED_BYTES > HOST_SPEEDS_MAX) {
		reader->has_error = true;
		return;
	}
	message->speed_count = length / SPEED_BYTES;
	for (size_t i = 0; i < message->speed_count; i++) {
		uint16_t value;

		message->speeds[i].token = (uint32_t)bytes_get(&data, 4);
		value = (uint16_t)bytes_get(&data, 2);
		message->speeds[i].is_failing = value &
						HOST_SPEED_PERMILLE_LIMIT;
		message->speeds[i].speed_permille =
			value & (HOST_SPEED_PERMILLE_LIMIT - 1);
	}
}
