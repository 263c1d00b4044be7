#include "admission_service.h"

#include <string.h>

#include "admission_level.h"
#include "common/clock.h"

/* Arrivals are counted, and limits evaluated, in intervals of this length. */
#define INTERVAL_NS (100 * NS_PER_MS)
/*
 * Covers the largest age of a load, the lag of its averages and the window. A
 * power of 2, see ring_index().
 */
#define HISTORY_INTERVALS 32
/*
 * Arrival rates are moving averages over about this many arrivals, so that a
 * balancer with few of them does not take their variation for a change. At 200
 * arrivals per second this is 125 ms.
 */
#define ARRIVALS_AVERAGED 25
#define ARRIVAL_WEIGHT_MIN 0.1
#define ARRIVAL_WEIGHT_MAX 0.5
/* Counts are compared over this many intervals. */
#define WINDOW_INTERVALS 5
/* A level is an average and lags behind the admitted flows that caused it. */
#define LEVEL_LAG_NS (300 * NS_PER_MS)
/* Room is short above both; see docs/load-and-zones.md, part 6. */
#define LEVEL_SHORT 1.2
#define TIME_RATIO_SHORT 1.5
/*
 * Between these levels, busy slots are proportional to the flows admitted, so
 * the number of flows that fill the slots can be learned.
 */
#define LEARNED_LEVEL_MIN 0.05
#define LEARNED_LEVEL_MAX 0.9
/* Intervals before what was learned is used, and over which it is averaged. */
#define LEARNED_MIN 20
#define LEARNED_MAX 100
/*
 * The first limit leaves a part of the slots free, so that the queues that have
 * formed until then are served within about a second.
 */
#define FIRST_LIMIT_FACTOR 0.8
/* The first limit is at least this part of the arrivals. */
#define FIRST_LIMIT_MIN 0.1
/*
 * Share of each priority that is always admitted. A caller tries three times,
 * so about 6 % of the requests are admitted. With 17,000 attempts per second at
 * five times the usual load, this takes a tenth of 168 slots.
 */
#define SHARE_MIN 0.02
/*
 * Tokens of a service: the flows of this time at the limit, but some flows at
 * least, as a balancer may get only a few per second.
 */
#define TOKENS_NS (250 * NS_PER_MS)
#define TOKENS_MIN 2
/*
 * The load has ended if the arrivals, retries included, fall below this part of
 * their recent maximum. Reports would show it only after a second.
 */
#define LOAD_END_FACTOR 0.3
/* The maximum halves in about 5 s. */
#define PEAK_DECAY 0.985
/* Fewer arrivals per second vary too much to tell. */
#define PEAK_MIN_PER_S 50
/* Queues are being served if the level falls below this part between loads. */
#define DRAIN_FACTOR 0.9
/*
 * A priority with a smaller part of the arrivals does not make the ones below it
 * less urgent ones that may be refused: a single flow would, such as one that
 * checks whether a route works.
 */
#define URGENT_PART_MIN 0.02
/* A priority without arrivals for this long is not in use. */
#define PRIORITY_IDLE_NS (30 * NS_PER_S)
/* The limit is at least this part of the arrivals that are never refused. */
#define LIMIT_URGENT_FACTOR 0.7
/* Fewer admitted flows per second vary too much to be compared. */
#define ADMITTED_MIN_PER_S 20
/* A limit ends when it has refused nobody for this long. */
#define LIMIT_IDLE_NS (1 * NS_PER_S)

struct priority_state {
	uint8_t priority;
	uint32_t arrived; /* in the current interval */
	uint32_t admitted; /* in the current interval */
	double arrivals_per_s; /* moving average */
	double share; /* admitted, 0 to 1; moving average */
	int64_t last_ns; /* of the last arrival */
};

struct admission_service {
	GArray *priorities; /* struct priority_state, in use, by priority */
	int64_t interval; /* current one, now divided by INTERVAL_NS */
	/* By interval, as rings. */
	uint32_t arrived[HISTORY_INTERVALS];
	uint32_t admitted[HISTORY_INTERVALS];
	double limits[HISTORY_INTERVALS]; /* in force in the interval */
	double limit_per_s; /* 0 for none */
	int64_t limited_since; /* first interval with a limit */
	int64_t refused_ns; /* last refusal */
	/*
	 * Flows that may be admitted now, refilled at the limit. Negative if
	 * the most urgent priority has taken more.
	 */
	double tokens;
	int64_t refilled_ns;
	int64_t lifted_ns; /* the last limit ended */
	double peak_per_s; /* recent maximum of the arrivals while limited */
	double flows_per_slot; /* per second; learned while there is room */
	uint32_t learned; /* intervals, up to LEARNED_MAX */
	bool has_load;
	struct admission_load load; /* without its age */
	int64_t measured_ns; /* when the load was measured */
	double previous_level; /* of the load before it */
};

struct admission_service *admission_service_create(int64_t now_ns)
{
	struct admission_service *service = g_new0(struct admission_service, 1);

	service->priorities =
		g_array_new(FALSE, FALSE, sizeof(struct priority_state));
	service->interval = now_ns / INTERVAL_NS;
	service->lifted_ns = INT64_MIN / 2;
	return service;
}

void admission_service_destroy(struct admission_service *service)
{
	g_array_unref(service->priorities);
	g_free(service);
}

static struct priority_state *
priority_at(const struct admission_service *service, guint index)
{
	return &g_array_index(service->priorities, struct priority_state,
			      index);
}

/* Index of the priority in the sorted list; adds it if it was not in use. */
static guint priority_find(struct admission_service *service, uint8_t priority)
{
	struct priority_state added = { .priority = priority, .share = 1 };
	guint index = 0;

	while (index < service->priorities->len &&
	       priority_at(service, index)->priority < priority)
		index++;
	if (index == service->priorities->len ||
	    priority_at(service, index)->priority != priority)
		g_array_insert_val(service->priorities, index, added);
	return index;
}

static double level_of(const struct admission_load *load)
{
	return load->busy_slots / load->usable_slots;
}

static bool is_short(const struct admission_load *load)
{
	return level_of(load) > LEVEL_SHORT && load->unloaded_time_ns > 0 &&
	       (double)load->mean_time_ns >
		       TIME_RATIO_SHORT * (double)load->unloaded_time_ns;
}

/* Early after the start of the machine, intervals may be negative. */
static size_t ring_index(int64_t interval)
{
	return (uint64_t)interval % HISTORY_INTERVALS;
}

/* Mean of a ring per second, in the window that ends with @interval. */
static double window_per_s(const uint32_t *counts, int64_t interval)
{
	uint32_t sum = 0;

	for (int64_t i = interval - WINDOW_INTERVALS + 1; i <= interval; i++)
		sum += counts[ring_index(i)];
	return (double)sum * NS_PER_S / (WINDOW_INTERVALS * INTERVAL_NS);
}

static double arrivals_per_s(const struct admission_service *service)
{
	double sum = 0;

	for (guint i = 0; i < service->priorities->len; i++)
		sum += priority_at(service, i)->arrivals_per_s;
	return sum;
}

/*
 * Index of the most urgent priority with a substantial part of the arrivals.
 * Neither this one nor the rare ones above it are refused.
 */
static guint urgent_index(const struct admission_service *service)
{
	double least = URGENT_PART_MIN * arrivals_per_s(service);
	guint index = 0;

	while (index + 1 < service->priorities->len &&
	       priority_at(service, index)->arrivals_per_s < least)
		index++;
	return index;
}

static double urgent_arrivals_per_s(const struct admission_service *service)
{
	guint last = urgent_index(service);
	double sum = 0;

	for (guint i = 0; i <= last; i++)
		sum += priority_at(service, i)->arrivals_per_s;
	return sum;
}

/* The interval whose admitted flows caused the level that was measured. */
static int64_t cause_interval(const struct admission_service *service)
{
	return (service->measured_ns - LEVEL_LAG_NS) / INTERVAL_NS;
}

/* Learns how many flows per second keep a slot busy. */
static void flows_learn(struct admission_service *service)
{
	double level = level_of(&service->load);
	double flows;

	if (level < LEARNED_LEVEL_MIN || level > LEARNED_LEVEL_MAX)
		return;
	flows = window_per_s(service->admitted, cause_interval(service)) /
		service->load.busy_slots;
	if (service->learned < LEARNED_MAX)
		service->learned++;
	service->flows_per_slot +=
		(flows - service->flows_per_slot) / service->learned;
}

/* The hosts have just become full: what was learned tells what they take. */
static double first_limit(const struct admission_service *service)
{
	double arrivals = arrivals_per_s(service);
	double limit;

	if (service->learned < LEARNED_MIN)
		return arrivals *
		       admission_level_factor(level_of(&service->load));
	limit = FIRST_LIMIT_FACTOR * service->flows_per_slot *
		service->load.usable_slots;
	return MAX(limit, FIRST_LIMIT_MIN * arrivals);
}

/*
 * The limit follows from the one that was in force when the level was caused.
 * So a load that is evaluated repeatedly, or was measured before the last
 * changes had an effect, changes nothing again.
 */
static double next_limit(const struct admission_service *service)
{
	int64_t cause = cause_interval(service);
	double level = level_of(&service->load);
	double limit = service->limits[ring_index(cause)];
	double urgent = urgent_arrivals_per_s(service);
	double admitted;
	double factor;

	if (cause <= service->limited_since)
		return service->limit_per_s;
	/* A limit above the arrivals was not what filled the hosts. */
	admitted = window_per_s(service->admitted, cause);
	if (level > LEVEL_SHORT && admitted >= ADMITTED_MIN_PER_S)
		limit = MIN(limit, 1.25 * admitted);
	factor = admission_level_factor(level);
	if (level < DRAIN_FACTOR * service->previous_level)
		factor = MAX(factor, 1);
	limit *= factor;
	/* Much lower limits have no effect, and take long to rise again. */
	return MAX(limit, LIMIT_URGENT_FACTOR * urgent);
}

static bool load_has_ended(const struct admission_service *service,
			   int64_t now_ns)
{
	if (service->peak_per_s >= PEAK_MIN_PER_S &&
	    window_per_s(service->arrived, service->interval - 1) <
		    LOAD_END_FACTOR * service->peak_per_s)
		return true;
	return !is_short(&service->load) &&
	       now_ns - service->refused_ns > LIMIT_IDLE_NS;
}

static void limit_set(struct admission_service *service, int64_t now_ns)
{
	service->limit_per_s = first_limit(service);
	service->limited_since = service->interval;
	service->refused_ns = now_ns;
	service->peak_per_s = arrivals_per_s(service);
	service->tokens = 0;
	service->refilled_ns = now_ns;
}

static void limit_update(struct admission_service *service, int64_t now_ns)
{
	service->peak_per_s =
		MAX(PEAK_DECAY * service->peak_per_s, arrivals_per_s(service));
	service->limit_per_s = next_limit(service);
	if (!load_has_ended(service, now_ns))
		return;
	service->limit_per_s = 0;
	service->lifted_ns = now_ns;
}

static void limit_evaluate(struct admission_service *service, int64_t now_ns)
{
	if (!service->has_load || service->priorities->len < 2 ||
	    now_ns - service->measured_ns > ADMISSION_LOAD_AGE_MAX_NS)
		service->limit_per_s = 0;
	else if (service->limit_per_s > 0)
		limit_update(service, now_ns);
	else if (!is_short(&service->load))
		flows_learn(service);
	else if (service->measured_ns > service->lifted_ns + LEVEL_LAG_NS)
		limit_set(service, now_ns);
}

static double arrival_weight(const struct priority_state *state)
{
	double expected = state->arrivals_per_s * INTERVAL_NS / NS_PER_S;
	double weight = MAX(state->arrived, expected) / ARRIVALS_AVERAGED;

	return CLAMP(weight, ARRIVAL_WEIGHT_MIN, ARRIVAL_WEIGHT_MAX);
}

static void interval_end(struct admission_service *service)
{
	size_t index = ring_index(service->interval++);

	service->arrived[index] = 0;
	service->admitted[index] = 0;
	service->limits[index] = service->limit_per_s;
	for (guint i = 0; i < service->priorities->len; i++) {
		struct priority_state *state = priority_at(service, i);
		double rate = (double)state->arrived * NS_PER_S / INTERVAL_NS;

		service->arrived[index] += state->arrived;
		service->admitted[index] += state->admitted;
		state->arrivals_per_s +=
			arrival_weight(state) * (rate - state->arrivals_per_s);
		if (state->arrived > 0)
			state->share +=
				arrival_weight(state) *
				((double)state->admitted / state->arrived -
				 state->share);
		state->arrived = 0;
		state->admitted = 0;
	}
}

static void priorities_expire(struct admission_service *service, int64_t now_ns)
{
	for (guint i = service->priorities->len; i-- > 0;) {
		if (now_ns - priority_at(service, i)->last_ns >
		    PRIORITY_IDLE_NS)
			g_array_remove_index(service->priorities, i);
	}
}

bool admission_service_update(struct admission_service *service, int64_t now_ns)
{
	int64_t interval = now_ns / INTERVAL_NS;

	if (interval == service->interval)
		return false;
	/* After a pause of the process only the end of it counts. */
	if (interval - service->interval > HISTORY_INTERVALS)
		service->interval = interval - HISTORY_INTERVALS;
	while (service->interval < interval)
		interval_end(service);
	priorities_expire(service, now_ns);
	limit_evaluate(service, now_ns);
	return true;
}

void admission_service_set_load(struct admission_service *service,
				const struct admission_load *load,
				int64_t now_ns)
{
	bool had_load = service->has_load;
	int64_t measured_ns;

	service->has_load = load && load->usable_slots > 0;
	if (!service->has_load)
		return;
	measured_ns = now_ns - MAX(load->age_ns, 0);
	if (!had_load || measured_ns - service->measured_ns >= INTERVAL_NS)
		service->previous_level = had_load ? level_of(&service->load)
						   : 0;
	service->load = *load;
	service->measured_ns = measured_ns;
}

static double tokens_max(const struct admission_service *service)
{
	return MAX(service->limit_per_s * TOKENS_NS / NS_PER_S, TOKENS_MIN);
}

static void tokens_refill(struct admission_service *service, int64_t now_ns)
{
	double added = service->limit_per_s *
		       (double)(now_ns - service->refilled_ns) / NS_PER_S;

	service->tokens = MIN(service->tokens + added, tokens_max(service));
	service->refilled_ns = now_ns;
}

/* The less urgent a priority, the more tokens it leaves to the others. */
static double tokens_needed(const struct admission_service *service,
			    guint index)
{
	guint urgent = urgent_index(service);
	double part = (double)(index - urgent - 1) /
		      (service->priorities->len - urgent - 1);

	return 1 + part * (tokens_max(service) - 1);
}

static void tokens_take(struct admission_service *service)
{
	service->tokens = MAX(service->tokens - 1, -tokens_max(service));
}

static enum admission_reason decide(const struct admission_service *service,
				    guint index, int64_t now_ns, GRand *random)
{
	if (!service->has_load)
		return ADMISSION_NO_LOAD;
	if (now_ns - service->measured_ns > ADMISSION_LOAD_AGE_MAX_NS)
		return ADMISSION_LOAD_OLD;
	if (service->priorities->len < 2)
		return ADMISSION_ONE_PRIORITY;
	if (service->limit_per_s <= 0)
		return ADMISSION_ROOM;
	if (index <= urgent_index(service))
		return ADMISSION_MOST_URGENT;
	if (service->tokens >= tokens_needed(service, index) ||
	    g_rand_double(random) < SHARE_MIN)
		return ADMISSION_WITHIN_LIMIT;
	return ADMISSION_NO_ROOM;
}

enum admission_reason admission_service_admit(struct admission_service *service,
					      uint8_t priority, int64_t now_ns,
					      GRand *random)
{
	guint index = priority_find(service, priority);
	struct priority_state *state = priority_at(service, index);
	enum admission_reason reason;

	state->last_ns = now_ns;
	tokens_refill(service, now_ns);
	reason = decide(service, index, now_ns, random);
	state->arrived++;
	if (reason == ADMISSION_NO_ROOM) {
		service->refused_ns = now_ns;
		return reason;
	}
	state->admitted++;
	tokens_take(service);
	return reason;
}

void admission_service_status(const struct admission_service *service,
			      int64_t now_ns, struct admission_status *status)
{
	guint count = service->priorities->len;

	memset(status, 0, sizeof(*status));
	status->is_limited = service->limit_per_s > 0;
	status->priorities = count;
	status->lowest_share = 1;
	if (count > 0) {
		const struct priority_state *lowest =
			priority_at(service, count - 1);

		status->lowest_priority = lowest->priority;
		status->lowest_share = lowest->share;
	}
	status->limit_per_s = service->limit_per_s;
	status->arrivals_per_s = arrivals_per_s(service);
	status->has_load = service->has_load;
	status->load = service->load;
	status->load.age_ns = now_ns - service->measured_ns;
}
