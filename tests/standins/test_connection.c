/*
 * Guards against fake backend servers that behave unlike a kernel, which would
 * hide or invent broken flows and duplicated requests.
 */

#include <check.h>
#include <stdlib.h>

#include "common/clock.h"
#include "packet/packet.h"
#include "standins/world/connection.h"
#include "suite.h"

#define FLOW 77
#define TCP PACKET_PROTOCOL_TCP
#define UDP PACKET_PROTOCOL_UDP
#define SYN TCP_FLAG_SYN
#define ACK TCP_FLAG_ACK
#define FIN (TCP_FLAG_FIN | TCP_FLAG_ACK)
#define RST TCP_FLAG_RST

struct step {
	struct connection_packet packet;
	struct connection_result expected;
	uint32_t open_count; /* after the step */
};

#define STEPS_MAX 8

static const struct {
	const char *name;
	struct step steps[STEPS_MAX];
	size_t step_count;
} cases[] = {
	{ "a packet of an unknown connection is reset",
	  { { { FLOW, TCP, ACK, 1, false },
	      { CONNECTION_REPLY_RESET, false, false },
	      0 } },
	  1 },
	{ "a duplicate SYN belongs to the same connection",
	  { { { FLOW, TCP, SYN, 0, false },
	      { CONNECTION_REPLY_SYN_ACK, true, false },
	      1 },
	    { { FLOW, TCP, SYN, 0, false },
	      { CONNECTION_REPLY_SYN_ACK, false, false },
	      1 } },
	  2 },
	{ "a repeated request is answered but not run again",
	  { { { FLOW, TCP, SYN, 0, false },
	      { CONNECTION_REPLY_SYN_ACK, true, false },
	      1 },
	    { { FLOW, TCP, ACK, 1, false },
	      { CONNECTION_REPLY_ANSWERS, false, true },
	      1 },
	    { { FLOW, TCP, ACK, 1, false },
	      { CONNECTION_REPLY_ANSWERS, false, false },
	      1 } },
	  3 },
	{ "requests that arrive out of order are each run once",
	  { { { FLOW, TCP, SYN, 0, false },
	      { CONNECTION_REPLY_SYN_ACK, true, false },
	      1 },
	    { { FLOW, TCP, ACK, 3, false },
	      { CONNECTION_REPLY_ANSWERS, false, true },
	      1 },
	    { { FLOW, TCP, ACK, 1, false },
	      { CONNECTION_REPLY_ANSWERS, false, true },
	      1 },
	    { { FLOW, TCP, ACK, 2, false },
	      { CONNECTION_REPLY_ANSWERS, false, true },
	      1 },
	    { { FLOW, TCP, ACK, 3, false },
	      { CONNECTION_REPLY_ANSWERS, false, false },
	      1 },
	    { { FLOW, TCP, ACK, 2, false },
	      { CONNECTION_REPLY_ANSWERS, false, false },
	      1 } },
	  6 },
	{ "a repeated FIN is answered like the first",
	  { { { FLOW, TCP, SYN, 0, false },
	      { CONNECTION_REPLY_SYN_ACK, true, false },
	      1 },
	    { { FLOW, TCP, FIN, 0, false },
	      { CONNECTION_REPLY_FIN_ACK, false, false },
	      0 },
	    { { FLOW, TCP, FIN, 0, false },
	      { CONNECTION_REPLY_FIN_ACK, false, false },
	      0 } },
	  3 },
	{ "a RST closes without a reply",
	  { { { FLOW, TCP, SYN, 0, false },
	      { CONNECTION_REPLY_SYN_ACK, true, false },
	      1 },
	    { { FLOW, TCP, RST, 0, false },
	      { CONNECTION_REPLY_NONE, false, false },
	      0 } },
	  2 },
	{ "a RST to an unknown connection is not answered",
	  { { { FLOW, TCP, RST, 0, false },
	      { CONNECTION_REPLY_NONE, false, false },
	      0 } },
	  1 },
	{ "UDP opens with any packet and ends with its last request",
	  { { { FLOW, UDP, 0, 1, false },
	      { CONNECTION_REPLY_ANSWERS, true, true },
	      1 },
	    { { FLOW, UDP, 0, 1, false },
	      { CONNECTION_REPLY_ANSWERS, false, false },
	      1 },
	    { { FLOW, UDP, 0, 2, true },
	      { CONNECTION_REPLY_ANSWERS, false, true },
	      0 } },
	  3 },
};

START_TEST(steps_give_expected_replies) {
	struct connection_table *table = connection_table_create();

	for (size_t i = 0; i < cases[_i].step_count; i++) {
		const struct step *step = &cases[_i].steps[i];
		struct connection_result result =
			connection_receive(table, &step->packet, NS_PER_S);

		ck_assert_msg(result.reply == step->expected.reply &&
				      result.is_new == step->expected.is_new &&
				      result.is_first_run ==
					      step->expected.is_first_run &&
				      connection_open_count(table) ==
					      step->open_count,
			      "%s: step %zu: reply %d new %d run %d open %u",
			      cases[_i].name, i, result.reply, result.is_new,
			      result.is_first_run,
			      connection_open_count(table));
	}
	connection_table_destroy(table);
}
END_TEST

START_TEST(closed_connection_is_forgotten_later) {
	struct connection_table *table = connection_table_create();
	struct connection_packet syn = { FLOW, TCP, SYN, 0, false };
	struct connection_packet fin = { FLOW, TCP, FIN, 0, false };

	connection_receive(table, &syn, NS_PER_S);
	connection_receive(table, &fin, 2 * NS_PER_S);
	connection_expire(table, 12 * NS_PER_S);
	ck_assert_int_eq(connection_receive(table, &fin, 12 * NS_PER_S).reply,
			 CONNECTION_REPLY_FIN_ACK);
	connection_expire(table, 60 * NS_PER_S);
	ck_assert_int_eq(connection_receive(table, &fin, 60 * NS_PER_S).reply,
			 CONNECTION_REPLY_RESET);
	connection_table_destroy(table);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("connection");
	TCase *tests = tcase_create("steps");

	tcase_add_loop_test(tests, steps_give_expected_replies, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tests, closed_connection_is_forgotten_later);
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
