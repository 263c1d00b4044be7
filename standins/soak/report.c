#include <stdarg.h>
#include <stdio.h>

#include "standins/soak/soak.h"

const char *const soak_check_names[SOAK_CHECKS] = {
	[CHECK_FLOW_RESET] = "flow_reset",
	[CHECK_FLOW_MOVED] = "flow_moved",
	[CHECK_FOREIGN_SERVICE] = "foreign_service",
	[CHECK_REPEATED] = "repeated",
	[CHECK_DRAIN] = "drain",
	[CHECK_ZONE_DRAIN] = "zone_drain",
	[CHECK_SLOW_START] = "slow_start",
	[CHECK_ROUTE_LATE] = "route_late",
	[CHECK_PROCESS_ENDED] = "process_ended",
	[CHECK_RESOURCES] = "resources",
	[CHECK_RECOVERY] = "recovery",
};

int64_t soak_now(const struct soak *soak)
{
	return clock_now_ns(soak->clock);
}

static void line_print(const struct soak *soak, const char *kind,
		       const char *format, va_list values)
{
	char text[512];

	vsnprintf(text, sizeof(text), format, values);
	printf("seed=%u at=%.3f %s %s\n", soak->seed,
	       (double)(soak_now(soak) - soak->started_ns) / NS_PER_S, kind,
	       text);
	fflush(stdout);
}

void soak_violation_report(struct soak *soak, enum soak_check check,
			   const char *format, ...)
{
	va_list values;

	soak->violations[check]++;
	va_start(values, format);
	line_print(soak, soak_check_names[check], format, values);
	va_end(values);
}

void soak_fault_print(struct soak *soak, const char *format, ...)
{
	va_list values;

	va_start(values, format);
	line_print(soak, "fault", format, values);
	va_end(values);
}
