#include "peer/zmq_source.h"

#include <stdbool.h>
#include <zmq.h>

struct zmq_source {
	GSource source;
	void *socket;
};

/*
 * ZMQ_FD is edge-triggered: it becomes readable once for any number of
 * messages. The events of the socket are therefore read in each iteration of
 * the loop, and the descriptor only ends the wait.
 */
static bool has_input(GSource *source)
{
	const struct zmq_source *zmq_source = (struct zmq_source *)source;
	int events = 0;
	size_t size = sizeof(events);

	zmq_getsockopt(zmq_source->socket, ZMQ_EVENTS, &events, &size);
	return events & ZMQ_POLLIN;
}

static gboolean source_prepare(GSource *source, gint *timeout_ms)
{
	*timeout_ms = -1;
	return has_input(source);
}

static gboolean source_check(GSource *source)
{
	return has_input(source);
}

static gboolean source_dispatch(GSource *source, GSourceFunc callback,
				gpointer context)
{
	return callback(context);
}

static GSourceFuncs functions = {
	.prepare = source_prepare,
	.check = source_check,
	.dispatch = source_dispatch,
};

GSource *zmq_source_create(void *socket, GSourceFunc function, gpointer context)
{
	GSource *source = g_source_new(&functions, sizeof(struct zmq_source));
	int descriptor = -1;
	size_t size = sizeof(descriptor);

	((struct zmq_source *)source)->socket = socket;
	zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
	g_source_add_unix_fd(source, descriptor, G_IO_IN);
	g_source_set_callback(source, function, context, NULL);
	g_source_attach(source, NULL);
	return source;
}

void zmq_source_destroy(GSource *source)
{
	if (!source)
		return;
	g_source_destroy(source);
	g_source_unref(source);
}
