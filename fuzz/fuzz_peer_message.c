/*
 * Fuzz target of the peer protocol: frames, messages and heartbeats. Apart
 * from memory errors it finds messages that do not survive a round trip, and
 * heartbeats that corrupt the view.
 */

#include <stdlib.h>
#include <string.h>

#include "peer/membership.h"
#include "peer/message_codec.h"
#include "peer/send_queue.h"

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void require(bool is_true)
{
	if (!is_true)
		abort();
}

/* Encodes @message and decodes it again. */
static struct peer_message *repeat(const struct peer_message *message,
				   GByteArray **bytes)
{
	struct peer_message *again;

	*bytes = peer_message_encode(message);
	again = peer_message_decode((*bytes)->data, (*bytes)->len, NULL);
	require(again);
	return again;
}

/* The first encoding may be shorter than the input, the second is equal. */
static void round_trip_check(const struct peer_message *message)
{
	GByteArray *first;
	GByteArray *second;
	struct peer_message *again = repeat(message, &first);
	struct peer_message *last = repeat(again, &second);

	require(first->len == second->len &&
		memcmp(first->data, second->data, first->len) == 0);
	g_byte_array_unref(first);
	g_byte_array_unref(second);
	peer_message_free(again);
	peer_message_free(last);
}

static void heartbeat_discard(void *context, uint64_t member_id,
			      const struct heartbeat *heartbeat)
{
}

static void heartbeat_check(const struct heartbeat *heartbeat)
{
	struct manual_clock clock;
	struct membership_options options = {
		.self_id = 1,
		.incarnation = 1,
		.clock = &clock.clock,
		.send = heartbeat_discard,
	};
	struct membership *membership;

	manual_clock_init(&clock, NS_PER_S);
	membership = membership_create(&options);
	membership_add_peer(membership, 2, 0);
	for (int i = 0; i < 4; i++) {
		clock.now_ns += 100 * NS_PER_MS;
		membership_tick(membership);
		membership_handle(membership, 2, heartbeat);
		require(membership_view(membership)->member_count <= 2);
	}
	membership_destroy(membership);
}

static void message_check(const uint8_t *data, size_t size)
{
	struct error error = { 0 };
	struct peer_message *message = peer_message_decode(data, size, &error);

	if (!message) {
		require(error.kind == ERROR_PEER);
		return;
	}
	round_trip_check(message);
	if (message->kind == PEER_MESSAGE_HEARTBEAT)
		heartbeat_check(&message->heartbeat);
	peer_message_free(message);
}

/* Reads both ends, so that the sanitizer sees a wrong length. */
static void message_touch(const struct reassembled *message)
{
	static volatile uint8_t sink;

	require(message->length > 0);
	sink = message->data[0];
	sink = message->data[message->length - 1];
	(void)sink;
}

/* The input as frames, each one with its length in the byte before it. */
static void frames_check(const uint8_t *data, size_t size)
{
	struct reassembly reassembly = { 0 };
	struct reassembled message;

	while (size > 0 && size - 1 >= data[0]) {
		if (reassembly_add(&reassembly, data + 1, data[0], &message) ==
		    REASSEMBLY_COMPLETE)
			message_touch(&message);
		size -= 1 + (size_t)data[0];
		data += 1 + (size_t)data[0];
	}
	reassembly_clear(&reassembly);
}

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	message_check(data, size);
	frames_check(data, size);
	return 0;
}
