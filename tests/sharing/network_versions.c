#include "network.h"

void network_send_from_outsider(struct network *network, uint32_t index,
				const struct sharing_message *message)
{
	GByteArray *data = sharing_message_encode(message);

	sharing_handle_datagram(network->nodes[index].sharing, NETWORK_OUTSIDER,
				data->data, data->len);
	g_byte_array_unref(data);
}

GByteArray *network_poll_downgrade(GByteArray *data)
{
	struct sharing_message message;
	struct error error;
	GByteArray *changed;

	if (!sharing_message_decode(data->data, data->len, &message, &error))
		return data;
	if (message.kind != SHARING_POLL ||
	    message.chunk <= ROUTES_EXTENDED_CHUNKS) {
		sharing_message_clear(&message);
		return data;
	}
	message.chunk = ROUTES_EXTENDED_CHUNKS;
	changed = sharing_message_encode(&message);
	sharing_message_clear(&message);
	g_byte_array_unref(data);
	return changed;
}

/* Of the kinds that have another number of fields with an era. */
static bool has_era_field(const struct sharing_message *message)
{
	return message->has_era && (message->kind == SHARING_ZONE_DRAINS ||
				    message->kind == SHARING_LOOKUP_RESPONSE);
}

GByteArray *network_era_remove(const uint8_t *data, size_t length)
{
	struct sharing_message message;
	GByteArray *changed = NULL;
	struct error error;

	if (!sharing_message_decode(data, length, &message, &error))
		return NULL;
	if (message.has_era) {
		message.has_era = false;
		changed = sharing_message_encode(&message);
	}
	sharing_message_clear(&message);
	return changed;
}

bool network_is_understood(const struct node *node, const GByteArray *data)
{
	struct sharing_message message;
	bool is_understood = true;
	struct error error;

	if (!node->knows_no_eras ||
	    !sharing_message_decode(data->data, data->len, &message, &error))
		return true;
	is_understood = !has_era_field(&message);
	sharing_message_clear(&message);
	return is_understood;
}
