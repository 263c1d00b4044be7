#ifndef PARSLEYLADDER_TESTS_CORE_FIXTURE_H
#define PARSLEYLADDER_TESTS_CORE_FIXTURE_H

/**
 * Revisions built by hand and packet facts, for tests and benchmarks of core.
 */

#include "configuration/configuration.h"
#include "packet/packet.h"

#define FIXTURE_SERVICES_MAX 8
#define FIXTURE_HOSTS_MAX 64

struct fixture_host {
	int number; /* gives name and address */
	enum host_state state;
};

struct fixture_service {
	struct profile profile;
	const char *name;
	const char *team;
	uint8_t address; /* last byte of the service address */
	uint8_t protocol;
	struct fixture_host hosts[FIXTURE_HOSTS_MAX];
	int host_count;
};

struct fixture {
	struct fixture_service services[FIXTURE_SERVICES_MAX];
	int service_count;
	uint64_t revision;
};

/** Adds a service with @host_count serving hosts, numbered from 0. */
struct fixture_service *fixture_add_service(struct fixture *fixture,
					    const char *name,
					    enum spread_policy spread,
					    int host_count);
/** Host with @number, or NULL. */
struct fixture_host *fixture_host(struct fixture_service *service, int number);
void fixture_remove_host(struct fixture_service *service, int number);
/** Builds the next revision; free it with fixture_destroy_revision(). */
struct configuration *fixture_build(struct fixture *fixture);
void fixture_destroy_revision(struct configuration *configuration);
/** TCP or UDP packet of caller @flow to @service. */
struct packet_facts fixture_packet(const struct fixture_service *service,
				   uint32_t flow, uint8_t tcp_flags);

#endif
