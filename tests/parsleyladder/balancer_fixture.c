#include "balancer_fixture.h"

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/datagram.h"

/* Fixed ports, on an address that only this test uses. */
#define PACKET_PORT 7000
#define READINESS_PORT 7001
#define CONTROL_PORT 7002
#define SHARING_PORT 7003

static void stepping_now(void *context, struct timespec *out)
{
	struct balancer_fixture *fixture = context;

	fixture->now_ns += CLOCK_STEP_NS;
	out->tv_sec = fixture->now_ns / NS_PER_S;
	out->tv_nsec = fixture->now_ns % NS_PER_S;
}

/*
 * An address of the loopback network that no other process uses. Searching for
 * a free port is not enough: one that is free for UDP may be in use for TCP,
 * and one that was free a moment ago may be in use now.
 */
struct in_addr balancer_fixture_address(void)
{
	uint32_t pid = (uint32_t)getpid();

	return (struct in_addr){ htonl(0x7f400000 | (pid & 0x3fffff)) };
}

static char *settings_text_create(const char *address)
{
	return g_strdup_printf(
		"{\"instance_id\":\"entry-1\",\"availability_zone\":\"a\","
		"\"packet_endpoint\":\"%s:%u\","
		"\"readiness_endpoint\":\"%s:%u\","
		"\"control_endpoint\":\"%s:%u\",\"sharing_port\":%u,"
		"\"admin_endpoint\":\"%s:%u\","
		"\"store_endpoint\":\"%s:1\",\"log_level\":\"error\"}",
		address, PACKET_PORT, address, READINESS_PORT, address,
		CONTROL_PORT, SHARING_PORT, address, ADMIN_PORT, address);
}

void balancer_fixture_open(struct balancer_fixture *fixture)
{
	struct error error = { 0 };
	char address[INET_ADDRSTRLEN];
	char *text;
	int fd = g_file_open_tmp("balancer-XXXXXX", &fixture->settings_path,
				 NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	g_strlcpy(address, inet_ntoa(balancer_fixture_address()),
		  sizeof(address));
	text = settings_text_create(address);
	ck_assert(g_file_set_contents(fixture->settings_path, text, -1, NULL));
	g_free(text);
	fixture->clock =
		(struct clock){ .now = stepping_now, .context = fixture };
	fixture->now_ns = 1000 * NS_PER_S;
	fixture->balancer = balancer_create(fixture->settings_path,
					    &fixture->clock, &error);
	ck_assert_msg(fixture->balancer != NULL, "%s", error.detail);
	/* balancer_run() sets this when the loop starts. */
	fixture->balancer->last_iteration_ns = fixture->now_ns;
}

void balancer_fixture_close(struct balancer_fixture *fixture)
{
	balancer_destroy(fixture->balancer);
	g_remove(fixture->settings_path);
	g_free(fixture->settings_path);
}

int64_t balancer_fixture_counter(const struct balancer_fixture *fixture,
				 const char *name)
{
	GString *text = g_string_new("\n");
	char *prefix = g_strdup_printf("\n%s ", name);
	int64_t value = -1;
	const char *line;

	counter_registry_print_text(fixture->balancer->counters, text);
	line = strstr(text->str, prefix);
	if (line)
		value = g_ascii_strtoll(line + strlen(prefix), NULL, 10);
	g_string_free(text, TRUE);
	g_free(prefix);
	return value;
}

void balancer_fixture_send_packet(void)
{
	struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_port = htons(PACKET_PORT),
		.sin_addr = balancer_fixture_address(),
	};
	uint8_t packet[DATAGRAM_HEADER_BYTES] = { [18] = 0x04 }; /* SYN */
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	ck_assert_int_eq(sendto(fd, packet, sizeof(packet), 0,
				(struct sockaddr *)&target, sizeof(target)),
			 sizeof(packet));
	close(fd);
}
