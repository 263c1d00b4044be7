#ifndef PARSLEYLADDER_SHARING_SHARING_MESSAGE_H
#define PARSLEYLADDER_SHARING_SHARING_MESSAGE_H

/**
 * Messages by which balancers replicate the published state. Each one is
 * msgpack in one datagram.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "sharing/members.h"
#include "steering/host_speeds.h"
#include "steering/host_table.h"
#include "steering/response_size.h"
#include "steering/zone_drains.h"
#include "steering/zone_load.h"

/** Maximum datagram size; avoids fragmentation on usual links. */
#define SHARING_DATAGRAM_BYTES 1400
/** Maximum bytes of encoded routes in one message. */
#define ROUTES_CHUNK_BYTES 1000
/**
 * Numbers of the chunks of the extended encoding of the routes start after it,
 * those of the plain one with 1. No plain encoding has that many chunks, so a
 * balancer of the previous version answers without a chunk.
 */
#define ROUTES_EXTENDED_CHUNKS 0x1000000
/** Maximum host loads in one message; such a message carries no hosts. */
#define HOST_LOADS_MAX 192

/** Maximum hosts in one report of response times. */
#define SPEED_REPORTS_MAX 64
/** Speeds are below it, because its bit carries the failing mark. */
#define HOST_SPEED_PERMILLE_LIMIT 0x8000
/** Maximum hosts in one message with speeds. */
#define HOST_SPEEDS_MAX 192

enum sharing_message_kind {
	SHARING_GOSSIP_REQUEST = 1, /* lists members and requests others */
	SHARING_GOSSIP_RESPONSE, /* lists members */
	SHARING_POLL, /* requests updates */
	SHARING_UPDATE, /* response to a poll, or pushed */
	SHARING_LOOKUP_REQUEST, /* requests the host that has a token */
	SHARING_LOOKUP_RESPONSE, /* sent if the host is known */
	SHARING_ZONE_DRAINS, /* drained zones; members before it ignore it */
	SHARING_ZONE_LOADS, /* reports loads of zones */
	/*
	 * Samples of response times and lengths, or the speeds and marks that
	 * result from them.
	 */
	SHARING_HOST_SPEEDS,
	SHARING_KINDS,
};

/** Open flows of a host, counted by one balancer or by all of a zone. */
struct host_load {
	uint32_t token;
	uint16_t flows;
};

/** Samples of one host: response times, and lengths of responses. */
struct host_sample_report {
	struct host_speed_report speed; /* has the token of the host */
	struct response_size_report sizes;
};

/** Speed of a host relative to its peers. */
struct host_speed_entry {
	uint32_t token;
	uint16_t speed_permille; /* below HOST_SPEED_PERMILLE_LIMIT */
	bool is_failing;
};

/** A host that was added, changed or removed. */
struct host_update {
	bool is_removed; /* only id and position of @host are set */
	struct host_announcement host;
};

struct sharing_message {
	enum sharing_message_kind kind;
	uint32_t zone; /* of the sender */
	uint16_t capacity; /* of the sender */
	/*
	 * The message carries the era of its positions. Members of the
	 * previous version send none (it is 0 then), and do not understand a
	 * SHARING_LOOKUP_RESPONSE or SHARING_ZONE_DRAINS that has one.
	 */
	bool has_era;

	/* SHARING_GOSSIP_REQUEST, SHARING_GOSSIP_RESPONSE */
	uint32_t replica_age_ms; /* of the sender */
	struct member_entry members[MEMBER_SAMPLE_MAX];
	size_t member_count;

	/*
	 * SHARING_POLL: state of the sender. SHARING_UPDATE: state of the
	 * receiver after applying the message. SHARING_LOOKUP_RESPONSE:
	 * position at which the host was removed; the revision is 0 if it was
	 * not. SHARING_ZONE_DRAINS: if complete, it has all changes of drains
	 * up to @position. All positions in a message are of one era.
	 */
	struct store_position position;
	uint64_t routes_version; /* 0 for none */

	/* SHARING_POLL, SHARING_UPDATE */
	bool is_listing; /* pages of hosts in order of id */
	/* SHARING_POLL: continue after it. SHARING_UPDATE: end of the hosts. */
	char cursor[HOST_ID_BYTES_MAX + 1];
	struct host_load loads[HOST_LOADS_MAX];
	size_t load_count;

	uint32_t token; /* SHARING_LOOKUP_REQUEST */

	/*
	 * SHARING_ZONE_LOADS: of a follower, what it observes; of a leader, the
	 * sums of its zone to other leaders, and the totals to its followers.
	 * Entries without a service only name the leader of a zone.
	 */
	struct zone_load_entry zone_loads[ZONE_LOAD_ENTRIES_MAX];
	size_t zone_load_count;
	/* SHARING_HOST_SPEEDS: either samples or speeds. */
	struct host_sample_report speed_reports[SPEED_REPORTS_MAX];
	size_t speed_report_count;
	/*
	 * Speeds of the hosts with tokens in this range, by token; one that is
	 * missing has the speed of its peers and does not fail. The range of a report is empty.
	 */
	uint32_t first_token;
	uint32_t last_token;
	struct host_speed_entry speeds[HOST_SPEEDS_MAX];
	size_t speed_count;

	/* SHARING_POLL: requested chunk of the routes, 0 for none. */
	/* SHARING_UPDATE: chunk in this message, 0 for none. */
	uint32_t chunk; /* from 1, or from ROUTES_EXTENDED_CHUNKS + 1 */

	/* SHARING_UPDATE */
	/*
	 * The message holds all changes after this revision. In the response
	 * to a poll with a cursor: page id, see page_id().
	 */
	uint64_t base_revision;
	/*
	 * Time since the sender's replica was confirmed; UINT32_MAX if a
	 * listing was rejected or the replica is incomplete.
	 */
	uint32_t update_age_ms;
	bool has_more; /* poll again at once for the rest */
	bool needs_listing; /* removals after the revision may be missing */
	uint32_t chunk_count;
	const uint8_t *chunk_data; /* points into the datagram */
	size_t chunk_bytes;
	/*
	 * Elements are struct host_update; NULL for none. Also in a
	 * SHARING_LOOKUP_RESPONSE: the host as it was published.
	 */
	GArray *hosts;

	/* SHARING_ZONE_DRAINS: state of the sender */
	bool is_complete; /* a listing of the store is part of it */
	bool is_reply; /* no reply is expected */
	/* See zone_drains_listed_position(). */
	struct store_position listed_position;
	GArray *drains; /* struct zone_drain, by zone; NULL for none */
};

/** Encodes @message; the caller frees the result. */
GByteArray *sharing_message_encode(const struct sharing_message *message);
/**
 * Returns false and fills @error (ERROR_PEER) if the datagram is not a valid
 * message; nothing is to be freed then. Otherwise the caller calls
 * sharing_message_clear().
 */
bool sharing_message_decode(const uint8_t *data, size_t length,
			    struct sharing_message *message,
			    struct error *error);
void sharing_message_clear(struct sharing_message *message);
/** Encoded size of @update, in bytes. */
size_t host_update_bytes(const struct host_update *update);

#endif
