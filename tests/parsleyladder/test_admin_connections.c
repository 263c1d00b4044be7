/*
 * Guards against connections of the administration API that stay open: with one
 * descriptor lost for each request, a balancer that is monitored ends up unable
 * to open a socket.
 */

#include <check.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "balancer_fixture.h"
#include "http/http_listener.h"
#include "suite.h"

#define REQUEST "GET /metrics HTTP/1.1\r\nHost: balancer\r\n\r\n"
#define CLIENTS_MAX 20
#define DEADLINE_US (5 * G_USEC_PER_SEC)

/* What a client does with its connection. */
enum client_behaviour {
	CLIENT_READS, /* the whole response; leaves the connection open */
	CLIENT_CLOSES_EARLY, /* right after the request */
	CLIENT_HANGS_UP, /* sends nothing */
	CLIENT_SENDS_HALF, /* of the request, and closes */
};

static struct balancer_fixture fixture;

static void balancer_open(void)
{
	balancer_fixture_open(&fixture);
}

static void balancer_close(void)
{
	balancer_fixture_close(&fixture);
}

static int descriptor_count(void)
{
	DIR *directory = opendir("/proc/self/fd");
	int count = 0;

	while (readdir(directory))
		count++;
	closedir(directory);
	return count;
}

static void loop_run(void)
{
	while (g_main_context_iteration(NULL, FALSE))
		;
}

static int client_connect(void)
{
	struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_port = htons(ADMIN_PORT),
		.sin_addr = balancer_fixture_address(),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&target, sizeof(target)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	/* The queue of connections that wait to be accepted is short. */
	loop_run();
	return fd;
}

static void client_send(int fd, size_t length)
{
	ck_assert_int_eq(send(fd, REQUEST, length, MSG_NOSIGNAL), length);
}

/* Reads until the server closes the connection; returns the status or 0. */
static int response_read(int fd)
{
	int64_t deadline_us = g_get_monotonic_time() + DEADLINE_US;
	char text[65536] = "";
	size_t length = 0;
	ssize_t got = -1;
	int status = 0;

	while (got != 0 && g_get_monotonic_time() < deadline_us) {
		loop_run();
		got = recv(fd, text + length, sizeof(text) - 1 - length, 0);
		if (got < 0 && errno != EAGAIN)
			break;
		length += got > 0 ? (size_t)got : 0;
	}
	ck_assert_int_eq(got, 0);
	sscanf(text, "HTTP/1.1 %d", &status);
	return status;
}

static void client_act(int fd, enum client_behaviour behaviour)
{
	if (behaviour == CLIENT_READS || behaviour == CLIENT_CLOSES_EARLY)
		client_send(fd, strlen(REQUEST));
	if (behaviour == CLIENT_SENDS_HALF)
		client_send(fd, strlen(REQUEST) / 2);
	if (behaviour == CLIENT_READS)
		ck_assert_int_eq(response_read(fd), 200);
	loop_run();
}

static void descriptors_settle(int before)
{
	int64_t deadline_us = g_get_monotonic_time() + G_USEC_PER_SEC;

	while (descriptor_count() > before &&
	       g_get_monotonic_time() < deadline_us)
		loop_run();
	ck_assert_int_eq(descriptor_count(), before);
}

static const struct {
	enum client_behaviour behaviour;
	uint32_t at_once;
} cases[] = {
	{ CLIENT_READS, 1 },	    { CLIENT_READS, 20 },
	{ CLIENT_CLOSES_EARLY, 1 }, { CLIENT_CLOSES_EARLY, 20 },
	{ CLIENT_HANGS_UP, 1 },	    { CLIENT_HANGS_UP, 20 },
	{ CLIENT_SENDS_HALF, 1 },   { CLIENT_SENDS_HALF, 20 },
};

START_TEST(requests_leave_no_descriptor) {
	int fds[CLIENTS_MAX] = { 0 };
	int before;

	loop_run();
	before = descriptor_count();
	for (uint32_t i = 0; i < 500; i += cases[_i].at_once) {
		for (uint32_t k = 0; k < cases[_i].at_once; k++)
			fds[k] = client_connect();
		for (uint32_t k = 0; k < cases[_i].at_once; k++)
			client_act(fds[k], cases[_i].behaviour);
		for (uint32_t k = 0; k < cases[_i].at_once; k++)
			close(fds[k]);
		loop_run();
	}
	descriptors_settle(before);
}
END_TEST

/*
 * A monitor that leaves all its connections open: the server closes those above
 * its limit at once, packets are handled as before, and the server is usable
 * again when the idle connections end.
 */
START_TEST(idle_connections_are_bounded) {
	int64_t deadline_us = g_get_monotonic_time() +
			      (HTTP_CONNECTION_AGE_MAX_S + 2) * G_USEC_PER_SEC;
	int fds[HTTP_CONNECTIONS_MAX + 1];
	int before;
	int status = 0;

	loop_run();
	before = descriptor_count();
	for (uint32_t i = 0; i < HTTP_CONNECTIONS_MAX; i++)
		fds[i] = client_connect();
	fds[HTTP_CONNECTIONS_MAX] = client_connect();
	ck_assert_int_eq(response_read(fds[HTTP_CONNECTIONS_MAX]), 0);
	ck_assert_int_le(descriptor_count(),
			 before + 2 * HTTP_CONNECTIONS_MAX + 1);
	balancer_fixture_send_packet();
	while (balancer_fixture_counter(&fixture, "decision_ns_count") == 0 &&
	       g_get_monotonic_time() < deadline_us)
		loop_run();
	ck_assert_int_eq(
		balancer_fixture_counter(&fixture, "decision_ns_count"), 1);
	/* The clients keep their ends open. */
	while (descriptor_count() > before + HTTP_CONNECTIONS_MAX + 1 &&
	       g_get_monotonic_time() < deadline_us)
		g_main_context_iteration(NULL, FALSE);
	for (uint32_t i = 0; i <= HTTP_CONNECTIONS_MAX; i++)
		close(fds[i]);
	fds[0] = client_connect();
	client_send(fds[0], strlen(REQUEST));
	status = response_read(fds[0]);
	close(fds[0]);
	ck_assert_int_eq(status, 200);
	descriptors_settle(before);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("admin connections");
	TCase *tests = tcase_create("admin connections");

	tcase_set_timeout(tests, 60);
	tcase_add_checked_fixture(tests, balancer_open, balancer_close);
	tcase_add_loop_test(tests, requests_leave_no_descriptor, 0,
			    G_N_ELEMENTS(cases));
	tcase_add_test(tests, idle_connections_are_bounded);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
