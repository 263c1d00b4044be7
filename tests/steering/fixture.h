#ifndef PARSLEYLADDER_TESTS_STEERING_FIXTURE_H
#define PARSLEYLADDER_TESTS_STEERING_FIXTURE_H

/**
 * A steering core on a manual clock with a few hosts, and helpers that send it
 * packets. Records its callbacks.
 */

#include <stdint.h>

#include "steering/steering.h"

#define SERVICE_ADDRESS "198.51.100.1"
#define SERVICE_PORT 443
#define RESETS_MAX 64

struct recorded_reset {
	uint16_t caller_port;
	uint32_t sequence;
	enum steering_reason reason;
};

struct fixture {
	struct manual_clock clock;
	struct steering *steering;
	uint64_t revision; /* of the next publication */
	struct recorded_reset resets[RESETS_MAX];
	uint32_t reset_count;
	uint32_t lookup_count; /* lookups of tokens */
	uint32_t probe_count; /* probes started */
	uint32_t silence_count; /* times a host became silent */
	uint32_t down_count; /* times a host was found to be down */
	/* Accepted probes whose address was assigned to another host. */
	uint32_t reassignment_count;
	uint32_t drain_change_count; /* times a zone was drained or restored */
	uint32_t spillover_count; /* changes of a share that were reported */
	/* Members of the zone; 0: not known well enough yet. */
	uint32_t members;
	uint32_t rank; /* of this balancer, for each host */
	uint32_t limited_count; /* times a host got a slow-start limit */
	uint32_t limit_end_count; /* times it had it no longer */
	struct limited_host limited; /* the last one of either */
};

void fixture_open(struct fixture *fixture, const char *zone);
/** Like fixture_open(), but before the first listing is complete. */
void fixture_open_unsynced(struct fixture *fixture, const char *zone);
/** Zone "a" with hosts 1 and 2, host 3 in zone "b", and a route to them. */
void fixture_open_with_hosts(struct fixture *fixture);
void fixture_close(struct fixture *fixture);
void fixture_advance(struct fixture *fixture, uint32_t ms);
/** Publishes host i-0N of service "examen" with two slots. */
void fixture_publish(struct fixture *fixture, uint32_t number,
		     const char *zone);
/** The announcement that fixture_publish() publishes. */
struct host_announcement fixture_announcement(struct fixture *fixture,
					      uint32_t number,
					      const char *zone);
void fixture_put(struct fixture *fixture,
		 const struct host_announcement *announcement);
void fixture_withdraw(struct fixture *fixture, uint32_t number);
/** Publishes or withdraws a request to drain the zone. */
void fixture_drain(struct fixture *fixture, const char *zone, bool is_active);
/** Routes SERVICE_ADDRESS to "examen"; without @has_route, to nothing. */
bool fixture_route(struct fixture *fixture, uint64_t version, bool has_route);
/**
 * Routes SERVICE_ADDRESS to each of the services, which end with NULL: the
 * first one at SERVICE_PORT, the others at the ports after it.
 */
bool fixture_route_to(struct fixture *fixture, uint64_t version,
		      const char *const *services);
struct known_host *fixture_host(struct fixture *fixture, uint32_t number);
/** Ticks, and passes on the result of the probe of @host that this starts. */
void fixture_probe(struct fixture *fixture, const struct known_host *host,
		   enum probe_result result);
/** @other answers a request of another caller after @wait_ms. */
void fixture_exchange(struct fixture *fixture, const struct known_host *other,
		      uint32_t wait_ms);
/** Hosts 1 to 3 but @host accept the probes of them that are pending. */
void fixture_answer_other_probes(struct fixture *fixture,
				 const struct known_host *host);
/** What other hosts show while a host does not answer. */
struct fixture_others {
	uint32_t wait_ms; /* until requests are answered; 0: none are sent */
	bool is_answering_probes;
};
/** Two probes of @host time out. */
void fixture_cut_off(struct fixture *fixture, const struct known_host *host,
		     const struct fixture_others *others);

/** Packets of the caller at @port. */
struct steering_decision packet_syn(struct fixture *fixture, uint16_t port,
				    uint32_t copy);
/** Data with @sequence and @acknowledged, carrying @token. */
struct steering_decision packet_data(struct fixture *fixture, uint16_t port,
				     uint32_t token, uint32_t sequence,
				     uint32_t acknowledged);
/** Like packet_data(), with @payload_bytes of data. */
struct steering_decision packet_data_sized(struct fixture *fixture,
					   uint16_t port, uint32_t token,
					   uint32_t sequence,
					   uint32_t acknowledged,
					   uint16_t payload_bytes);
/** Sends one packet, and retransmits it @times times with backoff. */
struct steering_decision packet_data_retransmit(struct fixture *fixture,
						uint16_t port, uint32_t token,
						uint32_t times);
/** Acknowledges without data. */
struct steering_decision packet_ack(struct fixture *fixture, uint16_t port,
				    uint32_t token, uint32_t sequence,
				    uint32_t acknowledged);
/** Acknowledges and ends the flow. */
struct steering_decision packet_fin(struct fixture *fixture, uint16_t port,
				    uint32_t token, uint32_t sequence,
				    uint32_t acknowledged);
/** Opens and ends @count flows, one after the other. */
void fixture_measure_handshakes(struct fixture *fixture, uint16_t count,
				uint32_t handshake_ms);
/** Opens a flow with one answered request; returns its host. */
struct known_host *flow_open(struct fixture *fixture, uint16_t port);

#endif
