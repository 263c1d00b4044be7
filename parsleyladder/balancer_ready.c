#include <inttypes.h>
#include <string.h>

#include "balancer_private.h"
#include "common/log.h"

static bool is_ready_now(const struct balancer *balancer)
{
	return !balancer->is_stopping && balancer->is_synced &&
	       !steering_is_isolated(balancer->steering);
}

void balancer_ready_update(struct balancer *balancer)
{
	bool is_ready = is_ready_now(balancer);

	if (is_ready == balancer->is_ready)
		return;
	balancer->is_ready = is_ready;
	log_event(LOG_LEVEL_INFO, "readiness_changed",
		  "ready=%d complete=%d leaving=%d isolated=%d", is_ready,
		  balancer->is_synced, balancer->is_stopping,
		  steering_is_isolated(balancer->steering));
}

/* Packets of open flows wait only until their host is known. */
static void open_flows_release(struct balancer *balancer)
{
	uint64_t generation =
		host_table_generation(steering_hosts(balancer->steering));

	if (generation == balancer->released_generation)
		return;
	balancer->released_generation = generation;
	forwarder_release(balancer->forwarder);
}

void balancer_sync_check(struct balancer *balancer)
{
	uint32_t released;

	if (balancer->is_synced)
		return;
	if (!balancer->replica_status.is_complete ||
	    !steering_routing(balancer->steering) ||
	    !sharing_knows_zone_drains(balancer->sharing)) {
		open_flows_release(balancer);
		return;
	}
	balancer->is_synced = true;
	steering_set_synced(balancer->steering);
	/* No member could serve the listing. */
	if (strcmp(balancer->replica_status.source, "store") == 0)
		steering_handle_fleet_restart(balancer->steering);
	released = forwarder_release(balancer->forwarder);
	log_event(LOG_LEVEL_INFO, "listing_complete",
		  "hosts=%u version=%" PRIu64 " revision=%" PRIu64
		  " source=%s age_ms=%" PRId64 " packets_released=%u"
		  " zone_drains=%d drained_zones=%u",
		  host_table_count(steering_hosts(balancer->steering)),
		  steering_routing(balancer->steering)->version,
		  balancer->replica_status.position.revision,
		  balancer->replica_status.source,
		  balancer_age_ms(balancer,
				  balancer->replica_status.confirmed_ns),
		  released, balancer->replica_status.has_zone_drains,
		  zone_drains_active_count(
			  steering_zone_drains(balancer->steering)));
	balancer_ready_update(balancer);
}
