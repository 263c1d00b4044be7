#include "core/core_state.h"

static void number_print(JsonBuilder *builder, const char *name, uint64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, (gint64)value);
}

static void counters_print(const struct core *core, JsonBuilder *builder)
{
	const struct core_counters *counters = &core->counters;

	json_builder_set_member_name(builder, "actions");
	json_builder_begin_object(builder);
	for (int i = 0; i < CORE_ACTIONS; i++)
		number_print(builder, core_action_name(i),
			     counters->actions[i]);
	json_builder_end_object(builder);
	json_builder_set_member_name(builder, "reasons");
	json_builder_begin_object(builder);
	for (int i = 0; i < CORE_REASONS; i++)
		number_print(builder, core_reason_name(i),
			     counters->reasons[i]);
	json_builder_end_object(builder);
	number_print(builder, "messages_received", counters->messages_received);
	number_print(builder, "messages_unknown", counters->messages_unknown);
	number_print(builder, "records_sent", counters->records_sent);
	number_print(builder, "exceptions_placed", counters->exceptions_placed);
	number_print(builder, "new_flows_open", counters->new_flows_open);
	number_print(builder, "stale_revisions", counters->stale_revisions);
	number_print(builder, "budget_short", counters->budget_short);
}

static void shards_print(const struct core *core, JsonBuilder *builder)
{
	uint64_t acting = 0;
	uint64_t owned = 0;
	uint64_t syncing = 0;

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		const struct shard *shard = &core->shards[i];
		bool is_owned = shard->owner_id == core->options.self_id;

		acting += shard->is_acting;
		owned += is_owned;
		syncing += is_owned && shard->sources->len > 0;
	}
	number_print(builder, "shards_owned", owned);
	number_print(builder, "shards_acting", acting);
	number_print(builder, "shards_syncing", syncing);
}

static void hosts_print(const struct service_state *service,
			JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "hosts");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < service->host_count; i++) {
		const struct host_entry *state = service->hosts[i];

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "name");
		json_builder_add_string_value(builder, state->host->name);
		number_print(builder, "open_flows", (uint64_t)state->total);
		json_builder_set_member_name(builder, "accepts");
		json_builder_add_boolean_value(builder, host_accepts(state));
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void map_print(const struct service_state *service, JsonBuilder *builder)
{
	uint64_t open = 0;
	uint64_t ready = 0;

	for (uint32_t i = 0; i < service->bucket_count; i++) {
		open += (service->buckets[i].flags & BUCKET_OPEN) != 0;
		ready += (service->buckets[i].flags & BUCKET_READY) != 0;
	}
	number_print(builder, "buckets", service->bucket_count);
	number_print(builder, "open_buckets", open);
	number_print(builder, "ready_buckets", ready);
	number_print(builder, "map_revision", service->version.revision);
	number_print(builder, "map_sequence", service->version.sequence);
	json_builder_set_member_name(builder, "map_committed");
	json_builder_add_boolean_value(builder, service->is_committed);
}

void core_print_services(const struct core *core, JsonBuilder *builder)
{
	const struct configuration *configuration = core->configuration;

	json_builder_set_member_name(builder, "services");
	json_builder_begin_array(builder);
	for (size_t i = 0; configuration && i < configuration->service_count;
	     i++) {
		const struct service *published = &configuration->services[i];
		const struct service_state *service =
			service_state_find(core, published->id);

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "name");
		json_builder_add_string_value(builder, published->name);
		map_print(service, builder);
		hosts_print(service, builder);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

void core_print_json(const struct core *core, JsonBuilder *builder)
{
	number_print(builder, "revision", core_revision(core));
	number_print(builder, "exceptions", flow_table_count(core->flows));
	number_print(builder, "exceptions_max", core->options.exceptions_max);
	number_print(builder, "exception_table_bytes",
		     flow_table_bytes(core->flows));
	json_builder_set_member_name(builder, "synchronized");
	json_builder_add_boolean_value(builder, core_is_synchronized(core));
	shards_print(core, builder);
	counters_print(core, builder);
	core_print_services(core, builder);
}
