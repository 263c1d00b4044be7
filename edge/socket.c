#include "edge/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "edge/edge.h"

static socklen_t v4_fill(const struct ip_address *address, uint16_t port,
			 struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;

	memset(v4, 0, sizeof(*v4));
	v4->sin_family = AF_INET;
	v4->sin_port = htons(port);
	memcpy(&v4->sin_addr, address->bytes + 12, 4);
	return sizeof(*v4);
}

static socklen_t v6_fill(const struct ip_address *address, uint16_t port,
			 struct sockaddr_storage *out)
{
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(v6, 0, sizeof(*v6));
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(port);
	memcpy(&v6->sin6_addr, address->bytes, 16);
	return sizeof(*v6);
}

socklen_t socket_address_fill(int family, const struct ip_address *address,
			      uint16_t port, struct sockaddr_storage *out)
{
	if (family == AF_INET)
		return v4_fill(address, port, out);
	return v6_fill(address, port, out);
}

uint16_t socket_address_port(const struct sockaddr_storage *address)
{
	if (address->ss_family == AF_INET)
		return ntohs(((const struct sockaddr_in *)address)->sin_port);
	return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
}

void edge_source(const struct sockaddr_storage *source,
		 struct ip_address *address, uint16_t *port)
{
	if (source->ss_family == AF_INET) {
		memset(address->bytes, 0, 10);
		memset(address->bytes + 10, 0xff, 2);
		memcpy(address->bytes + 12,
		       &((const struct sockaddr_in *)source)->sin_addr, 4);
	} else {
		memcpy(address->bytes,
		       &((const struct sockaddr_in6 *)source)->sin6_addr, 16);
	}
	*port = socket_address_port(source);
}

socklen_t udp_socket_local_address(int fd, struct sockaddr_storage *name)
{
	socklen_t length = sizeof(*name);

	memset(name, 0, sizeof(*name));
	if (getsockname(fd, (struct sockaddr *)name, &length) != 0)
		return 0;
	return length;
}

uint32_t udp_socket_overflows(int fd)
{
	uint32_t values[SK_MEMINFO_VARS] = { 0 };
	socklen_t length = sizeof(values);

	if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, values, &length) != 0)
		return 0;
	return values[SK_MEMINFO_DROPS];
}

/*
 * SO_REUSEADDR and SO_REUSEPORT stay off: with either, a second process could
 * bind the same port and receive a part of the datagrams.
 */
static bool udp_socket_configure(int fd, int family,
				 uint32_t receive_buffer_bytes)
{
	int off = 0;
	int bytes = receive_buffer_bytes > INT32_MAX
			    ? INT32_MAX
			    : (int)receive_buffer_bytes;

	/* An IPv6 socket also serves IPv4-mapped destinations. */
	if (family == AF_INET6 &&
	    setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &off, sizeof(off)) != 0)
		return false;
	return bytes == 0 || setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes,
					sizeof(bytes)) == 0;
}

int udp_socket_open(const char *address, uint16_t port,
		    uint32_t receive_buffer_bytes, struct error *error)
{
	struct sockaddr_storage name;
	struct ip_address ip;
	socklen_t name_bytes;
	int family, fd;

	if (!ip_address_parse(address, &ip)) {
		error_set(error, ERROR_SETTINGS, "'%s' is not an IP address",
			  address);
		return -1;
	}
	family = ip_address_is_v4(&ip) ? AF_INET : AF_INET6;
	fd = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	if (!udp_socket_configure(fd, family, receive_buffer_bytes))
		goto fail;
	name_bytes = socket_address_fill(family, &ip, port, &name);
	if (bind(fd, (struct sockaddr *)&name, name_bytes) != 0)
		goto fail;
	return fd;

fail:
	error_set(error, errno == EADDRINUSE ? ERROR_ADDRESS_IN_USE : ERROR_IO,
		  "cannot bind UDP %s port %u: %s", address, port,
		  strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
