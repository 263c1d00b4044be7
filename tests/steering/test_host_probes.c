/*
 * Guards against resets of open flows on probes that do not show that the host
 * is down, and against callers that wait for a host that is.
 */

#include <check.h>

#include "fixture.h"
#include "position.h"
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

/*
 * Guards against resets of open flows by a balancer whose own link is congested
 * or cut: its probes time out although the hosts serve.
 */
START_TEST(probe_timeouts_count_only_on_an_open_path) {
	static const struct {
		struct fixture_others others;
		uint32_t resets;
	} cases[] = {
		{ { 20, false }, 2 },  { { 190, false }, 2 },
		{ { 210, false }, 0 }, { { 900, false }, 0 },
		{ { 900, true }, 2 },  { { 0, false }, 0 },
		{ { 0, true }, 2 },
	};
	struct known_host *host = flow_open(&fixture, 1);

	packet_data_retransmit(&fixture, 2, host->token, 2);
	fixture_cut_off(&fixture, host, &cases[_i].others);
	ck_assert_uint_eq(fixture.reset_count, cases[_i].resets);
	ck_assert((host->health.down_ns != 0) == (cases[_i].resets > 0));
}
END_TEST

/*
 * Guards against resets of idle flows because two probes in a row were lost:
 * hosts without requests are probed, too, once they fall quiet.
 */
START_TEST(idle_host_is_down_after_more_timeouts) {
	struct known_host *host = fixture_host(&fixture, 1);
	const struct known_host *other = fixture_host(&fixture, 2);

	for (uint32_t i = 1; i <= 100; i++) {
		packet_data(&fixture, 1, host->token, 100 * i, i);
		fixture_advance(&fixture, 20);
		packet_ack(&fixture, 1, host->token, 100 * i + 50, i + 1);
	}
	fixture_advance(&fixture, 1000);
	for (uint32_t timeouts = 1; timeouts <= 4; timeouts++) {
		steering_tick(fixture.steering);
		ck_assert(host->health.is_probing);
		fixture_exchange(&fixture, other, 50);
		fixture_advance(&fixture, 250);
		steering_probe_end(fixture.steering, host->published.id,
				   PROBE_RESULT_TIMEOUT);
		/* It gets no new flows from the second one on. */
		ck_assert(health_is_silent(&host->health) == (timeouts >= 2));
		ck_assert((host->health.down_ns != 0) == (timeouts == 4));
	}
	ck_assert_uint_eq(fixture.reset_count, 1);
}
END_TEST

/*
 * Guards against callers that wait for a host that is down, and against resets
 * of their flows once it responds again.
 */
START_TEST(flows_end_after_retransmissions_while_the_host_is_down) {
	static const struct {
		bool is_accepting; /* the probe after it was found to be down */
		bool is_responding;
		uint32_t others_wait_ms; /* until another host answers */
		uint32_t retransmissions; /* until the reset; 9 for none */
	} cases[] = {
		{ false, false, 50, 1 },
		/* Perhaps another host has its address. */
		{ true, false, 50, 2 },
		{ true, true, 50, 9 },
		/* The balancer's own link is congested. */
		{ false, false, 250, 9 },
		{ true, false, 250, 9 },
	};
	const struct fixture_others others = { .wait_ms = 20 };
	struct known_host *host = fixture_host(&fixture, 1);
	const struct known_host *other = fixture_host(&fixture, 2);
	enum steering_verdict verdict = STEERING_FORWARD;
	uint32_t copies = 0;

	packet_data_retransmit(&fixture, 2, host->token, 2);
	fixture_cut_off(&fixture, host, &others);
	ck_assert(health_is_down(&host->health, fixture.clock.now_ns));
	fixture_advance(&fixture, 600);
	if (cases[_i].is_accepting)
		fixture_probe(&fixture, host, PROBE_RESULT_UP);
	if (cases[_i].is_responding)
		packet_data(&fixture, 99, host->token, 700, 2000);
	if (cases[_i].is_responding)
		packet_ack(&fixture, 99, host->token, 800, 2001);
	fixture_advance(&fixture, 700);
	packet_data(&fixture, 1, host->token, 500, 1000);
	while (verdict == STEERING_FORWARD && copies < 9) {
		fixture_exchange(&fixture, other, cases[_i].others_wait_ms);
		fixture_advance(&fixture, 250 - cases[_i].others_wait_ms);
		verdict =
			packet_data(&fixture, 1, host->token, 500, 1000).verdict;
		copies++;
	}
	ck_assert_uint_eq(copies, cases[_i].retransmissions);
	ck_assert_int_eq(verdict,
			 copies < 9 ? STEERING_RESET : STEERING_FORWARD);
}
END_TEST

/*
 * Guards against callers that wait for a host that has ended, because another
 * host got its address and accepts the probes.
 */
START_TEST(reassigned_address_shows_that_the_host_has_ended) {
	static const struct {
		int started_ms; /* after the start of the first host */
		int revision; /* after the one of the first host */
		bool is_removed;
		bool is_routed;
		uint32_t resets;
	} cases[] = {
		{ 1, 20, false, true, 1 },
		/* A late entry of an earlier host. */
		{ -1, 20, false, true, 0 },
		{ 1, -20, false, true, 0 },
		{ 1, 20, true, true, 0 },
		/* Another program may have written the entry. */
		{ 1, 20, false, false, 0 },
	};
	static const char *const services[] = { "examen", "archive", NULL };
	struct known_host *host = flow_open(&fixture, 1);
	struct host_announcement other = host->published;

	g_strlcpy(other.id, "i-77", sizeof(other.id));
	g_strlcpy(other.service, "archive", sizeof(other.service));
	other.target_id = 77;
	other.position.revision = (uint64_t)((int64_t)other.position.revision +
					     cases[_i].revision);
	other.started_ms =
		(uint64_t)((int64_t)other.started_ms + cases[_i].started_ms);
	if (cases[_i].is_routed)
		fixture_route_to(&fixture, 2, services);
	fixture_put(&fixture, &other);
	if (cases[_i].is_removed)
		host_table_remove(steering_hosts(fixture.steering), other.id,
				  position_at(other.position.revision + 1),
				  fixture.clock.now_ns);
	packet_data_retransmit(&fixture, 1, host->token, 2);
	fixture_probe(&fixture, host, PROBE_RESULT_UP);
	ck_assert_uint_eq(fixture.reset_count, cases[_i].resets);
	ck_assert_uint_eq(fixture.reassignment_count, cases[_i].resets);
}
END_TEST

/*
 * Guards against callers that wait for a host that ends after it was ejected:
 * probes go on while they retransmit.
 */
START_TEST(silent_host_that_ends_is_found_by_probes) {
	struct known_host *host = flow_open(&fixture, 1);

	packet_data_retransmit(&fixture, 1, host->token, 3);
	ck_assert(health_is_silent(&host->health));
	fixture_probe(&fixture, host, PROBE_RESULT_UP);
	ck_assert_uint_eq(fixture.reset_count, 0);
	fixture.probe_count = 0;
	for (uint32_t ms = 0; ms < 1100; ms += 100) {
		fixture_advance(&fixture, 100);
		steering_tick(fixture.steering);
	}
	ck_assert_uint_eq(fixture.probe_count, 1);
	steering_probe_end(fixture.steering, host->published.id,
			   PROBE_RESULT_DOWN);
	ck_assert_uint_eq(fixture.down_count, 1);
	ck_assert_uint_eq(fixture.reset_count, 1);
}
END_TEST

static void callers_retransmit(const struct known_host *host)
{
	for (uint16_t port = 1; port <= 3; port++)
		packet_data(&fixture, port, host->token, 500, 1000);
}

/* Triggers a probe of host 1: three callers retransmit a packet once. */
static void probe_trigger(const struct known_host *host)
{
	callers_retransmit(host);
	fixture_advance(&fixture, 200);
	callers_retransmit(host);
}

START_TEST(probe_results_cause_expected_resets) {
	static const struct {
		enum probe_result results[3];
		uint32_t result_count;
		uint32_t progress_after; /* number of results; 9 for never */
		uint32_t resets;
	} cases[] = {
		{ { PROBE_RESULT_UP }, 1, 9, 0 },
		{ { PROBE_RESULT_DOWN }, 1, 9, 3 },
		{ { PROBE_RESULT_DOWN }, 1, 0, 0 },
		/*
		 * A host above its connection limit resets connections that it
		 * has accepted, which the probe reports as full.
		 */
		{ { PROBE_RESULT_FULL, PROBE_RESULT_FULL, PROBE_RESULT_FULL },
		  3,
		  9,
		  0 },
		{ { PROBE_RESULT_TIMEOUT, PROBE_RESULT_FULL,
		    PROBE_RESULT_TIMEOUT },
		  3,
		  9,
		  0 },
		{ { PROBE_RESULT_FULL, PROBE_RESULT_DOWN }, 2, 9, 3 },
		{ { PROBE_RESULT_TIMEOUT }, 1, 9, 0 },
		{ { PROBE_RESULT_TIMEOUT, PROBE_RESULT_TIMEOUT }, 2, 9, 3 },
		{ { PROBE_RESULT_TIMEOUT, PROBE_RESULT_TIMEOUT }, 2, 1, 0 },
		{ { PROBE_RESULT_TIMEOUT, PROBE_RESULT_UP,
		    PROBE_RESULT_TIMEOUT },
		  3,
		  9,
		  0 },
	};
	struct known_host *host = fixture_host(&fixture, 1);

	probe_trigger(host);
	for (uint32_t i = 0; i < cases[_i].result_count; i++) {
		for (uint32_t ms = 0; ms < 1500; ms += 100) {
			fixture_advance(&fixture, 100);
			steering_tick(fixture.steering);
		}
		callers_retransmit(host);
		if (cases[_i].progress_after == i) {
			fixture_advance(&fixture, 1);
			packet_ack(&fixture, 1, host->token, 600, 1001);
		}
		steering_probe_end(fixture.steering, "i-01",
				   cases[_i].results[i]);
		fixture_answer_other_probes(&fixture, host);
	}
	ck_assert_uint_eq(fixture.reset_count, cases[_i].resets);
}
END_TEST

START_TEST(full_host_gets_no_new_flow) {
	struct known_host *host = fixture_host(&fixture, 1);

	probe_trigger(host);
	steering_tick(fixture.steering);
	steering_probe_end(fixture.steering, "i-01", PROBE_RESULT_FULL);
	for (uint16_t port = 50; port < 60; port++)
		ck_assert_ptr_ne(packet_syn(&fixture, port, 0).host, host);
	ck_assert(!health_is_silent(&host->health));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host probes");
	TCase *cases = tcase_create("probes");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_loop_test(cases, probe_timeouts_count_only_on_an_open_path, 0,
			    7);
	tcase_add_test(cases, idle_host_is_down_after_more_timeouts);
	tcase_add_loop_test(
		cases, flows_end_after_retransmissions_while_the_host_is_down,
		0, 5);
	tcase_add_loop_test(
		cases, reassigned_address_shows_that_the_host_has_ended, 0, 5);
	tcase_add_test(cases, silent_host_that_ends_is_found_by_probes);
	tcase_add_test(cases, full_host_gets_no_new_flow);
	tcase_add_loop_test(cases, probe_results_cause_expected_resets, 0, 10);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
