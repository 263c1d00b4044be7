#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins/soak/soak.h"

/* Limits of one balancer: the smallest instances have 99 MB of memory. */
#define MEMORY_MAX_PAGES (64 * 1024 / 4)
#define DESCRIPTORS_MAX 200
#define REQUEST_TIMEOUT_US 50000
#define RESPONSE_BYTES_MAX 65536
/* Requests at each check: a leak of sockets shows within 15 s. */
#define METRICS_REQUESTS 8

const char *const soak_zone_names[SOAK_ZONES] = { "a", "b", "c" };

static char *address_print(uint32_t address, uint16_t port)
{
	struct in_addr in = { .s_addr = htonl(address) };

	return g_strdup_printf("%s:%u", inet_ntoa(in), port);
}

void soak_balancer_write_settings(struct soak_balancer *balancer)
{
	struct soak *soak = balancer->soak;
	char *packets = address_print(balancer->address, soak->packet_port);
	char *ready = address_print(balancer->address, soak->readiness_port);
	char *control = address_print(balancer->address, soak->control_port);
	char *admin = address_print(balancer->address, soak->admin_port);
	char *store = address_print(soak_store_address(soak) + balancer->index,
				    soak->store_port);
	GString *text = g_string_new(NULL);
	uint32_t first = (uint32_t)g_rand_int_range(
		soak->random, 0, (gint32)soak->balancer_count);

	g_string_printf(text,
			"{\"instance_id\":\"b%u\",\"availability_zone\":\"%s\","
			"\"packet_endpoint\":\"%s\","
			"\"readiness_endpoint\":\"%s\","
			"\"control_endpoint\":\"%s\","
			"\"admin_endpoint\":\"%s\","
			"\"store_endpoint\":\"%s\","
			"\"sharing_port\":%u,\"seeds\":[",
			balancer->index, soak_zone_names[balancer->zone],
			packets, ready, control, admin, store,
			soak->sharing_port);
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t index = (first + i) % soak->balancer_count;
		char *seed = address_print(soak->balancers[index].address,
					   soak->control_port);

		g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "",
				       seed);
		g_free(seed);
	}
	g_string_append(text, "],\"availability_zones\":[");
	for (uint32_t i = 0; i < SOAK_ZONES; i++)
		g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "",
				       soak_zone_names[i]);
	g_string_append_printf(text,
			       "],\"slow_start_overage\":\"%.1f\","
			       "\"slow_start_slack_flows\":%d}",
			       SOAK_COLD_OVERAGE, SOAK_COLD_SLACK);
	g_file_set_contents(balancer->settings_path, text->str, -1, NULL);
	g_string_free(text, TRUE);
	g_free(packets);
	g_free(ready);
	g_free(control);
	g_free(admin);
	g_free(store);
}

void soak_balancer_start(struct soak_balancer *balancer)
{
	const char *argv[] = { balancer->soak->binary, "balancer",
			       balancer->settings_path, NULL };
	struct error error = { 0 };

	soak_balancer_write_settings(balancer);
	if (balancer->process)
		process_destroy(balancer->process);
	balancer->process =
		process_start(argv, balancer->log_path, false, &error);
	if (!balancer->process)
		g_error("%s", error.detail);
	balancer->should_run = true;
	balancer->is_frozen = false;
	balancer->disturbed_ns = soak_now(balancer->soak);
}

/* Sends @request, reads the status, and closes the connection. */
static bool request_succeeds(const struct soak_balancer *balancer,
			     uint16_t port, const char *request)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(balancer->address),
	};
	struct timeval timeout = { .tv_usec = REQUEST_TIMEOUT_US };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char text[RESPONSE_BYTES_MAX] = "";
	ssize_t got = -1;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    write(fd, request, strlen(request)) > 0)
		got = read(fd, text, sizeof(text) - 1);
	close(fd);
	return got > 12 && strncmp(text + 9, "200", 3) == 0;
}

/*
 * Probes as the fabric does; a frozen or starting balancer does not respond.
 */
static bool readiness_probe(const struct soak_balancer *balancer)
{
	return request_succeeds(balancer, balancer->soak->readiness_port,
				"GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
				"Connection: close\r\n\r\n");
}

/*
 * Asks as monitoring systems do, which keep connections for reuse and close them
 * later.
 */
static void metrics_request(const struct soak_balancer *balancer)
{
	for (int i = 0; i < METRICS_REQUESTS; i++)
		request_succeeds(balancer, balancer->soak->admin_port,
				 "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
}

static void resources_check(struct soak_balancer *balancer)
{
	int pid = process_id(balancer->process);
	char *statm_path = g_strdup_printf("/proc/%d/statm", pid);
	char *fd_path = g_strdup_printf("/proc/%d/fd", pid);
	GDir *directory = g_dir_open(fd_path, 0, NULL);
	char *text = NULL;
	unsigned int descriptors = 0;
	unsigned long pages = 0;

	while (directory && g_dir_read_name(directory))
		descriptors++;
	if (g_file_get_contents(statm_path, &text, NULL, NULL))
		sscanf(text, "%*u %lu", &pages);
	if (pages > MEMORY_MAX_PAGES || descriptors > DESCRIPTORS_MAX)
		soak_violation_report(balancer->soak, CHECK_RESOURCES,
				      "b%u pages=%lu descriptors=%u",
				      balancer->index, pages, descriptors);
	if (directory)
		g_dir_close(directory);
	g_free(text);
	g_free(statm_path);
	g_free(fd_path);
}

void soak_balancers_check(struct soak *soak)
{
	for (uint32_t i = 0; i < soak->balancer_count; i++) {
		struct soak_balancer *balancer = &soak->balancers[i];
		bool is_running = process_is_running(balancer->process);

		if (balancer->should_run && !is_running) {
			soak_violation_report(
				soak, CHECK_PROCESS_ENDED, "b%u status=%d", i,
				process_exit_status(balancer->process));
			balancer->should_run = false;
			continue;
		}
		if (is_running)
			resources_check(balancer);
		if (is_running && !balancer->is_frozen &&
		    readiness_probe(balancer)) {
			balancer->is_ready = true;
			balancer->failed_probes = 0;
			metrics_request(balancer);
		} else if (++balancer->failed_probes >= 2) {
			balancer->is_ready = false;
		}
	}
}

struct soak_balancer *soak_fabric_choose(struct soak *soak, uint32_t zone,
					 uint32_t flow_hash)
{
	struct soak_balancer *best = NULL;
	uint64_t best_score = 0;

	for (uint32_t pass = 0; pass < 2 && !best; pass++) {
		for (uint32_t i = 0; i < soak->balancer_count; i++) {
			struct soak_balancer *balancer = &soak->balancers[i];
			uint64_t score = (flow_hash ^ (i * 0x9e3779b9u)) *
					 0x9e3779b97f4a7c15u;

			/* Other zones only if none in @zone is ready. */
			if (!balancer->is_ready ||
			    (pass == 0 && balancer->zone != zone))
				continue;
			if (best && score <= best_score)
				continue;
			best = balancer;
			best_score = score;
		}
	}
	return best;
}

struct soak_balancer *soak_balancer_find(struct soak *soak, uint32_t address)
{
	for (uint32_t i = 0; i < soak->balancer_count; i++) {
		if (soak->balancers[i].address == address)
			return &soak->balancers[i];
	}
	return NULL;
}

bool soak_is_undisturbed(const struct soak *soak, int64_t disturbed_ns)
{
	return disturbed_ns == 0 ||
	       soak_now(soak) - disturbed_ns > SOAK_DISTURBANCE_NS;
}

bool soak_store_is_stable(const struct soak *soak)
{
	return soak_is_undisturbed(soak, soak->store_restored_ns);
}
