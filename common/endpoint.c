#include "common/endpoint.h"

#include <glib.h>
#include <string.h>

bool endpoint_parse(const char *text, struct endpoint *endpoint)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	guint64 port;

	if (!colon || (size_t)(colon - text) >= sizeof(endpoint->address))
		return false;
	g_strlcpy(endpoint->address, text, colon - text + 1);
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port,
					NULL))
		return false;
	endpoint->port = (uint16_t)port;
	return true;
}
