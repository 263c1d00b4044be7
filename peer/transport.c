#include "peer/transport.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <zmq.h>

#include "peer/transport_state.h"
#include "peer/zmq_source.h"

#define SOCKETS_MAX 2048
#define RECEIVE_FRAMES_MAX 256
#define PAUSE_TIMER_MS 250
#define ZAP_DOMAIN_TEXT "parsleyladder"

static const struct {
	int option;
	int value;
} router_options[] = {
	{ ZMQ_LINGER, 0 },
	{ ZMQ_RCVHWM, RECEIVE_FRAMES_MAX },
	{ ZMQ_MAXMSGSIZE, FRAME_BYTES_MAX },
	{ ZMQ_IPV6, 1 },
	{ ZMQ_CURVE_SERVER, 1 },
	/* A peer that connects again replaces its half-open connection. */
	{ ZMQ_ROUTER_HANDOVER, 1 },
	{ ZMQ_HANDSHAKE_IVL, 3000 },
	{ ZMQ_TCP_KEEPALIVE, 1 },
	{ ZMQ_TCP_KEEPALIVE_IDLE, 5 },
	{ ZMQ_TCP_KEEPALIVE_INTVL, 2 },
	{ ZMQ_TCP_KEEPALIVE_CNT, 3 },
};

static char *endpoint_create(const char *address, uint16_t port)
{
	const char *format = strchr(address, ':') ? "tcp://[%s]:%u"
						  : "tcp://%s:%u";

	return g_strdup_printf(format, address, port);
}

static void peer_destroy(void *data)
{
	struct transport_peer *peer = data;

	if (peer->socket)
		zmq_close(peer->socket);
	send_queue_clear(&peer->queue);
	reassembly_clear(&peer->reassembly);
	g_free(peer->endpoint);
	g_free(peer);
}

static bool key_is_valid(const char *key)
{
	uint8_t bytes[32];

	return key && strlen(key) == CURVE_KEY_TEXT_BYTES - 1 &&
	       zmq_z85_decode(bytes, key);
}

static bool keys_check(const struct transport_options *options,
		       struct error *error)
{
	const char *const *accepted = options->accepted_keys;

	if (!key_is_valid(options->public_key))
		return error_set(error, ERROR_SETTINGS,
				 "public_key is not a CURVE key of 40 bytes");
	if (!key_is_valid(options->secret_key))
		return error_set(error, ERROR_SETTINGS,
				 "secret_key is not a CURVE key of 40 bytes");
	for (size_t i = 0; accepted && accepted[i]; i++) {
		if (!key_is_valid(accepted[i]))
			return error_set(error, ERROR_SETTINGS,
					 "accepted_keys[%zu] is not a CURVE "
					 "key of 40 bytes",
					 i);
	}
	return true;
}

static bool router_bind(struct transport *transport,
			const struct transport_options *options,
			struct error *error)
{
	char *endpoint = endpoint_create(options->address, options->port);
	bool is_bound = false;

	transport->router = zmq_socket(transport->zmq_context, ZMQ_ROUTER);
	for (size_t i = 0; i < G_N_ELEMENTS(router_options); i++)
		zmq_setsockopt(transport->router, router_options[i].option,
			       &router_options[i].value,
			       sizeof(router_options[i].value));
	zmq_setsockopt(transport->router, ZMQ_CURVE_SECRETKEY,
		       transport->secret_key, CURVE_KEY_TEXT_BYTES);
	zmq_setsockopt(transport->router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN_TEXT,
		       strlen(ZAP_DOMAIN_TEXT));
	if (zmq_bind(transport->router, endpoint) == 0)
		is_bound = true;
	else
		error_set(error,
			  errno == EADDRINUSE ? ERROR_ADDRESS_IN_USE
					      : ERROR_SETTINGS,
			  "bind %s: %s", endpoint, zmq_strerror(errno));
	g_free(endpoint);
	return is_bound;
}

static struct transport *
transport_allocate(const struct transport_options *options)
{
	struct transport *transport = g_new0(struct transport, 1);

	transport->self_id = options->self_id;
	g_strlcpy(transport->public_key, options->public_key,
		  sizeof(transport->public_key));
	g_strlcpy(transport->secret_key, options->secret_key,
		  sizeof(transport->secret_key));
	transport->clock = options->clock;
	transport->on_message = options->on_message;
	transport->context = options->context;
	transport->peers = g_ptr_array_new_with_free_func(peer_destroy);
	transport->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	transport->ring = key_ring_create(options->accepted_keys);
	key_ring_set_own(transport->ring, options->public_key);
	token_bucket_init(&transport->bucket, options->budget_bytes_per_s,
			  TRANSPORT_BURST_BYTES, clock_now_ns(options->clock));
	return transport;
}

static gboolean pause_timer(gpointer context)
{
	transport_check_pause(context);
	return G_SOURCE_CONTINUE;
}

struct transport *transport_create(const struct transport_options *options,
				   struct error *error)
{
	struct transport *transport;

	if (!keys_check(options, error))
		return NULL;
	transport = transport_allocate(options);
	/*
	 * The nonce keeps a member from replacing the connection of another
	 * one by claiming its routing id.
	 */
	if (getrandom(&transport->routing_nonce,
		      sizeof(transport->routing_nonce),
		      0) != sizeof(transport->routing_nonce)) {
		error_set(error, ERROR_INTERNAL, "getrandom: %s",
			  strerror(errno));
		goto fail;
	}
	transport->zmq_context = zmq_ctx_new();
	zmq_ctx_set(transport->zmq_context, ZMQ_BLOCKY, 0);
	zmq_ctx_set(transport->zmq_context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	transport->zap =
		zap_create(transport->zmq_context, transport->ring, error);
	if (!transport->zap || !router_bind(transport, options, error))
		goto fail;
	transport->router_source = zmq_source_create(
		transport->router, transport_receive, transport);
	transport->running_ns = clock_now_ns(transport->clock);
	transport->pause_source =
		g_timeout_add(PAUSE_TIMER_MS, pause_timer, transport);
	return transport;

fail:
	transport_destroy(transport);
	return NULL;
}

void transport_destroy(struct transport *transport)
{
	if (!transport)
		return;
	if (transport->flush_source)
		g_source_remove(transport->flush_source);
	if (transport->pause_source)
		g_source_remove(transport->pause_source);
	zmq_source_destroy(transport->router_source);
	g_hash_table_unref(transport->by_id);
	g_ptr_array_unref(transport->peers);
	if (transport->router)
		zmq_close(transport->router);
	zap_destroy(transport->zap);
	if (transport->zmq_context)
		zmq_ctx_term(transport->zmq_context);
	key_ring_destroy(transport->ring);
	g_free(transport);
}

bool transport_add_peer(struct transport *transport, uint64_t member_id,
			const char *address, uint16_t port,
			const char *public_key, struct error *error)
{
	struct transport_peer *peer;

	if (!key_is_valid(public_key))
		return error_set(error, ERROR_SETTINGS,
				 "public key of peer %s:%u is not a CURVE key "
				 "of 40 bytes",
				 address, port);
	if (member_id == transport->self_id ||
	    g_hash_table_contains(transport->by_id, &member_id))
		return error_set(error, ERROR_SETTINGS,
				 "peer %s:%u is listed twice or is this "
				 "instance",
				 address, port);
	peer = g_new0(struct transport_peer, 1);
	peer->id = member_id;
	peer->endpoint = endpoint_create(address, port);
	g_strlcpy(peer->public_key, public_key, sizeof(peer->public_key));
	send_queue_init(&peer->queue);
	if (!transport_peer_connect(transport, peer, error)) {
		peer_destroy(peer);
		return false;
	}
	key_ring_register(transport->ring, public_key, member_id);
	g_ptr_array_add(transport->peers, peer);
	g_hash_table_insert(transport->by_id, &peer->id, peer);
	return true;
}

static const char *priority_name(enum message_priority priority)
{
	static const char *const names[MESSAGE_PRIORITIES] = {
		[MESSAGE_PRIORITY_HEARTBEAT] = "heartbeat",
		[MESSAGE_PRIORITY_RECORDS] = "records",
		[MESSAGE_PRIORITY_MAP] = "map",
		[MESSAGE_PRIORITY_REVISION] = "revision",
		[MESSAGE_PRIORITY_SHARD] = "shard",
		[MESSAGE_PRIORITY_ANSWER] = "answer",
	};

	return names[priority];
}

static void print_int(JsonBuilder *builder, const char *name, uint64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, (gint64)value);
}

static void priorities_print(JsonBuilder *builder, const char *name,
			     const uint64_t values[MESSAGE_PRIORITIES])
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_object(builder);
	for (unsigned int i = 0; i < MESSAGE_PRIORITIES; i++)
		print_int(builder, priority_name(i), values[i]);
	json_builder_end_object(builder);
}

void transport_print_json(const struct transport *transport,
			  JsonBuilder *builder)
{
	const struct transport_counters *counters = &transport->counters;
	uint64_t queued[MESSAGE_PRIORITIES] = { 0 };
	uint64_t unreachable = 0;

	for (guint i = 0; i < transport->peers->len; i++) {
		const struct transport_peer *peer =
			g_ptr_array_index(transport->peers, i);

		unreachable += peer->blocked_ns > 0;
		for (unsigned int j = 0; j < MESSAGE_PRIORITIES; j++)
			queued[j] += peer->queue.bytes[j];
	}
	priorities_print(builder, "bytes_sent", counters->bytes_sent);
	priorities_print(builder, "bytes_received", counters->bytes_received);
	priorities_print(builder, "frames_sent", counters->messages_sent);
	priorities_print(builder, "messages_received",
			 counters->messages_received);
	priorities_print(builder, "messages_dropped", counters->dropped);
	priorities_print(builder, "bytes_queued", queued);
	print_int(builder, "peers_unreachable", unreachable);
	print_int(builder, "connections_refused", zap_refused(transport->zap));
	print_int(builder, "impostors", counters->impostors);
	print_int(builder, "unknown_sender", counters->unknown_sender);
	print_int(builder, "malformed", counters->malformed);
	print_int(builder, "discarded_after_pause", counters->discarded);
}
