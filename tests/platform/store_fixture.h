#ifndef PARSLEYLADDER_TESTS_PLATFORM_STORE_FIXTURE_H
#define PARSLEYLADDER_TESTS_PLATFORM_STORE_FIXTURE_H

/**
 * A store client and a simulated store, whose next responses a test chooses.
 */

#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/store.h"

/*
 * The simulated store runs in the same main loop. With 200 ms, a stall of the
 * test process on a busy machine was taken for a missing response.
 */
#define RESPONSE_TIMEOUT_MS 5000

/* Next response of the simulated store. */
enum behaviour {
	RESPOND,
	RESPOND_UNAVAILABLE, /* 503 */
	RESPOND_HISTORY_GONE, /* 410 to a watch */
	NO_RESPONSE, /* never responds */
	RESPOND_MALFORMED,
	RESPOND_SLOWLY, /* each part before the timeout, all of it after */
	RESPOND_IN_PART, /* and no more */
	RESPOND_TOO_MUCH, /* to a watch */
};

/* Parts of a slow response, and the pause between them. */
#define SLOW_PARTS 6
#define SLOW_PAUSE_MS (RESPONSE_TIMEOUT_MS / 4)
/* More than the client accepts. */
#define TOO_MUCH_BYTES (9 * 1024 * 1024)

struct store_fixture {
	SoupServer *server;
	struct store *store;
	enum behaviour behaviour;
	uint32_t behaviour_count; /* responses that it still applies to */
	uint32_t behaviour_call; /* first call that it applies to */
	uint32_t calls;
	uint32_t listings; /* first pages requested */
	uint64_t revision;
	uint32_t page_size; /* hosts per page */
	uint32_t host_count;
	uint32_t pending_changes; /* changes that no watch has reported */
	GHashTable *reported_ids; /* ids that the client reported */
	uint32_t listing_ends;
	uint32_t first_pages;
	bool has_more; /* of the last first page */
	bool stops_at_first_page;
	uint32_t outages;
	uint32_t recoveries;
	uint32_t misses; /* times that changes could not be had */
	const char *era; /* header of the responses; NULL for none */
	/* Calls after which the header is next_era; 0 for never. */
	uint32_t era_calls;
	const char *next_era;
	uint32_t era_changes;
	uint32_t eras_missing;
	uint64_t reported_era; /* of the last item */
	struct store_position confirmed;
	SoupServerMessage *paused_message;
	uint32_t parts; /* of the paused message that were sent */
	uint32_t parts_max;
	guint part_timer;
};

extern struct store_fixture fixture;

void store_open(void);
void store_close(void);
void loop_run(uint32_t ms);
/** Runs the loop until @count listings have ended, 5 s at most. */
void listings_wait(uint32_t count);

#endif
