#include <inttypes.h>

#include "balancer_private.h"
#include "common/log.h"

/* A watch without a response fails after its wait and the timeout. */
#define WATCH_WAIT_MS 1000
#define RESPONSE_TIMEOUT_MS 800
/* Hosts often change together; after this pause one request gets them all. */
#define WATCH_BATCH_MS 100

static void listing_begin(void *context, uint64_t revision)
{
	struct balancer *balancer = context;

	host_listing_destroy(balancer->store_listing);
	balancer->store_listing = host_listing_create(revision);
	zone_drains_listing_begin(steering_zone_drains(balancer->steering),
				  revision);
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
		  routing->idle_timeout_ms, balancer->replica_status.revision,
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
		host_table_remove(hosts, item->host.id, item->revision, now_ns);
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

static void revision_confirmed(void *context, uint64_t revision,
			       int64_t confirmed_ns)
{
	struct balancer *balancer = context;
	struct replica_status *replica_status = &balancer->replica_status;
	bool is_newer = revision > replica_status->revision;

	replica_status->revision = MAX(replica_status->revision, revision);
	replica_status->zone_drains_revision =
		MAX(replica_status->zone_drains_revision, revision);
	replica_status->confirmed_ns =
		MAX(replica_status->confirmed_ns, confirmed_ns);
	balancer_sync_check(balancer);
	if (!is_newer)
		return;
	sharing_push(balancer->sharing);
	edge_flush(balancer->sharing_edge);
}

static void changes_missed(void *context, const char *reason, uint64_t revision)
{
	const struct balancer *balancer = context;

	log_event(LOG_LEVEL_WARNING, "changes_missed",
		  "reason=\"%s\" revision=%" PRIu64 " age_ms=%" PRId64, reason,
		  revision,
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns));
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
		  balancer->replica_status.revision);
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
		.on_revision_confirmed = revision_confirmed,
		.on_changes_missed = changes_missed,
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
