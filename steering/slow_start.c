#include "steering_state.h"

const char *const slow_start_flow_names[SLOW_START_FLOWS] = {
	[SLOW_START_FLOW_MOVED] = "moved",
	[SLOW_START_FLOW_REFUSED] = "refused",
	[SLOW_START_FLOW_DROPPED] = "dropped_copies",
};

void slow_start_open(struct steering *steering)
{
	const struct slow_start_options options = {
		.zone = steering->options.zone,
		.find_rank = steering->options.find_rank,
		.on_changed = steering->options.on_slow_start_limit_changed,
		.context = steering->options.context,
	};

	steering->slow_start = slow_start_limits_create(&options);
}

void steering_set_slow_start(struct steering *steering,
			     const struct slow_start_settings *settings)
{
	slow_start_limits_set(steering->slow_start, settings);
}

bool steering_has_slow_start_limits(const struct steering *steering)
{
	return slow_start_limits_are_active(steering->slow_start);
}

uint32_t steering_limited_host_count(const struct steering *steering)
{
	return slow_start_limits_count(steering->slow_start);
}

const uint64_t *steering_slow_start_counts(const struct steering *steering)
{
	return steering->slow_start_counts;
}

struct slow_start_limits *
slow_start_limits_find(const struct steering *steering)
{
	return slow_start_limits_are_active(steering->slow_start)
		       ? steering->slow_start
		       : NULL;
}

bool slow_start_admit(struct steering *steering, const struct known_host *host,
		      int64_t now_ns)
{
	return slow_start_limits_admit(steering->slow_start, host, now_ns);
}

void slow_start_record(struct steering *steering, const struct known_host *host,
		       int64_t now_ns)
{
	slow_start_limits_record(steering->slow_start, host, now_ns);
}

void slow_start_tick(struct steering *steering, int64_t now_ns)
{
	slow_start_limits_tick(steering->slow_start, steering->hosts, now_ns);
}
