#include <inttypes.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <time.h>

#include "standins/soak/soak.h"

int64_t soak_cold_remaining_ms(const struct soak_host *host)
{
	int64_t remaining_ns = host->cold_until_ns - soak_now(host->soak);

	return host->cold_until_ns != 0 && remaining_ns > 0
		       ? remaining_ns / NS_PER_MS
		       : 0;
}

/*
 * Wall clock time at which the kernel received the last packet of @host: the
 * time at which it is read depends on when the soak runs, and packets that
 * wait are read at once. The first call enables the time stamps.
 */
static int64_t arrival_time_ns(const struct soak_host *host)
{
	struct timespec time;

	if (ioctl(g_socket_get_fd(host->socket), SIOCGSTAMPNS, &time) != 0)
		clock_gettime(CLOCK_REALTIME, &time);
	return time.tv_sec * NS_PER_S + time.tv_nsec;
}

void soak_cold_opening_check(struct soak_host *host)
{
	int64_t arrived_ns;
	uint32_t recent = 0;

	if (soak_cold_remaining_ms(host) == 0)
		return;
	arrived_ns = arrival_time_ns(host);
	host->openings_ns[host->opening_count++ % SOAK_OPENINGS] = arrived_ns;
	for (uint32_t i = 0; i < MIN(host->opening_count, SOAK_OPENINGS); i++)
		recent += arrived_ns - host->openings_ns[i] < NS_PER_S;
	if (recent >= SOAK_COLD_BOUND)
		soak_violation_report(
			host->soak, CHECK_SLOW_START,
			"host %08" PRIx64 " got %u opening packets within 1 s, "
			"%" PRId64 " ms before its slow start ends",
			host->id, recent, soak_cold_remaining_ms(host));
}

void soak_cold_services_print(GString *text, const char *const *names)
{
	g_string_append(text, "\"services\":[");
	for (uint32_t i = 0; i < SOAK_SERVICES; i++)
		g_string_append_printf(text,
				       "%s{\"name\":\"%s\",\"coldStartS\":%d,"
				       "\"coldPerS\":%.1f}",
				       i > 0 ? "," : "", names[i],
				       SOAK_COLD_START_S, SOAK_COLD_PER_S);
	g_string_append(text, "],");
}
