/* Guards against a probe that takes a dead host for a live one, or hangs. */

#include <check.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/connect_probe.h"
#include "suite.h"

static enum probe_outcome outcome;
static bool is_over;

static void outcome_note(void *context, enum probe_outcome result)
{
	(void)context;
	outcome = result;
	is_over = true;
}

/* Listens on a free port of the loopback address. */
static int listener_open(uint16_t *port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, length), 0);
	ck_assert_int_eq(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)&address, &length);
	*port = ntohs(address.sin_port);
	return fd;
}

static void probe_run(uint16_t port)
{
	struct connect_probe_options options = {
		.port = port,
		.timeout_ms = 2000,
		.on_outcome = outcome_note,
	};

	ip_address_parse("127.0.0.1", &options.address);
	is_over = false;
	ck_assert_ptr_nonnull(connect_probe_start(&options));
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

START_TEST(listener_accepts) {
	uint16_t port;
	int fd = listener_open(&port);

	probe_run(port);
	ck_assert_int_eq(outcome, PROBE_ACCEPTED);
	close(fd);
}
END_TEST

/* A host that resets what it accepted is up; it was taken for a dead one. */
START_TEST(reset_after_accept_is_no_refusal) {
	const struct linger at_once = { .l_onoff = 1 };
	struct connect_probe_options options = {
		.timeout_ms = 2000,
		.on_outcome = outcome_note,
	};
	int fd = listener_open(&options.port);
	int accepted;

	ip_address_parse("127.0.0.1", &options.address);
	is_over = false;
	ck_assert_ptr_nonnull(connect_probe_start(&options));
	accepted = accept(fd, NULL, NULL);
	ck_assert_int_ge(accepted, 0);
	setsockopt(accepted, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(accepted);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
	ck_assert_int_eq(outcome, PROBE_RESET);
	close(fd);
}
END_TEST

START_TEST(closed_port_refuses) {
	uint16_t port;
	int fd = listener_open(&port);

	close(fd);
	probe_run(port);
	ck_assert_int_eq(outcome, PROBE_REFUSED);
}
END_TEST

START_TEST(cancelled_probe_calls_nobody) {
	uint16_t port;
	int fd = listener_open(&port);
	struct connect_probe_options options = {
		.port = port,
		.timeout_ms = 50,
		.on_outcome = outcome_note,
	};

	ip_address_parse("127.0.0.1", &options.address);
	is_over = false;
	connect_probe_cancel(connect_probe_start(&options));
	connect_probe_cancel(NULL);
	for (int i = 0; i < 20; i++) {
		g_usleep(10000);
		g_main_context_iteration(NULL, FALSE);
	}
	ck_assert(!is_over);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("connect probe");
	TCase *cases = tcase_create("probe");

	tcase_add_test(cases, listener_accepts);
	tcase_add_test(cases, reset_after_accept_is_no_refusal);
	tcase_add_test(cases, closed_port_refuses);
	tcase_add_test(cases, cancelled_probe_calls_nobody);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
