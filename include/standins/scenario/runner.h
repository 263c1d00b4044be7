#ifndef PARSLEYLADDER_STANDINS_SCENARIO_RUNNER_H
#define PARSLEYLADDER_STANDINS_SCENARIO_RUNNER_H

/**
 * State of one run of a scenario: the stand-ins, the balancers and what was
 * published.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peer/transport.h"
#include "standins/scenario/channel.h"
#include "standins/scenario/deployment.h"
#include "standins/scenario/language.h"
#include "standins/scenario/process.h"

enum balancer_state {
	BALANCER_DOWN, /* not started yet, or ended */
	BALANCER_RUNNING,
	BALANCER_FROZEN, /* SIGSTOP */
	BALANCER_LEAVING, /* SIGTERM was sent */
};

struct balancer {
	unsigned int number; /* from 1 */
	char *id;
	char *address;
	const char *zone; /* of the deployment */
	uint16_t data_port;
	uint16_t pass_port;
	uint16_t peer_port;
	uint16_t admin_port;
	char public_key[CURVE_KEY_TEXT_BYTES];
	char secret_key[CURVE_KEY_TEXT_BYTES];
	char *settings_path;
	struct process *process; /* NULL while down */
	enum balancer_state state;
	int64_t listed_until_us; /* in the platform's list; monotonic time */
};

/** A stand-in process and its control socket. */
struct standin {
	struct process *process;
	struct channel *channel; /* NULL for the platform */
};

struct runner_options {
	const char *balancer_path; /* executable with the command "balancer" */
	const char *standin_path;
	const char *scratch; /* directory for settings files and logs */
};

struct fleet_figures;

struct runner {
	struct runner_options options;
	const struct scenario_text *text;
	uint64_t seed;
	unsigned int phase; /* deployments begun, for names of files */
	uint32_t control_bytes_per_s; /* in the settings of balancers */
	double start_s; /* time of the last start until all were ready */
	bool uses_links; /* peer traffic goes through the link stand-in */
	struct deployment *deployment;
	struct standin world;
	struct standin platform;
	struct standin link;
	uint16_t fabric_port;
	uint16_t platform_port;
	uint16_t platform_control_port;
	GPtrArray *balancers; /* struct balancer */
	char *listed; /* instance list as last told to the platform */
	guint listing_source;
	GHashTable *totals; /* figure name to double, of ended deployments */
	struct fleet_figures *fleet_figures; /* NULL before the first mark */
	uint64_t unexpected_exits; /* of balancers, in ended deployments */
};

struct runner *runner_create(const struct runner_options *options,
			     const struct scenario_text *text);
void runner_destroy(struct runner *runner);
/** Runs all lines; prints the failing one and returns false. */
bool runner_run(struct runner *runner);
/** Starts the stand-ins for the deployment unless they run. */
bool runner_require_world(struct runner *runner, struct error *error);
/** Ends all processes of the deployment and keeps its figures as totals. */
void runner_end_deployment(struct runner *runner);

/** One request without interest in the reply. @request is taken over. */
bool runner_tell_world(struct runner *runner, JsonObject *request,
		       struct error *error);
bool runner_tell_link(struct runner *runner, JsonObject *request,
		      struct error *error);
/** The reply, to be unreferenced, or NULL. @request is taken over. */
JsonObject *runner_ask_platform(struct runner *runner, const char *path,
				JsonObject *request, struct error *error);
bool runner_tell_platform(struct runner *runner, const char *path,
			  JsonObject *request, struct error *error);
/** New request object with "do" set to @name. */
JsonObject *runner_request(const char *name);

/* fleet.c */
void fleet_create(struct runner *runner, unsigned int count);
struct balancer *fleet_find(struct runner *runner, unsigned int number);
/** In seconds; above any start of a small fleet. */
#define START_BOUND_S 20.0
/**
 * Starts the balancers from @first to @last and waits until they are ready,
 * each at most @bound_s.
 */
bool fleet_start(struct runner *runner, unsigned int first, unsigned int last,
		 double bound_s, struct error *error);
/** SIGTERM; succeeds if the process ends with status 0 by itself. */
bool fleet_stop(struct runner *runner, struct balancer *balancer,
		struct error *error);
bool fleet_kill(struct runner *runner, struct balancer *balancer,
		struct error *error);
bool fleet_freeze(struct runner *runner, struct balancer *balancer,
		  struct error *error);
bool fleet_wake(struct runner *runner, struct balancer *balancer,
		struct error *error);
/** Ends all balancers and frees them. */
void fleet_destroy(struct runner *runner);
/** Balancers that ended without having been told to. */
unsigned int fleet_unexpected_exits(struct runner *runner);
/** Tells the platform the instance list if it changed. */
bool fleet_publish_instances(struct runner *runner, struct error *error);

/* settings_file.c */
/** Writes the settings files of all balancers into the scratch directory. */
bool settings_files_write(struct runner *runner, struct error *error);

/* publish.c */
/** Publishes all parts; the world learns of services and hosts too. */
bool publish_all(struct runner *runner, struct error *error);
/** Publishes one part from a text that may be invalid. */
bool publish_text(struct runner *runner, const char *name, const char *text,
		  struct error *error);

/* figures.c */
/** Figures of world, platform and balancers now; name to double. */
GHashTable *figures_collect(struct runner *runner, struct error *error);
/** Adds @figures to the totals; the worst counts for ratios and times. */
void figures_add_totals(struct runner *runner, GHashTable *figures);

/* figures_fleet.c */
/**
 * Begins an interval; the one that the previous mark began ends. Publications
 * after the first mark are measured until they are in force.
 */
bool fleet_figures_mark(struct runner *runner, struct error *error);
/** The platform took @revision, sent at @start_us of monotonic time. */
void fleet_figures_published(struct runner *runner, uint64_t revision,
			     int64_t start_us);
/** Adds the figures of the last whole interval and of publications. */
void fleet_figures_add(struct runner *runner, GHashTable *figures);
void fleet_figures_destroy(struct runner *runner);

/* commands.c */
bool command_run(struct runner *runner, const struct scenario_line *line,
		 struct error *error);

#endif
