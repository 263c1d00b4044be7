#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <zmq.h>

#include "standins/scenario/runner.h"

/* Balancers get 127.0.1.N. */
#define BALANCER_ADDRESS_FORMAT "127.0.1.%u"

/* A fabric and a platform notice a dead instance this much later. */
#define DEATH_LAG_S 1.0
/* A leaving instance is taken out of the fabric this long after SIGTERM. */
#define LEAVE_LAG_S 0.5

/* Above drain_deadline_seconds of the settings that scenarios write. */
#define STOP_BOUND_S 20.0

static void balancer_ports(struct balancer *balancer)
{
	balancer->data_port =
		deployment_free_port(balancer->address, SOCK_DGRAM);
	do {
		balancer->pass_port =
			deployment_free_port(balancer->address, SOCK_DGRAM);
	} while (balancer->pass_port == balancer->data_port);
	balancer->peer_port =
		deployment_free_port(balancer->address, SOCK_STREAM);
	do {
		balancer->admin_port =
			deployment_free_port(balancer->address, SOCK_STREAM);
	} while (balancer->admin_port == balancer->peer_port);
}

void fleet_create(struct runner *runner, unsigned int count)
{
	const GPtrArray *zones = runner->deployment->zones;

	for (unsigned int i = 1; i <= count; i++) {
		struct balancer *balancer = g_new0(struct balancer, 1);

		balancer->number = i;
		balancer->id = g_strdup_printf("balancer-%u", i);
		balancer->address = g_strdup_printf(BALANCER_ADDRESS_FORMAT, i);
		balancer->zone = zones->pdata[(i - 1) % zones->len];
		balancer->settings_path = g_strdup_printf(
			"%s/%s-%u.json", runner->options.scratch, balancer->id,
			runner->phase + 1);
		balancer_ports(balancer);
		zmq_curve_keypair(balancer->public_key, balancer->secret_key);
		g_ptr_array_add(runner->balancers, balancer);
	}
}

struct balancer *fleet_find(struct runner *runner, unsigned int number)
{
	if (number < 1 || number > runner->balancers->len)
		return NULL;
	return runner->balancers->pdata[number - 1];
}

static bool fabric_tell(struct runner *runner, const struct balancer *balancer,
			struct error *error)
{
	JsonObject *request = runner_request("balancer");

	json_object_set_string_member(request, "name", balancer->id);
	json_object_set_string_member(request, "address", balancer->address);
	json_object_set_string_member(request, "zone", balancer->zone);
	json_object_set_int_member(request, "port", balancer->data_port);
	return runner_tell_world(runner, request, error);
}

static bool fabric_tell_gone(struct runner *runner,
			     const struct balancer *balancer, double lag_s,
			     struct error *error)
{
	JsonObject *request = runner_request("balancer_gone");

	json_object_set_string_member(request, "name", balancer->id);
	json_object_set_double_member(request, "lag_s", lag_s);
	return runner_tell_world(runner, request, error);
}

static bool balancer_launch(struct runner *runner, struct balancer *balancer,
			    struct error *error)
{
	g_autofree char *log = g_strdup_printf(
		"%s/%s-%u-%" G_GINT64_FORMAT ".log", runner->options.scratch,
		balancer->id, runner->phase, g_get_monotonic_time());
	const char *argv[] = { runner->options.balancer_path, "balancer",
			       balancer->settings_path, NULL };

	if (balancer->process)
		return error_set(error, ERROR_USAGE, "%s runs already",
				 balancer->id);
	balancer->process = process_start(argv, log, false, error);
	if (!balancer->process)
		return false;
	balancer->state = BALANCER_RUNNING;
	balancer->listed_until_us = INT64_MAX;
	return true;
}

/*
 * Like the health check of a fabric: a balancer takes packets once its state
 * says that it is active. One without this state is ready when it listens.
 */
static bool balancer_is_ready(const struct balancer *balancer)
{
	g_autofree char *url = g_strdup_printf("http://%s:%u/v1/state",
					       balancer->address,
					       balancer->admin_port);
	g_autofree char *text = channel_http(url, NULL, NULL, NULL);
	JsonObject *state = text ? channel_parse(text, NULL) : NULL;
	bool is_ready;

	if (!state)
		return text != NULL;
	is_ready = json_object_get_boolean_member_with_default(state, "active",
							       TRUE);
	json_object_unref(state);
	return is_ready;
}

static bool balancer_await(struct balancer *balancer, double bound_s,
			   struct error *error)
{
	int64_t bound_us =
		g_get_monotonic_time() + (int64_t)(bound_s * G_USEC_PER_SEC);

	while (!balancer_is_ready(balancer)) {
		if (!process_is_running(balancer->process))
			return error_set(
				error, ERROR_IO,
				"%s ended at start with status %d",
				balancer->id,
				process_exit_status(balancer->process));
		if (g_get_monotonic_time() > bound_us)
			return error_set(error, ERROR_TIMEOUT,
					 "%s is not ready after %g s",
					 balancer->id, bound_s);
		process_sleep(0.05);
	}
	return true;
}

bool fleet_start(struct runner *runner, unsigned int first, unsigned int last,
		 double bound_s, struct error *error)
{
	int64_t start_us = g_get_monotonic_time();

	if (!runner_require_world(runner, error))
		return false;
	for (unsigned int i = first; i <= last; i++)
		if (!balancer_launch(runner, fleet_find(runner, i), error))
			return false;
	if (!fleet_publish_instances(runner, error))
		return false;
	for (unsigned int i = first; i <= last; i++) {
		struct balancer *balancer = fleet_find(runner, i);

		if (!balancer_await(balancer, bound_s, error) ||
		    !fabric_tell(runner, balancer, error))
			return false;
	}
	runner->start_s =
		(double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;
	return true;
}

static void balancer_forget_process(struct balancer *balancer)
{
	process_destroy(balancer->process);
	balancer->process = NULL;
	balancer->state = BALANCER_DOWN;
}

static bool balancer_require(const struct balancer *balancer,
			     enum balancer_state state, struct error *error)
{
	if (balancer->state != state)
		return error_set(error, ERROR_USAGE,
				 "%s is not in the state for this",
				 balancer->id);
	if (!process_is_running(balancer->process))
		return error_set(error, ERROR_IO,
				 "expected %s to run, seen end with status %d",
				 balancer->id,
				 process_exit_status(balancer->process));
	return true;
}

bool fleet_stop(struct runner *runner, struct balancer *balancer,
		struct error *error)
{
	int status;

	if (!balancer_require(balancer, BALANCER_RUNNING, error))
		return false;
	balancer->state = BALANCER_LEAVING;
	process_signal(balancer->process, SIGTERM);
	if (!fabric_tell_gone(runner, balancer, LEAVE_LAG_S, error) ||
	    !fleet_publish_instances(runner, error))
		return false;
	if (!process_wait(balancer->process, STOP_BOUND_S))
		return error_set(error, ERROR_TIMEOUT,
				 "expected %s to end within %g s of SIGTERM, "
				 "seen running",
				 balancer->id, STOP_BOUND_S);
	status = process_exit_status(balancer->process);
	balancer_forget_process(balancer);
	balancer->listed_until_us = 0;
	if (status == 0)
		return true;
	return error_set(error, ERROR_IO,
			 "expected %s to end with status 0, seen %d",
			 balancer->id, status);
}

bool fleet_kill(struct runner *runner, struct balancer *balancer,
		struct error *error)
{
	if (balancer->state == BALANCER_DOWN)
		return error_set(error, ERROR_USAGE, "%s does not run",
				 balancer->id);
	balancer_forget_process(balancer);
	balancer->listed_until_us = g_get_monotonic_time() +
				    (int64_t)(DEATH_LAG_S * G_USEC_PER_SEC);
	return fabric_tell_gone(runner, balancer, DEATH_LAG_S, error);
}

bool fleet_freeze(struct runner *runner, struct balancer *balancer,
		  struct error *error)
{
	if (!balancer_require(balancer, BALANCER_RUNNING, error))
		return false;
	balancer->state = BALANCER_FROZEN;
	process_signal(balancer->process, SIGSTOP);
	return fabric_tell_gone(runner, balancer, DEATH_LAG_S, error);
}

bool fleet_wake(struct runner *runner, struct balancer *balancer,
		struct error *error)
{
	if (!balancer_require(balancer, BALANCER_FROZEN, error))
		return false;
	balancer->state = BALANCER_RUNNING;
	process_signal(balancer->process, SIGCONT);
	return fabric_tell(runner, balancer, error);
}

unsigned int fleet_unexpected_exits(struct runner *runner)
{
	unsigned int count = 0;

	for (guint i = 0; i < runner->balancers->len; i++) {
		const struct balancer *balancer = runner->balancers->pdata[i];

		if (balancer->process && !process_is_running(balancer->process))
			count++;
	}
	return count;
}

static void balancer_free(struct balancer *balancer)
{
	if (balancer->process)
		process_destroy(balancer->process);
	g_free(balancer->id);
	g_free(balancer->address);
	g_free(balancer->settings_path);
	g_free(balancer);
}

void fleet_destroy(struct runner *runner)
{
	for (guint i = 0; i < runner->balancers->len; i++)
		balancer_free(runner->balancers->pdata[i]);
	g_ptr_array_set_size(runner->balancers, 0);
}

static JsonArray *instances_print(struct runner *runner)
{
	JsonArray *list = json_array_new();
	int64_t now_us = g_get_monotonic_time();

	for (guint i = 0; i < runner->balancers->len; i++) {
		const struct balancer *balancer = runner->balancers->pdata[i];
		JsonObject *entry;

		if (balancer->listed_until_us <= now_us)
			continue;
		entry = json_object_new();
		json_object_set_string_member(entry, "id", balancer->id);
		json_object_set_string_member(entry, "address",
					      balancer->address);
		json_object_set_string_member(entry, "availability_zone",
					      balancer->zone);
		json_object_set_string_member(
			entry, "state",
			balancer->state == BALANCER_LEAVING ? "leaving"
							    : "live");
		json_array_add_object_element(list, entry);
	}
	return list;
}

bool fleet_publish_instances(struct runner *runner, struct error *error)
{
	JsonObject *request = json_object_new();
	char *text;

	json_object_set_array_member(request, "instances",
				     instances_print(runner));
	text = channel_print(request);
	if (g_strcmp0(text, runner->listed) == 0) {
		g_free(text);
		json_object_unref(request);
		return true;
	}
	g_free(runner->listed);
	runner->listed = text;
	return runner_tell_platform(runner, "/control/instances", request,
				    error);
}
