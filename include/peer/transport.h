#ifndef PARSLEYLADDER_PEER_TRANSPORT_H
#define PARSLEYLADDER_PEER_TRANSPORT_H

/**
 * Carries messages between members over ZeroMQ, encrypted and authenticated
 * with CURVE, within the control budget. Runs in the default GLib main loop.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "core/message.h"

/** Z85 form of a CURVE key, in bytes with the terminating NUL. */
#define CURVE_KEY_TEXT_BYTES 41

struct transport;

struct transport_options {
	uint64_t self_id;
	const char *address;
	uint16_t port;
	const char *public_key; /* Z85 */
	const char *secret_key; /* Z85 */
	/* Keys that peers may present, NULL-terminated; two during a rotation. */
	const char *const *accepted_keys;
	uint32_t budget_bytes_per_s;
	const struct clock *clock;
	void (*on_message)(void *context, uint64_t sender_id,
			   const uint8_t *data, size_t length);
	void *context;
};

/** Returns NULL and fills @error (ERROR_ADDRESS_IN_USE, ERROR_SETTINGS). */
struct transport *transport_create(const struct transport_options *options,
				   struct error *error);
void transport_destroy(struct transport *transport);
bool transport_add_peer(struct transport *transport, uint64_t member_id,
			const char *address, uint16_t port,
			const char *public_key, struct error *error);
/** Queues a message; it waits for the budget by priority, or is dropped. */
void transport_send(struct transport *transport, uint64_t member_id,
		    const uint8_t *data, size_t length,
		    enum message_priority priority);
/** Bytes that may be sent now. */
uint64_t transport_budget_bytes(struct transport *transport);
void transport_print_json(const struct transport *transport,
			  JsonBuilder *builder);

#endif
