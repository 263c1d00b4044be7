/*
 * Guards against callers that give up too early, miss a broken flow, or accept
 * an answer that is not theirs.
 */

#include <check.h>
#include <stdlib.h>

#include "common/clock.h"
#include "packet/packet.h"
#include "standins/world/caller_flow.h"
#include "standins/world/ledger.h"
#include "suite.h"

struct sent {
	unsigned int syns;
	unsigned int fins;
	unsigned int requests;
	unsigned int retries;
	uint32_t last_number;
};

static void on_send(void *context, const struct caller_flow *flow,
		    const struct segment *segment, bool is_retry)
{
	struct sent *sent = context;

	(void)flow;
	sent->syns += (segment->tcp_flags & TCP_FLAG_SYN) != 0;
	sent->fins += (segment->tcp_flags & TCP_FLAG_FIN) != 0;
	sent->requests += segment->request_number != 0;
	sent->retries += is_retry;
	if (segment->request_number != 0)
		sent->last_number = segment->request_number;
}

static struct sent sent;
static const struct flow_output output = { on_send, &sent };
static struct caller_flow flow;

static void flow_setup(void)
{
	sent = (struct sent){ 0 };
	flow = (struct caller_flow){
		.id = FLOW_ID(0x0a000001, 1024),
		.address = { 0xc000020a, 443, PACKET_PROTOCOL_TCP },
		.shape = { .requests_per_s = 100, .request_count = 1 },
		.output = &output,
	};
	caller_flow_start(&flow, 0);
}

static void flow_run_until(int64_t from_ns, int64_t to_ns)
{
	for (int64_t now_ns = from_ns; now_ns <= to_ns;
	     now_ns += 10 * NS_PER_MS)
		caller_flow_tick(&flow, now_ns, true);
}

static void reply(enum reply_kind kind, int64_t now_ns)
{
	struct reply received = { .flow_id = flow.id, .kind = kind };

	caller_flow_receive(&flow, &received, now_ns);
}

static void answer(uint8_t index, uint64_t check_flip, int64_t now_ns)
{
	struct reply received = {
		.flow_id = flow.id,
		.kind = REPLY_ANSWER,
		.request_number = 1,
		.answer_index = index,
		.answer_count = 2,
		.check = segment_answer_check(flow.id, 1, index) ^ check_flip,
	};

	caller_flow_receive(&flow, &received, now_ns);
}

START_TEST(syn_is_repeated_after_1_3_and_7_s) {
	flow_run_until(0, 9 * NS_PER_S);
	ck_assert_uint_eq(sent.syns, 4);
	flow_run_until(9 * NS_PER_S, 11 * NS_PER_S);
	ck_assert_int_eq(flow.state, FLOW_ENDED);
	ck_assert_int_eq(flow.end, FLOW_END_NOT_OPENED);
}
END_TEST

START_TEST(answers_out_of_order_complete_the_request) {
	reply(REPLY_SYN_ACK, 0);
	flow_run_until(0, 10 * NS_PER_MS);
	ck_assert_uint_eq(sent.requests, 1);
	answer(1, 0, 20 * NS_PER_MS);
	ck_assert_uint_eq(caller_flow_incomplete(&flow), 1);
	answer(0, 0, 21 * NS_PER_MS);
	ck_assert_uint_eq(flow.answers_received, 1);
	flow_run_until(30 * NS_PER_MS, 40 * NS_PER_MS);
	ck_assert_uint_eq(sent.fins, 1);
	reply(REPLY_FIN_ACK, 50 * NS_PER_MS);
	ck_assert_int_eq(flow.end, FLOW_END_NORMAL);
}
END_TEST

START_TEST(foreign_answer_does_not_count) {
	reply(REPLY_SYN_ACK, 0);
	flow_run_until(0, 10 * NS_PER_MS);
	answer(0, 1, 20 * NS_PER_MS);
	answer(1, 0, 20 * NS_PER_MS);
	ck_assert_uint_eq(flow.answers_wrong, 1);
	ck_assert_uint_eq(flow.answers_received, 0);
}
END_TEST

START_TEST(unanswered_request_is_repeated_and_then_fails) {
	reply(REPLY_SYN_ACK, 0);
	flow_run_until(0, 9 * NS_PER_S);
	ck_assert_uint_ge(sent.retries, 4);
	ck_assert_uint_eq(sent.last_number, 1);
	ck_assert_int_eq(flow.state, FLOW_OPEN);
	flow_run_until(9 * NS_PER_S, 11 * NS_PER_S);
	ck_assert_int_eq(flow.end, FLOW_END_UNANSWERED);
}
END_TEST

START_TEST(waiting_stands_still_while_the_path_is_down) {
	reply(REPLY_SYN_ACK, 0);
	flow_run_until(0, NS_PER_S);
	for (int64_t s = 1; s < 60; s++)
		caller_flow_tick(&flow, s * NS_PER_S, false);
	ck_assert_int_eq(flow.state, FLOW_OPEN);
}
END_TEST

static const struct {
	bool is_open;
	enum reply_kind kind;
	enum flow_end end;
} resets[] = {
	{ false, REPLY_REFUSAL, FLOW_END_REFUSED },
	{ false, REPLY_RESET, FLOW_END_NOT_OPENED },
	{ true, REPLY_REFUSAL, FLOW_END_RESET },
	{ true, REPLY_RESET, FLOW_END_RESET },
};

START_TEST(reset_ends_the_flow_by_its_state) {
	if (resets[_i].is_open)
		reply(REPLY_SYN_ACK, 0);
	reply(resets[_i].kind, NS_PER_S);
	ck_assert_int_eq(flow.state, FLOW_ENDED);
	ck_assert_int_eq(flow.end, resets[_i].end);
}
END_TEST

START_TEST(packet_round_trip) {
	struct segment segment = {
		.flow_id = flow.id,
		.service = flow.address,
		.tcp_flags = TCP_FLAG_ACK,
		.request_number = 9,
		.payload_bytes = 200,
	};
	struct connection_packet packet;
	uint8_t buffer[SEGMENT_BYTES];
	size_t length = segment_build(&segment, buffer);

	ck_assert_uint_eq(length, 20 + 20 + 200);
	ck_assert(segment_read(buffer, length, &packet));
	ck_assert_uint_eq(packet.flow_id, flow.id);
	ck_assert_uint_eq(packet.request_number, 9);
	ck_assert(!segment_read(buffer, 19, &packet));
}
END_TEST

START_TEST(product_refusal_is_accepted) {
	struct segment segment = { .flow_id = flow.id,
				   .service = flow.address,
				   .tcp_flags = TCP_FLAG_SYN };
	uint8_t refusal[PACKET_REFUSAL_BYTES];
	uint8_t buffer[SEGMENT_BYTES];
	size_t length = segment_build(&segment, buffer);
	struct packet_facts facts;
	struct reply received;

	ck_assert_int_eq(packet_parse(buffer, length, &facts), PACKET_OK);
	length = packet_build_refusal(buffer, length, &facts, refusal);
	ck_assert(segment_read_refusal(refusal, length, &received));
	ck_assert_uint_eq(received.flow_id, flow.id);
	refusal[20 + 8] ^= 1; /* acknowledges a number that was not sent */
	ck_assert(!segment_read_refusal(refusal, length, &received));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("caller flow");
	TCase *tests = tcase_create("flow");

	tcase_add_checked_fixture(tests, flow_setup, NULL);
	tcase_add_test(tests, syn_is_repeated_after_1_3_and_7_s);
	tcase_add_test(tests, answers_out_of_order_complete_the_request);
	tcase_add_test(tests, foreign_answer_does_not_count);
	tcase_add_test(tests, unanswered_request_is_repeated_and_then_fails);
	tcase_add_test(tests, waiting_stands_still_while_the_path_is_down);
	tcase_add_loop_test(tests, reset_ends_the_flow_by_its_state, 0,
			    sizeof(resets) / sizeof(resets[0]));
	tcase_add_test(tests, packet_round_trip);
	tcase_add_test(tests, product_refusal_is_accepted);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
