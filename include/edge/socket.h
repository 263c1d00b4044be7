#ifndef PARSLEYLADDER_EDGE_SOCKET_H
#define PARSLEYLADDER_EDGE_SOCKET_H

/**
 * UDP sockets and socket addresses; internal to edge/.
 */

#include <stdint.h>
#include <sys/socket.h>

#include "common/error.h"
#include "packet/packet.h"

/**
 * Opens a non-blocking UDP socket bound to @address and @port. Returns its
 * descriptor, or -1 with @error filled.
 */
int udp_socket_open(const char *address, uint16_t port,
		    uint32_t receive_buffer_bytes, struct error *error);
/** Address that @fd is bound to; returns its length in bytes. */
socklen_t udp_socket_local_address(int fd, struct sockaddr_storage *name);
/** Datagrams that the kernel dropped because the receive buffer was full. */
uint32_t udp_socket_overflows(int fd);
/** Fills @out for a socket of @family; returns its length in bytes. */
socklen_t socket_address_fill(int family, const struct ip_address *address,
			      uint16_t port, struct sockaddr_storage *out);
uint16_t socket_address_port(const struct sockaddr_storage *address);

#endif
