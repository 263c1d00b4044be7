/*
 * Weak stand-in for the address functions of the packet package until that is
 * merged; remove this file then.
 */

#include <arpa/inet.h>
#include <string.h>

#include "packet/packet.h"

static const uint8_t v4_prefix[12] = { [10] = 0xff, [11] = 0xff };

__attribute__((weak)) bool ip_address_parse(const char *text,
					    struct ip_address *address)
{
	struct ip_address parsed;

	memcpy(parsed.bytes, v4_prefix, sizeof(v4_prefix));
	if (inet_pton(AF_INET, text, parsed.bytes + 12) != 1 &&
	    inet_pton(AF_INET6, text, parsed.bytes) != 1)
		return false;
	*address = parsed;
	return true;
}

__attribute__((weak)) bool ip_address_is_v4(const struct ip_address *address)
{
	return memcmp(address->bytes, v4_prefix, sizeof(v4_prefix)) == 0;
}

__attribute__((weak)) const char *
ip_address_print(const struct ip_address *address, char *text)
{
	if (ip_address_is_v4(address))
		inet_ntop(AF_INET, address->bytes + 12, text,
			  IP_ADDRESS_TEXT_BYTES);
	else
		inet_ntop(AF_INET6, address->bytes, text,
			  IP_ADDRESS_TEXT_BYTES);
	return text;
}
