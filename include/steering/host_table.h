#ifndef PARSLEYLADDER_STEERING_HOST_TABLE_H
#define PARSLEYLADDER_STEERING_HOST_TABLE_H

/**
 * Hosts as last published, with the health and load that this balancer
 * observed. A host that is no longer published is kept for a while, because it
 * may still serve open flows and may be published again.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/name.h"
#include "common/store_position.h"
#include "packet/packet.h"
#include "steering/host_health.h"
#include "steering/removal_log.h"

/** Longest id of a host in bytes, without the terminating NUL. */
#define HOST_ID_BYTES_MAX 63

/** Published properties of a host. */
struct host_announcement {
	char id[HOST_ID_BYTES_MAX + 1];
	uint64_t target_id; /* sent before each packet, to identify the host */
	struct ip_address address;
	uint16_t port; /* host byte order */
	char service[NAME_BYTES_MAX + 1];
	char zone[NAME_BYTES_MAX + 1];
	uint32_t slots; /* requests that the host runs at once */
	uint64_t started_ms; /* Unix time */
	uint32_t slow_start_ms; /* remaining slow start */
	bool is_draining;
	struct store_position position;
};

struct known_host {
	struct host_announcement published;
	/*
	 * Newest announcement, if it takes the host to a service to which no
	 * route leads; NULL for none. Applied once there is a route.
	 */
	struct host_announcement *deferred;
	uint32_t token; /* carried by the packets of its flows, never 0 */
	bool is_removed; /* no longer published */
	bool shares_token; /* another entry has it, routed or not */
	/* Another host of a routed service has the token: no new flows. */
	bool has_token_conflict;
	bool is_zone_drained; /* its zone is drained: no new flows */
	/*
	 * The listing after a restore of the store does not contain it: it is
	 * removed then unless it is published again. 0 otherwise.
	 */
	int64_t unlisted_until_ns;
	/*
	 * That listing has it as ready, but it was leaving or gone before: no
	 * new flows until then. 0 otherwise.
	 */
	int64_t withheld_until_ns;
	int64_t removed_since_ns;
	int64_t slow_start_until_ns; /* end of the slow start */
	/* Of the removal, or of the listing that does not contain it. */
	struct store_position removed_position;
	uint32_t open_flows; /* of this balancer */
	uint32_t peer_flows; /* of other balancers in the zone */
	uint32_t peer_flows_pending; /* partial sum of the next peer_flows */
	struct host_health health;
	/* Speed relative to its peers less 1, see steering/host_speeds.h. */
	double speed_offset;
	struct host_speed *speed; /* NULL before the first sample */
	bool is_failing; /* fails fast, see steering/response_size.h */
	struct response_size *sizes; /* NULL before the first response */
	GQueue flows; /* struct cached_flow of this balancer */
	/* All hosts of the service; NULL while no route leads to it. */
	GPtrArray *service_hosts;
};

struct host_table;

struct host_table_options {
	/**
	 * False if flows go to service @from and none to service @to, or if
	 * that is not known yet. An announcement that takes a host from one to
	 * the other comes from another program, or before its routes, so it is
	 * deferred until there is a route.
	 */
	bool (*can_change_service)(void *context, const char *from,
				   const char *to);
	/**
	 * False if routes are known and none leads to the service; NULL if all
	 * services have routes.
	 */
	bool (*is_service_routed)(void *context, const char *service);
	/** True if the zone is drained; NULL if no zone ever is. */
	bool (*is_zone_drained)(void *context, const char *zone);
	/** An announcement of @host was deferred. */
	void (*on_deferred)(void *context, const struct known_host *host);
	/** The host was added, or its published properties changed. */
	void (*on_changed)(void *context, const struct known_host *host,
			   bool is_new);
	/** The host restarted or is no longer published. */
	void (*on_ended)(void *context, struct known_host *host,
			 bool is_restarted);
	void *context;
};

struct host_table *host_table_create(const struct host_table_options *options);
void host_table_destroy(struct host_table *table);

/**
 * Adds or updates a host. Ignores announcements older than the known one, and
 * unknown hosts that were published before a complete listing without them.
 */
void host_table_put(struct host_table *table,
		    const struct host_announcement *announcement,
		    int64_t now_ns);
/**
 * Adds an unknown host that may still serve open flows. It counts as removed if
 * @removed_position is not none, or if a complete listing did not contain it.
 */
void host_table_restore(struct host_table *table,
			const struct host_announcement *announcement,
			struct store_position removed_position, int64_t now_ns);
/**
 * The host was no longer published at @position. The removal of an unknown host
 * is recorded, too: its announcement may come late, and members that have the
 * host ask this balancer for the changes.
 */
void host_table_remove(struct host_table *table, const char *id,
		       struct store_position position, int64_t now_ns);
/**
 * A complete listing that is received in pages. Listings of several sources may
 * overlap in time; each records the hosts that it contained. One of a new era
 * has no effect until it is complete.
 */
struct host_listing;

/** Starts a listing of what was published at @position. */
struct host_listing *host_listing_create(struct store_position position);
struct store_position host_listing_position(const struct host_listing *listing);
/** Accepts NULL. Removes no hosts. */
void host_listing_destroy(struct host_listing *listing);
/** Like host_table_put(), for a host of @listing if that is not NULL. */
void host_listing_put(struct host_listing *listing, struct host_table *table,
		      const struct host_announcement *announcement,
		      int64_t now_ns);
/**
 * The entry of the host cannot be read, so the host is as it was: accepts NULL
 * for @listing.
 */
void host_listing_keep(struct host_listing *listing, const char *id);
/**
 * The listing is complete: removes the hosts that it did not contain, unless
 * they were published after its position. In a new era they stay in use for
 * STORE_REWRITE_NS, and hosts that were leaving or gone before get no new flow
 * for as long.
 */
void host_listing_finish(const struct host_listing *listing,
			 struct host_table *table, int64_t now_ns);
/** Ends what a listing of a new era put off; to be called with each tick. */
void host_table_end_waits(struct host_table *table, int64_t now_ns);
/** Number of hosts that such a listing did not contain, until they are removed. */
uint32_t host_table_unlisted_count(const struct host_table *table);
/** Number of hosts that get no new flow because of it. */
uint32_t host_table_withheld_count(const struct host_table *table);
/** Frees hosts without flows that were removed at or before @before_ns. */
void host_table_expire(struct host_table *table, int64_t before_ns);

struct known_host *host_table_find(struct host_table *table, const char *id);
/**
 * The oldest host that has the token, including removed ones; NULL if none
 * has it.
 */
struct known_host *host_table_find_token(struct host_table *table,
					 uint32_t token);
/**
 * False for an entry to whose service no route leads. Another program may have
 * written it, so it must not affect any host: it is neither probed nor chosen,
 * and neither its address nor its token counts. It is kept, as a route may
 * follow.
 */
static inline bool host_is_routed(const struct known_host *host)
{
	return host->service_hosts != NULL;
}

/** False if it gets no new flow, however it responds. */
static inline bool host_takes_flows(const struct known_host *host)
{
	return !host->is_removed && !host->published.is_draining &&
	       !host->is_zone_drained && host->withheld_until_ns == 0;
}

/** The routes have changed. */
void host_table_update_routes(struct host_table *table);
/** Number of published entries that are not routed. */
uint32_t host_table_unrouted_count(const struct host_table *table);
/**
 * Hosts of a service as struct known_host, including removed ones; NULL for
 * none, or if no route leads to the service.
 */
const GPtrArray *host_table_service(const struct host_table *table,
				    const char *service);
/**
 * All changes after this position are known; none before the first listing.
 * Hosts that were removed earlier may have been freed.
 */
struct store_position
host_table_oldest_position(const struct host_table *table);
/** Changes when a host is added, changed, removed or freed. */
uint64_t host_table_generation(const struct host_table *table);
/** Position of the latest known change. */
struct store_position
host_table_newest_position(const struct host_table *table);
/**
 * The published host that follows @id in the order of ids, without those that
 * the last listing did not contain; NULL after the last one.
 */
struct known_host *host_table_next(struct host_table *table, const char *id);
/** Number of published hosts. */
uint32_t host_table_count(const struct host_table *table);
/** All known hosts, including removed ones: id to struct known_host. */
GHashTable *host_table_all(struct host_table *table);
/** Removals of unknown hosts: id to struct host_removal. */
GHashTable *host_table_unknown_removals(struct host_table *table);
/** Applies the deferred announcements whose services have routes now. */
void host_table_retry_deferred(struct host_table *table, int64_t now_ns);
/** Marks the hosts of a zone that is drained, or no longer is. */
void host_table_set_zone_drained(struct host_table *table, const char *zone,
				 bool is_drained);
/** Open flows of this balancer at the hosts of the zone. */
uint32_t host_table_zone_flows(struct host_table *table, const char *zone);
/** The routed services: name to GPtrArray of struct known_host. */
GHashTable *host_table_services(struct host_table *table);
/** Token of a host id; the same on each balancer. */
uint32_t host_token(const char *id);

#endif
