/*
 * Guards against hosts that are avoided and probed only because their callers
 * are far away, and against hosts that no longer accept flows and are noticed
 * late because callers are near.
 */

#include <check.h>

#include "fixture.h"
#include "steering/rtt_estimate.h"
#include "suite.h"

#define MEASURED_FLOWS 40

static struct fixture fixture;

static void hosts_open(void)
{
	fixture_open_with_hosts(&fixture);
}

static void hosts_close(void)
{
	fixture_close(&fixture);
}

static const struct {
	uint32_t handshake_ms; /* of earlier flows; 0 for no earlier flows */
	uint32_t quiet_ms; /* not overdue after this time */
	uint32_t overdue_ms;
} cases[] = {
	{ 0, 190, 210 }, /* nothing measured: until the first copy */
	{ 1, 15, 25 },	  { 5, 15, 25 },    { 30, 55, 65 },
	{ 60, 115, 130 }, { 90, 175, 190 }, { 150, 190, 210 },
};

START_TEST(overdue_depends_on_measured_handshakes) {
	struct known_host *host;

	if (cases[_i].handshake_ms > 0)
		fixture_measure_handshakes(&fixture, MEASURED_FLOWS,
					   cases[_i].handshake_ms);
	host = packet_syn(&fixture, 1, 0).host;
	fixture_advance(&fixture, cases[_i].quiet_ms);
	packet_syn(&fixture, 2, 0);
	ck_assert_uint_eq(fixture.probe_count, 0);
	ck_assert(!health_is_suspect(&host->health));
	fixture_advance(&fixture, cases[_i].overdue_ms - cases[_i].quiet_ms);
	packet_syn(&fixture, 3, 0);
	ck_assert_uint_ge(fixture.probe_count, 1);
	ck_assert(health_is_suspect(&host->health));
}
END_TEST

/* Callers of an outage are accepted late, with a copy of their first packet. */
START_TEST(copies_are_not_measured) {
	fixture_measure_handshakes(&fixture, MEASURED_FLOWS, 5);
	for (uint16_t port = 500; port < 520; port++) {
		struct known_host *host;

		packet_syn(&fixture, port, 0);
		fixture_advance(&fixture, 200);
		/* Apart in time, or the host would count as silent. */
		host = packet_syn(&fixture, port, 1).host;
		fixture_advance(&fixture, 1000);
		packet_data(&fixture, port, host->token, port + 1, 999);
		packet_ack(&fixture, port, host->token, port + 101, 1000);
	}
	for (uint32_t number = 1; number <= 3; number++)
		steering_probe_end(fixture.steering,
				   fixture_host(&fixture, number)->published.id,
				   PROBE_RESULT_UP);
	fixture.probe_count = 0;
	fixture_advance(&fixture, 2000);
	packet_syn(&fixture, 1, 0);
	fixture_advance(&fixture, 25);
	packet_syn(&fixture, 2, 0);
	ck_assert_uint_eq(fixture.probe_count, 1);
}
END_TEST

/* Links whose delay varies by as much as its mean. */
START_TEST(varying_delay_raises_the_limit) {
	struct rtt_estimate estimate = { 0 };
	GRand *random = g_rand_new_with_seed(7);
	uint32_t above = 0;

	for (uint32_t i = 0; i < 10000; i++) {
		int64_t sample_ns =
			(int64_t)(g_rand_double_range(random, 0, 60) *
				  NS_PER_MS);

		above += i >= 100 &&
			 sample_ns > rtt_estimate_limit_ns(&estimate);
		rtt_estimate_add(&estimate, sample_ns);
	}
	g_rand_free(random);
	ck_assert_uint_le(above, 100);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("handshakes");
	TCase *tests = tcase_create("handshakes");

	tcase_add_checked_fixture(tests, hosts_open, hosts_close);
	tcase_add_loop_test(tests, overdue_depends_on_measured_handshakes, 0,
			    G_N_ELEMENTS(cases));
	tcase_add_test(tests, copies_are_not_measured);
	tcase_add_test(tests, varying_delay_raises_the_limit);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
