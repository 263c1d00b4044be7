#ifndef PARSLEYLADDER_COMMON_CLOCK_H
#define PARSLEYLADDER_COMMON_CLOCK_H

/**
 * Clock interface. Modules measure time with it only, so tests can drive them
 * with a manual clock. The wall clock is used for log timestamps and the random
 * seed.
 */

#include <stdint.h>
#include <time.h>

#define NS_PER_US INT64_C(1000)
#define NS_PER_MS INT64_C(1000000)
#define NS_PER_S INT64_C(1000000000)

struct clock {
	void (*now)(void *context, struct timespec *out);
	void *context;
};

/** Time of @clock in nanoseconds since an arbitrary fixed point. */
int64_t clock_now_ns(const struct clock *clock);

/**
 * Returns the clock of the machine, CLOCK_BOOTTIME. It keeps counting while the
 * machine is suspended, so that timeouts and ages include a suspension.
 */
const struct clock *clock_system(void);

/** A clock whose time changes only when a test sets it. */
struct manual_clock {
	struct clock clock;
	int64_t now_ns;
};

/** Initializes @manual at @now_ns. The result must not be copied. */
void manual_clock_init(struct manual_clock *manual, int64_t now_ns);

#endif
