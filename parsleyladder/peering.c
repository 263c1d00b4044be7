#include "parsleyladder/peering.h"

#include <glib.h>
#include <string.h>

#include "common/log.h"

struct peering {
	struct peering_options options;
	uint64_t self_id;
	struct transport *transport;
	struct membership *membership;
	uint64_t malformed_messages;
};

/*
 * Zone indexes must be the same on all members: they come from the sorted set
 * of zone names in the settings, which lists the whole deployment.
 */
static uint16_t zone_index(const struct settings *settings, const char *zone)
{
	GHashTable *lower = g_hash_table_new(g_str_hash, g_str_equal);
	uint16_t index;

	if (strcmp(settings->zone, zone) < 0)
		g_hash_table_add(lower, (gpointer)settings->zone);
	for (size_t i = 0; i < settings->peer_count; i++)
		if (strcmp(settings->peers[i].zone, zone) < 0)
			g_hash_table_add(lower, settings->peers[i].zone);
	index = (uint16_t)g_hash_table_size(lower);
	g_hash_table_destroy(lower);
	return index;
}

void peering_send(struct peering *peering, uint64_t member_id,
		  const struct peer_message *message,
		  enum message_priority priority)
{
	GByteArray *bytes = peer_message_encode(message);

	transport_send(peering->transport, member_id, bytes->data, bytes->len,
		       priority);
	g_byte_array_unref(bytes);
}

void peering_send_core(struct peering *peering, uint64_t member_id,
		       const struct core_message *message,
		       enum message_priority priority)
{
	const struct peer_message wrapped = {
		.kind = PEER_MESSAGE_CORE,
		.core = *message,
	};

	peering_send(peering, member_id, &wrapped, priority);
}

static void heartbeat_send(void *context, uint64_t member_id,
			   const struct heartbeat *heartbeat)
{
	const struct peer_message message = {
		.kind = PEER_MESSAGE_HEARTBEAT,
		.heartbeat = *heartbeat,
	};

	peering_send(context, member_id, &message, MESSAGE_PRIORITY_HEARTBEAT);
}

static void view_changed(void *context, const struct member_view *view)
{
	struct peering *peering = context;

	peering->options.on_view(peering->options.context, view);
}

static void message_received(void *context, uint64_t sender_id,
			     const uint8_t *data, size_t length)
{
	struct peering *peering = context;
	struct peer_message *message;
	struct error error;
	char *reason;

	message = peer_message_decode(data, length, &error);
	if (!message) {
		peering->malformed_messages++;
		reason = g_strescape(error.detail, NULL);
		log_event(LOG_LEVEL_WARNING, "peer_message_refused",
			  "sender=%s reason=\"%s\"",
			  peering_member_name(peering, sender_id), reason);
		g_free(reason);
		return;
	}
	switch (message->kind) {
	case PEER_MESSAGE_HEARTBEAT:
		membership_handle(peering->membership, sender_id,
				  &message->heartbeat);
		peering->options.on_heartbeat(peering->options.context,
					      sender_id, &message->heartbeat);
		break;
	case PEER_MESSAGE_CORE:
		peering->options.on_core_message(peering->options.context,
						 sender_id, &message->core);
		break;
	default:
		peering->options.on_revision_message(peering->options.context,
						     sender_id, message);
		break;
	}
	peer_message_free(message);
}

static bool peers_add(struct peering *peering, struct error *error)
{
	const struct settings *settings = peering->options.settings;

	for (size_t i = 0; i < settings->peer_count; i++) {
		const struct peer_settings *peer = &settings->peers[i];
		uint64_t id = instance_id_hash(peer->instance_id);

		if (!transport_add_peer(peering->transport, id, peer->address,
					peer->peer_port, peer->public_key,
					error))
			return false;
		membership_add_peer(peering->membership, id,
				    zone_index(settings, peer->zone));
	}
	return true;
}

struct peering *peering_create(const struct peering_options *options,
			       struct error *error)
{
	const struct settings *settings = options->settings;
	const uint64_t self_id = instance_id_hash(settings->instance_id);
	struct peering *peering = g_new0(struct peering, 1);
	const struct transport_options transport_options = {
		.self_id = self_id,
		.address = settings->data_address,
		.port = settings->peer_port,
		.public_key = settings->public_key,
		.secret_key = settings->secret_key,
		.accepted_keys = (const char *const *)settings->accepted_keys,
		.budget_bytes_per_s = settings->control_bytes_per_second,
		.clock = options->clock,
		.on_message = message_received,
		.context = peering,
	};
	const struct membership_options membership_options = {
		.self_id = self_id,
		.zone = zone_index(settings, settings->zone),
		/* Instances keep nothing, so only wall time can order starts. */
		.incarnation = (uint32_t)(g_get_real_time() / G_USEC_PER_SEC),
		.clock = options->clock,
		.random_seed = options->random_seed,
		.send = heartbeat_send,
		.on_view = view_changed,
		.context = peering,
	};

	peering->options = *options;
	peering->self_id = self_id;
	peering->transport = transport_create(&transport_options, error);
	if (!peering->transport)
		goto fail;
	peering->membership = membership_create(&membership_options);
	if (!peers_add(peering, error))
		goto fail;
	return peering;
fail:
	peering_destroy(peering);
	return NULL;
}

void peering_destroy(struct peering *peering)
{
	if (!peering)
		return;
	if (peering->membership)
		membership_destroy(peering->membership);
	if (peering->transport)
		transport_destroy(peering->transport);
	g_free(peering);
}

uint64_t peering_budget_bytes(struct peering *peering)
{
	return transport_budget_bytes(peering->transport);
}

struct membership *peering_membership(struct peering *peering)
{
	return peering->membership;
}

const char *peering_member_name(const struct peering *peering,
				uint64_t member_id)
{
	const struct settings *settings = peering->options.settings;

	if (member_id == peering->self_id)
		return settings->instance_id;
	for (size_t i = 0; i < settings->peer_count; i++) {
		const char *name = settings->peers[i].instance_id;

		if (instance_id_hash(name) == member_id)
			return name;
	}
	return "unknown";
}

void peering_print_json(const struct peering *peering, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "membership");
	json_builder_begin_object(builder);
	membership_print_json(peering->membership, builder);
	json_builder_end_object(builder);
	json_builder_set_member_name(builder, "transport");
	json_builder_begin_object(builder);
	transport_print_json(peering->transport, builder);
	json_builder_set_member_name(builder, "malformed_messages");
	json_builder_add_int_value(builder,
				   (gint64)peering->malformed_messages);
	json_builder_end_object(builder);
}
