#include <string.h>

#include "core/core_state.h"

/* Figures that moved less wait for their turn in the rotation. */
#define LOAD_CHANGE_MIN 4
#define LOAD_CHANGE_SHIFT 8
#define LOAD_ROTATION 4
#define LOAD_INTERVAL_NS NS_PER_S
/* Slow start raises the weight in steps, one map version each. */
#define SLOW_START_STEPS 4
#define WEIGHT_SCALE 16

struct host_entry *host_state_find(const struct core *core, uint32_t host_id)
{
	return g_hash_table_lookup(core->hosts, GUINT_TO_POINTER(host_id));
}

struct host_entry *host_state_get(struct core *core, uint32_t host_id,
				  uint32_t service_id)
{
	struct host_entry *state = host_state_find(core, host_id);

	if (!state) {
		state = g_new0(struct host_entry, 1);
		state->id = host_id;
		state->service_id = service_id;
		g_hash_table_insert(core->hosts, GUINT_TO_POINTER(host_id),
				    state);
	}
	return state;
}

uint32_t host_weight(const struct core *core,
		     const struct service_state *service,
		     const struct host_entry *state)
{
	uint32_t weight;
	int64_t duration_ns;
	int64_t age_ns;

	if (!host_accepts(state))
		return 0;
	weight = MAX(state->host->slots, 1) * WEIGHT_SCALE;
	duration_ns = service->service->profile->slow_start_s * NS_PER_S;
	age_ns = core->now_ns - state->serving_since_ns;
	if (state->serving_since_ns == 0 || age_ns >= duration_ns)
		return weight;
	return (uint32_t)(weight *
			  (age_ns * SLOW_START_STEPS / duration_ns + 1) /
			  (SLOW_START_STEPS + 1));
}

static void host_apply(struct core *core, const struct service *service,
		       const struct host *host, bool is_first)
{
	struct host_entry *state = host_state_find(core, host->id);
	bool is_new = !state;

	state = host_state_get(core, host->id, service->id);
	state->host = host;
	if (host->state == HOST_DRAINING) {
		/* A member that was away cannot tell how long it has drained. */
		if (state->drain_since_ns == 0)
			state->drain_since_ns =
				is_first || !core->is_self_active ||
						core_is_suspended(core)
					? core->now_ns - DRAIN_CUT_OFF_NS
					: core->now_ns;
		return;
	}
	if (!is_first && (is_new || state->drain_since_ns != 0))
		state->serving_since_ns = core->now_ns;
	else if (is_new)
		state->serving_since_ns = 0;
	state->drain_since_ns = 0;
}

void hosts_apply(struct core *core, bool is_first)
{
	const struct configuration *configuration = core->configuration;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct host_entry *)value)->host = NULL;
	for (size_t i = 0; i < configuration->service_count; i++) {
		const struct service *service = &configuration->services[i];

		for (size_t j = 0; j < service->host_count; j++)
			host_apply(core, service, &service->hosts[j], is_first);
	}
}

/* Forgets hosts that are neither published nor named by a bucket. */
void hosts_collect(struct core *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct host_entry *)value)->is_referenced = false;
	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_state *service = value;

		for (uint32_t i = 0; i < service->bucket_count; i++) {
			service->buckets[i].base->is_referenced = true;
			service->buckets[i].target->is_referenced = true;
		}
	}
	g_hash_table_iter_init(&iterator, core->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct host_entry *state = value;

		if (state->host || state->is_referenced)
			continue;
		load_table_drop_host(core->loads, state->id);
		g_hash_table_iter_remove(&iterator);
	}
}

void load_count(struct core *core, struct host_entry *state, int difference)
{
	state->own += difference;
	state->total += difference;
}

void load_handle(struct core *core, uint64_t sender_id,
		 const struct core_message *message)
{
	/* A report that outlives its sender would never be taken back. */
	if (!core->view || !view_member(core->view, sender_id))
		return;
	for (size_t i = 0; i < message->load_count; i++) {
		const struct host_load *load = &message->loads[i];
		struct host_entry *state = host_state_find(core, load->host_id);

		if (state)
			load_table_set(core->loads, sender_id, load->host_id,
				       load->open_flows, &state->total);
	}
}

static void load_adjust(void *context, uint32_t host_id, int64_t difference)
{
	struct host_entry *state = host_state_find(context, host_id);

	if (state)
		state->total += difference;
}

void load_drop_member(struct core *core, uint64_t member_id)
{
	load_table_drop_member(core->loads, member_id, load_adjust, core);
}

static bool load_is_due(const struct host_entry *state)
{
	int32_t difference = state->own - state->announced;

	if (difference < 0)
		difference = -difference;
	return difference > LOAD_CHANGE_MIN &&
	       difference > (state->own >> LOAD_CHANGE_SHIFT);
}

/* Changed figures, and a few others in turn so that a lost report heals. */
static GArray *loads_collect(struct core *core)
{
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct host_load));
	uint32_t count = g_hash_table_size(core->hosts);
	uint32_t index = 0;
	GHashTableIter iterator;
	gpointer value;

	if (core->load_cursor >= count)
		core->load_cursor = 0;
	g_hash_table_iter_init(&iterator, core->hosts);
	for (; g_hash_table_iter_next(&iterator, NULL, &value); index++) {
		struct host_entry *state = value;
		bool is_turn = index >= core->load_cursor &&
			       index < core->load_cursor + LOAD_ROTATION;
		struct host_load load = { state->id, state->own };

		state->placed = 0;
		if (!is_turn && !load_is_due(state))
			continue;
		state->announced = state->own;
		g_array_append_val(loads, load);
	}
	core->load_cursor += LOAD_ROTATION;
	return loads;
}

void loads_tick(struct core *core)
{
	struct core_message message = { .kind = CORE_MESSAGE_LOAD };
	GArray *loads;

	if (core->now_ns < core->load_at_ns || !core->view)
		return;
	core->load_at_ns = core->now_ns + LOAD_INTERVAL_NS;
	loads = loads_collect(core);
	message.loads = (const struct host_load *)loads->data;
	message.load_count = loads->len;
	for (size_t i = 0; loads->len > 0 && i < core->view->member_count;
	     i++) {
		if (i != core->view->self)
			core->options.send(core->options.context,
					   core->view->members[i].id, &message,
					   MESSAGE_PRIORITY_HEARTBEAT);
	}
	g_array_free(loads, TRUE);
}
