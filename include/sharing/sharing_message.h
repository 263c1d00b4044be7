#ifndef PARSLEYLADDER_SHARING_SHARING_MESSAGE_H
#define PARSLEYLADDER_SHARING_SHARING_MESSAGE_H

/**
 * Messages between balancers that share what is published, as msgpack in one
 * datagram each.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "sharing/members.h"
#include "steering/host_table.h"

/** Longest datagram, so that none is fragmented on usual links. */
#define SHARING_DATAGRAM_BYTES 1400
/** Bytes of routes in one message. */
#define ROUTES_CHUNK_BYTES 1000
/** Open flows of hosts in one message, which then names no other hosts. */
#define HOST_LOADS_MAX 192

enum sharing_message_kind {
	SHARING_GOSSIP_REQUEST = 1, /* names members and asks for some */
	SHARING_GOSSIP_RESPONSE, /* answers it */
	SHARING_POLL, /* asks for news */
	SHARING_UPDATE, /* answers it, or comes unasked */
	SHARING_LOOKUP_REQUEST, /* asks for the host that has a token */
	SHARING_LOOKUP_RESPONSE, /* answers it, if the host is known */
	SHARING_KINDS,
};

/** Open flows of a host, as one balancer or all of a zone count them. */
struct host_load {
	uint32_t token;
	uint16_t flows;
};

/** A host that changed or ended. */
struct host_update {
	bool is_removed; /* only id and revision of @host are set */
	struct host_announcement host;
};

struct sharing_message {
	enum sharing_message_kind kind;
	uint32_t zone; /* of the sender */
	uint16_t capacity; /* of the sender */

	/* SHARING_GOSSIP_REQUEST, SHARING_GOSSIP_RESPONSE */
	uint32_t replica_age_ms; /* of what the sender knows */
	struct member_entry members[MEMBER_SAMPLE_MAX];
	size_t member_count;

	/*
	 * SHARING_POLL: what the sender has. SHARING_UPDATE: what the receiver
	 * has once it has taken over the message.
	 */
	uint64_t revision;
	uint64_t routes_version; /* 0 for none */
	bool is_listing; /* hosts come page by page in order of id */
	char cursor[HOST_ID_BYTES_MAX + 1]; /* last id of the page */
	struct host_load loads[HOST_LOADS_MAX];
	size_t load_count;

	uint32_t token; /* SHARING_LOOKUP_REQUEST */
	/*
	 * SHARING_LOOKUP_RESPONSE: @hosts holds the host as it was published, @revision
	 * is the one at which it ended, 0 if it did not.
	 */

	/* SHARING_POLL: the chunk of routes that is wanted, 0 for none. */
	/* SHARING_UPDATE: the chunk that is carried, 0 for none. */
	uint32_t chunk; /* from 1 */

	/* SHARING_UPDATE */
	/*
	 * The message holds all changes after this revision; of a page of a
	 * listing, it names the page.
	 */
	uint64_t base_revision;
	uint32_t update_age_ms; /* since all this was known to be current */
	bool has_more; /* a further poll brings more at once */
	bool needs_listing; /* the changes since the revision are not known */
	uint32_t chunk_count;
	const uint8_t *chunk_data; /* valid as long as the datagram */
	size_t chunk_bytes;
	GArray *hosts; /* struct host_update; NULL for none */
};

/** Encodes @message; the caller frees the result. */
GByteArray *sharing_message_encode(const struct sharing_message *message);
/**
 * Returns false and fills @error (ERROR_PEER) if the datagram is no message.
 * Frees what it needs itself; otherwise the caller calls
 * sharing_message_clear().
 */
bool sharing_message_decode(const uint8_t *data, size_t length,
			    struct sharing_message *message,
			    struct error *error);
void sharing_message_clear(struct sharing_message *message);
/** Bytes that @update adds to a message. */
size_t host_update_bytes(const struct host_update *update);

#endif
