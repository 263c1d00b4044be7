#include <math.h>
#include <string.h>

#include "steering_state.h"

/* Smaller changes of the share are not reported. */
#define REPORTED_CHANGE 0.05
#define REPORT_INTERVAL_NS (1 * NS_PER_S)
/* Without new totals for this long, the age of the last ones is checked. */
#define REPORT_MISSING_NS (700 * NS_PER_MS)

/* Decisions for one service, and what was last reported of them. */
struct service_spillover {
	struct spillover spillover;
	int64_t totals_ns; /* of the last decision */
	int64_t reported_ns; /* 0 for never */
	double reported_share;
	enum spillover_reason reported_reason;
};

const char *const zone_flow_names[ZONE_FLOWS] = {
	[ZONE_FLOW_LEFT_LOST_SLOTS] = "left_lost_slots",
	[ZONE_FLOW_LEFT_NO_HOST] = "left_no_host",
	[ZONE_FLOW_LEFT_SHORTER] = "left_shorter",
	[ZONE_FLOW_LEFT_FULL] = "left_full",
	[ZONE_FLOW_KEPT_OFF] = "kept_off",
	[ZONE_FLOW_KEPT_ROOM] = "kept_room",
	[ZONE_FLOW_KEPT_NO_REPORTS] = "kept_no_reports",
	[ZONE_FLOW_KEPT_NO_GAIN] = "kept_no_gain",
	[ZONE_FLOW_KEPT_OTHERS_FULL] = "kept_others_full",
	[ZONE_FLOW_KEPT_SHARE] = "kept_share",
};

static const enum zone_flow kept_flows[SPILLOVER_REASONS] = {
	[SPILLOVER_OFF] = ZONE_FLOW_KEPT_OFF,
	[SPILLOVER_ROOM] = ZONE_FLOW_KEPT_ROOM,
	[SPILLOVER_NO_REPORTS] = ZONE_FLOW_KEPT_NO_REPORTS,
	[SPILLOVER_NO_GAIN] = ZONE_FLOW_KEPT_NO_GAIN,
	[SPILLOVER_OTHERS_FULL] = ZONE_FLOW_KEPT_OTHERS_FULL,
	[SPILLOVER_SHORTER] = ZONE_FLOW_KEPT_SHARE,
	[SPILLOVER_FULL] = ZONE_FLOW_KEPT_SHARE,
	/* A usable host has appeared since the last decision. */
	[SPILLOVER_NO_HOSTS] = ZONE_FLOW_KEPT_ROOM,
};

GHashTable *service_spillovers_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void zone_fill(const struct steering *steering,
		      const struct zone_load *load, int64_t now_ns,
		      struct spillover_zone *zone)
{
	bool is_fresh = zone_load_is_fresh(load, now_ns);

	zone->zone = load->zone;
	zone->name = load->name;
	zone->is_reachable = load->slots > 0;
	zone->delay_ms = (double)zone_loads_handshake_ns(steering->zone_loads,
							 load->zone) /
			 NS_PER_MS;
	zone->age_ms = -1;
	if (!is_fresh)
		return;
	zone->usable_slots = load->usable_slots;
	zone->busy_slots = load->busy_slots;
	zone->own_busy_slots = load->own_busy_slots;
	zone->time_ms = load->time_ms;
	zone->unloaded_ms = load->unloaded_ms;
	zone->age_ms = (now_ns - load->measured_ns) / NS_PER_MS;
}

static void input_make(const struct steering *steering,
		       const struct service_load *service, int64_t now_ns,
		       struct spillover_input *input)
{
	uint32_t own_zone = zone_loads_own_zone(steering->zone_loads);

	memset(input, 0, sizeof(*input));
	input->is_on = steering->is_spillover_on;
	input->gain_min_ms = steering->spillover_gain_ms;
	input->now_ns = now_ns;
	input->own.name = steering->options.zone;
	input->own.zone = own_zone;
	input->own.age_ms = -1;
	for (size_t i = 0; i < service->zone_count; i++) {
		const struct zone_load *load = &service->zones[i];
		bool is_own = load->zone == own_zone;

		zone_fill(steering, load, now_ns,
			  is_own ? &input->own
				 : &input->zones[input->zone_count++]);
	}
	/* Without hosts in the own zone, nobody reports its load. */
	for (size_t i = 0; i < input->zone_count; i++) {
		if (!input->own.is_reachable && input->own.age_ms < 0 &&
		    input->zones[i].age_ms >= 0)
			input->own.age_ms = input->zones[i].age_ms;
	}
}

static bool is_report_due(const struct service_spillover *entry, int64_t now_ns)
{
	double change = entry->spillover.share - entry->reported_share;

	if (entry->reported_ns != 0 &&
	    now_ns - entry->reported_ns < REPORT_INTERVAL_NS)
		return false;
	return fabs(change) >= REPORTED_CHANGE ||
	       (entry->spillover.share > 0) != (entry->reported_share > 0) ||
	       (entry->spillover.reason != entry->reported_reason &&
		entry->spillover.share > 0);
}

static void change_report(struct steering *steering,
			  const struct service_load *service,
			  struct service_spillover *entry,
			  const struct spillover_input *input)
{
	if (!steering->options.on_spillover_changed ||
	    !is_report_due(entry, input->now_ns))
		return;
	entry->reported_ns = input->now_ns;
	entry->reported_share = entry->spillover.share;
	entry->reported_reason = entry->spillover.reason;
	steering->options.on_spillover_changed(steering->options.context,
					       service->name, &entry->spillover,
					       input);
}

/* True if nothing is known and nothing is in force. */
static bool is_idle(const struct service_load *service,
		    const struct service_spillover *entry)
{
	return service->totals_ns == 0 ||
	       (entry && entry->totals_ns == service->totals_ns &&
		entry->spillover.share <= 0 &&
		entry->spillover.part_count == 0);
}

static void service_step(struct steering *steering,
			 const struct service_load *service, int64_t now_ns)
{
	struct service_spillover *entry =
		g_hash_table_lookup(steering->spillovers, service->name);
	struct spillover_input input;

	if (is_idle(service, entry))
		return;
	if (!entry) {
		entry = g_new0(struct service_spillover, 1);
		g_hash_table_insert(steering->spillovers,
				    g_strdup(service->name), entry);
	}
	if (entry->totals_ns == service->totals_ns &&
	    now_ns - entry->spillover.stepped_ns < REPORT_MISSING_NS)
		return;
	input_make(steering, service, now_ns, &input);
	if (spillover_step(&entry->spillover, &input))
		entry->totals_ns = service->totals_ns;
	change_report(steering, service, entry, &input);
}

static gboolean is_service_unknown(gpointer key, gpointer value,
				   gpointer context)
{
	const struct steering *steering = context;

	return !zone_loads_find(steering->zone_loads, key);
}

void service_spillovers_tick(struct steering *steering, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator,
			       zone_loads_services(steering->zone_loads));
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		service_step(steering, value, now_ns);
	g_hash_table_foreach_remove(steering->spillovers, is_service_unknown,
				    steering);
}

const struct spillover *service_spillover_find(const struct steering *steering,
					       const char *service)
{
	const struct service_spillover *entry =
		g_hash_table_lookup(steering->spillovers, service);

	return entry ? &entry->spillover : NULL;
}

void zone_flow_count(struct steering *steering,
		     const struct spillover *spillover,
		     enum choice_reason choice)
{
	enum spillover_reason reason = SPILLOVER_NO_REPORTS;
	enum zone_flow flow;

	if (spillover)
		reason = spillover->reason;
	else if (!steering->is_spillover_on)
		reason = SPILLOVER_OFF;
	switch (choice) {
	case CHOICE_FAILOVER:
		flow = ZONE_FLOW_LEFT_LOST_SLOTS;
		break;
	case CHOICE_REMOTE:
		flow = ZONE_FLOW_LEFT_NO_HOST;
		break;
	case CHOICE_SPILLOVER:
		flow = reason == SPILLOVER_SHORTER ? ZONE_FLOW_LEFT_SHORTER
						   : ZONE_FLOW_LEFT_FULL;
		break;
	case CHOICE_LOCAL:
		flow = kept_flows[reason];
		break;
	default:
		return;
	}
	steering->zone_flow_counts[flow]++;
}

struct zone_loads *steering_zone_loads(struct steering *steering)
{
	return steering->zone_loads;
}

void steering_set_spillover(struct steering *steering, bool is_on,
			    uint32_t gain_ms)
{
	steering->is_spillover_on = is_on;
	steering->spillover_gain_ms = gain_ms;
}

const struct spillover *steering_spillover(const struct steering *steering,
					   const char *service)
{
	return service_spillover_find(steering, service);
}

uint32_t steering_spillover_permille(const struct steering *steering)
{
	const struct spillover *busiest = NULL;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, steering->spillovers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct service_spillover *entry = value;

		if (!busiest || entry->spillover.level > busiest->level)
			busiest = &entry->spillover;
	}
	return busiest ? (uint32_t)(busiest->share * 1000 + 0.5) : 0;
}

const uint64_t *steering_zone_flow_counts(const struct steering *steering)
{
	return steering->zone_flow_counts;
}
