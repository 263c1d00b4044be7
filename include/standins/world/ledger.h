#ifndef PARSLEYLADDER_STANDINS_WORLD_LEDGER_H
#define PARSLEYLADDER_STANDINS_WORLD_LEDGER_H

/**
 * What happened to each flow, seen from outside: which service it was opened
 * to, which hosts saw its packets, and which host ran which request. Violated
 * guarantees are counted here.
 */

#include <stdbool.h>
#include <stdint.h>

/** Identity of a flow: caller address << 16 | caller port, unique in a run. */
#define FLOW_ID(address, port) ((uint64_t)(address) << 16 | (port))

struct ledger_counters {
	uint64_t packets_misdelivered; /* reached a host of another service */
	uint64_t requests_run;
	uint64_t requests_duplicated; /* run a second time, on any host */
	uint64_t flows_two_servers; /* packets seen by two hosts */
	uint64_t refused_but_run; /* refused flows that ran a request */
};

struct ledger;

struct ledger *ledger_create(void);
void ledger_destroy(struct ledger *ledger);
void ledger_open_flow(struct ledger *ledger, uint64_t flow_id,
		      uint32_t service);
/** A packet of the flow arrived at @host of @service. */
void ledger_see_packet(struct ledger *ledger, uint64_t flow_id,
		       uint32_t service, uint32_t host);
/** Request @number (from 1) of the flow was run by @host. */
void ledger_run_request(struct ledger *ledger, uint64_t flow_id,
			uint32_t number, uint32_t host);
/** A balancer refused the flow before it was established. */
void ledger_refuse_flow(struct ledger *ledger, uint64_t flow_id);
/** First host that saw the flow; false if none did. */
bool ledger_flow_host(const struct ledger *ledger, uint64_t flow_id,
		      uint32_t *host);
const struct ledger_counters *ledger_counters(const struct ledger *ledger);

#endif
