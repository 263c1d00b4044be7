#ifndef PARSLEYLADDER_STANDINS_SOAK_WIRE_H
#define PARSLEYLADDER_STANDINS_SOAK_WIRE_H

/**
 * Packet codec of the simulated callers and hosts. It is independent of the
 * balancer's codec, so that a fault in that one is detected.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SOAK_HEADER_BYTES 32
/** Prefix of packets to hosts: id of the host, 0 for any host. */
#define SOAK_HOST_ID_BYTES 8
#define SOAK_DATA_MAX 256

enum soak_flag {
	SOAK_ACK = 2,
	SOAK_SYN = 4,
	SOAK_RST = 8,
	SOAK_FIN = 128,
};

/** Checksum field of packets from callers and hosts; balancers write 0. */
#define SOAK_CHECKSUM 0x50a50a50u

/** Addresses and ports in host byte order. */
struct soak_packet {
	uint32_t checksum;
	uint32_t source;
	uint16_t source_port;
	uint32_t destination;
	uint16_t destination_port;
	uint32_t sequence;
	uint32_t acknowledgement;
	uint32_t token;
	uint8_t flags;
	uint16_t data_bytes;
	char data[SOAK_DATA_MAX + 1]; /* NUL-terminated text */
};

/** Returns the length in bytes. */
size_t soak_packet_write(const struct soak_packet *packet, uint8_t *out);
bool soak_packet_read(const uint8_t *data, size_t length,
		      struct soak_packet *packet);

#endif
