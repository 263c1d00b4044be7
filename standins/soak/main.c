#include <argp.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins/soak/soak.h"

#define STARTUP_S 3.0
/* Time from the end of the faults until the recovery is measured. */
#define SETTLE_S 4.0
#define RECOVERY_S 6.0
/* Minimum share of requests served during the recovery period. */
#define RECOVERED_SHARE 0.95
/* Mean time between faults. */
#define FAULT_INTERVAL_MS 700

struct arguments {
	const char *binary;
	uint32_t first_seed;
	uint32_t last_seed;
	uint32_t seconds;
	uint32_t balancers;
	uint32_t hosts;
	uint32_t callers;
	const char *directory;
	GPtrArray *scenario; /* NULL for faults drawn from the seed */
};

/* Finds a port free on 127.0.0.1, to be used on all addresses of the run. */
static uint16_t free_port_find(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&address, length) != 0)
		g_error("no free TCP port on 127.0.0.1");
	getsockname(fd, (struct sockaddr *)&address, &length);
	close(fd);
	return ntohs(address.sin_port);
}

static void soak_open(struct soak *soak, const struct arguments *arguments)
{
	char *name = g_strdup_printf("seed-%u", soak->seed);

	soak->random = g_rand_new_with_seed(soak->seed);
	soak->refusal_random = g_rand_new_with_seed(soak->seed);
	/* Another seed: drains are not tied to refusals. */
	soak->zone_random = g_rand_new_with_seed(~soak->seed);
	soak->restore_random = g_rand_new_with_seed(soak->seed ^ 0x5707e);
	soak->next_zone_drain =
		(uint32_t)g_rand_int_range(soak->zone_random, 0, SOAK_ZONES);
	soak->subnet = 16 + soak->seed % 200;
	soak->clock = clock_system();
	soak->binary = arguments->binary;
	soak->directory = g_build_filename(arguments->directory, name, NULL);
	g_mkdir_with_parents(soak->directory, 0755);
	soak->packet_port = free_port_find();
	soak->readiness_port = free_port_find();
	soak->control_port = free_port_find();
	soak->admin_port = free_port_find();
	soak->sharing_port = free_port_find();
	soak->store_port = free_port_find();
	soak->host_port = free_port_find();
	soak->idle_routes = SOAK_IDLE_ROUTES;
	soak->next_host_id = 0x1000 * (1 + soak->seed);
	soak->executed_requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->callers = g_ptr_array_new();
	soak->store = soak_store_create(soak_store_address(soak),
					arguments->balancers, soak->store_port,
					soak->seed);
	g_free(name);
}

static void hosts_open(struct soak *soak, uint32_t count)
{
	soak->host_count = count;
	for (uint32_t i = 0; i < count; i++) {
		struct soak_host *host = &soak->hosts[i];

		host->soak = soak;
		host->index = i;
		host->zone = i % SOAK_ZONES;
		host->service = i % 4 == 3;
		host->address = 0x7f000000u | soak->subnet << 16 | 2 << 8 |
				(1 + i);
		soak_host_start(host);
		soak_host_publish(host);
	}
}

static void balancers_open(struct soak *soak, uint32_t count)
{
	soak->balancer_count = count;
	for (uint32_t i = 0; i < count; i++)
		soak->balancers[i].address = 0x7f000000u | soak->subnet << 16 |
					     3 << 8 | (1 + i);
	for (uint32_t i = 0; i < count; i++) {
		struct soak_balancer *balancer = &soak->balancers[i];
		char *settings = g_strdup_printf("b%u.json", i);
		char *log = g_strdup_printf("b%u.log", i);

		balancer->soak = soak;
		balancer->index = i;
		balancer->zone = i % SOAK_ZONES;
		balancer->settings_path =
			g_build_filename(soak->directory, settings, NULL);
		balancer->log_path =
			g_build_filename(soak->directory, log, NULL);
		soak_balancer_start(balancer);
		g_free(settings);
		g_free(log);
	}
}

/*
 * Hosts and callers are simulated in this process: while it is not scheduled,
 * all hosts are silent, and balancers may conclude that they have failed.
 */
static void stall_check(struct soak *soak)
{
	int64_t now_ns = soak_now(soak);
	int64_t gap_ns = now_ns - soak->last_tick_ns;

	if (soak->last_tick_ns != 0 && gap_ns > SOAK_STALL_NS) {
		soak_fault_print(soak, "soak did not run for %" PRId64 " ms",
				 gap_ns / NS_PER_MS);
		for (uint32_t i = 0; i < soak->host_count; i++)
			soak->hosts[i].disturbed_ns = now_ns;
		for (uint32_t i = 0; i < soak->balancer_count; i++)
			soak->balancers[i].disturbed_ns = now_ns;
	}
	soak->last_tick_ns = now_ns;
}

static gboolean on_tick(gpointer data)
{
	struct soak *soak = data;

	stall_check(soak);
	soak_callers_tick(soak);
	soak_actions_tick(soak);
	return G_SOURCE_CONTINUE;
}

static gboolean on_watch(gpointer data)
{
	soak_balancers_check(data);
	return G_SOURCE_CONTINUE;
}

static gboolean on_routes(gpointer data)
{
	soak_routes_probe(data);
	return G_SOURCE_CONTINUE;
}

static void faults_draw(struct soak *soak, uint32_t seconds)
{
	int64_t end_ns = soak_now(soak) + seconds * NS_PER_S;

	while (soak_now(soak) < end_ns) {
		/* Random intervals, so that faults also overlap. */
		process_sleep(g_rand_double_range(
			soak->random, 0, 2 * FAULT_INTERVAL_MS / 1000.0));
		soak_fault_inject_random(soak);
	}
}

static void faults_run(struct soak *soak, const struct arguments *arguments)
{
	if (arguments->scenario)
		soak_scenario_run(soak, arguments->scenario);
	else
		faults_draw(soak, arguments->seconds);
	while (!soak_actions_are_over())
		process_sleep(0.1);
	process_sleep(SETTLE_S);
}

static void recovery_check(struct soak *soak)
{
	soak->is_recovering = true;
	process_sleep(RECOVERY_S);
	if (soak->recovery_served <
	    (uint64_t)((double)soak->recovery_requests * RECOVERED_SHARE) -
		    MIN(soak->callers->len, soak->recovery_requests / 20))
		soak_violation_report(soak, CHECK_RECOVERY,
				      "%" PRIu64 " of %" PRIu64 " served",
				      soak->recovery_served,
				      soak->recovery_requests);
}

static void soak_close(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->balancer_count; i++) {
		struct soak_balancer *balancer = &soak->balancers[i];

		process_destroy(balancer->process);
		g_free(balancer->settings_path);
		g_free(balancer->log_path);
	}
	soak_callers_close(soak);
	for (uint32_t i = 0; i < soak->host_count; i++)
		soak_host_stop(&soak->hosts[i]);
	/* Pending execution_end() calls still refer to the hosts. */
	process_sleep(0.2);
	soak_store_destroy(soak->store);
	g_hash_table_unref(soak->executed_requests);
	g_rand_free(soak->random);
	g_rand_free(soak->refusal_random);
	g_rand_free(soak->zone_random);
	g_rand_free(soak->restore_random);
	g_free(soak->routes_text);
	g_free(soak->directory);
}

/* Returns the number of violations. */
static uint64_t seed_run(const struct arguments *arguments, uint32_t seed,
			 struct soak *soak)
{
	uint64_t violations = 0;
	guint sources[3];

	memset(soak, 0, sizeof(*soak));
	soak->seed = seed;
	soak_open(soak, arguments);
	soak->started_ns = soak_now(soak);
	soak_routes_publish(soak, true);
	hosts_open(soak, arguments->hosts);
	balancers_open(soak, arguments->balancers);
	soak_callers_open(soak, arguments->callers);
	sources[0] = g_timeout_add(10, on_tick, soak);
	sources[1] = g_timeout_add(500, on_watch, soak);
	sources[2] = g_timeout_add(250, on_routes, soak);
	process_sleep(STARTUP_S);
	faults_run(soak, arguments);
	recovery_check(soak);
	for (size_t i = 0; i < G_N_ELEMENTS(sources); i++)
		g_source_remove(sources[i]);
	for (int i = 0; i < SOAK_CHECKS; i++)
		violations += soak->violations[i];
	printf("seed %u faults %" PRIu64 " requests %" PRIu64
	       " served %" PRIu64,
	       seed, soak->faults, soak->requests, soak->served);
	for (int i = 0; i < SOAK_CHECKS; i++)
		printf(" %s %" PRIu64, soak_check_names[i],
		       soak->violations[i]);
	printf("\n");
	fflush(stdout);
	soak_close(soak);
	return violations;
}

enum option_key {
	KEY_SEEDS = 's',
	KEY_SECONDS = 't',
	KEY_BALANCERS = 'b',
	KEY_HOSTS = 'h',
	KEY_CALLERS = 'c',
	KEY_OUTPUT = 'o',
	KEY_SCENARIO = 'f',
};

static const struct argp_option options[] = {
	{ "seeds", KEY_SEEDS, "FIRST-LAST", 0, "Range of seeds, 1-1 by default",
	  0 },
	{ "seconds", KEY_SECONDS, "N", 0,
	  "Duration of the faults, 20 by default", 0 },
	{ "balancers", KEY_BALANCERS, "N", 0,
	  "Number of balancers, 8 by default", 0 },
	{ "hosts", KEY_HOSTS, "N", 0, "Number of hosts, 18 by default", 0 },
	{ "callers", KEY_CALLERS, "N", 0, "Number of callers, 60 by default",
	  0 },
	{ "scenario", KEY_SCENARIO, "FILE", 0,
	  "Inject the faults listed in FILE instead of random ones", 0 },
	{ "output", KEY_OUTPUT, "DIRECTORY", 0,
	  "Directory for settings and logs, out/soak by default", 0 },
	{ 0 },
};

static error_t option_parse(int key, char *argument, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case KEY_SEEDS:
		if (sscanf(argument, "%u-%u", &arguments->first_seed,
			   &arguments->last_seed) != 2)
			argp_error(state, "--seeds: expected FIRST-LAST");
		return 0;
	case KEY_SECONDS:
		arguments->seconds = (uint32_t)strtoul(argument, NULL, 10);
		return 0;
	case KEY_BALANCERS:
		arguments->balancers = (uint32_t)strtoul(argument, NULL, 10);
		return 0;
	case KEY_HOSTS:
		arguments->hosts = (uint32_t)strtoul(argument, NULL, 10);
		return 0;
	case KEY_CALLERS:
		arguments->callers = (uint32_t)strtoul(argument, NULL, 10);
		return 0;
	case KEY_OUTPUT:
		arguments->directory = argument;
		return 0;
	case KEY_SCENARIO:
		arguments->scenario = soak_scenario_load(argument);
		return 0;
	case ARGP_KEY_ARG:
		arguments->binary = argument;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->binary ||
		    arguments->balancers > SOAK_BALANCERS_MAX ||
		    arguments->hosts > SOAK_HOSTS_MAX ||
		    arguments->callers + arguments->balancers > 250)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = options,
		.parser = option_parse,
		.args_doc = "PARSLEYLADDER",
		.doc = "Runs balancers under faults drawn from a seed, and "
		       "checks their guarantees by what callers and hosts "
		       "observe.",
	};
	struct arguments arguments = {
		.first_seed = 1,
		.last_seed = 1,
		.seconds = 20,
		.balancers = 8,
		.hosts = 18,
		.callers = 60,
		.directory = "out/soak",
	};
	struct soak *soak = g_new0(struct soak, 1);
	uint64_t totals[3] = { 0 };
	uint32_t failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	for (uint32_t seed = arguments.first_seed; seed <= arguments.last_seed;
	     seed++) {
		uint64_t violations = seed_run(&arguments, seed, soak);

		failed += violations > 0;
		totals[0] += soak->faults;
		totals[1] += soak->requests;
		totals[2] += violations;
	}
	printf("figure soak_seeds %u seeds\n",
	       arguments.last_seed - arguments.first_seed + 1);
	printf("figure soak_faults %" PRIu64 " faults\n", totals[0]);
	printf("figure soak_requests %" PRIu64 " requests\n", totals[1]);
	printf("figure soak_violations %" PRIu64 " violations\n", totals[2]);
	printf("%u passed, %u failed\n",
	       arguments.last_seed - arguments.first_seed + 1 - failed, failed);
	if (arguments.scenario)
		g_ptr_array_unref(arguments.scenario);
	g_free(soak);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
