/*
 * Guards against packets, store items and store responses that cause crashes,
 * leaks or reads beyond their end.
 */

#include <glib.h>
#include <stdint.h>
#include <stdlib.h>

#include "platform/datagram.h"
#include "platform/store_response.h"

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

static void packet_check(const uint8_t *data, size_t length)
{
	uint8_t *packet = g_memdup2(data, length);
	uint8_t reset[DATAGRAM_HEADER_BYTES];
	struct token_packet parsed;

	if (datagram_read(packet, length, &parsed)) {
		datagram_set_token(packet, parsed.token);
		datagram_write_reset(&parsed.fields.key,
				     parsed.fields.tcp_acknowledgement, reset);
	}
	g_free(packet);
}

static void item_check(const char *key, const uint8_t *data, size_t length)
{
	struct store_item item;

	store_item_parse(key, (const char *)data, length,
			 (struct store_position){ .revision = 1 }, &item);
	if (item.kind == STORE_ITEM_ROUTING && !item.routing)
		abort();
	if (item.kind == STORE_ITEM_ZONE_DRAIN && item.zone[0] == '\0')
		abort();
	store_item_clear(&item);
}

/* The input as the name of a zone to drain. */
static void zone_check(const uint8_t *data, size_t length)
{
	char *zone = g_strndup((const char *)data, length);
	char *key = g_strconcat("op/evacuate/", zone, NULL);

	item_check(key, (const uint8_t *)"{}", 2);
	g_free(key);
	g_free(zone);
}

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	GBytes *body = g_bytes_new_static(data, length);
	struct error error = { 0 };

	packet_check(data, length);
	item_check("op/config", data, length);
	item_check("servers/i-1f", data, length);
	item_check("op/evacuate/a", data, length);
	zone_check(data, length);
	store_response_free(store_response_parse(body, 1, &error));
	g_bytes_unref(body);
	return 0;
}
