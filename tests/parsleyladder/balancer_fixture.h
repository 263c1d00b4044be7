#ifndef PARSLEYLADDER_TESTS_BALANCER_FIXTURE_H
#define PARSLEYLADDER_TESTS_BALANCER_FIXTURE_H

/**
 * A balancer in the test process, on a loopback address that no other test
 * uses, without a store and without other members.
 */

#include <arpa/inet.h>

#include "balancer_private.h"

/** The fixture's clock advances by this with each reading. */
#define CLOCK_STEP_NS 3000
#define ADMIN_PORT 7004

struct balancer_fixture {
	struct clock clock;
	int64_t now_ns;
	struct balancer *balancer;
	char *settings_path;
};

void balancer_fixture_open(struct balancer_fixture *fixture);
void balancer_fixture_close(struct balancer_fixture *fixture);
/** The address that the balancer listens on. */
struct in_addr balancer_fixture_address(void);
/** Sends the balancer an opening packet. */
void balancer_fixture_send_packet(void);
/** Value of a line "name value" of the counters; -1 if there is none. */
int64_t balancer_fixture_counter(const struct balancer_fixture *fixture,
				 const char *name);

#endif
