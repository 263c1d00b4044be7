#ifndef PARSLEYLADDER_SHARING_SHARING_H
#define PARSLEYLADDER_SHARING_SHARING_H

/**
 * Lets few balancers read what is published and the others follow them: in
 * each zone the first member in rank reads, and the others poll it. A reader
 * that does not answer, or whose news are old, is passed over; a balancer that
 * finds nobody with fresh news reads for itself. No election: two readers do
 * no harm. Pure: no I/O, the clock is passed in.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counters.h"
#include "sharing/members.h"
#include "sharing/sharing_message.h"
#include "steering/steering.h"

/** What is known of what is published, and how well. */
struct replica_status {
	bool is_complete; /* a listing was taken over to its end */
	uint64_t revision; /* all changes up to it are known */
	int64_t confirmed_ns; /* it was current then; 0 for never */
	const char *source; /* of the last change: "none", "store", "peer" */
};

enum sharing_counter {
	SHARING_POLLS_SENT,
	SHARING_POLLS_ANSWERED, /* of other balancers */
	SHARING_POLL_TIMEOUTS, /* own ones without an answer in time */
	SHARING_UPDATES_APPLIED,
	SHARING_UPDATES_REJECTED, /* of another leader, or with a gap */
	SHARING_UPDATES_PUSHED,
	SHARING_LISTINGS_APPLIED, /* taken over from a peer */
	SHARING_LISTINGS_REJECTED, /* too many were served at once */
	SHARING_LOOKUPS_SENT, /* of hosts by their tokens, sent */
	SHARING_LOOKUP_RESPONSES, /* answers to them */
	SHARING_MALFORMED,
	SHARING_LEADER_CHANGES,
	SHARING_BYTES_SENT,
	SHARING_COUNTERS,
};

extern const char *const sharing_counter_names[SHARING_COUNTERS];

#define SHARING_START_TICK_MS 10

struct sharing;

struct sharing_options {
	const struct clock *clock;
	uint32_t address; /* of this balancer, IPv4 in host byte order */
	const char *zone;
	uint16_t capacity; /* share of a core, per mille */
	uint64_t random_seed;
	/** How long a first answer of a member is waited for. */
	uint32_t member_wait_ms;
	struct steering *steering;
	struct replica_status
		*replica_status; /* shared with the reader of the store */
	void (*send)(void *context, uint32_t address, const uint8_t *data,
		     size_t length);
	/** A newer version of the routes; the callee takes a reference. */
	void (*on_routing)(void *context, struct routing *routing);
	/** Follow the store, or stop; called when that changes. */
	void (*on_store_reader_changed)(void *context, bool is_store_reader,
					const char *reason);
	/** Another balancer is followed, 0 for none. */
	void (*on_leader_changed)(void *context, uint32_t address,
				  const char *reason);
	void *context;
};

struct sharing *sharing_create(const struct sharing_options *options);
void sharing_destroy(struct sharing *sharing);
/** Replaces the addresses at which members are looked for. */
void sharing_set_seeds(struct sharing *sharing, const uint32_t *addresses,
		       size_t count);
/**
 * To be called every STEERING_TICK_MS, and every SHARING_START_TICK_MS until
 * hosts and routes are known.
 */
void sharing_tick(struct sharing *sharing);
/** A datagram of another balancer at @address. */
void sharing_handle_datagram(struct sharing *sharing, uint32_t address,
			     const uint8_t *data, size_t length);
/**
 * Asks others for the host that has the token. If one knows it, it is put into
 * the host table, as ended if it is. Bounded to some requests a second.
 */
void sharing_lookup_token(struct sharing *sharing, uint32_t token);
/**
 * The first page of a listing of the store came. If it is not the last one, a
 * balancer that starts may stop reading and wait for members that list.
 */
void sharing_handle_first_page(struct sharing *sharing, bool has_more);
/** Tells the followers what changed. */
void sharing_push(struct sharing *sharing);
/** The process was paused: what is known is as old as the pause. */
void sharing_handle_resume(struct sharing *sharing);
/** Text of a balancer's address, "none" for 0. */
const char *sharing_address_print(uint32_t address,
				  char text[IP_ADDRESS_TEXT_BYTES]);
/** True once the hosts, and the routes if there are any, are known. */
bool sharing_is_synced(const struct sharing *sharing);
bool sharing_is_store_reader(const struct sharing *sharing);
/** Time from a poll to its answer, in microseconds. */
const struct histogram *
sharing_poll_response_times(const struct sharing *sharing);
const uint64_t *sharing_counters(const struct sharing *sharing);
/** Writes members of the JSON object that @builder has open. */
void sharing_print_json(const struct sharing *sharing, JsonBuilder *builder);

#endif
