#ifndef PARSLEYLADDER_CORE_MESSAGE_H
#define PARSLEYLADDER_CORE_MESSAGE_H

/**
 * Messages between the decision cores of two members. Their wire form is the
 * business of peer/message_codec.
 */

#include <stddef.h>
#include <stdint.h>

#include "placement/rendezvous.h"

enum core_message_kind {
	CORE_MESSAGE_LOAD, /* open flows by host of the sender */
	CORE_MESSAGE_MAP_PROPOSAL, /* coordinator to members */
	CORE_MESSAGE_MAP_ACKNOWLEDGEMENT, /* with buckets that must stay open */
	CORE_MESSAGE_MAP_COMMIT,
	CORE_MESSAGE_MAP_REQUEST, /* a member lacks a map or is behind */
	CORE_MESSAGE_MAP_DIGEST, /* versions of maps held by the sender */
	CORE_MESSAGE_RECORDS, /* owner to replicas */
	CORE_MESSAGE_SHARD_PULL, /* new owner to the previous one */
	CORE_MESSAGE_SHARD_STATE, /* records of some shards, in pieces */
	CORE_MESSAGE_SHARD_RELEASE, /* the previous owner has stopped deciding */
	CORE_MESSAGE_ANSWERS, /* hosts of flows that were passed on */
	CORE_MESSAGE_STREAM_ACKNOWLEDGEMENT, /* in-order receipt of a stream */
	CORE_MESSAGE_KINDS,
};

/** Order of sending when the control budget is short; lowest value first. */
enum message_priority {
	MESSAGE_PRIORITY_HEARTBEAT,
	MESSAGE_PRIORITY_RECORDS,
	/* Before maps, which are larger and worthless without their revision. */
	MESSAGE_PRIORITY_REVISION,
	MESSAGE_PRIORITY_MAP,
	MESSAGE_PRIORITY_SHARD,
	MESSAGE_PRIORITY_ANSWER,
	MESSAGE_PRIORITIES,
};

/**
 * Set of shards. Messages name many shards at once: one message a shard used
 * up the control budget for 10 s whenever a member joined.
 */
struct shard_set {
	uint8_t bits[SHARD_COUNT / 8];
};

/** Total order of bucket maps of one service: fields compared in this order. */
struct map_version {
	uint64_t revision;
	uint32_t sequence;
	uint64_t coordinator_id;
};

struct host_load {
	uint32_t host_id;
	int32_t open_flows; /* may be negative: a FIN can meet another member */
};

enum flow_record_flag {
	FLOW_RECORD_ENDED = 0x01, /* the flow is closed, forget the record */
	FLOW_RECORD_UDP = 0x02,
	FLOW_RECORD_PIN = 0x04, /* on base; sent to a new owner for its SYN */
};

struct flow_record {
	uint64_t flow_hash;
	uint32_t service_id;
	uint32_t host_id;
	uint8_t flags;
};

/**
 * One message. Arrays belong to whoever built the message; a receiver copies
 * what it keeps.
 */
struct core_message {
	enum core_message_kind kind;
	uint32_t service_id; /* MAP_* */
	struct map_version version; /* MAP_*, but for MAP_DIGEST */
	/*
	 * MAP_REQUEST of service 0 asks for all digests; they carry its nonce.
	 * 0 in every other digest. A digest that was under way while the
	 * receiver was paused cannot confirm that its maps are current.
	 */
	uint32_t nonce;
	/*
	 * SHARD_PULL, SHARD_RELEASE: the shards meant. SHARD_STATE: the shards
	 * whose last records are in this message.
	 */
	struct shard_set shards;
	uint8_t is_committed; /* MAP_PROPOSAL: already committed */
	/*
	 * RECORDS, SHARD_STATE, SHARD_RELEASE, STREAM_ACKNOWLEDGEMENT: these
	 * messages are numbered and repeated until acknowledged, because a
	 * replica that missed one record would treat the flow as unknown.
	 */
	uint64_t stream;
	uint32_t sequence;
	/*
	 * MAP_PROPOSAL: table of bucket_count entries each.
	 * MAP_ACKNOWLEDGEMENT: only open; 1 if the sender has an exception in a
	 * bucket that the proposal closes. An acknowledgement without the array
	 * does not count, so that a lost field never closes a bucket.
	 */
	uint32_t bucket_count;
	const uint32_t *base; /* host ids */
	const uint32_t *target; /* host ids */
	const uint8_t *open; /* one byte a bucket, 0 or 1 */
	/* LOAD */
	const struct host_load *loads;
	size_t load_count;
	/* MAP_DIGEST: versions, one a service. */
	const struct map_digest {
		uint32_t service_id;
		struct map_version version;
		uint8_t is_committed;
	} * digests;
	size_t digest_count;
	/* RECORDS, SHARD_STATE, ANSWERS */
	const struct flow_record *records;
	size_t record_count;
};

#endif
