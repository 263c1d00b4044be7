/*
 * Guards against datagrams of other balancers, or strangers, that crash, leak,
 * read beyond their end or change when they are encoded again.
 */

#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "sharing/routing_codec.h"
#include "sharing/sharing_message.h"

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void message_check(const uint8_t *data, size_t length)
{
	struct sharing_message message;
	struct sharing_message again;
	struct error error = { 0 };
	GByteArray *bytes;
	GByteArray *twice;

	if (!sharing_message_decode(data, length, &message, &error)) {
		if (error.kind != ERROR_PEER)
			abort();
		return;
	}
	bytes = sharing_message_encode(&message);
	if (!sharing_message_decode(bytes->data, bytes->len, &again, &error))
		abort();
	twice = sharing_message_encode(&again);
	if (bytes->len != twice->len ||
	    memcmp(bytes->data, twice->data, bytes->len) != 0)
		abort();
	sharing_message_clear(&message);
	sharing_message_clear(&again);
	g_byte_array_unref(bytes);
	g_byte_array_unref(twice);
}

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	message_check(data, length);
	routing_unref(routing_decode(data, length, NULL));
	return 0;
}
