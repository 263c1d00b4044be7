#include "standins/link/link.h"

#define CHUNK_BYTES 16384
/* A lost segment arrives after TCP's least retransmission timeout. */
#define RETRANSMIT_NS (200 * NS_PER_MS)
/* How soon a relay notices that a cut was healed. */
#define CUT_POLL_NS (20 * NS_PER_MS)

/*
 * One connection in both directions. It ends when either side closes; each
 * direction holds a reference while a read or a scheduled write is pending.
 */
struct relay {
	struct pair *pair;
	GSocketConnection *ends[2];
	int references;
	bool is_closed;
	struct direction {
		struct relay *relay;
		GInputStream *input;
		GOutputStream *output;
		gssize length;
		uint8_t chunk[CHUNK_BYTES];
	} directions[2];
};

static void direction_read(struct direction *direction);

/* Shutting down, unlike closing, ends reads that are pending. */
static void relay_close(struct relay *relay)
{
	if (relay->is_closed)
		return;
	relay->is_closed = true;
	for (int i = 0; i < 2; i++)
		if (relay->ends[i])
			g_socket_shutdown(
				g_socket_connection_get_socket(relay->ends[i]),
				TRUE, TRUE, NULL);
}

static void relay_unref(struct relay *relay)
{
	if (--relay->references > 0)
		return;
	relay_close(relay);
	g_clear_object(&relay->ends[0]);
	g_clear_object(&relay->ends[1]);
	g_free(relay);
}

static void direction_end(struct direction *direction)
{
	relay_close(direction->relay);
	relay_unref(direction->relay);
}

static void direction_schedule(struct direction *direction, int64_t delay_ns);

static void direction_write(void *context, void *data)
{
	struct direction *direction = context;
	struct relay *relay = direction->relay;

	(void)data;
	if (relay->is_closed) {
		direction_end(direction);
		return;
	}
	/* TCP loses nothing in a partition: bytes wait until it is healed. */
	if (pair_is_cut(relay->pair)) {
		direction_schedule(direction, CUT_POLL_NS);
		return;
	}
	relay->pair->link->counters.peer_bytes += (uint64_t)direction->length;
	if (!g_output_stream_write_all(direction->output, direction->chunk,
				       (gsize)direction->length, NULL, NULL,
				       NULL)) {
		direction_end(direction);
		return;
	}
	direction_read(direction);
}

static void direction_schedule(struct direction *direction, int64_t delay_ns)
{
	schedule_add(direction->relay->pair->link->schedule,
		     clock_now_ns(clock_system()) + delay_ns, direction_write,
		     direction, NULL);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct direction *direction = data;
	const struct pair *pair = direction->relay->pair;
	int64_t delay_ns;

	direction->length = g_input_stream_read_finish(G_INPUT_STREAM(source),
						       result, NULL);
	if (direction->length <= 0) {
		direction_end(direction);
		return;
	}
	if (!network_plan(pair->link->network, pair->from_zone, pair->to_zone,
			  &delay_ns))
		delay_ns = RETRANSMIT_NS;
	direction_schedule(direction, delay_ns);
}

static void direction_read(struct direction *direction)
{
	g_input_stream_read_async(direction->input, direction->chunk,
				  CHUNK_BYTES, G_PRIORITY_DEFAULT, NULL,
				  on_read, direction);
}

static void relay_run(struct relay *relay)
{
	for (int i = 0; i < 2; i++) {
		struct direction *direction = &relay->directions[i];

		direction->relay = relay;
		direction->input = g_io_stream_get_input_stream(
			G_IO_STREAM(relay->ends[i]));
		direction->output = g_io_stream_get_output_stream(
			G_IO_STREAM(relay->ends[1 - i]));
		relay->references++;
		direction_read(direction);
	}
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct relay *relay = data;

	relay->ends[1] = g_socket_client_connect_finish(G_SOCKET_CLIENT(source),
							result, NULL);
	if (relay->ends[1])
		relay_run(relay);
	relay_unref(relay);
}

static void relay_connect(void *context, void *data)
{
	struct relay *relay = context;
	GSocketClient *client;

	(void)data;
	if (pair_is_cut(relay->pair)) {
		schedule_add(relay->pair->link->schedule,
			     clock_now_ns(clock_system()) + CUT_POLL_NS,
			     relay_connect, relay, NULL);
		return;
	}
	client = g_socket_client_new();
	g_socket_client_connect_async(
		client, G_SOCKET_CONNECTABLE(relay->pair->peer_target), NULL,
		on_connected, relay);
	g_object_unref(client);
}

void relay_start(struct pair *pair, GSocketConnection *accepted)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->pair = pair;
	relay->ends[0] = g_object_ref(accepted);
	relay->references = 1;
	pair->link->counters.peer_connections++;
	relay_connect(relay, NULL);
}
