#ifndef PARSLEYLADDER_TESTS_SHARING_NETWORK_H
#define PARSLEYLADDER_TESTS_SHARING_NETWORK_H

/**
 * Simulated balancers that replicate the published state over a network and a
 * store that the test controls, on one manual clock.
 */

#include <stdint.h>

#include "sharing/sharing.h"

#define NODES_MAX 400
/** Address of a balancer that the test itself stands for. */
#define NETWORK_OUTSIDER 0x0a00ffff

/** A host that was removed from the store. */
struct withdrawal {
	char id[HOST_ID_BYTES_MAX + 1];
	uint64_t revision;
};

/** A request to drain a zone that was published or withdrawn. */
struct drain_change {
	char zone[NAME_BYTES_MAX + 1];
	uint64_t revision;
	bool is_active;
};

struct node {
	struct network *network;
	uint32_t address;
	const char *zone;
	uint32_t starts; /* processes so far */
	struct steering *steering;
	struct sharing *sharing;
	struct replica_status replica_status;
	bool is_store_reader;
	bool is_down; /* sends and receives nothing */
	uint32_t partition; /* only nodes of the same one are reachable */
	bool is_rejected; /* the store rejects its requests */
	/* Answers polls for the extended encoding as the previous version. */
	bool has_plain_routes_only;
	/* Of the previous version: knows no messages about drained zones. */
	bool is_previous_version;
	/* Of the build before this one: its messages have no eras. */
	bool knows_no_eras;
	/* The node watches the store from store_position on. */
	bool store_is_synced; /* else it has to list */
	bool has_slow_start; /* the test has set its slow-start limits */
	struct store_position store_position;
	int64_t store_read_ns; /* last read of the store */
	int64_t listing_end_ns; /* of its store listing; 0 for none */
	uint64_t listing_era; /* of the store when it began */
	int64_t start_ns; /* down until then; 0 if it was started */
	int64_t synced_ns; /* when hosts and routes were received */
	uint32_t store_calls;
	uint32_t store_listings;
	uint64_t bytes_sent;
	uint32_t drain_messages; /* sent */
	int64_t drained_ns; /* when a zone was last drained */
};

struct network {
	struct manual_clock clock;
	uint32_t elapsed_ms;
	struct node nodes[NODES_MAX];
	uint32_t node_count;
	uint32_t zone_count; /* node i is in zone i % zone_count */
	bool is_store_down;
	uint32_t cold_ms; /* slow start of hosts that are published */
	uint32_t listing_ms; /* time of a listing on the store's link */
	int64_t link_free_ns; /* the store's link is busy until then */
	struct store_position store_position;
	GArray *withdrawn; /* struct withdrawal */
	GArray *drain_changes; /* struct drain_change, oldest first */
	GPtrArray *hosts; /* published, struct host_announcement */
	struct routing *routing; /* published */
	uint64_t routing_revision;
	GQueue packets; /* in flight, by time of delivery */
	GRand *random;
	/*
	 * For the messages that were added later, so that the known seeds of
	 * the explorer lose the same packets as before.
	 */
	GRand *later_random;
	uint32_t drain_loss_permille; /* of messages about drained zones */
	uint32_t loss_permille;
	uint32_t duplicate_permille;
	uint32_t jitter_ms; /* of the delay of each packet */
	bool has_host_speeds; /* of processes that start from now on */
	bool has_failing_hosts; /* likewise: whether hosts are marked */
	/* Datagrams to NETWORK_OUTSIDER, one after the other. */
	GByteArray *outsider_data;
};

/** Spreads nodes over the zones; the first three nodes are the seeds. */
void network_open(struct network *network, uint32_t nodes, uint32_t zones);
/** Opens a network, publishes hosts and routes and waits until all know them. */
void network_open_filled(struct network *network, uint32_t nodes,
			 uint32_t zones, uint32_t hosts, uint32_t routes);
void network_close(struct network *network);
void network_run(struct network *network, uint32_t ms);
/** Publishes a host or changes it; returns its revision. */
uint64_t network_publish_host(struct network *network, uint32_t number,
			      bool is_draining);
/** Publishes a host again, with another service. */
void network_move_host(struct network *network, uint32_t number,
		       const char *service);
void network_withdraw_host(struct network *network, uint32_t number);
/** Publishes a request to drain the zone or withdraws it; returns its revision. */
uint64_t network_drain_zone(struct network *network, const char *zone,
			    bool is_active);
/** True if the zone is to be drained by what is published. */
bool network_zone_is_drained(const struct network *network, const char *zone);
/** Number of running nodes that know whether the zone is drained. */
uint32_t network_drained_count(const struct network *network, const char *zone,
			       bool is_active);
void network_publish_routes(struct network *network, uint64_t version,
			    uint32_t count);
/** Lets a node handle a message from NETWORK_OUTSIDER. */
void network_send_from_outsider(struct network *network, uint32_t index,
				const struct sharing_message *message);
/** Publishes one route, to @service. */
void network_publish_route(struct network *network, uint64_t version,
			   const char *service);
/** A running node of the zone that reads the store; the test fails if none. */
struct node *network_find_reader(struct network *network, uint32_t zone);
uint32_t network_node_index(const struct network *network,
			    const struct node *node);
/** Number of nodes that read the store. */
uint32_t network_reader_count(const struct network *network);
/** Number of nodes that are up and have @revision and the routes. */
uint32_t network_synced_count(const struct network *network, uint64_t revision);
/** Number of nodes that are up and have all that is published. */
uint32_t network_current_count(const struct network *network);
/** Prints what a node knows, and whom it follows. */
void network_node_print(const struct network *network, uint32_t index);
/** True if the node knows all hosts, any routes and, if it can, the drains. */
bool network_node_is_synced(const struct node *node);
/**
 * The store, as it was when the copy was taken. Its positions have no era: the
 * store tells its own with each response.
 */
struct store_copy;

struct store_copy *network_copy_store(const struct network *network);
void network_copy_destroy(struct store_copy *copy);
/**
 * The store comes back from the copy: its era rises, and revisions go back. The
 * routes are published again, as the operator does.
 */
void network_restore_store(struct network *network,
			   const struct store_copy *copy);
/** A step of a node that reads the store. */
void network_node_read(struct network *network, struct node *node);
/** Lets a node read the store at once and push the changes. */
void network_read_now(struct network *network, uint32_t index);
/**
 * Replaces all nodes by new processes without state that start within
 * @spread_ms; the seeds start @seeds_late_ms after the others.
 */
void network_restart_all(struct network *network, uint32_t zones,
			 uint32_t spread_ms, uint32_t seeds_late_ms);
/** Replaces a node by a new process without state. */
void network_restart(struct network *network, uint32_t index);

/**
 * A poll as the previous version reads it: the number of a chunk of the extended
 * encoding is one after the last chunk of the plain encoding. Takes ownership of
 * @data.
 */
GByteArray *network_poll_downgrade(GByteArray *data);

/**
 * A message as a node of the build before this one sends it; NULL if it is the
 * same.
 */
GByteArray *network_era_remove(const uint8_t *data, size_t length);
/** False if the node is of the build before this one and ignores the message. */
bool network_is_understood(const struct node *node, const GByteArray *data);

#endif
