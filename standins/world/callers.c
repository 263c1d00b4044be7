#include "standins/world/callers.h"

#include <string.h>

#include "packet/packet.h"

/* Callers are 10.0.0.0/8; each address opens this many flows, then the next. */
#define CALLER_ADDRESS_FIRST 0x0a000001U
#define CALLER_PORT_FIRST 1024U
#define CALLER_PORTS 64U

#define FLOW_YOUNG_NS (2 * NS_PER_S)

struct plan {
	struct callers_plan plan;
	double credit; /* flows that may be opened now */
	int64_t updated_ns;
	uint32_t opened;
	bool is_stopped;
};

struct callers {
	struct callers_options options;
	struct flow_output output;
	GPtrArray *flows; /* struct caller_flow */
	GHashTable *by_id; /* flow id to struct caller_flow, not owned */
	GArray *plans; /* struct plan */
	uint64_t next_flow;
	struct callers_counters counters;
};

static void callers_output(void *context, const struct caller_flow *flow,
			   const struct segment *segment, bool is_retry)
{
	struct callers *callers = context;
	uint8_t buffer[SEGMENT_BYTES];
	size_t length = segment_build(segment, buffer);

	if (is_retry)
		callers->counters.retransmissions++;
	else if (segment->request_number != 0)
		callers->counters.requests_sent++;
	callers->options.send(callers->options.context, flow->zone, buffer,
			      length);
}

struct callers *callers_create(const struct callers_options *options)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->options = *options;
	callers->output.send = callers_output;
	callers->output.context = callers;
	callers->flows = g_ptr_array_new_with_free_func(g_free);
	callers->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	callers->plans = g_array_new(FALSE, TRUE, sizeof(struct plan));
	return callers;
}

void callers_destroy(struct callers *callers)
{
	g_array_free(callers->plans, TRUE);
	g_hash_table_destroy(callers->by_id);
	g_ptr_array_free(callers->flows, TRUE);
	g_free(callers);
}

static const struct catalogue_service *
callers_service(const struct callers *callers, uint32_t index)
{
	return callers->options.catalogue->services->pdata[index];
}

/* Callers are spread over the zones in which hosts of the service are. */
static GQuark caller_zone(const struct catalogue_service *service,
			  uint64_t number)
{
	const struct catalogue_host *host;

	if (service->hosts->len == 0)
		return 0;
	host = service->hosts->pdata[number % service->hosts->len];
	return host->zone;
}

static void flow_open(struct callers *callers, const struct callers_plan *plan)
{
	const struct catalogue_service *service =
		callers_service(callers, plan->service);
	const struct catalogue_address *address =
		catalogue_service_address(service, plan->protocol);
	struct caller_flow *flow;
	uint64_t number;

	if (!address)
		return;
	number = callers->next_flow++;
	flow = g_new0(struct caller_flow, 1);
	flow->id = FLOW_ID(CALLER_ADDRESS_FIRST + number / CALLER_PORTS,
			   CALLER_PORT_FIRST + number % CALLER_PORTS);
	flow->service = plan->service;
	flow->address = *address;
	flow->zone = caller_zone(service, number);
	flow->shape = plan->shape;
	flow->output = &callers->output;
	g_ptr_array_add(callers->flows, flow);
	g_hash_table_insert(callers->by_id, &flow->id, flow);
	ledger_open_flow(callers->options.ledger, flow->id, plan->service);
	callers->counters.flows_started++;
	if (plan->protocol == PACKET_PROTOCOL_UDP)
		callers->counters.flows_opened++;
	caller_flow_start(flow, clock_now_ns(callers->options.clock));
}

bool callers_open(struct callers *callers, const struct callers_plan *plan)
{
	struct plan added = {
		.plan = *plan,
		.updated_ns = clock_now_ns(callers->options.clock),
	};

	if (!catalogue_service_address(callers_service(callers, plan->service),
				       plan->protocol))
		return false;
	if (plan->flows_per_s <= 0)
		added.credit = plan->count;
	g_array_append_val(callers->plans, added);
	return true;
}

void callers_stop_opening(struct callers *callers, uint32_t service)
{
	for (guint i = 0; i < callers->plans->len; i++) {
		struct plan *plan =
			&g_array_index(callers->plans, struct plan, i);

		if (plan->plan.service == service)
			plan->is_stopped = true;
	}
}

void callers_send(struct callers *callers, uint32_t service, uint32_t count)
{
	for (guint i = 0; i < callers->flows->len; i++) {
		struct caller_flow *flow = callers->flows->pdata[i];

		if (flow->service == service && flow->state == FLOW_OPEN)
			flow->requests_due += count;
	}
}

uint32_t callers_close(struct callers *callers, uint32_t service,
		       const struct catalogue_host *host, bool reopens)
{
	uint32_t closed = 0;
	uint32_t index;

	for (guint i = 0; i < callers->flows->len; i++) {
		struct caller_flow *flow = callers->flows->pdata[i];

		if (flow->service != service || flow->wants_close)
			continue;
		if (host && (!ledger_flow_host(callers->options.ledger,
					       flow->id, &index) ||
			     index != host->index))
			continue;
		flow->wants_close = true;
		flow->reopens = reopens;
		closed++;
	}
	return closed;
}

GQuark callers_flow_zone(const struct callers *callers, uint64_t flow_id)
{
	const struct caller_flow *flow =
		g_hash_table_lookup(callers->by_id, &flow_id);

	return flow ? flow->zone : 0;
}

void callers_receive(struct callers *callers, const struct reply *reply)
{
	struct caller_flow *flow =
		g_hash_table_lookup(callers->by_id, &reply->flow_id);
	bool was_connecting;
	uint32_t answers;
	uint32_t wrong;

	if (!flow || flow->state == FLOW_ENDED)
		return;
	was_connecting = flow->state == FLOW_CONNECTING;
	answers = flow->answers_received;
	wrong = flow->answers_wrong;
	caller_flow_receive(flow, reply, clock_now_ns(callers->options.clock));
	if (was_connecting && flow->state == FLOW_OPEN)
		callers->counters.flows_opened++;
	callers->counters.answers_received += flow->answers_received - answers;
	callers->counters.answers_wrong += flow->answers_wrong - wrong;
}

static void break_count(struct callers *callers, const struct caller_flow *flow)
{
	int64_t now_ns = clock_now_ns(callers->options.clock);

	callers->counters.flows_broken++;
	if (caller_flow_age_ns(flow, now_ns) < FLOW_YOUNG_NS)
		callers->counters.flows_broken_young++;
	callers->counters.answers_incomplete += caller_flow_incomplete(flow);
}

static void end_count(struct callers *callers, const struct caller_flow *flow)
{
	switch (flow->end) {
	case FLOW_END_NORMAL:
		callers->counters.flows_ended++;
		break;
	case FLOW_END_UNCONFIRMED:
		callers->counters.flows_ended++;
		callers->counters.flows_end_unconfirmed++;
		break;
	case FLOW_END_REFUSED:
		callers->counters.flows_refused++;
		ledger_refuse_flow(callers->options.ledger, flow->id);
		break;
	case FLOW_END_NOT_OPENED:
		callers->counters.flows_not_opened++;
		break;
	case FLOW_END_RESET:
		callers->counters.flows_reset++;
		break_count(callers, flow);
		break;
	case FLOW_END_UNANSWERED:
		callers->counters.flows_unanswered++;
		break_count(callers, flow);
		break;
	}
}

static void flow_remove(struct callers *callers, guint index)
{
	struct caller_flow *flow = callers->flows->pdata[index];
	struct callers_plan again = {
		.service = flow->service,
		.protocol = flow->address.protocol,
		.count = 1,
		.shape = flow->shape,
	};
	bool reopens = flow->reopens && (flow->end == FLOW_END_NORMAL ||
					 flow->end == FLOW_END_UNCONFIRMED);

	end_count(callers, flow);
	g_hash_table_remove(callers->by_id, &flow->id);
	g_ptr_array_remove_index_fast(callers->flows, index);
	if (reopens)
		flow_open(callers, &again);
}

/* The path is up unless the zones of caller and host are cut off. */
static bool path_is_up(const struct callers *callers,
		       const struct caller_flow *flow)
{
	const struct catalogue_host *host;
	uint32_t index;

	if (!ledger_flow_host(callers->options.ledger, flow->id, &index))
		return true;
	host = callers->options.catalogue->hosts->pdata[index];
	return !network_is_cut(callers->options.network, flow->zone,
			       host->zone);
}

static void plan_tick(struct callers *callers, guint index, int64_t now_ns)
{
	struct plan plan = g_array_index(callers->plans, struct plan, index);
	uint32_t limit = plan.plan.count ? plan.plan.count : UINT32_MAX;

	plan.credit += plan.plan.flows_per_s *
		       (double)(now_ns - plan.updated_ns) / (double)NS_PER_S;
	plan.updated_ns = now_ns;
	while (!plan.is_stopped && plan.opened < limit && plan.credit >= 1) {
		plan.credit -= 1;
		plan.opened++;
		flow_open(callers, &plan.plan);
	}
	g_array_index(callers->plans, struct plan, index) = plan;
}

void callers_tick(struct callers *callers)
{
	int64_t now_ns = clock_now_ns(callers->options.clock);

	for (guint i = 0; i < callers->plans->len; i++)
		plan_tick(callers, i, now_ns);
	/* Backwards, as removing moves the last flow into the gap. */
	for (guint i = callers->flows->len; i-- > 0;) {
		struct caller_flow *flow = callers->flows->pdata[i];

		if (flow->state != FLOW_ENDED)
			caller_flow_tick(flow, now_ns,
					 path_is_up(callers, flow));
		if (flow->state == FLOW_ENDED)
			flow_remove(callers, i);
	}
}

const struct callers_counters *callers_counters(const struct callers *callers)
{
	return &callers->counters;
}

struct callers_gauges callers_gauges(const struct callers *callers)
{
	struct callers_gauges gauges = { 0 };

	for (guint i = 0; i < callers->flows->len; i++) {
		const struct caller_flow *flow = callers->flows->pdata[i];

		gauges.open += flow->state == FLOW_OPEN;
		gauges.connecting += flow->state == FLOW_CONNECTING;
		gauges.closing += flow->state == FLOW_CLOSING;
		gauges.requests_pending += flow->request_count;
	}
	return gauges;
}
