#include "standins/control.h"
#include "standins/world/world.h"

static void flows_report(const struct world *world, JsonBuilder *reply)
{
	const struct callers_counters *counters =
		callers_counters(world->callers);
	struct callers_gauges gauges = callers_gauges(world->callers);
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "flows_started", counters->flows_started },
		{ "flows_opened", counters->flows_opened },
		{ "flows_ended", counters->flows_ended },
		{ "flows_end_unconfirmed", counters->flows_end_unconfirmed },
		{ "flows_refused", counters->flows_refused },
		{ "flows_not_opened", counters->flows_not_opened },
		{ "flows_broken", counters->flows_broken },
		{ "flows_broken_young", counters->flows_broken_young },
		{ "flows_broken_old",
		  counters->flows_broken - counters->flows_broken_young },
		{ "flows_reset", counters->flows_reset },
		{ "flows_unanswered", counters->flows_unanswered },
		{ "requests_sent", counters->requests_sent },
		{ "retransmissions", counters->retransmissions },
		{ "answers_received", counters->answers_received },
		{ "answers_incomplete", counters->answers_incomplete },
		{ "answers_wrong", counters->answers_wrong },
		{ "flows_open", gauges.open },
		{ "flows_connecting", gauges.connecting },
		{ "flows_closing", gauges.closing },
		{ "flows_active",
		  gauges.open + gauges.connecting + gauges.closing },
		{ "requests_pending", gauges.requests_pending },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		control_add_number(reply, rows[i].name, (double)rows[i].value);
}

static void paths_report(const struct world *world, JsonBuilder *reply)
{
	const struct ledger_counters *ledger = ledger_counters(world->ledger);
	const struct fabric_counters *fabric = fabric_counters(world->fabric);
	const struct servers_counters *servers =
		servers_counters(world->servers);
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "packets_misdelivered", ledger->packets_misdelivered },
		{ "requests_run", ledger->requests_run },
		{ "requests_duplicated", ledger->requests_duplicated },
		{ "flows_two_servers", ledger->flows_two_servers },
		{ "refused_but_run", ledger->refused_but_run },
		{ "packets_sent", fabric->packets_sent },
		{ "packets_lost", fabric->packets_lost },
		{ "packets_unroutable", fabric->packets_unroutable },
		{ "refusals", fabric->refusals },
		{ "packets_delivered", servers->packets_received },
		{ "packets_unreadable", servers->packets_unreadable },
		{ "packets_to_unpublished", servers->packets_to_unpublished },
		{ "server_resets", servers->resets_sent },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		control_add_number(reply, rows[i].name, (double)rows[i].value);
}

static void host_report(const struct world *world,
			const struct catalogue_host *host, const char *service,
			JsonBuilder *reply)
{
	struct server_figures figures =
		servers_figures(world->servers, host->index);
	g_autofree char *prefix =
		g_strdup_printf("host.%s.%s.", service, host->name);
	g_autofree char *open = g_strconcat(prefix, "open_flows", NULL);
	g_autofree char *added = g_strconcat(prefix, "new_flows", NULL);
	g_autofree char *age = g_strconcat(prefix, "last_new_flow_s", NULL);
	int64_t now_ns = clock_now_ns(clock_system());

	control_add_number(reply, open, figures.open_flows);
	control_add_number(reply, added, (double)figures.new_flows);
	if (figures.last_new_flow_ns != 0)
		control_add_number(reply, age,
				   (double)(now_ns - figures.last_new_flow_ns) /
					   (double)NS_PER_S);
}

/* Maximum over mean of open flows on hosts that accept new ones. */
static double imbalance(const struct world *world,
			const struct catalogue_service *service)
{
	uint32_t hosts = 0;
	uint32_t most = 0;
	uint64_t sum = 0;

	for (guint i = 0; i < service->hosts->len; i++) {
		const struct catalogue_host *host = service->hosts->pdata[i];
		uint32_t open;

		if (!host->is_published || host->is_draining)
			continue;
		open = servers_figures(world->servers, host->index).open_flows;
		hosts++;
		sum += open;
		most = MAX(most, open);
	}
	return sum == 0 ? 1 : (double)most * hosts / (double)sum;
}

/* From the publication of a drain until the last new flow on that host. */
static double drain_last_new_flow_s(const struct world *world)
{
	int64_t longest_ns = 0;

	for (guint i = 0; i < world->catalogue->hosts->len; i++) {
		const struct catalogue_host *host =
			world->catalogue->hosts->pdata[i];
		struct server_figures figures =
			servers_figures(world->servers, host->index);

		if (host->is_draining)
			longest_ns = MAX(longest_ns, figures.last_new_flow_ns -
							     host->drained_ns);
	}
	return (double)longest_ns / (double)NS_PER_S;
}

void world_report(const struct world *world, JsonBuilder *reply)
{
	double worst = 1;

	flows_report(world, reply);
	paths_report(world, reply);
	for (guint i = 0; i < world->catalogue->services->len; i++) {
		const struct catalogue_service *service =
			world->catalogue->services->pdata[i];
		g_autofree char *name =
			g_strconcat("imbalance.", service->name, NULL);
		double value = imbalance(world, service);

		control_add_number(reply, name, value);
		worst = MAX(worst, value);
		for (guint j = 0; j < service->hosts->len; j++)
			host_report(world, service->hosts->pdata[j],
				    service->name, reply);
	}
	control_add_number(reply, "imbalance_max_over_mean", worst);
	control_add_number(reply, "drain_last_new_flow_s",
			   drain_last_new_flow_s(world));
}
