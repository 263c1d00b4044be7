/*
 * Guards against datagrams from members or unknown senders that cause crashes,
 * leaks or reads beyond their end, or that change when encoded again.
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
	struct sharing_message decoded_again;
	struct error error = { 0 };
	GByteArray *bytes;
	GByteArray *bytes_again;

	if (!sharing_message_decode(data, length, &message, &error)) {
		if (error.kind != ERROR_PEER)
			abort();
		return;
	}
	bytes = sharing_message_encode(&message);
	if (!sharing_message_decode(bytes->data, bytes->len, &decoded_again,
				    &error))
		abort();
	bytes_again = sharing_message_encode(&decoded_again);
	if (bytes->len != bytes_again->len ||
	    memcmp(bytes->data, bytes_again->data, bytes->len) != 0)
		abort();
	sharing_message_clear(&message);
	sharing_message_clear(&decoded_again);
	g_byte_array_unref(bytes);
	g_byte_array_unref(bytes_again);
}

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	message_check(data, length);
	for (int i = 0; i < ROUTES_ENCODINGS; i++)
		routing_unref(routing_decode(data, length,
					     (enum routes_encoding)i, NULL));
	return 0;
}
