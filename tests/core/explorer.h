#ifndef PARSLEYLADDER_TESTS_CORE_EXPLORER_H
#define PARSLEYLADDER_TESTS_CORE_EXPLORER_H

/**
 * Random runs of a cluster under traffic, host changes and faults. Invariants
 * are checked at each decision.
 */

#include <stdbool.h>
#include <stdint.h>

enum violation {
	VIOLATION_MOVED, /* a packet of an open flow reached another server */
	VIOLATION_SYN_MOVED, /* a repeated SYN reached another server */
	VIOLATION_FOREIGN, /* a packet reached a host of another service */
	VIOLATION_DRAINING, /* a draining host got a flow after the bound */
	VIOLATION_REFUSED, /* a flow was refused although it was forwarded */
	VIOLATION_UNREACHABLE, /* an open flow has no path when all is calm */
	VIOLATION_UNSETTLED, /* ownership or maps do not converge */
	VIOLATIONS,
};

enum explorer_event {
	EXPLORE_KILL = 0x01,
	EXPLORE_PAUSE = 0x02,
	EXPLORE_PARTITION = 0x04,
	EXPLORE_LEAVE = 0x08,
	EXPLORE_DRAIN = 0x10,
	EXPLORE_ADD = 0x20,
	EXPLORE_SILENCE = 0x40,
	EXPLORE_CALM = EXPLORE_LEAVE | EXPLORE_DRAIN | EXPLORE_ADD |
		       EXPLORE_SILENCE,
	EXPLORE_ALL = 0x7f,
};

struct explorer_options {
	uint64_t seed;
	unsigned int rules; /* enum core_rule */
	unsigned int events; /* enum explorer_event */
	int seconds;
	uint32_t loss_permille;
	bool is_verbose;
	uint32_t trace_flow; /* printed if verbose */
};

struct explorer_result {
	uint64_t violations[VIOLATIONS];
	uint64_t violation_count;
	uint64_t flows;
	uint64_t forwarded;
	uint64_t drops[16]; /* by enum core_reason */
	uint64_t refused;
	uint64_t passes;
	uint64_t placed; /* new flows placed off base */
	uint64_t faults;
	char first[256]; /* the first violation */
};

const char *violation_name(enum violation violation);
void explorer_run(const struct explorer_options *options,
		  struct explorer_result *result);

#endif
