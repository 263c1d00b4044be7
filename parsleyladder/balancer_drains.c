#include <inttypes.h>

#include "balancer_private.h"
#include "common/json_member.h"
#include "common/log.h"

/* Reports an entry that cannot be used; what is known of the zone stays. */
static void drain_ignore(struct balancer *balancer,
			 const struct store_item *item, const char *reason)
{
	zone_drains_ignore(steering_zone_drains(balancer->steering),
			   item->zone);
	entry_log_ignored(balancer, item, reason);
}

void balancer_drain_apply(struct balancer *balancer,
			  const struct store_item *item)
{
	struct zone_drains *drains = steering_zone_drains(balancer->steering);
	bool is_active = item->kind == STORE_ITEM_ZONE_DRAIN;

	if (item->kind == STORE_ITEM_IGNORED)
		drain_ignore(balancer, item, item->problem);
	else if (is_active &&
		 !settings_has_zone(balancer->settings, item->zone))
		drain_ignore(balancer, item,
			     "zone is not among the availability_zones");
	else if (!zone_drains_set(drains, item->zone, item->position, is_active,
				  clock_now_ns(balancer->clock)))
		drain_ignore(balancer, item, "too many zones");
}

/*
 * When the request was published is unknown, but it was later than the last
 * confirmation of the replica, so the time since then is an upper bound of the
 * delay; -1 for drains that are known from the start.
 */
void balancer_drain_changed(void *context, const struct zone_drain *drain)
{
	struct balancer *balancer = context;
	int64_t delay_ms = balancer_age_ms(
		balancer, balancer->replica_status.confirmed_ns);
	char *zone = g_strescape(drain->zone, NULL);

	if (delay_ms >= 0)
		histogram_record(&balancer->zone_drain_delay_ms,
				 (uint64_t)delay_ms);
	log_event(LOG_LEVEL_WARNING,
		  zone_drain_is_in_force(drain) ? "zone_drained"
						: "zone_drain_withdrawn",
		  "zone=\"%s\" revision=%" PRIu64 " era=%" PRIu64
		  " source=%s delay_ms=%" PRId64 " flows=%u",
		  zone, drain->position.revision, drain->position.era,
		  balancer->replica_status.source, delay_ms,
		  host_table_zone_flows(steering_hosts(balancer->steering),
					drain->zone));
	g_free(zone);
}

static void drain_print(struct balancer *balancer,
			const struct zone_drain *drain, JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	json_member_string(builder, "zone", drain->zone);
	json_member_boolean(builder, "is_active",
			    zone_drain_is_in_force(drain));
	json_member_integer(builder, "revision",
			    (int64_t)drain->position.revision);
	json_member_integer(builder, "age_ms",
			    balancer_age_ms(balancer, drain->changed_ns));
	json_member_integer(
		builder, "open_flows",
		host_table_zone_flows(steering_hosts(balancer->steering),
				      drain->zone));
	json_builder_end_object(builder);
}

void balancer_drains_print(struct balancer *balancer, JsonBuilder *builder)
{
	const struct replica_status *replica_status = &balancer->replica_status;
	const struct zone_drains *drains =
		steering_zone_drains(balancer->steering);
	const struct zone_drain *entries;
	size_t count;

	entries = zone_drains_entries(drains, &count);
	json_builder_set_member_name(builder, "zone_drains");
	json_builder_begin_object(builder);
	json_member_boolean(builder, "is_complete",
			    replica_status->has_zone_drains);
	json_member_integer(
		builder, "revision",
		(int64_t)replica_status->zone_drains_position.revision);
	json_member_integer(
		builder, "listed_revision",
		(int64_t)zone_drains_listed_position(drains).revision);
	json_member_integer(builder, "era", (int64_t)zone_drains_era(drains));
	json_builder_set_member_name(builder, "zones");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < count; i++)
		drain_print(balancer, &entries[i], builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
}

void balancer_drains_sample(struct balancer *balancer)
{
	const struct zone_drain *entries;
	uint64_t flows = 0;
	size_t count;

	entries = zone_drains_entries(steering_zone_drains(balancer->steering),
				      &count);
	for (size_t i = 0; i < count; i++) {
		if (zone_drain_is_in_force(&entries[i]))
			flows += host_table_zone_flows(
				steering_hosts(balancer->steering),
				entries[i].zone);
	}
	balancer->gauges[GAUGE_DRAINED_ZONES] = zone_drains_active_count(
		steering_zone_drains(balancer->steering));
	balancer->gauges[GAUGE_DRAINED_ZONE_FLOWS] = flows;
}
