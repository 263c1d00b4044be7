/*
 * Packets per second that are forwarded (edge, parsing, decision core, address
 * of the host; flows of closed buckets), against a bare recvmmsg/sendmmsg loop over the
 * same datagrams. Both run on the main thread of this process; child processes
 * send and receive.
 *
 * forward_over_raw compares packets per second of the thread's own CPU time,
 * so that other work on the machine does not decide it; the same by wall clock
 * is printed next to it. The mean number of datagrams a receive call returned
 * shows whether the senders kept the loops busy (64 is a full batch).
 */

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock.h"
#include "configuration/configuration.h"
#include "core/core.h"
#include "edge/edge.h"
#include "edge/socket.h"
#include "packet/build.h"

#define FLOWS 4096
#define PACKET_BYTES 120
#define SENDERS 2
#define ROUNDS 9
#define WARM_UP_NS (50 * NS_PER_MS)
#define ROUND_NS (300 * NS_PER_MS)
/* Batches between two looks at the clock, as many as the edge takes. */
#define RAW_BATCHES 8
/* Children end by themselves if this process could not end them. */
#define CHILD_LIFE_S 10
#define BUFFER_BYTES (4 * 1024 * 1024)
#define HOSTS 14
/* A core that is alone starts to decide within this time. */
#define CORE_START_NS (3 * NS_PER_S)
#define PARSE_PASSES 500

struct rates {
	double packets_per_s[ROUNDS];
	double packets_per_cpu_s[ROUNDS];
	double cpu_share[ROUNDS];
	double batch_datagrams[ROUNDS];
};

/* What one round forwarded. */
struct progress {
	uint64_t sent;
	uint64_t received;
	uint64_t batches; /* receive calls, those without datagrams included */
};

struct forwarder {
	struct edge *edge;
	struct core *core;
	int64_t stopped_ns; /* of the core's clock, at the end of a round */
	struct sockaddr_storage sink;
	socklen_t sink_bytes;
	uint64_t batches;
};

static uint8_t packets[FLOWS][PACKET_BYTES];

static void die(const char *what)
{
	perror(what);
	exit(EXIT_FAILURE);
}

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * NS_PER_S + now.tv_nsec;
}

static void packets_build(void)
{
	static const uint8_t payload[PACKET_BYTES];

	for (uint32_t i = 0; i < FLOWS; i++) {
		struct packet_fields fields = {
			.source_port = (uint16_t)(1024 + i * 13),
			.destination_port = 443,
			.protocol = PACKET_PROTOCOL_TCP,
			.tcp_flags = TCP_FLAG_ACK,
			.payload = payload,
			.payload_bytes = PACKET_BYTES - 40,
		};

		ip_address_parse("198.51.100.0", &fields.source);
		ip_address_parse("203.0.113.1", &fields.destination);
		fields.source.bytes[15] = (uint8_t)i;
		if (packet_build(&fields, packets[i], PACKET_BYTES) !=
		    PACKET_BYTES)
			abort();
	}
}

/* Opens a socket on loopback with a large buffer, and finds its address. */
static int socket_open(struct sockaddr_storage *name, socklen_t *name_bytes)
{
	struct error error;
	int fd = udp_socket_open("127.0.0.1", 0, BUFFER_BYTES, &error);

	if (fd < 0) {
		fprintf(stderr, "%s\n", error.detail);
		exit(EXIT_FAILURE);
	}
	*name_bytes = udp_socket_name(fd, name);
	return fd;
}

static void batch_init(struct mmsghdr *headers, struct iovec *vectors,
		       uint8_t (*buffers)[EDGE_DATAGRAM_BYTES])
{
	memset(headers, 0, EDGE_BATCH * sizeof(*headers));
	for (int i = 0; i < EDGE_BATCH; i++) {
		vectors[i].iov_base = buffers[i];
		vectors[i].iov_len = EDGE_DATAGRAM_BYTES;
		headers[i].msg_hdr.msg_iov = &vectors[i];
		headers[i].msg_hdr.msg_iovlen = 1;
	}
}

static void sender_run(const struct sockaddr_storage *to, socklen_t to_bytes)
{
	struct mmsghdr headers[EDGE_BATCH] = { 0 };
	struct iovec vectors[EDGE_BATCH];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || connect(fd, (const struct sockaddr *)to, to_bytes) != 0)
		die("connect");
	for (uint32_t flow = 0;; flow = (flow + EDGE_BATCH) % FLOWS) {
		for (int i = 0; i < EDGE_BATCH; i++) {
			vectors[i].iov_base = packets[flow + i];
			vectors[i].iov_len = PACKET_BYTES;
			headers[i].msg_hdr.msg_iov = &vectors[i];
			headers[i].msg_hdr.msg_iovlen = 1;
		}
		sendmmsg(fd, headers, EDGE_BATCH, 0);
	}
}

static void sink_run(int fd)
{
	static uint8_t buffers[EDGE_BATCH][EDGE_DATAGRAM_BYTES];
	struct mmsghdr headers[EDGE_BATCH];
	struct iovec vectors[EDGE_BATCH];

	batch_init(headers, vectors, buffers);
	for (;;) {
		if (recvmmsg(fd, headers, EDGE_BATCH, 0, NULL) < 0 &&
		    errno == EAGAIN)
			usleep(50);
	}
}

static void child_prepare(void)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	alarm(CHILD_LIFE_S);
}

static pid_t sink_start(int fd)
{
	pid_t pid = fork();

	if (pid < 0)
		die("fork");
	if (pid == 0) {
		child_prepare();
		sink_run(fd);
	}
	return pid;
}

static pid_t sender_start(const struct sockaddr_storage *to, socklen_t to_bytes)
{
	pid_t pid = fork();

	if (pid < 0)
		die("fork");
	if (pid == 0) {
		child_prepare();
		sender_run(to, to_bytes);
	}
	return pid;
}

static void child_stop(pid_t pid)
{
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

/* The system's clock, shifted so that the core sees no gap between rounds. */
static int64_t clock_offset_ns;

static void shifted_now(void *context, struct timespec *out)
{
	int64_t now_ns = clock_now_ns(clock_system()) + clock_offset_ns;

	(void)context;
	out->tv_sec = now_ns / NS_PER_S;
	out->tv_nsec = now_ns % NS_PER_S;
}

static const struct clock shifted_clock = { .now = shifted_now };

static void datagram_forward(void *context, uint8_t *data, size_t length,
			     const struct sockaddr_storage *source)
{
	struct forwarder *forwarder = context;
	struct sockaddr_storage destination;
	struct packet_facts facts;
	struct core_action action;

	(void)source;
	if (packet_parse(data, length, &facts) != PACKET_OK)
		abort();
	core_handle_packet(forwarder->core, &facts, 0, 0, &action);
	if (action.kind != CORE_FORWARD)
		abort();
	edge_destination(forwarder->edge, &action.host->address,
			 action.host->port, &destination);
	/* All hosts of the benchmark are one sink. */
	edge_send(forwarder->edge, (struct sockaddr *)&forwarder->sink,
		  forwarder->sink_bytes, data, length);
}

static void batch_count(void *context)
{
	struct forwarder *forwarder = context;

	forwarder->batches++;
}

static void edge_forward(void *context, int64_t until_ns,
			 struct progress *progress)
{
	struct forwarder *forwarder = context;
	struct edge_counters before = *edge_counters(forwarder->edge);

	forwarder->batches = 0;
	if (forwarder->stopped_ns != 0)
		clock_offset_ns -=
			clock_now_ns(&shifted_clock) - forwarder->stopped_ns;
	core_tick(forwarder->core);
	while (clock_now_ns(clock_system()) < until_ns) {
		if (!g_main_context_iteration(NULL, FALSE))
			forwarder->batches++;
	}
	progress->sent = edge_counters(forwarder->edge)->sent - before.sent;
	progress->received =
		edge_counters(forwarder->edge)->received - before.received;
	progress->batches = forwarder->batches;
	core_tick(forwarder->core);
	forwarder->stopped_ns = clock_now_ns(&shifted_clock);
}

struct raw_loop {
	int fd;
	struct sockaddr_storage sink;
	socklen_t sink_bytes;
	struct mmsghdr headers[EDGE_BATCH];
	struct iovec vectors[EDGE_BATCH];
	uint8_t buffers[EDGE_BATCH][EDGE_DATAGRAM_BYTES];
};

static void raw_batch(struct raw_loop *raw, struct progress *progress)
{
	int received, sent;

	for (int i = 0; i < EDGE_BATCH; i++) {
		raw->vectors[i].iov_len = EDGE_DATAGRAM_BYTES;
		raw->headers[i].msg_hdr.msg_name = NULL;
		raw->headers[i].msg_hdr.msg_namelen = 0;
	}
	received =
		recvmmsg(raw->fd, raw->headers, EDGE_BATCH, MSG_DONTWAIT, NULL);
	progress->batches++;
	if (received <= 0)
		return;
	for (int i = 0; i < received; i++) {
		raw->vectors[i].iov_len = raw->headers[i].msg_len;
		raw->headers[i].msg_hdr.msg_name = &raw->sink;
		raw->headers[i].msg_hdr.msg_namelen = raw->sink_bytes;
	}
	sent = sendmmsg(raw->fd, raw->headers, received, MSG_DONTWAIT);
	progress->received += received;
	progress->sent += sent > 0 ? sent : 0;
}

static void raw_forward(void *context, int64_t until_ns,
			struct progress *progress)
{
	*progress = (struct progress){ 0 };
	while (clock_now_ns(clock_system()) < until_ns) {
		for (int i = 0; i < RAW_BATCHES; i++)
			raw_batch(context, progress);
	}
}

struct contestant {
	/* Forwards until @until_ns. */
	void (*forward)(void *context, int64_t until_ns,
			struct progress *progress);
	void *context;
	struct sockaddr_storage address;
	socklen_t address_bytes;
	struct rates rates;
};

static void round_measure(struct contestant *contestant, int round)
{
	struct rates *rates = &contestant->rates;
	int64_t start_ns = clock_now_ns(clock_system());
	int64_t start_cpu_ns = cpu_ns();
	struct progress progress;
	double elapsed_ns, elapsed_cpu_ns;

	contestant->forward(contestant->context, start_ns + ROUND_NS,
			    &progress);
	elapsed_ns = (double)(clock_now_ns(clock_system()) - start_ns);
	elapsed_cpu_ns = (double)(cpu_ns() - start_cpu_ns);
	rates->packets_per_s[round] =
		(double)progress.sent * NS_PER_S / elapsed_ns;
	rates->packets_per_cpu_s[round] =
		(double)progress.sent * NS_PER_S / elapsed_cpu_ns;
	rates->cpu_share[round] = elapsed_cpu_ns / elapsed_ns;
	rates->batch_datagrams[round] =
		(double)progress.received / (double)progress.batches;
}

static void round_run(struct contestant *contestant, int round)
{
	pid_t senders[SENDERS];
	struct progress ignored;

	for (int i = 0; i < SENDERS; i++)
		senders[i] = sender_start(&contestant->address,
					  contestant->address_bytes);
	contestant->forward(contestant->context,
			    clock_now_ns(clock_system()) + WARM_UP_NS,
			    &ignored);
	round_measure(contestant, round);
	for (int i = 0; i < SENDERS; i++)
		child_stop(senders[i]);
}

static int double_compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double median(const double *values)
{
	double sorted[ROUNDS];

	memcpy(sorted, values, sizeof(sorted));
	qsort(sorted, ROUNDS, sizeof(sorted[0]), double_compare);
	return sorted[ROUNDS / 2];
}

/* Median of the ratios within each round. */
static double median_ratio(const double *values, const double *bases)
{
	double ratios[ROUNDS];

	for (int i = 0; i < ROUNDS; i++)
		ratios[i] = values[i] / bases[i];
	return median(ratios);
}

static void rates_print(const char *name, const struct rates *rates)
{
	printf("figure %s_packets_per_s %.0f packets/s\n", name,
	       median(rates->packets_per_s));
	printf("figure %s_cpu_share %.2f ratio\n", name,
	       median(rates->cpu_share));
	printf("figure %s_batch_datagrams %.1f datagrams\n", name,
	       median(rates->batch_datagrams));
}

static void parse_measure(void)
{
	struct packet_facts facts;
	uint64_t sum = 0;
	int64_t start_ns = cpu_ns(), middle_ns, end_ns;
	double calls = (double)FLOWS * PARSE_PASSES;

	for (int pass = 0; pass < PARSE_PASSES; pass++) {
		for (int i = 0; i < FLOWS; i++) {
			if (packet_parse(packets[i], PACKET_BYTES, &facts) !=
			    PACKET_OK)
				abort();
			sum += facts.key.caller_port;
		}
	}
	middle_ns = cpu_ns();
	for (int pass = 0; pass < PARSE_PASSES; pass++) {
		for (int i = 0; i < FLOWS; i++) {
			facts.key.caller_port = (uint16_t)i;
			sum += flow_key_hash(&facts.key, 42);
		}
	}
	end_ns = cpu_ns();
	/* The sum keeps the compiler from dropping the calls. */
	fprintf(stderr, "parse checksum %llu\n", (unsigned long long)sum);
	printf("figure parse_ns %.1f ns\n",
	       (double)(middle_ns - start_ns) / calls);
	printf("figure hash_ns %.1f ns\n",
	       (double)(end_ns - middle_ns) / calls);
}

static void core_send_ignore(void *context, uint64_t member_id,
			     const struct core_message *message,
			     enum message_priority priority)
{
	(void)context;
	(void)member_id;
	(void)message;
	(void)priority;
}

static void part_insert(GHashTable *parts, const char *name, char *text)
{
	g_hash_table_insert(parts, g_strdup(name),
			    g_bytes_new_take(text, strlen(text)));
}

/* One service with 14 hosts and a fewest-moves profile. */
static struct configuration *configuration_build(void)
{
	GHashTable *parts = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	GString *service = g_string_new(
		"{\"name\":\"s\",\"team\":\"t\",\"profile\":\"p\","
		"\"addresses\":[{\"address\":\"203.0.113.1\",\"port\":443,"
		"\"protocol\":\"tcp\"}],\"hosts\":[");
	struct configuration *configuration;
	struct error error;

	for (int i = 0; i < HOSTS; i++)
		g_string_append_printf(
			service,
			"%s{\"name\":\"h%d\",\"address\":\"127.0.2.%d\","
			"\"port\":6080,\"availability_zone\":\"a\","
			"\"slots\":3,\"connections\":2000,"
			"\"state\":\"serving\"}",
			i ? "," : "", i, i + 1);
	g_string_append(service, "]}");
	part_insert(parts, "profiles",
		    g_strdup("{\"profiles\":[{\"name\":\"p\","
			     "\"spread\":\"fewest_moves\"}]}"));
	part_insert(parts, "service/s", g_string_free(service, FALSE));
	configuration = configuration_create(1, parts, &error);
	g_hash_table_unref(parts);
	if (!configuration) {
		fprintf(stderr, "%s\n", error.detail);
		exit(EXIT_FAILURE);
	}
	return configuration;
}

static struct core *core_open(void)
{
	const struct core_options options = {
		.self_id = 1,
		.clock = &shifted_clock,
		.flow_hash_seed = 42,
		.random_seed = 1,
		.exceptions_max = 1024,
		.send = core_send_ignore,
	};
	struct configuration *configuration = configuration_build();
	struct member_view *view =
		g_malloc0(sizeof(*view) + sizeof(view->members[0]));
	struct core *core = core_create(&options);

	view->version = 1;
	view->member_count = 1;
	view->members[0] = (struct member){ .id = 1, .state = MEMBER_ACTIVE };
	core_apply_configuration(core, configuration);
	core_set_view(core, view);
	for (; clock_offset_ns < CORE_START_NS;
	     clock_offset_ns += CORE_TICK_MS * NS_PER_MS)
		core_tick(core);
	configuration_unref(configuration);
	g_free(view);
	return core;
}

static void forwarder_open(struct forwarder *forwarder,
			   const struct sockaddr_storage *sink,
			   socklen_t sink_bytes)
{
	struct edge_options options = {
		.address = "127.0.0.1",
		.receive_buffer_bytes = BUFFER_BYTES,
		.on_datagram = datagram_forward,
		.on_batch_end = batch_count,
		.context = forwarder,
	};
	struct error error;

	forwarder->edge = edge_create(&options, &error);
	if (!forwarder->edge) {
		fprintf(stderr, "%s\n", error.detail);
		exit(EXIT_FAILURE);
	}
	forwarder->sink = *sink;
	forwarder->sink_bytes = sink_bytes;
	forwarder->core = core_open();
}

int main(void)
{
	static struct forwarder forwarder;
	static struct raw_loop raw;
	static struct contestant edge = { .forward = edge_forward,
					  .context = &forwarder };
	static struct contestant bare = { .forward = raw_forward,
					  .context = &raw };
	struct ip_address loopback;
	int sink_fd = socket_open(&raw.sink, &raw.sink_bytes);

	packets_build();
	raw.fd = socket_open(&bare.address, &bare.address_bytes);
	batch_init(raw.headers, raw.vectors, raw.buffers);
	forwarder_open(&forwarder, &raw.sink, raw.sink_bytes);
	ip_address_parse("127.0.0.1", &loopback);
	edge.address_bytes = edge_destination(forwarder.edge, &loopback,
					      edge_port(forwarder.edge),
					      &edge.address);
	for (int round = 0; round < ROUNDS; round++) {
		pid_t sink = sink_start(sink_fd);

		round_run(round % 2 ? &edge : &bare, round);
		round_run(round % 2 ? &bare : &edge, round);
		child_stop(sink);
	}
	printf("figure forward_over_raw %.3f ratio\n",
	       median_ratio(edge.rates.packets_per_cpu_s,
			    bare.rates.packets_per_cpu_s));
	printf("figure forward_over_raw_wall %.3f ratio\n",
	       median_ratio(edge.rates.packets_per_s,
			    bare.rates.packets_per_s));
	rates_print("forward", &edge.rates);
	rates_print("raw", &bare.rates);
	parse_measure();
	edge_destroy(forwarder.edge);
	core_destroy(forwarder.core);
	return EXIT_SUCCESS;
}
