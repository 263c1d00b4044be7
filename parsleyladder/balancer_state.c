#include "balancer_private.h"
#include "common/json_member.h"

static void revision_add(const struct balancer *balancer, JsonBuilder *builder)
{
	int64_t age_ns =
		clock_now_ns(balancer->clock) - balancer->revision_applied_ns;

	json_builder_set_member_name(builder, "revision");
	json_builder_begin_object(builder);
	json_member_integer(builder, "number",
			    balancer->configuration
				    ? (int64_t)balancer->configuration->revision
				    : 0);
	json_member_string(builder, "source", balancer->revision_source);
	json_member_integer(builder, "age_ms",
			    balancer->configuration ? age_ns / NS_PER_MS : 0);
	json_member_integer(builder, "stale_ignored",
			    (int64_t)balancer->stale_revisions);
	json_member_integer(builder, "refused",
			    (int64_t)balancer->refused_revisions);
	json_member_integer(builder, "last_refused",
			    (int64_t)balancer->refused_revision);
	json_member_string(builder, "last_refused_reason",
			   balancer->refused_reason);
	json_builder_end_object(builder);
}

void balancer_print_json(void *context, JsonBuilder *builder)
{
	struct balancer *balancer = context;

	json_builder_begin_object(builder);
	json_member_string(builder, "instance",
			   balancer->settings->instance_id);
	json_member_string(builder, "availability_zone",
			   balancer->settings->zone);
	json_member_string(builder, "version", PARSLEYLADDER_VERSION);
	json_member_boolean(builder, "active", balancer->is_active);
	json_member_boolean(builder, "leaving", balancer->is_leaving);
	revision_add(balancer, builder);
	json_builder_set_member_name(builder, "forwarder");
	json_builder_begin_object(builder);
	forwarder_print_json(balancer->forwarder, builder);
	json_builder_end_object(builder);
	json_builder_set_member_name(builder, "core");
	json_builder_begin_object(builder);
	core_print_json(balancer->core, builder);
	json_builder_end_object(builder);
	peering_print_json(balancer->peering, builder);
	json_builder_set_member_name(builder, "revision_sync");
	json_builder_begin_object(builder);
	revision_sync_print_json(balancer->revision_sync, builder);
	json_builder_end_object(builder);
	if (balancer->platform) {
		json_builder_set_member_name(builder, "platform");
		json_builder_begin_object(builder);
		registry_print_json(balancer->platform, builder);
		json_builder_end_object(builder);
	}
	json_builder_end_object(builder);
}
