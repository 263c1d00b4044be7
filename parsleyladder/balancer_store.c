#include <inttypes.h>

#include "balancer_private.h"
#include "common/log.h"

/* A watch without a response fails after its wait and the timeout. */
#define WATCH_WAIT_MS 1000
#define RESPONSE_TIMEOUT_MS 800
/* Hosts often change together; after this pause one request gets them all. */
#define WATCH_BATCH_MS 100

static void listing_begin(void *context, struct store_position position)
{
	struct balancer *balancer = context;

	host_listing_destroy(balancer->store_listing);
	balancer->store_listing = host_listing_create(position);
	zone_drains_listing_begin(steering_zone_drains(balancer->steering),
				  position);
}

static void first_page_handle(void *context, bool has_more)
{
	struct balancer *balancer = context;

	sharing_handle_first_page(balancer->sharing, has_more);
	balancer_sync_check(balancer);
}

static void listing_end(void *context)
{
	struct balancer *balancer = context;

	host_listing_finish(balancer->store_listing,
			    steering_hosts(balancer->steering),
			    clock_now_ns(balancer->clock));
	g_clear_pointer(&balancer->store_listing, host_listing_destroy);
	zone_drains_listing_end(steering_zone_drains(balancer->steering),
				clock_now_ns(balancer->clock));
	balancer->replica_status.has_zone_drains = true;
	balancer->replica_status.listed_routes_version = 0;
	balancer->replica_status.is_complete = true;
}

/*
 * When routes were published is unknown, but it was later than the last
 * confirmation that the previous routes were current, so the time since then is
 * an upper bound of the delay. Records and returns it; returns -1 for the first
 * routes.
 */
static int64_t routes_delay_record(struct balancer *balancer)
{
	int64_t delay_ms = balancer_age_ms(
		balancer, balancer->replica_status.confirmed_ns);

	if (delay_ms >= 0)
		histogram_record(&balancer->routes_delay_ms,
				 (uint64_t)delay_ms);
	return delay_ms;
}

void balancer_routing_apply(struct balancer *balancer, struct routing *routing)
{
	uint64_t previous = balancer_routes_version(balancer);
	int64_t delay_ms = -1;

	if (!steering_set_routing(balancer->steering, routing))
		return;
	/* The same version, completed, was published long before. */
	if (routing->version > previous)
		delay_ms = routes_delay_record(balancer);
	log_event(LOG_LEVEL_INFO, "routes_applied",
		  "version=%" PRIu64 " routes=%zu idle_timeout_ms=%u "
		  "revision=%" PRIu64 " source=%s delay_ms=%" PRId64
		  " limits=%zu partial=%d",
		  routing->version, routing->rule_count,
		  routing->idle_timeout_ms,
		  balancer->replica_status.position.revision,
		  balancer->replica_status.source, delay_ms,
		  routing->limit_count, routing->is_partial);
}

/* A host of this id stays as it was, also if this is a listing. */
static void entry_ignore(struct balancer *balancer,
			 const struct store_item *item)
{
	host_listing_keep(balancer->store_listing, item->host.id);
	entry_log_ignored(balancer, item, item->problem);
}

static void store_item_apply(void *context, const struct store_item *item)
{
	struct balancer *balancer = context;
	struct host_table *hosts = steering_hosts(balancer->steering);
	int64_t now_ns = clock_now_ns(balancer->clock);

	balancer->replica_status.source = "store";
	switch (item->kind) {
	case STORE_ITEM_HOST:
		host_listing_put(balancer->store_listing, hosts, &item->host,
				 now_ns);
		break;
	case STORE_ITEM_HOST_REMOVED:
		host_table_remove(hosts, item->host.id, item->position, now_ns);
		break;
	case STORE_ITEM_ROUTING:
		balancer_routing_apply(balancer, item->routing);
		break;
	case STORE_ITEM_IGNORED:
		if (item->zone[0] != '\0')
			balancer_drain_apply(balancer, item);
		else if (item->problem)
			entry_ignore(balancer, item);
		break;
	case STORE_ITEM_ZONE_DRAIN:
	case STORE_ITEM_ZONE_DRAIN_REMOVED:
		balancer_drain_apply(balancer, item);
		break;
	}
}

static void position_confirmed(void *context, struct store_position position,
			       int64_t confirmed_ns)
{
	struct balancer *balancer = context;
	struct replica_status *replica_status = &balancer->replica_status;
	bool is_newer =
		store_position_is_before(replica_status->position, position);

	replica_status->position =
		store_position_max(replica_status->position, position);
	replica_status->zone_drains_position = store_position_max(
		replica_status->zone_drains_position, position);
	replica_status->confirmed_ns =
		MAX(replica_status->confirmed_ns, confirmed_ns);
	balancer_era_check(balancer);
	balancer_sync_check(balancer);
	if (!is_newer)
		return;
	sharing_push(balancer->sharing);
	edge_flush(balancer->sharing_edge);
}

static void changes_missed(void *context, const char *reason,
			   struct store_position position)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_WARNING, "changes_missed",
		  "reason=\"%s\" revision=%" PRIu64 " age_ms=%" PRId64, reason,
		  position.revision,
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns));
}

static void era_changed(void *context, struct store_position position,
			uint64_t era)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_WARNING, "store_restored",
		  "era=%" PRIu64 " former_era=%" PRIu64 " revision=%" PRIu64
		  " age_ms=%" PRId64,
		  era, position.era, position.revision,
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns));
}

void balancer_era_check(struct balancer *balancer)
{
	const struct replica_status *replica_status = &balancer->replica_status;
	struct host_table *hosts = steering_hosts(balancer->steering);
	uint64_t former = balancer->era;

	if (replica_status->position.era == former)
		return;
	balancer->era = replica_status->position.era;
	/* The first listing replaces nothing. */
	if (!balancer->is_synced)
		return;
	balancer->totals[TOTAL_STORE_RESTORES]++;
	log_event(LOG_LEVEL_WARNING, "era_listed",
		  "era=%" PRIu64 " former_era=%" PRIu64 " revision=%" PRIu64
		  " source=%s hosts=%u unlisted=%u withheld=%u "
		  "drained_zones=%u routes_version=%" PRIu64 " age_ms=%" PRId64,
		  balancer->era, former, replica_status->position.revision,
		  replica_status->source, host_table_count(hosts),
		  host_table_unlisted_count(hosts),
		  host_table_withheld_count(hosts),
		  zone_drains_active_count(
			  steering_zone_drains(balancer->steering)),
		  balancer_routes_version(balancer),
		  balancer_age_ms(balancer, replica_status->confirmed_ns));
}

static void era_missing(void *context, const char *value, uint64_t era)
{
	char *text = g_strescape(value, NULL);

	(void)context;
	log_event(era == 0 ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
		  "store_era_missing", "value=\"%s\" assumed_era=%" PRIu64,
		  text, era);
	g_free(text);
}

static void store_reachability_changed(void *context, bool is_reachable,
				       const char *reason)
{
	struct balancer *balancer = context;
	int64_t now_ns = clock_now_ns(balancer->clock);
	int64_t unreachable_ns = 0;
	char *text = g_strescape(reason, NULL);

	if (is_reachable && balancer->store_unreachable_since_ns != 0)
		unreachable_ns = now_ns - balancer->store_unreachable_since_ns;
	balancer->store_unreachable_since_ns = is_reachable ? 0 : now_ns;
	log_event(is_reachable ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
		  is_reachable ? "store_regained" : "store_lost",
		  "reason=\"%s\" away_ms=%" PRId64 " revision=%" PRIu64, text,
		  unreachable_ns / NS_PER_MS,
		  balancer->replica_status.position.revision);
	g_free(text);
}

void balancer_store_open(struct balancer *balancer)
{
	const struct store_options options = {
		.address = balancer->settings->store_endpoint,
		.clock = balancer->clock,
		.random_seed = balancer->random_seed,
		.watch_wait_ms = WATCH_WAIT_MS,
		.response_timeout_ms = RESPONSE_TIMEOUT_MS,
		.batch_ms = WATCH_BATCH_MS,
		.on_listing_begin = listing_begin,
		.on_listing_end = listing_end,
		.on_first_page = first_page_handle,
		.on_item = store_item_apply,
		.on_position_confirmed = position_confirmed,
		.on_changes_missed = changes_missed,
		.on_era_changed = era_changed,
		.on_era_missing = era_missing,
		.on_reachability_changed = store_reachability_changed,
		.context = balancer,
	};

	balancer->store = store_create(&options);
}

void balancer_store_close(struct balancer *balancer)
{
	store_destroy(balancer->store);
	host_listing_destroy(balancer->store_listing);
}
