/*
 * Figures of the membership machine: detection time and false failures on a
 * simulated network, and bytes and CPU time of heartbeats for one node by the
 * number of members. CPU time covers the machine and the codec, but neither
 * encryption nor sockets. Prints lines `figure NAME VALUE UNIT`.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../tests/peer/member_network.h"
#include "peer/membership_state.h"
#include "peer/message_codec.h"
#include "peer/transport_state.h"

#define MEMBERS 8
#define DETECTION_TRIALS 60
#define WARM_UP_MS 60000
#define FALSE_DEAD_HOURS 4
#define HOUR_MS 3600000
/* Time of one load measurement, of which the first part is not counted. */
#define LOAD_WARM_UP_MS 5000
#define LOAD_MS 20000

static const size_t member_counts[] = { 8, 16, 32, 64, 670 };

static struct member_network *network_create(size_t count, uint64_t seed,
					     double loss)
{
	struct member_network *network = member_network_create(count, seed);

	network->jitter_ms = 2;
	member_network_run(network, 2000);
	member_network_activate(network);
	network->loss = loss;
	return network;
}

static int double_compare(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

/* Kills member 0 and writes when each other member dropped it, in seconds. */
static void detection_measure(struct member_network *network, double *seconds)
{
	int64_t begin_ns;

	member_network_run(network, WARM_UP_MS);
	/* The kill falls anywhere between two heartbeats. */
	member_network_run(network, (int64_t)(member_network_random(network) *
					      HEARTBEAT_INTERVAL_MS));
	member_network_kill(network, 0);
	begin_ns = network->clock.now_ns;
	for (size_t i = 1; i < MEMBERS; i++)
		seconds[i - 1] = 0;
	while (network->clock.now_ns - begin_ns < 20 * NS_PER_S) {
		member_network_run(network, 1);
		for (size_t i = 1; i < MEMBERS; i++) {
			if (seconds[i - 1] == 0 &&
			    !member_network_find(network, i, 0))
				seconds[i - 1] =
					(double)(network->clock.now_ns -
						 begin_ns) /
					NS_PER_S;
		}
	}
}

static void detection_print(const char *suffix, double loss)
{
	enum { SAMPLES = DETECTION_TRIALS * (MEMBERS - 1) };
	static double seconds[SAMPLES];

	for (size_t i = 0; i < DETECTION_TRIALS; i++) {
		struct member_network *network =
			network_create(MEMBERS, i + 1, loss);

		detection_measure(network, seconds + i * (MEMBERS - 1));
		member_network_destroy(network);
	}
	qsort(seconds, SAMPLES, sizeof(seconds[0]), double_compare);
	printf("figure detect_dead_p50_s%s %.3f s\n", suffix,
	       seconds[SAMPLES / 2]);
	printf("figure detect_dead_p99_s%s %.3f s\n", suffix,
	       seconds[SAMPLES * 99 / 100]);
}

static void false_dead_print(double loss, const char *suffix)
{
	struct member_network *network = network_create(MEMBERS, 1, loss);
	uint64_t failures = 0;

	member_network_run(network, FALSE_DEAD_HOURS * (int64_t)HOUR_MS);
	for (size_t i = 0; i < MEMBERS; i++)
		failures += network->nodes[i].membership->failures;
	printf("figure false_dead%s %u in_%d_h\n", suffix,
	       (unsigned int)failures, FALSE_DEAD_HOURS);
	member_network_destroy(network);
}

/* One machine under test among peers that only answer. */
struct load {
	struct manual_clock clock;
	struct membership *membership;
	size_t count;
	struct heartbeat *last; /* received from the machine, by peer */
	uint64_t *sequences;
	uint64_t sent;
	uint64_t sent_bytes;
};

static void load_send(void *context, uint64_t member_id,
		      const struct heartbeat *heartbeat)
{
	struct load *load = context;
	struct peer_message message = { .kind = PEER_MESSAGE_HEARTBEAT,
					.heartbeat = *heartbeat };
	GByteArray *bytes = peer_message_encode(&message);

	load->last[member_id - 1] = *heartbeat;
	load->sent++;
	/* The first byte is that of the transport. */
	load->sent_bytes += 1 + bytes->len + TRANSPORT_OVERHEAD_BYTES;
	g_byte_array_unref(bytes);
}

static GByteArray *load_answer(struct load *load, size_t peer)
{
	struct peer_message message = {
		.kind = PEER_MESSAGE_HEARTBEAT,
		.heartbeat = {
			.sequence = ++load->sequences[peer],
			.acknowledged = load->last[peer].sequence,
			.incarnation = 100,
			.addressee_incarnation = load->last[peer].incarnation,
			.state = MEMBER_ACTIVE,
			.revision = 1000,
			.revision_digest = 0x123456789abcdef0,
		},
	};

	return peer_message_encode(&message);
}

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return now.tv_sec * NS_PER_S + now.tv_nsec;
}

/* Runs 1 ms; returns the CPU time of the machine and of decoding. */
static int64_t load_step(struct load *load, int64_t ms)
{
	int64_t spent_ns = 0;
	int64_t begin_ns;

	load->clock.now_ns += NS_PER_MS;
	for (size_t i = (size_t)(ms % HEARTBEAT_INTERVAL_MS); i < load->count;
	     i += HEARTBEAT_INTERVAL_MS) {
		GByteArray *bytes = load_answer(load, i);
		struct peer_message *message;

		begin_ns = cpu_ns();
		message = peer_message_decode(bytes->data, bytes->len, NULL);
		membership_handle(load->membership, i + 1, &message->heartbeat);
		peer_message_free(message);
		spent_ns += cpu_ns() - begin_ns;
		g_byte_array_unref(bytes);
	}
	if (ms % MEMBER_NETWORK_TICK_MS == 0) {
		begin_ns = cpu_ns();
		membership_tick(load->membership);
		spent_ns += cpu_ns() - begin_ns;
	}
	return spent_ns;
}

static void load_create(struct load *load, size_t members)
{
	struct membership_options options = {
		.self_id = 1000000,
		.incarnation = 100,
		.clock = &load->clock.clock,
		.random_seed = 1,
		.send = load_send,
		.context = load,
	};

	memset(load, 0, sizeof(*load));
	manual_clock_init(&load->clock, 1000 * NS_PER_S);
	load->count = members - 1;
	load->last = g_new0(struct heartbeat, load->count);
	load->sequences = g_new0(uint64_t, load->count);
	load->membership = membership_create(&options);
	membership_set_revision(load->membership, 1000, 0x123456789abcdef0);
	for (size_t i = 0; i < load->count; i++)
		membership_add_peer(load->membership, i + 1, 0);
}

static void load_print(size_t members)
{
	struct load load;
	int64_t spent_ns = 0;

	load_create(&load, members);
	for (int64_t ms = 0; ms < LOAD_WARM_UP_MS; ms++)
		load_step(&load, ms);
	load.sent = 0;
	load.sent_bytes = 0;
	for (int64_t ms = 0; ms < LOAD_MS; ms++)
		spent_ns += load_step(&load, ms);
	printf("figure heartbeats_per_s_%zu %.1f 1/s\n", members,
	       (double)load.sent * 1000 / LOAD_MS);
	printf("figure heartbeat_bytes_per_s_%zu %.0f B/s\n", members,
	       (double)load.sent_bytes * 1000 / LOAD_MS);
	printf("figure heartbeat_cpu_%zu %.4f %%_of_a_core\n", members,
	       (double)spent_ns / NS_PER_MS * 100 / LOAD_MS);
	membership_destroy(load.membership);
	g_free(load.last);
	g_free(load.sequences);
}

int main(void)
{
	detection_print("", 0.02);
	detection_print("_clean", 0);
	false_dead_print(0.02, "");
	false_dead_print(0.05, "_loss_5_percent");
	for (size_t i = 0; i < G_N_ELEMENTS(member_counts); i++)
		load_print(member_counts[i]);
	return EXIT_SUCCESS;
}
