#include "standins/world/connection.h"

#include <glib.h>

#include "common/clock.h"
#include "packet/packet.h"

/*
 * A closed connection is kept this long, so that a retransmitted FIN is
 * answered like the first one. Callers repeat a FIN for less than 10 s.
 */
#define CLOSED_NS (15 * NS_PER_S)

/* Request numbers below the window are all run; above, one bit each. */
#define WINDOW 64

struct connection {
	uint64_t flow_id;
	int64_t closed_ns; /* 0 = open */
	uint32_t all_run_below;
	uint64_t run_bits; /* bit i: request all_run_below + i was run */
};

struct connection_table {
	GHashTable *connections; /* struct connection, keyed by itself */
	uint32_t open_count;
};

struct connection_table *connection_table_create(void)
{
	struct connection_table *table = g_new0(struct connection_table, 1);

	table->connections = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	return table;
}

void connection_table_destroy(struct connection_table *table)
{
	g_hash_table_destroy(table->connections);
	g_free(table);
}

uint32_t connection_open_count(const struct connection_table *table)
{
	return table->open_count;
}

static struct connection *connection_add(struct connection_table *table,
					 uint64_t flow_id)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->flow_id = flow_id;
	connection->all_run_below = 1;
	g_hash_table_insert(table->connections, &connection->flow_id,
			    connection);
	table->open_count++;
	return connection;
}

static void connection_close(struct connection_table *table,
			     struct connection *connection, int64_t now_ns)
{
	if (connection->closed_ns != 0)
		return;
	connection->closed_ns = now_ns;
	table->open_count--;
}

/* Returns whether request @number had not been run before. */
static bool request_mark(struct connection *connection, uint32_t number)
{
	uint32_t offset = number - connection->all_run_below;

	if (number < connection->all_run_below || offset >= WINDOW)
		return false;
	if (connection->run_bits & (UINT64_C(1) << offset))
		return false;
	connection->run_bits |= UINT64_C(1) << offset;
	while (connection->run_bits & 1) {
		connection->run_bits >>= 1;
		connection->all_run_below++;
	}
	return true;
}

static void request_receive(struct connection *connection,
			    const struct connection_packet *packet,
			    struct connection_result *result)
{
	if (packet->request_number == 0)
		return;
	result->is_first_run = request_mark(connection, packet->request_number);
	result->reply = CONNECTION_REPLY_ANSWERS;
}

static void tcp_receive(struct connection_table *table,
			struct connection *connection,
			const struct connection_packet *packet, int64_t now_ns,
			struct connection_result *result)
{
	if (packet->tcp_flags & TCP_FLAG_RST) {
		if (connection)
			connection_close(table, connection, now_ns);
		return;
	}
	if (packet->tcp_flags & TCP_FLAG_SYN) {
		result->is_new = !connection;
		if (!connection)
			connection_add(table, packet->flow_id);
		result->reply = CONNECTION_REPLY_SYN_ACK;
		return;
	}
	if (!connection) {
		result->reply = CONNECTION_REPLY_RESET;
		return;
	}
	request_receive(connection, packet, result);
	if (packet->tcp_flags & TCP_FLAG_FIN) {
		connection_close(table, connection, now_ns);
		result->reply = CONNECTION_REPLY_FIN_ACK;
	}
}

struct connection_result
connection_receive(struct connection_table *table,
		   const struct connection_packet *packet, int64_t now_ns)
{
	struct connection_result result = { 0 };
	struct connection *connection =
		g_hash_table_lookup(table->connections, &packet->flow_id);

	if (packet->protocol == PACKET_PROTOCOL_TCP) {
		tcp_receive(table, connection, packet, now_ns, &result);
		return result;
	}
	if (!connection) {
		connection = connection_add(table, packet->flow_id);
		result.is_new = true;
	}
	request_receive(connection, packet, &result);
	if (packet->is_last)
		connection_close(table, connection, now_ns);
	return result;
}

static gboolean connection_is_expired(void *key, void *value, void *data)
{
	const struct connection *connection = value;
	const int64_t *now_ns = data;

	(void)key;
	return connection->closed_ns != 0 &&
	       *now_ns - connection->closed_ns > CLOSED_NS;
}

void connection_expire(struct connection_table *table, int64_t now_ns)
{
	g_hash_table_foreach_remove(table->connections, connection_is_expired,
				    &now_ns);
}
