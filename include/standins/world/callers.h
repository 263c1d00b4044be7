#ifndef PARSLEYLADDER_STANDINS_WORLD_CALLERS_H
#define PARSLEYLADDER_STANDINS_WORLD_CALLERS_H

/**
 * All callers: opens flows as told, drives them, and counts how they end.
 */

#include "common/clock.h"
#include "standins/world/caller_flow.h"
#include "standins/world/ledger.h"
#include "standins/world/network.h"

struct callers_counters {
	uint64_t flows_started;
	uint64_t flows_opened; /* established */
	uint64_t flows_ended; /* as the caller wanted */
	uint64_t flows_end_unconfirmed; /* of these, without answer to FIN */
	uint64_t flows_refused;
	uint64_t flows_not_opened;
	uint64_t flows_broken; /* reset or unanswered after being open */
	uint64_t flows_broken_young; /* of these, younger than 2 s */
	uint64_t flows_reset;
	uint64_t flows_unanswered;
	uint64_t requests_sent;
	uint64_t retransmissions;
	uint64_t answers_received; /* complete ones */
	uint64_t answers_incomplete;
	uint64_t answers_wrong;
};

struct callers_gauges {
	uint32_t open;
	uint32_t connecting;
	uint32_t closing;
	uint32_t requests_pending;
};

struct callers_options {
	const struct clock *clock;
	struct network *network;
	struct ledger *ledger;
	struct catalogue *catalogue;
	/** Sends one packet of a caller in @zone into the fabric. */
	void (*send)(void *context, GQuark zone, const uint8_t *data,
		     size_t length);
	void *context;
};

/** Flows to open: @count of them, or without end if it is 0. */
struct callers_plan {
	uint32_t service; /* index in the catalogue */
	uint8_t protocol; /* enum packet_protocol */
	uint32_t count;
	double flows_per_s; /* 0 opens all at once */
	struct flow_shape shape;
};

struct callers;

struct callers *callers_create(const struct callers_options *options);
void callers_destroy(struct callers *callers);
/** Returns false if the service has no address for the protocol. */
bool callers_open(struct callers *callers, const struct callers_plan *plan);
/** Opens no further flows of a service. */
void callers_stop_opening(struct callers *callers, uint32_t service);
/** Each open flow of @service sends @count requests besides its rate. */
void callers_send(struct callers *callers, uint32_t service, uint32_t count);
/**
 * Closes flows of @service once their requests are answered; only those on
 * @host unless that is NULL. With @reopens each is followed by a new flow.
 */
uint32_t callers_close(struct callers *callers, uint32_t service,
		       const struct catalogue_host *host, bool reopens);
void callers_receive(struct callers *callers, const struct reply *reply);
/** Zone of the caller of a flow; 0 if the flow has ended. */
GQuark callers_flow_zone(const struct callers *callers, uint64_t flow_id);
/** Sends what is due; called every few milliseconds. */
void callers_tick(struct callers *callers);
const struct callers_counters *callers_counters(const struct callers *callers);
struct callers_gauges callers_gauges(const struct callers *callers);

#endif
