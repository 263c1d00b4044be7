#include "sharing_state.h"

#include <string.h>
#include <xxhash.h>

/* Wait for the drains after the first listing of hosts is complete. */
#define DRAINS_WAIT_NS (500 * NS_PER_MS)

uint32_t sharing_replica_age_ms(const struct sharing *sharing, int64_t now_ns)
{
	const struct replica_status *replica_status =
		sharing->options.replica_status;
	int64_t age_ns = now_ns - replica_status->confirmed_ns;

	if (!sharing_is_synced(sharing) || replica_status->confirmed_ns == 0)
		return UINT32_MAX;
	return (uint32_t)MIN(age_ns / NS_PER_MS, (int64_t)UINT32_MAX);
}

bool sharing_is_synced(const struct sharing *sharing)
{
	const struct replica_status *replica_status =
		sharing->options.replica_status;

	return replica_status->is_complete &&
	       routes_version(sharing) >= replica_status->listed_routes_version;
}

bool sharing_can_watch_store(const struct sharing *sharing)
{
	const struct routing *routing =
		steering_routing(sharing->options.steering);

	return sharing_is_synced(sharing) && !(routing && routing->is_partial);
}

bool sharing_knows_zone_drains(const struct sharing *sharing)
{
	int64_t since_ns = sharing->complete_since_ns;

	if (sharing->options.replica_status->has_zone_drains)
		return true;
	return since_ns != 0 &&
	       clock_now_ns(sharing->options.clock) - since_ns >=
		       DRAINS_WAIT_NS;
}

bool drains_are_awaited(const struct sharing *sharing)
{
	return sharing->complete_since_ns != 0 &&
	       !sharing_knows_zone_drains(sharing);
}

uint64_t page_id(const char *cursor)
{
	/* The base revision is limited to 63 bits on the wire. */
	return XXH3_64bits(cursor, strlen(cursor)) >> 1;
}

const char *changes_cursor(const struct sharing *sharing, uint32_t address)
{
	const struct changes_position *position = &sharing->changes_position;

	if (position->source != address ||
	    !store_position_is_equal(position->after,
				     sharing->options.replica_status->position))
		return "";
	return position->cursor;
}

uint64_t sharing_era(const struct sharing *sharing)
{
	return sharing->options.replica_status->position.era;
}

bool sharing_is_stale(const struct sharing *sharing, int64_t now_ns)
{
	return now_ns - sharing->options.replica_status->confirmed_ns >
	       REPLICA_AGE_MAX_NS;
}

GByteArray *sharing_encode(struct sharing *sharing,
			   struct sharing_message *message)
{
	message->zone = sharing->zone;
	message->capacity = sharing->options.capacity;
	if (message->kind == SHARING_POLL)
		message->has_era = true;
	return sharing_message_encode(message);
}

void sharing_send_bytes(struct sharing *sharing, uint32_t address,
			const GByteArray *bytes)
{
	sharing->counters[SHARING_BYTES_SENT] += bytes->len;
	sharing->options.send(sharing->options.context, address, bytes->data,
			      bytes->len);
}

void sharing_send(struct sharing *sharing, uint32_t address,
		  struct sharing_message *message)
{
	GByteArray *bytes = sharing_encode(sharing, message);

	sharing_send_bytes(sharing, address, bytes);
	g_byte_array_unref(bytes);
}

const char *sharing_address_print(uint32_t address,
				  char text[IP_ADDRESS_TEXT_BYTES])
{
	struct ip_address decoded;

	if (address == 0)
		return "none";
	ip_address_from_v4(address, &decoded);
	return ip_address_print(&decoded, text);
}
