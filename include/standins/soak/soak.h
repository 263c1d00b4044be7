#ifndef PARSLEYLADDER_STANDINS_SOAK_SOAK_H
#define PARSLEYLADDER_STANDINS_SOAK_SOAK_H

/**
 * Fault injection soak test: real balancer processes with a simulated store,
 * simulated hosts and callers, and external faults drawn from a seed. Checks
 * the balancer's guarantees by what callers and hosts observe.
 */

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "standins/soak/process.h"
#include "standins/soak/soak_store.h"
#include "standins/soak/wire.h"

#define SOAK_BALANCERS_MAX 64
#define SOAK_HOSTS_MAX 128
#define SOAK_SERVICES 2
#define SOAK_ZONES 3

/* Time bounds within which the guarantees must hold in a deployment. */
/** A balancer or host counts as disturbed for this long after a fault. */
#define SOAK_DISTURBANCE_NS (4 * NS_PER_S)
/**
 * A longer gap between two ticks of the soak counts as a disturbance. Half of
 * the time after which a host counts as silent.
 */
#define SOAK_STALL_NS (300 * NS_PER_MS)
/** From draining a host until no new flow may reach it. */
#define SOAK_DRAIN_BOUND_NS (3 * NS_PER_S)
/** From a change of the routes until all balancers must apply it. */
#define SOAK_ROUTES_BOUND_NS (3 * NS_PER_S)
/** From draining a zone until no opening packet may reach its hosts. */
#define SOAK_ZONE_DRAIN_BOUND_NS (5 * NS_PER_S)

/* Slow start in the scenario cold-hosts; bounds as in a deployment. */
#define SOAK_COLD_START_S 10
/** Opening packets that a cold host can take in a second. */
#define SOAK_COLD_PER_S 1.0
#define SOAK_COLD_OVERAGE 1.5
#define SOAK_COLD_SLACK 5
/** The opening packets of any second stay below this. */
#define SOAK_COLD_BOUND (SOAK_COLD_PER_S * SOAK_COLD_OVERAGE + SOAK_COLD_SLACK)
/** Last opening packets kept for each host, more than SOAK_COLD_BOUND. */
#define SOAK_OPENINGS 16

enum soak_check {
	CHECK_FLOW_RESET, /* a healthy flow was reset by a balancer */
	CHECK_FLOW_MOVED, /* a response from, or a packet to, another host */
	CHECK_FOREIGN_SERVICE, /* a new flow at a host of another service */
	CHECK_REPEATED, /* an unsafe request was executed twice */
	CHECK_DRAIN, /* a new flow after SOAK_DRAIN_BOUND_NS of draining */
	CHECK_ZONE_DRAIN, /* an opening packet in a drained zone */
	CHECK_SLOW_START, /* too many opening packets at a cold host */
	CHECK_ROUTE_LATE, /* a published route refused, or a removed one used */
	CHECK_PROCESS_ENDED, /* a balancer exited unexpectedly */
	CHECK_RESOURCES, /* too much memory or too many descriptors */
	CHECK_RECOVERY, /* too few requests are served after the faults */
	SOAK_CHECKS,
};

struct soak_balancer {
	struct soak *soak;
	uint32_t index;
	uint32_t address;
	uint32_t zone;
	struct process *process;
	char *settings_path;
	char *log_path;
	bool should_run;
	bool is_frozen;
	bool is_ready; /* according to the fabric's readiness probes */
	bool is_partitioned; /* its packets to hosts are dropped */
	int64_t disturbed_ns; /* time of the last disturbance */
	uint32_t failed_probes;
};

struct soak_host {
	struct soak *soak;
	uint32_t index;
	uint32_t address;
	uint32_t zone;
	uint32_t service;
	uint64_t id; /* in the store: "i-" and hex digits */
	uint64_t started_ms;
	GSocket *socket; /* NULL while the host is down */
	GSocketService *listener;
	guint source;
	GHashTable *flows; /* key text to struct host_flow */
	bool is_draining;
	int64_t drained_ns; /* when draining was stored */
	int64_t cold_until_ns; /* 0 if it started without slow start */
	/* Wall clock times of the last opening packets while it is cold. */
	int64_t openings_ns[SOAK_OPENINGS];
	uint32_t opening_count;
	int64_t disturbed_ns;
};

struct soak_zone {
	uint32_t drains; /* faults that drain the zone now */
	int64_t drained_ns; /* when the request was stored, 0 if withdrawn */
	int64_t restored_ns; /* when it was last withdrawn */
};

struct soak_caller;

struct soak {
	uint32_t seed;
	uint32_t subnet; /* second octet of all addresses in this run */
	GRand *random;
	/* Separate from random, so that existing seeds draw the same faults. */
	GRand *refusal_random;
	GRand *zone_random;
	GRand *restore_random;
	const struct clock *clock;
	int64_t started_ns;
	char *directory;
	const char *binary;
	uint16_t packet_port;
	uint16_t readiness_port;
	uint16_t control_port;
	uint16_t admin_port;
	uint16_t sharing_port;
	uint16_t store_port;
	uint16_t host_port;
	struct soak_store *store;
	struct soak_balancer balancers[SOAK_BALANCERS_MAX];
	uint32_t balancer_count;
	struct soak_host hosts[SOAK_HOSTS_MAX];
	uint32_t host_count;
	struct soak_zone zones[SOAK_ZONES];
	uint32_t next_zone_drain; /* selects the next zone to be drained */
	GPtrArray *callers;
	/* Texts of the unsafe requests that hosts executed. */
	GHashTable *executed_requests;
	/* Hosts that start are cold, and flows have one request each. */
	bool has_cold_hosts;
	uint64_t routes_version;
	char *routes_text; /* as last published */
	bool has_extra_route;
	uint32_t idle_routes; /* published besides, without traffic */
	int64_t routes_changed_ns;
	/*
	 * When the store was last away or restored. Unlike other faults of the
	 * store, this excuses late changes only, not resets of open flows.
	 */
	int64_t store_restored_ns;
	int64_t last_tick_ns; /* when the loop last ran */
	uint64_t next_host_id;
	uint64_t next_request;
	uint64_t requests;
	uint64_t served;
	uint64_t recovery_requests; /* since the faults ended */
	uint64_t recovery_served;
	uint64_t faults;
	uint64_t violations[SOAK_CHECKS];
	bool is_recovering;
};

/* Output of the run: report.c. */
/** Monotonic time in nanoseconds. */
int64_t soak_now(const struct soak *soak);
/** Prints the violation with its time, and counts it for @check. */
void soak_violation_report(struct soak *soak, enum soak_check check,
			   const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/** Prints a fault, its end or a stall of the soak with the time. */
void soak_fault_print(struct soak *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
extern const char *const soak_check_names[SOAK_CHECKS];

/** Store address of the first balancer; the others' follow it. */
static inline uint32_t soak_store_address(const struct soak *soak)
{
	return 0x7f000001u | soak->subnet << 16 | 1 << 8;
}

/* Balancers: fleet.c. */
extern const char *const soak_zone_names[SOAK_ZONES];
void soak_balancer_start(struct soak_balancer *balancer);
void soak_balancers_check(struct soak *soak);
void soak_balancer_write_settings(struct soak_balancer *balancer);
/**
 * The balancer to which the fabric sends packets of this flow; NULL if none
 * is ready.
 */
struct soak_balancer *soak_fabric_choose(struct soak *soak, uint32_t zone,
					 uint32_t flow_hash);
struct soak_balancer *soak_balancer_find(struct soak *soak, uint32_t address);
bool soak_is_undisturbed(const struct soak *soak, int64_t disturbed_ns);
/** False if changes may be late because the store was restored. */
bool soak_store_is_stable(const struct soak *soak);

/* Hosts: hosts.c. */
void soak_host_start(struct soak_host *host);
void soak_host_stop(struct soak_host *host);
void soak_host_publish(struct soak_host *host);
void soak_host_withdraw(struct soak_host *host);
struct soak_host *soak_host_find(struct soak *soak, uint64_t id);
void soak_routes_publish(struct soak *soak, bool has_extra_route);
/** The operator publishes the last version again. */
void soak_routes_write_again(struct soak *soak, uint32_t index);

/* Callers: callers.c. */
void soak_callers_open(struct soak *soak, uint32_t count);
void soak_callers_close(struct soak *soak);
void soak_callers_tick(struct soak *soak);
/** Opens a flow to the extra route through each ready balancer. */
void soak_routes_probe(struct soak *soak);

/* Faults: faults.c. */
/** Injects a fault that is drawn from the seed. */
void soak_fault_inject_random(struct soak *soak);
/** Injects the fault @name; false if there is none of this name. */
bool soak_fault_inject(struct soak *soak, const char *name);

/* Later steps of faults: schedule.c. */
/** Calls @run with @index in @delay_ms. */
void soak_action_schedule(struct soak *soak, uint32_t delay_ms, uint32_t index,
			  void (*run)(struct soak *soak, uint32_t index));
/** Runs the scheduled actions that are due. */
void soak_actions_tick(struct soak *soak);
/** True once the effects of all faults have been reverted. */
bool soak_actions_are_over(void);

/* Drained zones: zones.c. */
/**
 * Drains the next zone. Every second drain is preceded by a short one of the
 * same zone.
 */
void soak_zone_drain(struct soak *soak);
void soak_zone_drain_all(struct soak *soak);
/** The operator publishes the request for the zone again, or its withdrawal. */
void soak_zone_write_again(struct soak *soak, uint32_t index);
/** Entries as large as the store takes, which name no host. */
void soak_foreign_values_put(struct soak *soak);
/** An entry at the address of each host, of a service without a route. */
void soak_foreign_agents_put(struct soak *soak);
/** Checks an opening packet that an undisturbed balancer sent to @host. */
void soak_zone_opening_check(const struct soak_host *host,
			     const struct soak_balancer *sender);
/** False if balancers may refuse new flows because all zones are drained. */
bool soak_zones_accept_flows(const struct soak *soak);

/* Restores of the store: restore.c. */
/**
 * The store is away for a moment and comes back from a copy. Hosts and the
 * operator write again what they wrote since; entries of hosts that have ended
 * expire.
 */
void soak_store_come_back(struct soak *soak);
void soak_store_come_back_draw(struct soak *soak);

/* Cold hosts: cold_hosts.c. */
/** Remaining slow start time of @host in milliseconds, 0 if it is over. */
int64_t soak_cold_remaining_ms(const struct soak_host *host);
/** Counts the opening packet that @host received last, and checks the sum. */
void soak_cold_opening_check(struct soak_host *host);
/** Appends the member "services" of op/config and a comma. */
void soak_cold_services_print(GString *text, const char *const *names);

/* Scenarios: script.c. */
/** Reads "SECONDS FAULT" lines; exits if the file is not valid. */
GPtrArray *soak_scenario_load(const char *path);
/** Injects each fault at its time; exits at an unknown name. */
void soak_scenario_run(struct soak *soak, const GPtrArray *scenario);

/** Routes without traffic, at first and after the fault "routes-many". */
#define SOAK_IDLE_ROUTES 110
#define SOAK_IDLE_ROUTES_MANY 1500
#define SOAK_IDLE_ROUTE_PORT 10000 /* of the first one */
#define SOAK_SERVICE_ADDRESS 0xc6336401u /* 198.51.100.1 and .2 */
#define SOAK_SERVICE_PORT 443
#define SOAK_EXTRA_ROUTE_PORT 8443

#endif
