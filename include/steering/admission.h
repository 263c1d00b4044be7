#ifndef PARSLEYLADDER_STEERING_ADMISSION_H
#define PARSLEYLADDER_STEERING_ADMISSION_H

/**
 * Admission of new flows by the priority of their routes (load shedding). While
 * the hosts of a service are full, a balancer limits the rate of opening
 * packets that it admits for the service, and refuses those of the less urgent
 * routes. The most urgent priority in use is never refused.
 *
 * The limit is feedback: it follows the level (busy over usable slots) of the
 * service over all zones. It is a rate and not a share, so retries of refused
 * callers lower the share that is admitted but not the load of the hosts. The
 * shares of the priorities are feed-forward: they follow from the limit and
 * this balancer's own arrivals. All state is local and bounded; the clock is
 * passed in.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Load of a service over all zones, as last reported. */
struct admission_load {
	double busy_slots; /* queued requests included */
	double usable_slots;
	int64_t mean_time_ns; /* of a request at its host, queueing included */
	int64_t unloaded_time_ns; /* lowest recent mean; 0 if not known */
	int64_t age_ns;
};

enum admission_reason {
	ADMISSION_OFF,
	ADMISSION_NO_LOAD, /* the load is not known */
	ADMISSION_LOAD_OLD, /* older than ADMISSION_LOAD_AGE_MAX_NS */
	ADMISSION_ONE_PRIORITY, /* no other priority is in use */
	ADMISSION_ROOM, /* the hosts are not full, so there is no limit */
	ADMISSION_MOST_URGENT, /* limited, but never for this priority */
	ADMISSION_WITHIN_LIMIT, /* limited, admitted as part of the share */
	ADMISSION_NO_ROOM, /* refused */
	ADMISSION_REASONS,
};

/** Loads older than this are not used. */
#define ADMISSION_LOAD_AGE_MAX_NS (2 * INT64_C(1000000000))
/**
 * Priority classes of the counters: priorities 0 to 6 have one each, and all
 * others share the last one. Decisions distinguish all priorities.
 */
#define ADMISSION_CLASSES 8

/** State of one service, for the log and the state dump. */
struct admission_status {
	const char *service;
	bool is_limited;
	uint32_t priorities; /* in use */
	uint8_t lowest_priority; /* the least urgent one in use */
	double limit_per_s; /* opening packets admitted here; 0 for no limit */
	double arrivals_per_s; /* opening packets received here */
	double lowest_share; /* admitted of lowest_priority, 0 to 1 */
	bool has_load;
	struct admission_load load; /* age_ns at the time of the status */
};

struct admission;

struct admission_options {
	/**
	 * The limit of a service was set or lifted, or its lowest share changed
	 * by more than 0.1; at most once a second for each service. May be
	 * NULL.
	 */
	void (*on_changed)(void *context,
			   const struct admission_status *status);
	void *context;
};

struct admission *admission_create(const struct admission_options *options);
/** Accepts NULL. */
void admission_destroy(struct admission *admission);
/** Off initially. Turning it off forgets all limits. */
void admission_set_enabled(struct admission *admission, bool is_enabled);
/**
 * Decides about an opening packet of a route with @priority, 0 being the most
 * urgent, to @service, and counts it. Must not be called for copies of opening
 * packets. @load may be NULL. @random is used only while a limit is in force.
 */
enum admission_reason admission_admit(struct admission *admission,
				      const char *service, uint8_t priority,
				      const struct admission_load *load,
				      int64_t now_ns, GRand *random);
/**
 * Brings all services up to date, so that limits end without further arrivals,
 * and forgets services that are not used. Call it every 100 ms.
 */
void admission_tick(struct admission *admission, int64_t now_ns);
/** Calls @visit for each service that had arrivals recently. */
void admission_foreach(const struct admission *admission, int64_t now_ns,
		       void (*visit)(void *context,
				     const struct admission_status *status),
		       void *context);

extern const char *const admission_reason_names[ADMISSION_REASONS];
extern const char *const admission_class_names[ADMISSION_CLASSES];
/** Decisions so far, by reason: ADMISSION_REASONS values. */
const uint64_t *admission_reason_counts(const struct admission *admission);
/** Admitted opening packets by priority class: ADMISSION_CLASSES values. */
const uint64_t *admission_admitted_counts(const struct admission *admission);
/** Refused opening packets by priority class: ADMISSION_CLASSES values. */
const uint64_t *admission_refused_counts(const struct admission *admission);

#endif
