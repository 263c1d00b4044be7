/*
 * Guards against callers that wait for a host that does not respond, and
 * against hosts that are ejected, avoided or probed without cause.
 */

#include <check.h>

#include "fixture.h"
#include "suite.h"

static struct fixture fixture;

static void hosts_open(void)
{
	fixture_open_with_hosts(&fixture);
}

static void hosts_close(void)
{
	fixture_close(&fixture);
}

START_TEST(flows_of_silent_host_are_reset) {
	struct known_host *host = flow_open(&fixture, 1);
	uint16_t other = 2;

	while (flow_open(&fixture, other) != host)
		other++;
	packet_data_retransmit(&fixture, 1, host->token, 3);
	ck_assert_uint_eq(fixture.silence_count, 1);
	fixture_probe(&fixture, host, PROBE_RESULT_DOWN);
	ck_assert_uint_eq(fixture.silence_count, 1);
	ck_assert_uint_eq(fixture.reset_count, 2);
	for (uint32_t i = 0; i < 2; i++) {
		ck_assert_int_eq(fixture.resets[i].reason,
				 STEERING_HOST_SILENT);
		ck_assert_uint_eq(fixture.resets[i].sequence, 1000);
	}
	ck_assert_uint_eq(host->open_flows, 0);
	ck_assert_ptr_ne(packet_syn(&fixture, 50, 0).host, host);
}
END_TEST

/*
 * Guards against resets of open flows whose host serves, but whose packets are
 * late: the host is slow, or the balancer's own link is congested.
 */
START_TEST(retransmissions_end_no_open_flow) {
	static const struct {
		bool is_probed;
		enum probe_result result;
	} cases[] = {
		{ false, PROBE_RESULT_UP },
		{ true, PROBE_RESULT_UP },
		{ true, PROBE_RESULT_FULL },
	};
	struct known_host *host = flow_open(&fixture, 1);
	struct steering_decision decision;

	for (uint32_t copy = 0; copy < 6; copy++) {
		decision = packet_data(&fixture, 1, host->token, 500, 1000);
		ck_assert_int_eq(decision.verdict, STEERING_FORWARD);
		ck_assert_ptr_eq(decision.host, host);
		fixture_advance(&fixture, 400);
		steering_tick(fixture.steering);
		if (cases[_i].is_probed && host->health.is_probing)
			steering_probe_end(fixture.steering, host->published.id,
					   cases[_i].result);
	}
	ck_assert_uint_gt(fixture.probe_count, 0);
	ck_assert_uint_eq(fixture.silence_count, 1);
	ck_assert_uint_eq(fixture.reset_count, 0);
	/* The first opening packet may be a trial. */
	packet_syn(&fixture, 50, 0);
	for (uint16_t port = 51; port < 60; port++)
		ck_assert_ptr_ne(packet_syn(&fixture, port, 0).host, host);
	packet_ack(&fixture, 1, host->token, 600, 1001);
	ck_assert(!health_is_silent(&host->health));
}
END_TEST

/*
 * When three callers retransmit their requests to a host that was idle for
 * seconds, it has had the requests for 200 ms only; it may be slow, as after
 * its start.
 */
START_TEST(idle_host_has_time_to_respond) {
	struct known_host *host = fixture_host(&fixture, 1);

	for (uint16_t port = 1; port <= 3; port++) {
		packet_data(&fixture, port, host->token, 500, 1000);
		packet_ack(&fixture, port, host->token, 600, 1001);
	}
	fixture_advance(&fixture, 5000);
	for (uint16_t port = 1; port <= 3; port++)
		packet_data(&fixture, port, host->token, 700, 1001);
	fixture_advance(&fixture, 200);
	for (uint16_t port = 1; port <= 3; port++)
		packet_data(&fixture, port, host->token, 700, 1001);
	ck_assert(!health_is_silent(&host->health));
	ck_assert_uint_eq(fixture.reset_count, 0);
	fixture_advance(&fixture, 400);
	packet_data(&fixture, 1, host->token, 700, 1001);
	ck_assert(health_is_silent(&host->health));
}
END_TEST

/*
 * The balancer was not scheduled for 0.9 s, less than what counts as a pause:
 * requests and their retransmissions arrive in one batch, and no host had them
 * before.
 */
START_TEST(stalled_balancer_ejects_no_host) {
	struct known_host *host = fixture_host(&fixture, 1);

	for (uint16_t port = 1; port <= 3; port++) {
		packet_data(&fixture, port, host->token, 500, 1000);
		packet_ack(&fixture, port, host->token, 600, 1001);
	}
	fixture_advance(&fixture, 900);
	for (uint16_t port = 1; port <= 3; port++)
		for (int copy = 0; copy < 3; copy++)
			packet_data(&fixture, port, host->token, 700, 1001);
	ck_assert(!health_is_silent(&host->health));
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

START_TEST(host_that_serves_others_is_not_silent) {
	struct known_host *host = flow_open(&fixture, 1);

	packet_data(&fixture, 1, host->token, 500, 1000);
	for (uint32_t i = 0; i < 6; i++) {
		fixture_advance(&fixture, 400);
		packet_data(&fixture, 1, host->token, 500, 1000);
		packet_data(&fixture, 99, host->token, 700, 2000 + i);
	}
	ck_assert_uint_eq(fixture.silence_count, 0);
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

/* A short response is acknowledged late, with the request that follows. */
START_TEST(late_acknowledgement_is_no_progress) {
	struct known_host *host = fixture_host(&fixture, 1);
	struct steering_decision decision;

	for (uint16_t port = 1; port <= 6; port++) {
		packet_data(&fixture, port, host->token, 500, 1000);
		packet_ack(&fixture, port, host->token, 600, 1001);
	}
	/* The host ends; each caller sends and retransmits its next request. */
	for (uint16_t port = 1; port <= 6; port++) {
		fixture_advance(&fixture, 150);
		packet_data(&fixture, port, host->token, 700, 2000);
		if (port >= 2)
			packet_data(&fixture, port - 1, host->token, 700, 2000);
	}
	ck_assert(health_is_silent(&host->health));
	fixture_probe(&fixture, host, PROBE_RESULT_DOWN);
	ck_assert_uint_ge(fixture.reset_count, 5);
	decision = packet_syn(&fixture, 99, 0);
	ck_assert_ptr_ne(decision.host, host);
}
END_TEST

/* The balancer does not see the reset with which a crashed host responds. */
START_TEST(overdue_handshake_triggers_probe) {
	struct known_host *host;
	struct known_host *other;

	fixture_measure_handshakes(&fixture, 40, 30);
	host = packet_syn(&fixture, 1, 0).host;
	other = fixture_host(&fixture, 3 - (uint32_t)host->published.target_id);
	fixture_advance(&fixture, 50);
	packet_data(&fixture, 90, other->token, 1, 1);
	ck_assert_uint_eq(fixture.probe_count, 0);
	fixture_advance(&fixture, 20);
	packet_data(&fixture, 90, other->token, 2, 2);
	ck_assert_uint_eq(fixture.probe_count, 1);
	for (uint16_t port = 10; port < 20; port++)
		ck_assert_ptr_ne(packet_syn(&fixture, port, 0).host, host);
	steering_probe_end(fixture.steering, host->published.id,
			   PROBE_RESULT_DOWN);
	ck_assert(health_is_silent(&host->health));
}
END_TEST

START_TEST(completed_handshake_triggers_no_probe) {
	struct known_host *host = flow_open(&fixture, 1);

	fixture_advance(&fixture, 500);
	packet_syn(&fixture, 2, 0);
	packet_data(&fixture, 90, host->token, 1, 1);
	ck_assert_uint_eq(fixture.probe_count, 0);
}
END_TEST

/* Fifty responses per second, then none: the process has ended. */
START_TEST(host_that_stops_responding_is_probed) {
	struct known_host *host = fixture_host(&fixture, 1);

	for (uint32_t i = 1; i <= 100; i++) {
		packet_data(&fixture, 1, host->token, 100 * i, i);
		fixture_advance(&fixture, 20);
		packet_ack(&fixture, 1, host->token, 100 * i + 50, i + 1);
		if (i % 5 == 0)
			steering_tick(fixture.steering);
	}
	ck_assert_uint_eq(fixture.probe_count, 0);
	for (uint32_t ms = 0; ms < 500; ms += 100) {
		fixture_advance(&fixture, 100);
		steering_tick(fixture.steering);
	}
	ck_assert_uint_eq(fixture.probe_count, 1);
	steering_probe_end(fixture.steering, "i-01", PROBE_RESULT_DOWN);
	ck_assert_uint_eq(fixture.reset_count, 1);
}
END_TEST

START_TEST(host_that_serves_some_flows_is_not_silent) {
	struct known_host *host = fixture_host(&fixture, 1);

	for (uint16_t port = 1; port <= 5; port++)
		packet_data(&fixture, port, host->token, 500, 1000);
	for (uint32_t i = 1; i <= 100; i++) {
		fixture_advance(&fixture, 100);
		steering_tick(fixture.steering);
		if (i % 5 == 0)
			packet_data(&fixture, 1, host->token, 500 + i,
				    1000 + i);
	}
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

/* Sends each host @times requests, each answered after @wait_ms. */
static void requests_answer(uint16_t hosts, const uint32_t *wait_ms,
			    uint32_t times)
{
	static uint32_t sequence = 5000;

	for (uint32_t i = 0; i < times; i++) {
		for (uint16_t number = 1; number <= hosts; number++) {
			struct known_host *host =
				fixture_host(&fixture, number);

			sequence += 1000;
			packet_data(&fixture, number, host->token, sequence,
				    sequence);
			fixture_advance(&fixture, wait_ms[number - 1]);
			packet_ack(&fixture, number, host->token,
				   sequence + 100, sequence + 1);
		}
		steering_tick(fixture.steering);
	}
}

START_TEST(slow_host_gets_no_new_flows) {
	static const struct {
		uint32_t wait_ms[4];
		bool is_slow; /* the first host */
	} cases[] = {
		{ { 450, 50, 50, 50 }, true },
		{ { 50, 50, 50, 50 }, false },
		{ { 300, 50, 50, 50 }, false }, /* a full queue */
		{ { 450, 150, 150, 150 }, false }, /* all hosts are busy */
		{ { 450, 450, 450, 450 }, false },
	};
	struct known_host *host = fixture_host(&fixture, 1);

	fixture_publish(&fixture, 4, "a");
	requests_answer(4, cases[_i].wait_ms, 12);
	ck_assert(host->health.is_slow == cases[_i].is_slow);
	ck_assert_uint_eq(fixture.reset_count, 0);
	if (cases[_i].is_slow) {
		for (uint16_t port = 200; port < 220; port++)
			ck_assert_ptr_ne(packet_syn(&fixture, port, 0).host,
					 host);
	}
}
END_TEST

START_TEST(idle_flows_are_not_reset) {
	struct known_host *host = fixture_host(&fixture, 1);

	for (uint16_t port = 1; port <= 5; port++) {
		packet_data(&fixture, port, host->token, 500, 1000);
		packet_ack(&fixture, port, host->token, 600, 2000);
	}
	for (uint32_t i = 1; i <= 100; i++) {
		fixture_advance(&fixture, 100);
		steering_tick(fixture.steering);
	}
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

START_TEST(silent_host_gets_a_trial_flow) {
	struct known_host *host = flow_open(&fixture, 1);
	struct steering_decision decision;

	packet_data_retransmit(&fixture, 1, host->token, 3);
	steering_probe_end(fixture.steering, host->published.id,
			   PROBE_RESULT_UP);
	ck_assert(health_is_silent(&host->health));
	fixture_advance(&fixture, 600);
	decision = packet_syn(&fixture, 60, 0);
	ck_assert_ptr_eq(decision.host, host);
	ck_assert_int_eq(decision.choice, CHOICE_TRIAL);
	ck_assert_int_ne(packet_syn(&fixture, 61, 0).choice, CHOICE_TRIAL);
	packet_data(&fixture, 60, host->token, 61, 1);
	ck_assert(!health_is_silent(&host->health));
}
END_TEST

START_TEST(isolated_balancer_does_not_reset_all_flows) {
	struct known_host *hosts[3];

	for (uint16_t port = 1; port <= 3; port++) {
		hosts[port - 1] = fixture_host(&fixture, port);
		packet_data(&fixture, port, hosts[port - 1]->token, 500, 1000);
	}
	for (uint32_t i = 0; i < 5; i++) {
		fixture_advance(&fixture, 400);
		for (uint16_t port = 1; port <= 3; port++)
			packet_data(&fixture, port, hosts[port - 1]->token, 500,
				    1000);
	}
	ck_assert(steering_is_isolated(fixture.steering));
	for (int probe = 0; probe < 3; probe++) {
		fixture_advance(&fixture, 400);
		steering_tick(fixture.steering);
		for (uint16_t port = 1; port <= 3; port++)
			steering_probe_end(fixture.steering,
					   hosts[port - 1]->published.id,
					   PROBE_RESULT_TIMEOUT);
	}
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

/*
 * Guards against resets of the open flows of hosts that are at their limit of
 * flows: such a host ignores opening packets and goes on serving.
 */
START_TEST(ignored_opening_packets_reset_no_open_flow) {
	struct known_host *host = flow_open(&fixture, 1);

	for (uint16_t port = 100; port < 130; port++) {
		packet_syn(&fixture, port, 0);
		fixture_advance(&fixture, 200);
		packet_syn(&fixture, port, 1);
		fixture_advance(&fixture, 400);
		packet_syn(&fixture, port, 2);
	}
	ck_assert_uint_eq(fixture.reset_count, 0);
	ck_assert_uint_eq(fixture.silence_count, 0);
	ck_assert(health_is_suspect(&host->health));
	ck_assert_uint_gt(fixture.probe_count, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host watch");
	TCase *cases = tcase_create("host health");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_test(cases, flows_of_silent_host_are_reset);
	tcase_add_loop_test(cases, retransmissions_end_no_open_flow, 0, 3);
	tcase_add_test(cases, idle_host_has_time_to_respond);
	tcase_add_test(cases, stalled_balancer_ejects_no_host);
	tcase_add_test(cases, host_that_serves_others_is_not_silent);
	tcase_add_test(cases, late_acknowledgement_is_no_progress);
	tcase_add_test(cases, ignored_opening_packets_reset_no_open_flow);
	tcase_add_test(cases, overdue_handshake_triggers_probe);
	tcase_add_test(cases, completed_handshake_triggers_no_probe);
	tcase_add_test(cases, host_that_stops_responding_is_probed);
	tcase_add_test(cases, host_that_serves_some_flows_is_not_silent);
	tcase_add_loop_test(cases, slow_host_gets_no_new_flows, 0, 5);
	tcase_add_test(cases, idle_flows_are_not_reset);
	tcase_add_test(cases, silent_host_gets_a_trial_flow);
	tcase_add_test(cases, isolated_balancer_does_not_reset_all_flows);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
