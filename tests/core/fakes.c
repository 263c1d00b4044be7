/*
 * Stand-ins for functions of the packages packet and configuration. They are
 * weak: the real ones are used wherever both are linked.
 */

#include <string.h>
#include <xxhash.h>

#include "configuration/configuration.h"
#include "packet/packet.h"

__attribute__((weak)) uint64_t flow_key_hash(const struct flow_key *key,
					     uint64_t seed)
{
	uint8_t bytes[37];

	memcpy(bytes, key->caller.bytes, 16);
	memcpy(bytes + 16, key->service.bytes, 16);
	memcpy(bytes + 32, &key->caller_port, 2);
	memcpy(bytes + 34, &key->service_port, 2);
	bytes[36] = key->protocol;
	return XXH3_64bits_withSeed(bytes, sizeof(bytes), seed);
}

__attribute__((weak)) struct configuration *
configuration_ref(struct configuration *configuration)
{
	configuration->references++;
	return configuration;
}

__attribute__((weak)) void
configuration_unref(struct configuration *configuration)
{
	configuration->references--;
}
