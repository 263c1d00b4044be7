#include "explorer.h"

#include <stdio.h>
#include <string.h>

#include "cluster.h"
#include "explorer_state.h"

static const char *const violation_names[VIOLATIONS] = {
	[VIOLATION_MOVED] = "moved",
	[VIOLATION_SYN_MOVED] = "syn_moved",
	[VIOLATION_FOREIGN] = "foreign",
	[VIOLATION_DRAINING] = "draining",
	[VIOLATION_REFUSED] = "refused",
	[VIOLATION_UNREACHABLE] = "unreachable",
	[VIOLATION_UNSETTLED] = "unsettled",
};

const char *violation_name(enum violation violation)
{
	return violation_names[violation];
}

void violation_report(struct explorer *explorer, enum violation violation,
		      uint32_t flow, int member, const char *detail)
{
	struct explorer_result *result = explorer->result;
	char text[sizeof(result->first)];

	g_snprintf(text, sizeof(text),
		   "%s: seed %" G_GUINT64_FORMAT " at %.3f s flow %u member %d "
		   "%s",
		   violation_name(violation), explorer->options->seed,
		   (double)explorer_elapsed_ns(explorer) / NS_PER_S, flow,
		   member, detail);
	if (result->violation_count++ == 0)
		g_strlcpy(result->first, text, sizeof(result->first));
	result->violations[violation]++;
	if (explorer->options->is_verbose)
		printf("%s\n", text);
}

int64_t explorer_elapsed_ns(const struct explorer *explorer)
{
	return explorer->cluster.clock.now_ns - explorer->started_ns;
}

/* Whether @member can be reached by the caller of @flow. */
static bool is_reachable(const struct explorer *explorer,
			 const struct explorer_flow *flow, int member)
{
	const struct cluster *cluster = &explorer->cluster;

	return cluster->members[member].is_running &&
	       (!explorer->is_split ||
		explorer->split_side[member] == flow->side);
}

static int member_draw(struct explorer *explorer,
		       const struct explorer_flow *flow)
{
	for (int attempt = 0; attempt < 64; attempt++) {
		int member = (int)random_below(&explorer->random, MEMBERS);

		if (is_reachable(explorer, flow, member))
			return member;
	}
	return -1;
}

static void packet_send(struct explorer *explorer, uint32_t index,
			uint8_t flags)
{
	struct explorer_flow *flow = explorer_flow(explorer, index);
	struct packet_facts facts = fixture_packet(
		&explorer->fixture.services[flow->service], index, flags);
	int member = member_draw(explorer, flow);

	if (member >= 0)
		cluster_packet(&explorer->cluster, member, index, &facts,
			       random_below(&explorer->random, 2000) *
				       NS_PER_US);
}

static void syn_send(struct explorer *explorer, uint32_t index)
{
	struct explorer_flow *flow = explorer_flow(explorer, index);

	flow->tries++;
	flow->syn_at_ns =
		explorer->cluster.clock.now_ns + (NS_PER_S << flow->tries) / 2;
	packet_send(explorer, index, TCP_FLAG_SYN);
}

static void flow_open(struct explorer *explorer)
{
	struct explorer_flow flow = {
		.service = (uint8_t)random_below(&explorer->random, SERVICES),
		.side = (uint8_t)random_below(&explorer->random, 2),
	};

	g_array_append_val(explorer->flows, flow);
	explorer->result->flows++;
	syn_send(explorer, explorer->flows->len - 1);
}

static void flow_visit(struct explorer *explorer, uint32_t index)
{
	struct explorer_flow *flow = explorer_flow(explorer, index);

	if (flow->state == FLOW_OPENING &&
	    explorer->cluster.clock.now_ns >= flow->syn_at_ns) {
		if (flow->tries > SYN_TRIES)
			flow->state = FLOW_ENDED;
		else
			syn_send(explorer, index);
	}
	if (flow->state != FLOW_ESTABLISHED)
		return;
	/* A SYN-ACK that is late makes the caller repeat its SYN. */
	if (flow->tries == 1 && flow->is_impatient &&
	    !g_hash_table_contains(explorer->drained,
				   GUINT_TO_POINTER(flow->host_id)) &&
	    explorer->cluster.clock.now_ns >= flow->syn_at_ns) {
		syn_send(explorer, index);
		return;
	}
	if (!random_chance(&explorer->random, DATA_PERMILLE))
		return;
	if (random_chance(&explorer->random, END_PERMILLE)) {
		packet_send(explorer, index, TCP_FLAG_FIN | TCP_FLAG_ACK);
		flow->state = FLOW_ENDED;
	} else {
		packet_send(explorer, index, TCP_FLAG_ACK);
	}
}

static void flows_step(struct explorer *explorer)
{
	for (int i = 0; i < FLOWS_A_STEP; i++)
		flow_open(explorer);
	for (uint32_t i = 0; i < explorer->flows->len; i++)
		flow_visit(explorer, i);
}

static bool is_fault_recent(const struct explorer *explorer,
			    const struct explorer_flow *flow)
{
	/* A record may be lost if it is younger than this when it happens. */
	return flow->is_excused ||
	       (flow->established_ns > explorer->fault_ns - FLOW_SAFE_NS &&
		flow->established_ns < explorer->calm_ns);
}

static void syn_forwarded(struct explorer *explorer, uint32_t index, int member,
			  const struct core_action *action)
{
	const struct host *host = action->host;
	struct explorer_flow *flow = explorer_flow(explorer, index);
	int64_t now_ns = explorer->cluster.clock.now_ns;
	const int64_t *drained_ns = g_hash_table_lookup(
		explorer->drained, GUINT_TO_POINTER(host->id));
	char detail[128];

	g_snprintf(detail, sizeof(detail), "to %s by %s", host->name,
		   core_reason_name(action->reason));
	if (drained_ns && now_ns > *drained_ns + DRAIN_BOUND_NS &&
	    (flow->state == FLOW_OPENING || flow->host_id != host->id))
		violation_report(explorer, VIOLATION_DRAINING, index, member,
				 detail);
	if (flow->state == FLOW_REFUSED)
		violation_report(explorer, VIOLATION_REFUSED, index, member,
				 "forwarded after a refusal");
	if (flow->state == FLOW_ESTABLISHED) {
		bool is_cut_off = g_hash_table_contains(
			explorer->drained, GUINT_TO_POINTER(flow->host_id));

		if (flow->host_id != host->id && !is_cut_off &&
		    !is_fault_recent(explorer, flow))
			violation_report(explorer, VIOLATION_SYN_MOVED, index,
					 member, detail);
		return;
	}
	if (flow->state != FLOW_OPENING ||
	    random_chance(&explorer->random, SYN_ACK_LOSS_PERMILLE))
		return;
	flow->state = FLOW_ESTABLISHED;
	flow->host_id = host->id;
	flow->established_ns = now_ns;
	flow->is_impatient =
		random_chance(&explorer->random, IMPATIENT_PERMILLE);
	packet_send(explorer, index, TCP_FLAG_ACK);
}

static void flow_forwarded(struct explorer *explorer, uint32_t index,
			   const struct packet_facts *facts, int member,
			   const struct core_action *action)
{
	struct explorer_flow *flow = explorer_flow(explorer, index);
	const char *name = explorer->fixture.services[flow->service].name;
	char detail[128];

	explorer->result->forwarded++;
	explorer->result->placed += action->reason == CORE_REASON_OWNER_PLACED;
	if (strcmp(action->service->name, name) != 0)
		violation_report(explorer, VIOLATION_FOREIGN, index, member,
				 action->service->name);
	if (facts->tcp_flags & TCP_FLAG_SYN) {
		syn_forwarded(explorer, index, member, action);
		return;
	}
	if (flow->state != FLOW_ESTABLISHED ||
	    flow->host_id == action->host->id || flow->is_broken)
		return;
	flow->is_broken = true;
	g_snprintf(detail, sizeof(detail), "to %s by %s, open since %.3f s%s",
		   action->host->name, core_reason_name(action->reason),
		   (double)(flow->established_ns - explorer->started_ns) /
			   NS_PER_S,
		   is_fault_recent(explorer, flow) ? " (excused)" : "");
	if (!is_fault_recent(explorer, flow))
		violation_report(explorer, VIOLATION_MOVED, index, member,
				 detail);
}

static void flow_refused(struct explorer *explorer, uint32_t index,
			 const struct packet_facts *facts, int member,
			 const struct core_action *action)
{
	struct explorer_flow *flow = explorer_flow(explorer, index);

	explorer->result->refused++;
	if (flow->state == FLOW_ESTABLISHED && !flow->is_broken) {
		flow->is_broken = true;
		if (!is_fault_recent(explorer, flow))
			violation_report(explorer, VIOLATION_REFUSED, index,
					 member,
					 core_reason_name(action->reason));
	} else if (flow->state == FLOW_OPENING &&
		   (facts->tcp_flags & TCP_FLAG_SYN)) {
		flow->state = FLOW_REFUSED;
	}
}

static void explorer_action(void *context, uint32_t index,
			    const struct packet_facts *facts, int member,
			    const struct core_action *action)
{
	struct explorer *explorer = context;
	struct explorer_flow *flow = explorer_flow(explorer, index);

	if (explorer->options->is_verbose &&
	    explorer->options->trace_flow == index)
		printf("%.3f flow %u flags %x member %d %s %s %s\n",
		       (double)explorer_elapsed_ns(explorer) / NS_PER_S, index,
		       facts->tcp_flags, member, core_action_name(action->kind),
		       core_reason_name(action->reason),
		       action->kind == CORE_FORWARD ? action->host->name : "");
	if (flow->is_probed) {
		flow->is_probed = false;
		if (!is_fault_recent(explorer, flow) &&
		    (action->kind != CORE_FORWARD ||
		     action->host->id != flow->host_id))
			violation_report(explorer, VIOLATION_UNREACHABLE, index,
					 member,
					 core_reason_name(action->reason));
		return;
	}
	if (action->kind == CORE_FORWARD)
		flow_forwarded(explorer, index, facts, member, action);
	else if (action->kind == CORE_REFUSE)
		flow_refused(explorer, index, facts, member, action);
	else
		explorer->result->drops[action->reason]++;
}

/* Every open flow must be reachable through any member when all is calm. */
static void flows_probe(struct explorer *explorer)
{
	for (uint32_t i = 0; i < explorer->flows->len; i++) {
		struct explorer_flow *flow = explorer_flow(explorer, i);

		if (flow->state != FLOW_ESTABLISHED || flow->is_broken)
			continue;
		flow->is_probed = true;
		packet_send(explorer, i, TCP_FLAG_ACK);
	}
	cluster_run(&explorer->cluster, NS_PER_S);
}

void explorer_run(const struct explorer_options *options,
		  struct explorer_result *result)
{
	struct explorer *explorer = g_new0(struct explorer, 1);
	const struct cluster_options cluster_options = {
		.member_count = MEMBERS,
		.zone_count = ZONES,
		.seed = options->seed,
		.rules = options->rules,
		.loss_permille = options->loss_permille,
		.duplicate_permille = options->loss_permille,
		.delay_max_ns = 20 * NS_PER_MS,
		.exceptions_max = 100000,
		.on_action = explorer_action,
		.context = explorer,
	};

	*result = (struct explorer_result){ 0 };
	explorer->options = options;
	explorer->result = result;
	explorer->random.state = options->seed * 7919 + 1;
	explorer->flows =
		g_array_new(FALSE, TRUE, sizeof(struct explorer_flow));
	cluster_init(&explorer->cluster, &cluster_options);
	explorer->started_ns = explorer->cluster.clock.now_ns;
	explorer_events_start(explorer);
	for (int step = 0; step < options->seconds * STEPS_A_SECOND; step++) {
		flows_step(explorer);
		explorer_events_step(explorer);
		cluster_run(&explorer->cluster, NS_PER_S / STEPS_A_SECOND);
	}
	explorer_events_end(explorer);
	flows_probe(explorer);
	result->passes = explorer->cluster.passes;
	cluster_clear(&explorer->cluster);
	explorer_events_clear(explorer);
	g_array_free(explorer->flows, TRUE);
	g_free(explorer);
}
