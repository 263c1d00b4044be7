#include "common/clock.h"

static void system_now(void *context, struct timespec *out)
{
	(void)context;
	clock_gettime(CLOCK_BOOTTIME, out);
}

static void manual_now(void *context, struct timespec *out)
{
	const struct manual_clock *manual = context;

	out->tv_sec = manual->now_ns / NS_PER_S;
	out->tv_nsec = manual->now_ns % NS_PER_S;
}

int64_t clock_now_ns(const struct clock *clock)
{
	struct timespec now;

	clock->now(clock->context, &now);
	return now.tv_sec * NS_PER_S + now.tv_nsec;
}

const struct clock *clock_system(void)
{
	static const struct clock clock = { .now = system_now };

	return &clock;
}

void manual_clock_init(struct manual_clock *manual, int64_t now_ns)
{
	manual->now_ns = now_ns;
	manual->clock.now = manual_now;
	manual->clock.context = manual;
}
