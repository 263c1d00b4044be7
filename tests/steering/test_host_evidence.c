/*
 * Guards against resets of open flows of hosts that serve, on what probes
 * showed long before, and against callers that wait for a host that has ended.
 */

#include <check.h>

#include "fixture.h"
#include "position.h"
#include "suite.h"

/* Port of a flow that was quiet while its host was cut off. */
#define QUIET_PORT 30
#define COPIES_MAX 6

static struct fixture fixture;

static void hosts_open(void)
{
	fixture_open_with_hosts(&fixture);
}

static void hosts_close(void)
{
	fixture_close(&fixture);
}

/* Why a host is not probed any more, or gets no flow that shows its recovery. */
enum change {
	CHANGE_NONE,
	CHANGE_DRAINS,
	CHANGE_ZONE_DRAINS,
	CHANGE_TOKEN_CONFLICT,
	CHANGE_DRAINED_AND_REMOVED,
};

static void host_drain(const struct known_host *host)
{
	struct host_announcement announcement = host->published;

	announcement.is_draining = true;
	announcement.position = position_at(fixture.revision++);
	fixture_put(&fixture, &announcement);
}

static void host_change(struct known_host *host, enum change change)
{
	switch (change) {
	case CHANGE_NONE:
		break;
	case CHANGE_DRAINS:
		host_drain(host);
		break;
	case CHANGE_ZONE_DRAINS:
		fixture_drain(&fixture, host->published.zone, true);
		break;
	case CHANGE_TOKEN_CONFLICT:
		host->has_token_conflict = true;
		break;
	case CHANGE_DRAINED_AND_REMOVED:
		host_drain(host);
		fixture_withdraw(&fixture, (uint32_t)host->published.target_id);
		break;
	}
}

/* The host is found to be down; then the cut ends. */
static struct known_host *host_cut_off(void)
{
	const struct fixture_others others = { .wait_ms = 20 };
	struct known_host *host = fixture_host(&fixture, 1);

	packet_data_retransmit(&fixture, 2, host->token, 2);
	fixture_cut_off(&fixture, host, &others);
	ck_assert_uint_eq(fixture.down_count, 1);
	return host;
}

static void probe_accept(const struct known_host *host)
{
	if (host->health.is_probing)
		steering_probe_end(fixture.steering, host->published.id,
				   PROBE_RESULT_UP);
}

/*
 * A caller of the host sends a request and copies of it, while another host
 * answers promptly; returns the number of copies after which the flow ended, 9
 * for none. The host accepts probes.
 */
static uint32_t quiet_flow_continue(const struct known_host *host)
{
	const struct known_host *other = fixture_host(&fixture, 2);

	packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	for (uint32_t copies = 1; copies <= COPIES_MAX; copies++) {
		fixture_exchange(&fixture, other, 50);
		fixture_advance(&fixture, 150);
		if (packet_data(&fixture, QUIET_PORT, host->token, 500, 1000)
			    .verdict == STEERING_RESET)
			return copies;
		probe_accept(host);
	}
	return 9;
}

/*
 * Guards against resets of flows that were quiet during a cut, when the host
 * needs more than 200 ms for the first response after it (review case 14).
 */
START_TEST(verdict_of_a_cut_ends_no_flow_later) {
	static const struct {
		enum change change;
		uint32_t age_ms; /* of the verdict */
		uint32_t copies; /* until the flow ends; 9: it does not */
	} cases[] = {
		{ CHANGE_NONE, 2100, 9 },
		{ CHANGE_NONE, 20000, 9 },
		{ CHANGE_DRAINS, 1000, 1 },
		{ CHANGE_DRAINS, 2100, 9 },
		{ CHANGE_DRAINS, 5000, 9 },
		{ CHANGE_ZONE_DRAINS, 2100, 9 },
		{ CHANGE_ZONE_DRAINS, 20000, 9 },
		{ CHANGE_TOKEN_CONFLICT, 2100, 9 },
		{ CHANGE_TOKEN_CONFLICT, 20000, 9 },
		/* Within the grace period of the removal. */
		{ CHANGE_DRAINED_AND_REMOVED, 500, 1 },
	};
	struct known_host *host = host_cut_off();

	host_change(host, cases[_i].change);
	fixture_advance(&fixture, cases[_i].age_ms);
	ck_assert_uint_eq(quiet_flow_continue(host), cases[_i].copies);
}
END_TEST

/* Passes time in ticks; probes of the host have this result after 250 ms. */
static void ticks_pass(const struct known_host *host, uint32_t ticks,
		       enum probe_result result)
{
	const struct known_host *other = fixture_host(&fixture, 2);

	for (uint32_t i = 0; i < ticks; i++) {
		fixture_exchange(&fixture, other, 50);
		fixture_advance(&fixture, 50);
		steering_tick(fixture.steering);
		if (host->health.is_probing &&
		    fixture.clock.now_ns - host->health.probed_ns >=
			    250 * NS_PER_MS)
			steering_probe_end(fixture.steering, host->published.id,
					   result);
	}
}

/*
 * Guards against callers that wait for a host that has ended, because what
 * probes showed before is too old: it is probed again for them.
 */
START_TEST(host_that_is_down_is_probed_for_callers) {
	static const struct {
		bool is_removed;
		bool is_draining;
		enum probe_result result;
		uint32_t resets;
	} cases[] = {
		{ false, false, PROBE_RESULT_DOWN, 1 },
		{ false, false, PROBE_RESULT_TIMEOUT, 1 },
		{ false, false, PROBE_RESULT_UP, 0 },
		{ true, false, PROBE_RESULT_DOWN, 1 },
		{ true, false, PROBE_RESULT_UP, 0 },
		/* It may have stopped listening, and serves its flows. */
		{ false, true, PROBE_RESULT_DOWN, 0 },
		{ true, true, PROBE_RESULT_DOWN, 0 },
	};
	struct known_host *host = host_cut_off();
	uint32_t resets = fixture.reset_count;

	ticks_pass(host, 50, PROBE_RESULT_TIMEOUT);
	if (cases[_i].is_draining)
		host_drain(host);
	if (cases[_i].is_removed)
		fixture_withdraw(&fixture, 1);
	packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	ticks_pass(host, 2, cases[_i].result);
	packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	ticks_pass(host, 4, cases[_i].result);
	packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	ticks_pass(host, 6, cases[_i].result);
	ck_assert_uint_eq(fixture.reset_count - resets, cases[_i].resets);
}
END_TEST

/*
 * Guards against resets because a single probe was lost, long after others
 * timed out during a cut, and because probes time out on a path that was open
 * only before.
 */
START_TEST(timeouts_count_only_with_recent_ones) {
	static const struct {
		uint32_t timeouts;
		bool is_path_open;
		uint32_t resets;
	} cases[] = {
		{ 1, true, 0 },
		{ 2, true, 1 },
		{ 2, false, 0 },
	};
	const struct fixture_others none = { .wait_ms = 0 };
	const struct fixture_others prompt = { .wait_ms = 20 };
	struct known_host *host = host_cut_off();
	uint32_t resets = fixture.reset_count;

	fixture_advance(&fixture, 3000);
	packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	fixture_advance(&fixture, 200);
	packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	ck_assert(host->health.is_probing);
	fixture_exchange(&fixture, fixture_host(&fixture, 2),
			 cases[_i].is_path_open ? 50 : 250);
	if (cases[_i].timeouts == 2) {
		fixture_advance(&fixture, 150);
		packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
		fixture_cut_off(&fixture, host,
				cases[_i].is_path_open ? &prompt : &none);
	} else {
		steering_probe_end(fixture.steering, host->published.id,
				   PROBE_RESULT_TIMEOUT);
		fixture_advance(&fixture, 400);
		packet_data(&fixture, QUIET_PORT, host->token, 500, 1000);
	}
	ck_assert_uint_eq(fixture.reset_count - resets, cases[_i].resets);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host evidence");
	TCase *cases = tcase_create("evidence");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_loop_test(cases, verdict_of_a_cut_ends_no_flow_later, 0, 10);
	tcase_add_loop_test(cases, host_that_is_down_is_probed_for_callers, 0,
			    7);
	tcase_add_loop_test(cases, timeouts_count_only_with_recent_ones, 0, 3);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
