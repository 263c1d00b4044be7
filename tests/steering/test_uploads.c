/*
 * Guards against resets of uploads whose host serves. While a caller uploads,
 * its packets acknowledge nothing, links reorder them, and each reordering
 * causes a fast retransmission within a round trip.
 */

#include <check.h>

#include "fixture.h"
#include "packet/transport.h"
#include "suite.h"

#define UPLOAD_PORT 1
#define UPLOAD_ACKNOWLEDGED 999
#define PACKET_BYTES TRANSPORT_PAYLOAD_BYTES_MAX
#define WINDOW_PACKETS TRANSPORT_WINDOW_PACKETS

static struct fixture fixture;

static void hosts_open(void)
{
	fixture_open_with_hosts(&fixture);
}

static void hosts_close(void)
{
	fixture_close(&fixture);
}

static struct steering_decision upload_send(const struct known_host *host,
					    uint32_t number)
{
	return packet_data_sized(&fixture, UPLOAD_PORT, host->token,
				 1000 + number * PACKET_BYTES,
				 UPLOAD_ACKNOWLEDGED, PACKET_BYTES);
}

/* One window of packets, of which the first one arrives last. */
static void window_send_reordered(const struct known_host *host, uint32_t first)
{
	for (uint32_t i = 1; i < WINDOW_PACKETS; i++)
		upload_send(host, first + i);
	upload_send(host, first);
}

/*
 * An upload over a slow link takes longer than the silence of a host, and its
 * host serves no other flow of this balancer.
 */
START_TEST(fast_retransmissions_are_no_silence) {
	struct known_host *host = packet_syn(&fixture, UPLOAD_PORT, 0).host;

	for (uint32_t round = 0; round < 20; round++) {
		window_send_reordered(host, round * WINDOW_PACKETS);
		fixture_advance(&fixture, 10);
		upload_send(host, round * WINDOW_PACKETS);
		fixture_advance(&fixture, 90);
		steering_tick(fixture.steering);
	}
	ck_assert(!health_is_silent(&host->health));
	ck_assert_uint_eq(fixture.reset_count, 0);
	ck_assert_uint_eq(fixture.probe_count, 0);
}
END_TEST

/*
 * Packets beyond a window are sent only once the host has acknowledged the
 * packets before them, so it is alive even if some packets are lost.
 */
START_TEST(upload_beyond_a_window_is_progress) {
	struct known_host *host = packet_syn(&fixture, UPLOAD_PORT, 0).host;
	uint32_t next = 0;

	for (uint32_t round = 0; round < 8; round++) {
		for (uint32_t i = 0; i < WINDOW_PACKETS; i++)
			upload_send(host, next++);
		fixture_advance(&fixture, 200);
		upload_send(host, next - 1);
	}
	ck_assert(!health_is_silent(&host->health));
	ck_assert_uint_eq(fixture.reset_count, 0);
}
END_TEST

/*
 * A host that accepts the flow and then ignores its packets: the upload ends
 * once probes show that the host is down.
 */
START_TEST(stalled_upload_is_reset) {
	static const struct {
		enum probe_result result;
		uint32_t resets;
	} cases[] = {
		{ PROBE_RESULT_DOWN, 1 },
		{ PROBE_RESULT_UP, 0 },
	};
	struct known_host *host = packet_syn(&fixture, UPLOAD_PORT, 0).host;

	for (uint32_t i = 0; i < WINDOW_PACKETS; i++)
		upload_send(host, i);
	for (uint32_t copy = 0; copy < 4; copy++) {
		fixture_advance(&fixture, 200u << copy);
		upload_send(host, 0);
	}
	ck_assert(health_is_silent(&host->health));
	fixture_probe(&fixture, host, cases[_i].result);
	ck_assert_uint_eq(fixture.reset_count, cases[_i].resets);
	if (cases[_i].resets > 0)
		ck_assert_int_eq(fixture.resets[0].reason,
				 STEERING_HOST_SILENT);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("uploads");
	TCase *cases = tcase_create("uploads");

	tcase_add_checked_fixture(cases, hosts_open, hosts_close);
	tcase_add_test(cases, fast_retransmissions_are_no_silence);
	tcase_add_test(cases, upload_beyond_a_window_is_progress);
	tcase_add_loop_test(cases, stalled_upload_is_reset, 0, 2);
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
