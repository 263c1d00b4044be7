/* Guards against a probe that reports a dead host as up, or never ends. */

#include <check.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/connect_probe.h"
#include "suite.h"

static enum probe_outcome outcome;
static bool is_over;

static void outcome_record(void *context, enum probe_outcome result)
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
		.on_outcome = outcome_record,
	};

	ip_address_parse("127.0.0.1", &options.address);
	is_over = false;
	ck_assert_ptr_nonnull(connect_probe_start(&options));
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

START_TEST(open_port_is_accepted) {
	uint16_t port;
	int fd = listener_open(&port);

	probe_run(port);
	ck_assert_int_eq(outcome, PROBE_ACCEPTED);
	close(fd);
}
END_TEST

/*
 * Guards against taking a host that resets accepted connections to be down: it
 * is up.
 */
START_TEST(reset_after_accept_is_not_refusal) {
	const struct linger zero_linger = { .l_onoff = 1 };
	struct connect_probe_options options = {
		.timeout_ms = 2000,
		.on_outcome = outcome_record,
	};
	int fd = listener_open(&options.port);
	int accepted;

	ip_address_parse("127.0.0.1", &options.address);
	is_over = false;
	ck_assert_ptr_nonnull(connect_probe_start(&options));
	accepted = accept(fd, NULL, NULL);
	ck_assert_int_ge(accepted, 0);
	setsockopt(accepted, SOL_SOCKET, SO_LINGER, &zero_linger,
		   sizeof(zero_linger));
	close(accepted);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
	ck_assert_int_eq(outcome, PROBE_RESET);
	close(fd);
}
END_TEST

/*
 * Guards against taking a host to be unreachable because this process was not
 * scheduled: the connection was accepted before the timeout.
 */
START_TEST(stalled_process_causes_no_timeout) {
	struct connect_probe_options options = {
		.timeout_ms = 20,
		.on_outcome = outcome_record,
	};
	int fd = listener_open(&options.port);

	ip_address_parse("127.0.0.1", &options.address);
	is_over = false;
	ck_assert_ptr_nonnull(connect_probe_start(&options));
	g_usleep(100000);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
	ck_assert_int_eq(outcome, PROBE_ACCEPTED);
	close(fd);
}
END_TEST

START_TEST(closed_port_is_refused) {
	uint16_t port;
	int fd = listener_open(&port);

	close(fd);
	probe_run(port);
	ck_assert_int_eq(outcome, PROBE_REFUSED);
}
END_TEST

START_TEST(cancelled_probe_reports_no_outcome) {
	uint16_t port;
	int fd = listener_open(&port);
	struct connect_probe_options options = {
		.port = port,
		.timeout_ms = 50,
		.on_outcome = outcome_record,
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

	tcase_add_test(cases, open_port_is_accepted);
	tcase_add_test(cases, reset_after_accept_is_not_refusal);
	tcase_add_test(cases, stalled_process_causes_no_timeout);
	tcase_add_test(cases, closed_port_is_refused);
	tcase_add_test(cases, cancelled_probe_reports_no_outcome);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
