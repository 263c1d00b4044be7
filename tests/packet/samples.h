#ifndef PARSLEYLADDER_TESTS_PACKET_SAMPLES_H
#define PARSLEYLADDER_TESTS_PACKET_SAMPLES_H

/**
 * Valid packets that the tests of this directory start from.
 */

#include <check.h>

#include "packet/build.h"

#define SAMPLE_BYTES 512

enum sample {
	SAMPLE_TCP4,
	SAMPLE_UDP4,
	SAMPLE_TCP6,
	SAMPLE_UDP6,
	SAMPLE_TCP4_OPTIONS,
	SAMPLE_TCP6_EXTENSIONS,
	SAMPLE_ICMP4_ERROR,
	SAMPLE_ICMP6_ERROR,
	SAMPLES,
};

/** Writes a valid packet from caller to service; returns its length. */
size_t sample_build(enum sample sample, uint8_t packet[SAMPLE_BYTES]);
/** Key that a sample has. */
struct flow_key sample_key(enum sample sample);

/** Internet checksum written apart from the product's: 0 if it is right. */
uint16_t sample_checksum(const uint8_t *packet, size_t length);

/** Runs one test case as a program. */
int sample_run(const char *name, TCase *tests);

#endif
