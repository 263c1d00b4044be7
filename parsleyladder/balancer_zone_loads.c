#include <inttypes.h>

#include "balancer_private.h"
#include "common/json_member.h"
#include "common/log.h"

void balancer_spillover_set(struct balancer *balancer,
			    const struct settings *settings)
{
	steering_set_spillover(balancer->steering, settings->spillover,
			       settings->spillover_gain_ms);
}

static double part_of_zone(const struct spillover *spillover, uint32_t zone)
{
	double part = 0;
	double sum = 0;

	for (size_t i = 0; i < spillover->part_count; i++) {
		sum += spillover->parts[i].part;
		if (spillover->parts[i].zone == zone)
			part = spillover->parts[i].part;
	}
	return sum > 0 ? part / sum : 0;
}

/* "NAME:busy=B/U,time_ms=T,delay_ms=D,age_ms=A,part=P" */
static void zone_append(GString *text, const struct spillover *spillover,
			const struct spillover_zone *zone)
{
	g_string_append_printf(text,
			       "%s%s:busy=%.1f/%.0f,own=%.1f,time_ms=%.0f,"
			       "delay_ms=%.1f,age_ms=%" PRId64 ",part=%.2f",
			       text->len > 0 ? ";" : "", zone->name,
			       zone->busy_slots, zone->usable_slots,
			       zone->own_busy_slots, zone->time_ms,
			       zone->delay_ms, zone->age_ms,
			       part_of_zone(spillover, zone->zone));
}

void spillover_log_changed(void *context, const char *service,
			   const struct spillover *spillover,
			   const struct spillover_input *input)
{
	struct balancer *balancer = context;
	const struct spillover_zone *own = &input->own;
	GString *zones;

	if (!log_line_is_allowed(balancer, EVENT_SPILLOVER_CHANGED))
		return;
	zones = g_string_new(NULL);
	for (size_t i = 0; i < input->zone_count; i++)
		zone_append(zones, spillover, &input->zones[i]);
	log_event(LOG_LEVEL_INFO, "spillover_changed",
		  "service=%s share=%.2f target=%.2f reason=%s level=%.2f "
		  "busy=%.1f own=%.1f usable=%.0f capacity=%.2f time_ms=%.0f "
		  "unloaded_ms=%.0f delay_ms=%.1f age_ms=%" PRId64
		  " gain_ms=%.0f zones=\"%s\"",
		  service, spillover->share, spillover->target,
		  spillover_reason_names[spillover->reason], spillover->level,
		  own->busy_slots, own->own_busy_slots, own->usable_slots,
		  spillover->capacity_factor, own->time_ms, own->unloaded_ms,
		  own->delay_ms, own->age_ms, input->gain_min_ms, zones->str);
	g_string_free(zones, TRUE);
}

static void zone_print(const struct balancer *balancer,
		       const struct zone_load *load,
		       const struct spillover *spillover, JsonBuilder *builder)
{
	char leader[IP_ADDRESS_TEXT_BYTES];

	json_builder_begin_object(builder);
	json_member_string(builder, "availability_zone", load->name);
	json_member_integer(builder, "usable_slots",
			    (int64_t)load->usable_slots);
	json_member_integer(builder, "busy_slots", (int64_t)load->busy_slots);
	json_member_integer(builder, "own_busy_slots",
			    (int64_t)load->own_busy_slots);
	json_member_integer(builder, "time_ms", (int64_t)load->time_ms);
	json_member_integer(builder, "unloaded_ms", (int64_t)load->unloaded_ms);
	json_member_integer(
		builder, "handshake_us",
		zone_loads_handshake_ns(steering_zone_loads(balancer->steering),
					load->zone) /
			NS_PER_US);
	json_member_string(builder, "leader",
			   sharing_address_print(load->leader, leader));
	json_member_integer(builder, "age_ms",
			    balancer_age_ms(balancer, load->measured_ns));
	if (spillover)
		json_member_integer(
			builder, "part_permille",
			(int64_t)(part_of_zone(spillover, load->zone) * 1000));
	json_builder_end_object(builder);
}

static void service_load_print(const struct balancer *balancer,
			       const struct service_load *service,
			       JsonBuilder *builder)
{
	const struct spillover *spillover =
		steering_spillover(balancer->steering, service->name);

	json_builder_begin_object(builder);
	json_member_string(builder, "service", service->name);
	if (spillover) {
		json_member_integer(builder, "share_permille",
				    (int64_t)(spillover->share * 1000));
		json_member_string(builder, "reason",
				   spillover_reason_names[spillover->reason]);
	}
	json_builder_set_member_name(builder, "zones");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < service->zone_count; i++)
		zone_print(balancer, &service->zones[i], spillover, builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
}

void zone_loads_print(struct balancer *balancer, JsonBuilder *builder)
{
	GHashTableIter iterator;
	gpointer value;

	json_builder_set_member_name(builder, "zone_loads");
	json_builder_begin_array(builder);
	g_hash_table_iter_init(
		&iterator,
		zone_loads_services(steering_zone_loads(balancer->steering)));
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct service_load *service = value;

		if (service->totals_ns != 0)
			service_load_print(balancer, service, builder);
	}
	json_builder_end_array(builder);
}
