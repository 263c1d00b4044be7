/*
 * Guards against datagrams that are lost, altered or left in the queue, against
 * a bad datagram that stops a batch, and against a socket that monopolizes the
 * main loop.
 */

#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/edge.h"
#include "suite.h"

/* More main loop iterations than any of these tests needs. */
#define ITERATIONS_MAX 10000

struct peer {
	struct edge *edge;
	unsigned int received;
	unsigned int batches;
	size_t last_length;
	bool is_echo; /* returns each datagram with a 16-byte header */
	uint8_t last[EDGE_DATAGRAM_BYTES];
};

static void datagram_record(void *context, uint8_t *data, size_t length,
			    const struct sockaddr_storage *source)
{
	struct peer *peer = context;

	peer->received++;
	peer->last_length = length;
	memcpy(peer->last, data, length);
	if (!peer->is_echo)
		return;
	memset(data - 16, 'h', 16);
	edge_send(peer->edge, (const struct sockaddr *)source,
		  sizeof(struct sockaddr_in), data - 16, length + 16);
}

static void batch_count(void *context)
{
	struct peer *peer = context;

	peer->batches++;
}

static void peer_open(struct peer *peer)
{
	struct edge_options options = {
		.address = "127.0.0.1",
		.receive_buffer_bytes = 1024 * 1024,
		.on_datagram = datagram_record,
		.on_batch_end = batch_count,
		.context = peer,
	};
	struct error error;

	peer->edge = edge_create(&options, &error);
	ck_assert_msg(peer->edge != NULL, "%s", error.detail);
}

static socklen_t peer_address(const struct peer *peer,
			      struct sockaddr_storage *out)
{
	struct ip_address address;

	ip_address_parse("127.0.0.1", &address);
	return edge_destination(peer->edge, &address, edge_port(peer->edge),
				out);
}

static void peer_send(struct peer *from, const struct peer *to,
		      const void *data, size_t length)
{
	struct sockaddr_storage address;
	socklen_t address_bytes = peer_address(to, &address);

	edge_send_copy(from->edge, (struct sockaddr *)&address, address_bytes,
		       data, length);
}

static void peer_wait(const struct peer *peer, unsigned int received)
{
	for (int i = 0; i < ITERATIONS_MAX && peer->received < received; i++)
		g_main_context_iteration(NULL, TRUE);
	ck_assert_uint_eq(peer->received, received);
}

/* 100 datagrams fit into the receive buffer that peer_open() requests. */
START_TEST(echo_with_headroom) {
	struct peer client = { 0 }, server = { .is_echo = true };
	uint32_t sequence;

	peer_open(&client);
	peer_open(&server);
	for (sequence = 0; sequence < 100; sequence++)
		peer_send(&client, &server, &sequence, sizeof(sequence));
	ck_assert_uint_eq(edge_counters(client.edge)->sent, EDGE_BATCH);
	edge_flush(client.edge);
	ck_assert_uint_eq(edge_counters(client.edge)->sent, 100);
	peer_wait(&client, 100);
	sequence = 99;
	ck_assert_uint_eq(client.last_length, 16 + sizeof(sequence));
	ck_assert_mem_eq(client.last, "hhhhhhhhhhhhhhhh", 16);
	ck_assert_mem_eq(client.last + 16, &sequence, sizeof(sequence));
	ck_assert_uint_ge(server.batches, 2);
	ck_assert_uint_eq(edge_counters(server.edge)->received, 100);
	ck_assert_uint_eq(edge_counters(server.edge)->received_bytes, 400);
	ck_assert_uint_eq(edge_counters(server.edge)->sent_bytes, 2000);
	edge_destroy(client.edge);
	edge_destroy(server.edge);
}
END_TEST

/* A second process must not share the port of the first. */
START_TEST(port_in_use_is_rejected) {
	struct peer first = { 0 };
	struct edge_options options = { .address = "127.0.0.1" };
	struct error error = { 0 };

	peer_open(&first);
	options.port = edge_port(first.edge);
	ck_assert_ptr_null(edge_create(&options, &error));
	ck_assert_int_eq(error.kind, ERROR_ADDRESS_IN_USE);
	edge_destroy(first.edge);
}
END_TEST

START_TEST(unusable_address_is_rejected) {
	static const struct {
		const char *address;
		enum error_kind kind;
	} cases[] = { { "balancer", ERROR_SETTINGS },
		      { "192.0.2.1", ERROR_IO } };
	struct edge_options options = { .address = cases[_i].address };
	struct error error = { 0 };

	ck_assert_ptr_null(edge_create(&options, &error));
	ck_assert_int_eq(error.kind, cases[_i].kind);
}
END_TEST

/* A truncated datagram would be forwarded as if it were complete. */
START_TEST(long_datagram_is_dropped) {
	static const uint8_t data[EDGE_DATAGRAM_BYTES + 1];
	struct peer client = { 0 }, server = { 0 };
	struct sockaddr_storage address;
	socklen_t address_bytes;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	peer_open(&client);
	peer_open(&server);
	address_bytes = peer_address(&server, &address);
	ck_assert_int_eq(sendto(fd, data, sizeof(data), 0,
				(struct sockaddr *)&address, address_bytes),
			 sizeof(data));
	peer_send(&client, &server, data, sizeof(data));
	peer_send(&client, &server, data, sizeof(data) - 1);
	edge_flush(client.edge);
	peer_wait(&server, 1);
	ck_assert_uint_eq(server.last_length, EDGE_DATAGRAM_BYTES);
	ck_assert_uint_eq(edge_counters(server.edge)->truncated, 1);
	ck_assert_uint_eq(edge_counters(client.edge)->send_errors, 1);
	close(fd);
	edge_destroy(client.edge);
	edge_destroy(server.edge);
}
END_TEST

/* Sending to port 0 fails, and nothing listens on the closed port. */
START_TEST(bad_destination_does_not_stop_the_batch) {
	struct peer client = { 0 }, server = { 0 }, closed = { 0 };
	struct sockaddr_in port_zero = { .sin_family = AF_INET };

	peer_open(&client);
	peer_open(&server);
	peer_open(&closed);
	port_zero.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (int i = 0; i < 3; i++) {
		peer_send(&client, &server, "a", 1);
		edge_send_copy(client.edge, (struct sockaddr *)&port_zero,
			       sizeof(port_zero), (const uint8_t *)"b", 1);
		peer_send(&client, &closed, "c", 1);
	}
	edge_destroy(closed.edge);
	edge_flush(client.edge);
	peer_wait(&server, 3);
	peer_send(&client, &server, "d", 1);
	edge_flush(client.edge);
	peer_wait(&server, 4);
	ck_assert_uint_eq(edge_counters(client.edge)->send_errors, 3);
	ck_assert_uint_eq(edge_counters(client.edge)->sent, 7);
	ck_assert_uint_eq(edge_counters(client.edge)->receive_errors, 0);
	edge_destroy(client.edge);
	edge_destroy(server.edge);
}
END_TEST

/*
 * One main loop dispatch receives a bounded number, so that timers run in
 * between.
 */
START_TEST(flood_does_not_starve_the_loop) {
	struct peer client = { 0 }, server = { 0 };

	peer_open(&client);
	peer_open(&server);
	for (int i = 0; i < 5000; i++)
		peer_send(&client, &server, "x", 1);
	edge_flush(client.edge);
	while (server.received == 0)
		g_main_context_iteration(NULL, TRUE);
	ck_assert_uint_le(server.received, 8 * EDGE_BATCH);
	ck_assert_uint_ge(server.received, 2 * EDGE_BATCH);
	edge_destroy(client.edge);
	edge_destroy(server.edge);
}
END_TEST

/* Otherwise no counter would show datagrams that the kernel dropped. */
START_TEST(receive_overflow_is_counted) {
	struct peer client = { 0 }, server = { 0 };
	struct edge_options options = {
		.address = "127.0.0.1",
		.receive_buffer_bytes = 8192,
		.on_datagram = datagram_record,
		.context = &server,
	};

	peer_open(&client);
	server.edge = edge_create(&options, NULL);
	for (int i = 0; i < 1000; i++)
		peer_send(&client, &server, "x", 1);
	edge_flush(client.edge);
	while (g_main_context_iteration(NULL, FALSE))
		;
	ck_assert_uint_gt(edge_counters(server.edge)->receive_overflows, 0);
	ck_assert_uint_eq(edge_counters(server.edge)->receive_overflows +
				  server.received,
			  1000);
	edge_destroy(client.edge);
	edge_destroy(server.edge);
}
END_TEST

/* An IPv6 socket reaches IPv4 hosts, and reports their IPv4 address. */
START_TEST(ipv6_socket_reaches_ipv4_host) {
	struct edge_options options = { .address = "::" };
	struct error error = { 0 };
	struct edge *edge = edge_create(&options, &error);
	struct peer server = { .is_echo = false };
	struct sockaddr_storage destination;
	struct ip_address address, read;
	socklen_t destination_bytes;
	uint16_t port;

	ck_assert_msg(edge != NULL, "%s", error.detail);
	peer_open(&server);
	ip_address_parse("127.0.0.1", &address);
	destination_bytes = edge_destination(
		edge, &address, edge_port(server.edge), &destination);
	edge_source(&destination, &read, &port);
	ck_assert(ip_address_equal(&read, &address));
	ck_assert_uint_eq(port, edge_port(server.edge));
	edge_send_copy(edge, (struct sockaddr *)&destination, destination_bytes,
		       (const uint8_t *)"6", 1);
	edge_flush(edge);
	peer_wait(&server, 1);
	edge_destroy(edge);
	edge_destroy(server.edge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge");
	TCase *tests = tcase_create("edge");

	tcase_add_test(tests, echo_with_headroom);
	tcase_add_test(tests, port_in_use_is_rejected);
	tcase_add_loop_test(tests, unusable_address_is_rejected, 0, 2);
	tcase_add_test(tests, long_datagram_is_dropped);
	tcase_add_test(tests, bad_destination_does_not_stop_the_batch);
	tcase_add_test(tests, flood_does_not_starve_the_loop);
	tcase_add_test(tests, receive_overflow_is_counted);
	tcase_add_test(tests, ipv6_socket_reaches_ipv4_host);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
