#include <inttypes.h>

#include "balancer_private.h"
#include "common/log.h"

/*
 * Longer than the time after which a caller sends a copy of its opening packet,
 * as a probe needs one round trip less than a caller's handshake.
 */
#define PROBE_TIMEOUT_MS 250

struct host_probe {
	struct balancer *balancer;
	struct connect_probe *probe;
	int64_t start_ns;
	char id[HOST_ID_BYTES_MAX + 1];
};

static const enum probe_result results[PROBE_OUTCOMES] = {
	[PROBE_ACCEPTED] = PROBE_RESULT_UP,
	[PROBE_REFUSED] = PROBE_RESULT_DOWN,
	/* A host accepts connections above its limit and resets them. */
	[PROBE_RESET] = PROBE_RESULT_FULL,
	[PROBE_TIMEOUT] = PROBE_RESULT_TIMEOUT,
	/* A local failure says nothing about the host. */
	[PROBE_FAILED] = PROBE_RESULT_NONE,
};

static void probe_ended(void *context, enum probe_outcome outcome)
{
	struct host_probe *probe = context;
	struct balancer *balancer = probe->balancer;
	const struct rtt_estimate *handshake =
		steering_handshake(balancer->steering);

	balancer->probe_outcome_counts[outcome]++;
	g_hash_table_remove(balancer->probes, probe);
	log_event(LOG_LEVEL_INFO, "host_probed",
		  "host=%s outcome=%s elapsed_us=%" PRId64
		  " prompt_age_ms=%" PRId64 " handshake_us=%" PRId64
		  " handshake_samples=%" PRIu64,
		  probe->id, probe_outcome_name(outcome),
		  (clock_now_ns(balancer->clock) - probe->start_ns) / NS_PER_US,
		  balancer_age_ms(
			  balancer,
			  steering_path(balancer->steering)->prompt_since_ns),
		  handshake->smoothed_ns / NS_PER_US, handshake->samples);
	steering_probe_end(balancer->steering, probe->id, results[outcome]);
	g_free(probe);
}

void host_probe_start(void *context, const struct known_host *host)
{
	struct balancer *balancer = context;
	struct host_probe *probe = g_new0(struct host_probe, 1);
	const struct connect_probe_options options = {
		.address = host->published.address,
		.port = host->published.port,
		.timeout_ms = PROBE_TIMEOUT_MS,
		.on_outcome = probe_ended,
		.context = probe,
	};

	probe->balancer = balancer;
	probe->start_ns = clock_now_ns(balancer->clock);
	g_strlcpy(probe->id, host->published.id, sizeof(probe->id));
	g_hash_table_add(balancer->probes, probe);
	probe->probe = connect_probe_start(&options);
	if (!probe->probe)
		probe_ended(probe, PROBE_FAILED);
}

void host_probes_cancel(struct balancer *balancer)
{
	GHashTableIter iterator;
	gpointer key;

	if (!balancer->probes)
		return;
	g_hash_table_iter_init(&iterator, balancer->probes);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		struct host_probe *probe = key;

		connect_probe_cancel(probe->probe);
		g_free(probe);
	}
	g_hash_table_destroy(balancer->probes);
}
