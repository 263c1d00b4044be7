#include <stdio.h>

#include "explorer_state.h"

#define SETTLE_NS (60 * NS_PER_S)

static void event_log(const struct explorer *explorer, const char *event,
		      int number)
{
	if (explorer->options->is_verbose)
		printf("%.3f %s %d\n",
		       (double)explorer_elapsed_ns(explorer) / NS_PER_S, event,
		       number);
}

static int64_t now(const struct explorer *explorer)
{
	return explorer->cluster.clock.now_ns;
}

static void publish(struct explorer *explorer)
{
	explorer->latest = fixture_build(&explorer->fixture);
	g_ptr_array_add(explorer->revisions, explorer->latest);
	for (int i = 0; i < MEMBERS; i++) {
		if (explorer->cluster.members[i].is_running)
			cluster_configure(&explorer->cluster, i,
					  explorer->latest,
					  random_below(&explorer->random, 400) *
						  NS_PER_MS);
	}
}

static void member_start(struct explorer *explorer, int member)
{
	explorer->cluster.members[member].configuration = explorer->latest;
	cluster_start(&explorer->cluster, member);
}

void explorer_events_start(struct explorer *explorer)
{
	fixture_add_service(&explorer->fixture, "even", SPREAD_EVEN_LOAD, 5);
	fixture_add_service(&explorer->fixture, "few", SPREAD_FEWEST_MOVES, 4);
	explorer->revisions = g_ptr_array_new();
	explorer->drained = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						  NULL, g_free);
	explorer->latest = fixture_build(&explorer->fixture);
	g_ptr_array_add(explorer->revisions, explorer->latest);
	explorer->restarting = -1;
	explorer->draining_service = -1;
	explorer->next_host = 10;
	/* Before any fault, every flow is safe. */
	explorer->fault_ns = INT64_MIN / 2;
	for (int i = 0; i < MEMBERS; i++)
		member_start(explorer, i);
	if (!cluster_settle(&explorer->cluster, SETTLE_NS))
		violation_report(explorer, VIOLATION_UNSETTLED, 0, 0,
				 "cold start");
	explorer->calm_ns = now(explorer);
	explorer->next_change_ns = now(explorer) + NS_PER_S;
}

static void fault_begin(struct explorer *explorer, const char *name, int number)
{
	event_log(explorer, name, number);
	explorer->result->faults++;
	/* Their records may be lost with the fault, and missed at any later time. */
	for (uint32_t i = 0; i < explorer->flows->len; i++) {
		struct explorer_flow *flow = explorer_flow(explorer, i);

		/* A SYN that is repeated after the fault is one of these too. */
		if (flow->state == FLOW_OPENING ||
		    (flow->state == FLOW_ESTABLISHED &&
		     flow->established_ns > now(explorer) - FLOW_SAFE_NS))
			flow->is_excused = true;
	}
	explorer->fault_ns = now(explorer);
	explorer->calm_ns = INT64_MAX;
}

static void member_stop(struct explorer *explorer, int member)
{
	cluster_kill(&explorer->cluster, member);
	explorer->restarting = member;
	explorer->restart_ns =
		now(explorer) +
		(4 + random_below(&explorer->random, 4)) * NS_PER_S;
}

static void split_begin(struct explorer *explorer)
{
	int zone = (int)random_below(&explorer->random, ZONES);

	fault_begin(explorer, "partition of zone", zone);
	explorer->is_split = true;
	explorer->split_until_ns =
		now(explorer) +
		(1 + random_below(&explorer->random, 8)) * NS_PER_S;
	for (int i = 0; i < MEMBERS; i++) {
		explorer->split_side[i] = explorer->cluster.members[i].zone ==
					  zone;
		explorer->cluster.side[i] = explorer->split_side[i];
	}
}

static void split_step(struct explorer *explorer)
{
	if (!explorer->is_split || now(explorer) < explorer->split_until_ns)
		return;
	if (explorer->cluster.side[0] != 0 || explorer->cluster.side[1] != 0 ||
	    explorer->cluster.side[2] != 0)
		event_log(explorer, "heal", 0);
	for (int i = 0; i < MEMBERS; i++)
		explorer->cluster.side[i] = 0;
	/*
	 * Paths of callers change only after the members have merged. A short
	 * partition may be noticed only after its end.
	 */
	if (now(explorer) > explorer->split_until_ns + NS_PER_S &&
	    cluster_is_settled(&explorer->cluster))
		explorer->is_split = false;
}

static void fault_draw(struct explorer *explorer)
{
	static const enum explorer_event faults[] = {
		EXPLORE_KILL, EXPLORE_PAUSE, EXPLORE_PARTITION, EXPLORE_LEAVE
	};
	enum explorer_event fault = faults[random_below(&explorer->random, 4)];
	int member = (int)random_below(&explorer->random, MEMBERS);

	if (!(explorer->options->events & fault))
		return;
	if (fault == EXPLORE_KILL) {
		fault_begin(explorer, "kill", member);
		member_stop(explorer, member);
	} else if (fault == EXPLORE_PAUSE) {
		fault_begin(explorer, "pause", member);
		cluster_pause(&explorer->cluster, member,
			      (500 + random_below(&explorer->random, 6000)) *
				      NS_PER_MS);
	} else if (fault == EXPLORE_PARTITION) {
		split_begin(explorer);
	} else {
		event_log(explorer, "leave", member);
		cluster_leave(&explorer->cluster, member);
		explorer->restarting = member;
		explorer->restart_ns = 0;
	}
}

static void restart_step(struct explorer *explorer)
{
	int index = explorer->restarting;
	struct cluster_member *member;

	if (index < 0)
		return;
	member = &explorer->cluster.members[index];
	if (member->is_running) {
		if (!core_has_left(member->core))
			return;
		event_log(explorer, "left", index);
		member_stop(explorer, index);
	} else if (now(explorer) >= explorer->restart_ns) {
		event_log(explorer, "start", index);
		member_start(explorer, index);
		explorer->restarting = -1;
	}
}

static uint32_t host_id(const struct explorer *explorer, int service,
			int number)
{
	const char *name = explorer->fixture.services[service].name;
	char host[16];

	g_snprintf(host, sizeof(host), "h%d", number);
	for (size_t i = 0; i < explorer->latest->service_count; i++) {
		const struct service *published =
			&explorer->latest->services[i];

		if (g_strcmp0(published->name, name) != 0)
			continue;
		for (size_t j = 0; j < published->host_count; j++) {
			if (g_strcmp0(published->hosts[j].name, host) == 0)
				return published->hosts[j].id;
		}
	}
	return 0;
}

static void drain_begin(struct explorer *explorer)
{
	int index = (int)random_below(&explorer->random, SERVICES);
	struct fixture_service *service = &explorer->fixture.services[index];
	struct fixture_host *host;
	int64_t published_ns = now(explorer);
	uint32_t id;

	if (explorer->draining_service >= 0 || service->host_count < 3)
		return;
	host = &service->hosts[random_below(&explorer->random,
					    (uint32_t)service->host_count)];
	host->state = HOST_DRAINING;
	explorer->draining_service = index;
	explorer->draining_host = host->number;
	explorer->drain_ns = published_ns;
	event_log(explorer, "drain", host->number);
	publish(explorer);
	id = host_id(explorer, index, host->number);
	/* The bound starts once the revision has reached every member. */
	published_ns += 400 * NS_PER_MS;
	g_hash_table_insert(explorer->drained, GUINT_TO_POINTER(id),
			    g_memdup2(&published_ns, sizeof(published_ns)));
}

/* Ends the flows of a drained host, then removes it. */
static void drain_step(struct explorer *explorer)
{
	int index = explorer->draining_service;
	uint32_t id;

	if (index < 0 || now(explorer) < explorer->drain_ns + 6 * NS_PER_S)
		return;
	id = host_id(explorer, index, explorer->draining_host);
	for (uint32_t i = 0; i < explorer->flows->len; i++) {
		struct explorer_flow *flow = explorer_flow(explorer, i);

		if (flow->host_id == id)
			flow->state = FLOW_ENDED;
	}
	event_log(explorer, "remove", explorer->draining_host);
	fixture_remove_host(&explorer->fixture.services[index],
			    explorer->draining_host);
	explorer->draining_service = -1;
	publish(explorer);
}

static void host_add(struct explorer *explorer)
{
	struct fixture_service *service =
		&explorer->fixture
			 .services[random_below(&explorer->random, SERVICES)];

	if (service->host_count >= 9)
		return;
	event_log(explorer, "add", explorer->next_host);
	service->hosts[service->host_count++] =
		(struct fixture_host){ .number = explorer->next_host++ };
	publish(explorer);
}

static void silence_toggle(struct explorer *explorer)
{
	bool is_silent = explorer->silent_host == 0;

	if (is_silent)
		explorer->silent_host =
			host_id(explorer, 0,
				explorer->fixture.services[0].hosts[0].number);
	event_log(explorer, is_silent ? "silent" : "not silent", 0);
	for (int i = 0; i < MEMBERS; i++) {
		if (explorer->cluster.members[i].is_running)
			core_set_host_silent(explorer->cluster.members[i].core,
					     explorer->silent_host, is_silent);
	}
	if (!is_silent)
		explorer->silent_host = 0;
}

static void host_change_draw(struct explorer *explorer)
{
	static const enum explorer_event changes[] = { EXPLORE_DRAIN,
						       EXPLORE_ADD,
						       EXPLORE_SILENCE };
	enum explorer_event change =
		changes[random_below(&explorer->random, 3)];

	if (!(explorer->options->events & change))
		return;
	if (change == EXPLORE_DRAIN)
		drain_begin(explorer);
	else if (change == EXPLORE_ADD)
		host_add(explorer);
	else
		silence_toggle(explorer);
}

void explorer_events_step(struct explorer *explorer)
{
	restart_step(explorer);
	split_step(explorer);
	drain_step(explorer);
	if (explorer->calm_ns == INT64_MAX && !explorer->is_split &&
	    explorer->restarting < 0 &&
	    cluster_is_settled(&explorer->cluster)) {
		explorer->calm_ns = now(explorer);
		event_log(explorer, "calm", 0);
	}
	if (now(explorer) < explorer->next_change_ns)
		return;
	explorer->next_change_ns =
		now(explorer) +
		(500 + random_below(&explorer->random, 3000)) * NS_PER_MS;
	/* One fault at a time; host changes come at any time. */
	if (random_chance(&explorer->random, 500))
		host_change_draw(explorer);
	else if (explorer->restarting < 0 && !explorer->is_split &&
		 explorer->calm_ns != INT64_MAX &&
		 now(explorer) > explorer->calm_ns + 3 * NS_PER_S)
		fault_draw(explorer);
}

void explorer_events_end(struct explorer *explorer)
{
	explorer->split_until_ns = 0;
	for (int i = 0; i < 400; i++) {
		restart_step(explorer);
		split_step(explorer);
		cluster_run(&explorer->cluster, 50 * NS_PER_MS);
	}
	if (!cluster_settle(&explorer->cluster, SETTLE_NS))
		violation_report(explorer, VIOLATION_UNSETTLED, 0, 0, "end");
	cluster_run(&explorer->cluster, 3 * NS_PER_S);
}

void explorer_events_clear(struct explorer *explorer)
{
	for (guint i = 0; i < explorer->revisions->len; i++)
		fixture_destroy_revision(explorer->revisions->pdata[i]);
	g_ptr_array_free(explorer->revisions, TRUE);
	g_hash_table_destroy(explorer->drained);
}
