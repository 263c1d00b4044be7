/*
 * Guards against metrics that are exported but never recorded, and against
 * delays from the publication of routes to their use that are reported too low.
 */

#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "balancer_private.h"
#include "platform/datagram.h"
#include "suite.h"

#define CLOCK_STEP_NS 3000
/* Fixed ports, on an address that only this test uses. */
#define PACKET_PORT 7000
#define READINESS_PORT 7001
#define CONTROL_PORT 7002
#define SHARING_PORT 7003
#define DEADLINE_US (5 * G_USEC_PER_SEC)

/* A clock that advances by CLOCK_STEP_NS with each reading. */
struct stepping_clock {
	struct clock clock;
	int64_t now_ns;
};

static struct stepping_clock stepping;
static struct balancer *balancer;
static char *settings_path;

static void stepping_now(void *context, struct timespec *out)
{
	struct stepping_clock *clock = context;

	clock->now_ns += CLOCK_STEP_NS;
	out->tv_sec = clock->now_ns / NS_PER_S;
	out->tv_nsec = clock->now_ns % NS_PER_S;
}

/*
 * An address of the loopback network that no other process uses. Searching for
 * a free port is not enough: one that is free for UDP may be in use for TCP,
 * and one that was free a moment ago may be in use now.
 */
static struct in_addr test_address(void)
{
	uint32_t pid = (uint32_t)getpid();

	return (struct in_addr){ htonl(0x7f400000 | (pid & 0x3fffff)) };
}

static void balancer_open(void)
{
	struct error error = { 0 };
	char address[INET_ADDRSTRLEN];
	char *text;
	int fd = g_file_open_tmp("balancer-XXXXXX", &settings_path, NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	g_strlcpy(address, inet_ntoa(test_address()), sizeof(address));
	text = g_strdup_printf(
		"{\"instance_id\":\"entry-1\",\"availability_zone\":\"a\","
		"\"packet_endpoint\":\"%s:%u\","
		"\"readiness_endpoint\":\"%s:%u\","
		"\"control_endpoint\":\"%s:%u\",\"sharing_port\":%u,"
		"\"store_endpoint\":\"%s:1\",\"log_level\":\"error\"}",
		address, PACKET_PORT, address, READINESS_PORT, address,
		CONTROL_PORT, SHARING_PORT, address);
	ck_assert(g_file_set_contents(settings_path, text, -1, NULL));
	g_free(text);
	stepping = (struct stepping_clock){
		.clock = { .now = stepping_now, .context = &stepping },
		.now_ns = 1000 * NS_PER_S,
	};
	balancer = balancer_create(settings_path, &stepping.clock, &error);
	ck_assert_msg(balancer != NULL, "%s", error.detail);
	/* balancer_run() sets this when the loop starts. */
	balancer->last_iteration_ns = stepping.now_ns;
}

static void balancer_close(void)
{
	balancer_destroy(balancer);
	g_remove(settings_path);
	g_free(settings_path);
}

/* Value of a line "name value" of the counters; -1 if there is none. */
static int64_t counter_find(const char *name)
{
	GString *text = g_string_new("\n");
	char *prefix = g_strdup_printf("\n%s ", name);
	int64_t value = -1;
	const char *line;

	counter_registry_print_text(balancer->counters, text);
	line = strstr(text->str, prefix);
	if (line)
		value = g_ascii_strtoll(line + strlen(prefix), NULL, 10);
	g_string_free(text, TRUE);
	g_free(prefix);
	return value;
}

static void packet_send(void)
{
	struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_port = htons(PACKET_PORT),
		.sin_addr = test_address(),
	};
	uint8_t packet[DATAGRAM_HEADER_BYTES] = { [18] = 0x04 }; /* SYN */
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	ck_assert_int_eq(sendto(fd, packet, sizeof(packet), 0,
				(struct sockaddr *)&target, sizeof(target)),
			 sizeof(packet));
	close(fd);
}

START_TEST(decision_time_is_recorded) {
	int64_t deadline_us = g_get_monotonic_time() + DEADLINE_US;

	packet_send();
	while (counter_find("decision_ns_count") == 0 &&
	       g_get_monotonic_time() < deadline_us)
		g_main_context_iteration(NULL, FALSE);
	ck_assert_int_eq(counter_find("decision_ns_count"), 1);
	ck_assert_int_ge(counter_find("decision_ns_sum"), CLOCK_STEP_NS);
	ck_assert_int_eq(counter_find("decisions_not_ready"), 1);
}
END_TEST

static void routes_apply(uint64_t version)
{
	struct routing *routing = routing_create(version, 1000, NULL, 0);

	balancer_routing_apply(balancer, routing);
	routing_unref(routing);
}

START_TEST(routes_delay_starts_at_last_confirmation) {
	/* The age of the first routes is unknown. */
	routes_apply(1);
	ck_assert_int_eq(counter_find("routes_delay_ms_count"), 0);
	balancer->replica_status.confirmed_ns = stepping.now_ns;
	stepping.now_ns += 700 * NS_PER_MS;
	routes_apply(2);
	ck_assert_int_eq(counter_find("routes_delay_ms_count"), 1);
	ck_assert_int_eq(counter_find("routes_delay_ms_sum"), 700);
	/* An older version is ignored. */
	routes_apply(1);
	ck_assert_int_eq(counter_find("routes_delay_ms_count"), 1);
}
END_TEST

/*
 * Guards against log lines that keep callers waiting: without a rate limit,
 * each of 300 balancers that receive 3,000 hosts at once writes 600 KB of them.
 */
START_TEST(host_log_lines_are_rate_limited) {
	static const uint32_t hosts = 3000;
	struct host_table *table = steering_hosts(balancer->steering);

	for (uint32_t i = 0; i < hosts; i++) {
		struct host_announcement host = { .revision = 1 + i };

		g_snprintf(host.id, sizeof(host.id), "i-%u", i);
		g_strlcpy(host.service, "examen", sizeof(host.service));
		host_table_put(table, &host, stepping.now_ns);
	}
	ck_assert_uint_eq(host_table_count(table), hosts);
	ck_assert_int_ge(counter_find("total_log_left_out_lines"), 2400);
	/* Later changes of a few hosts are all logged. */
	stepping.now_ns += 10 * NS_PER_S;
	for (uint32_t i = 0; i < 20; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%u", i);
		host_table_remove(table, id, hosts + 1, stepping.now_ns);
	}
	ck_assert_int_le(counter_find("total_log_left_out_lines"), 2500);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("balancer");
	TCase *cases = tcase_create("metrics");

	tcase_add_checked_fixture(cases, balancer_open, balancer_close);
	tcase_add_test(cases, decision_time_is_recorded);
	tcase_add_test(cases, routes_delay_starts_at_last_confirmation);
	tcase_add_test(cases, host_log_lines_are_rate_limited);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
