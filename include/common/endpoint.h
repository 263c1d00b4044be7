#ifndef PARSLEYLADDER_COMMON_ENDPOINT_H
#define PARSLEYLADDER_COMMON_ENDPOINT_H

/**
 * An IP address and a port, written as ADDRESS:PORT.
 */

#include <stdbool.h>
#include <stdint.h>

/** Maximum length of an address, in bytes with the terminating NUL. */
#define ENDPOINT_ADDRESS_BYTES 46

struct endpoint {
	char address[ENDPOINT_ADDRESS_BYTES]; /* not validated */
	uint16_t port; /* host byte order, never 0 */
};

/**
 * Returns false if @text is NULL or has no colon, if the text before the last
 * colon is longer than an address, or if the text after it is not a port.
 */
bool endpoint_parse(const char *text, struct endpoint *endpoint);

#endif
