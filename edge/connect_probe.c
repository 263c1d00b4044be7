#include "edge/connect_probe.h"

#include <errno.h>
#include <glib-unix.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/socket.h"

static const char *const outcome_names[PROBE_OUTCOMES] = {
	[PROBE_ACCEPTED] = "accepted", [PROBE_REFUSED] = "refused",
	[PROBE_RESET] = "reset",       [PROBE_TIMEOUT] = "timeout",
	[PROBE_FAILED] = "failed",
};

struct connect_probe {
	struct connect_probe_options options;
	int fd;
	guint source;
	guint timer;
};

const char *probe_outcome_name(enum probe_outcome outcome)
{
	return outcome_names[outcome];
}

void connect_probe_cancel(struct connect_probe *probe)
{
	if (!probe)
		return;
	if (probe->source)
		g_source_remove(probe->source);
	if (probe->timer)
		g_source_remove(probe->timer);
	close(probe->fd);
	g_free(probe);
}

static void probe_end(struct connect_probe *probe, enum probe_outcome outcome)
{
	const struct connect_probe_options options = probe->options;

	connect_probe_cancel(probe);
	options.on_outcome(options.context, outcome);
}

static gboolean on_timeout(gpointer context)
{
	struct connect_probe *probe = context;

	probe->timer = 0;
	probe_end(probe, PROBE_TIMEOUT);
	return G_SOURCE_REMOVE;
}

static enum probe_outcome outcome_read(int fd)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		return PROBE_FAILED;
	if (error == 0)
		return PROBE_ACCEPTED;
	if (error == ECONNREFUSED)
		return PROBE_REFUSED;
	if (error == ECONNRESET)
		return PROBE_RESET;
	/* The host or its network is unreachable, for example. */
	return PROBE_TIMEOUT;
}

static gboolean on_writable(gint fd, GIOCondition condition, gpointer context)
{
	struct connect_probe *probe = context;

	(void)condition;
	probe->source = 0;
	probe_end(probe, outcome_read(fd));
	return G_SOURCE_REMOVE;
}

struct connect_probe *
connect_probe_start(const struct connect_probe_options *options)
{
	struct sockaddr_storage destination;
	struct connect_probe *probe;
	int family = ip_address_is_v4(&options->address) ? AF_INET : AF_INET6;
	socklen_t length = socket_address_fill(family, &options->address,
					       options->port, &destination);
	int fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&destination, length) != 0 &&
	    errno != EINPROGRESS && errno != ECONNREFUSED) {
		close(fd);
		return NULL;
	}
	probe = g_new0(struct connect_probe, 1);
	probe->options = *options;
	probe->fd = fd;
	probe->source = g_unix_fd_add(fd, G_IO_OUT | G_IO_ERR | G_IO_HUP,
				      on_writable, probe);
	probe->timer = g_timeout_add(options->timeout_ms, on_timeout, probe);
	return probe;
}
